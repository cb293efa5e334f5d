/** Determines the order in which pools are tried for a request. */
import type {FailureDomain, Service} from '../configuration/schema.js';
import {formatPool} from '../membership/directory.js';
import type {PoolSummary} from '../peer/protocol.js';
import {isLong, type LengthClass} from '../util/length-class.js';

/** A pool of the daemon's own failure domain is preferred up to this estimated wait. */
const LOCAL_MAX_WAIT_MS = 50;
/** Older summaries are ignored, as they no longer reflect the load of the pool. */
const SUMMARY_MAX_AGE_MS = 5000;

/** Latest summary of each pool, as received with the answers to reservation requests. */
export class PoolSummaries {
	static create(): PoolSummaries {
		return new PoolSummaries();
	}

	readonly #latest = new Map<string, {readonly summary: PoolSummary; readonly at: number}>();

	record(summary: PoolSummary, now: number): void {
		this.#latest.set(summary.pool, {summary, at: now});
	}

	/** Records that a request waited for `waitedMs` in the queue of a pool and was then withdrawn. */
	recordWait(pool: string, lengthClass: LengthClass, waitedMs: number, now: number): void {
		const known = this.#latest.get(pool)?.summary ?? {
			pool, epoch: 0, queued: 1, running: 0, shortWaitMs: 0, longWaitMs: 0,
		};
		const waited = isLong(lengthClass) ? {longWaitMs: waitedMs} : {shortWaitMs: waitedMs};
		this.#latest.set(pool, {summary: {...known, ...waited}, at: now});
	}

	/** Estimated wait in ms; 0 for a pool without a recent summary, so that it is tried and its load becomes known. */
	waitMs(pool: string, lengthClass: LengthClass, now: number): number {
		const entry = this.#latest.get(pool);
		if (!entry || now - entry.at > SUMMARY_MAX_AGE_MS) {
			return 0;
		}

		const {shortWaitMs, longWaitMs} = entry.summary;
		return isLong(lengthClass) ? longWaitMs : shortWaitMs;
	}
}

/** `known`: the pool lease has an owner. `silent`: the coordinator recently failed a liveness probe. */
export type CoordinatorState = 'known' | 'unknown' | 'silent';

const coordinatorOrder: Readonly<Record<CoordinatorState, number>> = {known: 0, unknown: 1, silent: 2};

export type PoolCandidate = {
	readonly pool: string;
	readonly failureDomain: string;
	readonly coordinator: CoordinatorState;
	/** Estimated wait in ms for requests of this length class. */
	readonly waitMs: number;
};

/** Pools of a service in those failure domains of `region` whose state is `in`. */
export function activePoolsOf(service: Service, failureDomains: readonly FailureDomain[], region: string): ReadonlyArray<{readonly pool: string; readonly failureDomain: string}> {
	const usable = failureDomains.filter(domain => domain.state === 'in' && domain.region === region && service.failureDomains.includes(domain.name));
	return usable.flatMap(({name}) => Array.from({length: service.poolShards}, (_, shard) => ({
		pool: formatPool({failureDomain: name, service: service.name, shard}),
		failureDomain: name,
	})));
}

/**
 * Sorts the candidates: pools with a known coordinator first, then pools of the daemon's own failure domain with an estimated wait
 * of at most {@link LOCAL_MAX_WAIT_MS}, then by estimated wait. `rotation` rotates pools that compare equal, so that successive
 * requests are spread over them.
 */
export function sortPools(candidates: readonly PoolCandidate[], ownDomain: string, rotation: number): readonly string[] {
	const start = candidates.length === 0 ? 0 : rotation % candidates.length;
	const rotated = [...candidates.slice(start), ...candidates.slice(0, start)];
	const isPreferredLocal = (candidate: PoolCandidate): boolean => candidate.failureDomain === ownDomain && candidate.waitMs <= LOCAL_MAX_WAIT_MS;
	const ordered = rotated.toSorted((a, b) =>
		coordinatorOrder[a.coordinator] - coordinatorOrder[b.coordinator]
		|| Number(isPreferredLocal(b)) - Number(isPreferredLocal(a))
		|| a.waitMs - b.waitMs
		|| Number(b.failureDomain === ownDomain) - Number(a.failureDomain === ownDomain));
	return ordered.map(candidate => candidate.pool);
}
