/** Orders the pools in which a request may run. */
import type {FailureDomain, Service} from '../configuration/schema.js';
import {formatPool} from '../membership/directory.js';
import type {PoolSummary} from '../peer/protocol.js';
import {isLong, type LengthClass} from '../util/length-class.js';

/** A pool of the own failure domain is preferred up to this estimated wait. */
const NO_WAIT_MS = 50;
/** A summary older than this says nothing about the present load. */
const SUMMARY_MAX_AGE_MS = 5000;

/** The newest summary of each pool, as received with answers to reservations. */
export class PoolSummaries {
	static create(): PoolSummaries {
		return new PoolSummaries();
	}

	readonly #newest = new Map<string, {readonly summary: PoolSummary; readonly at: number}>();

	record(summary: PoolSummary, now: number): void {
		this.#newest.set(summary.pool, {summary, at: now});
	}

	/** Records that a request waited `waitedMs` in a pool without an answer. */
	recordWait(pool: string, lengthClass: LengthClass, waitedMs: number, now: number): void {
		const known = this.#newest.get(pool)?.summary ?? {
			pool, epoch: 0, queued: 1, running: 0, shortWaitMs: 0, longWaitMs: 0,
		};
		const waited = isLong(lengthClass) ? {longWaitMs: waitedMs} : {shortWaitMs: waitedMs};
		this.#newest.set(pool, {summary: {...known, ...waited}, at: now});
	}

	/** Estimated wait in ms; 0 where nothing recent is known, so that such a pool is tried. */
	waitMs(pool: string, lengthClass: LengthClass, now: number): number {
		const entry = this.#newest.get(pool);
		if (!entry || now - entry.at > SUMMARY_MAX_AGE_MS) {
			return 0;
		}

		const {shortWaitMs, longWaitMs} = entry.summary;
		return isLong(lengthClass) ? longWaitMs : shortWaitMs;
	}
}

/** `known`: its lease has been seen. `silent`: it did not answer shortly before. */
export type CoordinatorState = 'known' | 'unknown' | 'silent';

const preference: Readonly<Record<CoordinatorState, number>> = {known: 0, unknown: 1, silent: 2};

export type PoolCandidate = {
	readonly pool: string;
	readonly failureDomain: string;
	readonly coordinator: CoordinatorState;
	/** Estimated wait of this request in ms. */
	readonly waitMs: number;
};

/** Pools of a service in the failure domains of `region` that are `in`. */
export function poolsOf(service: Service, failureDomains: readonly FailureDomain[], region: string): ReadonlyArray<{readonly pool: string; readonly failureDomain: string}> {
	const usable = failureDomains.filter(domain => domain.state === 'in' && domain.region === region && service.failureDomains.includes(domain.name));
	return usable.flatMap(({name}) => Array.from({length: service.poolShards}, (_, shard) => ({
		pool: formatPool({failureDomain: name, service: service.name, shard}),
		failureDomain: name,
	})));
}

/**
 * Orders candidates: those with a known coordinator first, then those of the own failure domain without a wait, then by estimated
 * wait. `turn` rotates equal ones, so that successive requests spread over them.
 */
export function orderPools(candidates: readonly PoolCandidate[], ownDomain: string, turn: number): readonly string[] {
	const start = candidates.length === 0 ? 0 : turn % candidates.length;
	const rotated = [...candidates.slice(start), ...candidates.slice(0, start)];
	const isNear = (candidate: PoolCandidate): boolean => candidate.failureDomain === ownDomain && candidate.waitMs <= NO_WAIT_MS;
	const ordered = rotated.toSorted((a, b) =>
		preference[a.coordinator] - preference[b.coordinator]
		|| Number(isNear(b)) - Number(isNear(a))
		|| a.waitMs - b.waitMs
		|| Number(b.failureDomain === ownDomain) - Number(a.failureDomain === ownDomain));
	return ordered.map(candidate => candidate.pool);
}
