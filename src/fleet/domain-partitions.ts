/**
 * Pairs of failure domains whose engines recently could not reach each other.
 *
 * An engine rejects a prompt if one of its helpers does not answer. During a network partition between failure domains,
 * every prompt that is split over both would be rejected, once for each helper.
 */
import {ExpiringSet} from '../util/expiring-set.js';

/** Time in ms after which a split over both failure domains is tried again; a rejection takes a few ms. */
const PARTITION_TTL_MS = 2000;

export class DomainPartitions {
	static create(): DomainPartitions {
		return new DomainPartitions();
	}

	readonly #pairs = ExpiringSet.create();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Records that an engine in one failure domain could not reach an engine in the other. */
	record(one: string, other: string, now: number): void {
		this.#pairs.add(pairKey(one, other), now + PARTITION_TTL_MS, now);
	}

	arePartitioned(one: string, other: string, now: number): boolean {
		return this.#pairs.has(pairKey(one, other), now);
	}

	/**
	 * Splits `servers` into groups of servers that can all reach each other: for each failure domain, its own servers and
	 * those of the failure domains that it is not partitioned from. Without partitions, there is one group.
	 */
	connectedGroups<T>(servers: readonly T[], domainOf: (server: T) => string, now: number): ReadonlyArray<readonly T[]> {
		const domains = [...new Set(servers.map(server => domainOf(server)))];
		const groups = new Map<string, readonly T[]>();
		for (const domain of domains) {
			const reachable = domains.filter(other => !this.arePartitioned(domain, other, now));
			groups.set(reachable.join('\0'), servers.filter(server => reachable.includes(domainOf(server))));
		}

		return [...groups.values()];
	}
}

const pairKey = (one: string, other: string): string => [one, other].sort().join('\0');
