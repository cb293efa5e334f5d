/**
 * Failure domains whose engines could not reach each other lately.
 *
 * An engine rejects a prompt when one of its helpers does not answer. When failure domains are cut off from each other, every
 * prompt that is split over both would be rejected, once for each helper.
 */
import {ExpiringSet} from '../util/expiring-set.js';

/** Time in ms after which a split over both failure domains is tried again; one rejection takes a few ms. */
const CUT_MEMORY_MS = 2000;

export class DomainCuts {
	static create(): DomainCuts {
		return new DomainCuts();
	}

	readonly #cut = ExpiringSet.create();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** An engine in one failure domain did not reach an engine in the other. */
	note(one: string, other: string, now: number): void {
		this.#cut.add(pairOf(one, other), now + CUT_MEMORY_MS, now);
	}

	areCut(one: string, other: string, now: number): boolean {
		return this.#cut.has(pairOf(one, other), now);
	}

	/**
	 * Splits `servers` into groups within which all reach each other: for each failure domain, its own servers and those of
	 * failure domains that it is not cut off from. One group when nothing is cut.
	 */
	connectedGroups<T>(servers: readonly T[], domainOf: (server: T) => string, now: number): ReadonlyArray<readonly T[]> {
		const domains = [...new Set(servers.map(server => domainOf(server)))];
		const groups = new Map<string, readonly T[]>();
		for (const domain of domains) {
			const reached = domains.filter(other => !this.areCut(domain, other, now));
			groups.set(reached.join('\0'), servers.filter(server => reached.includes(domainOf(server))));
		}

		return [...groups.values()];
	}
}

const pairOf = (one: string, other: string): string => [one, other].sort().join('\0');
