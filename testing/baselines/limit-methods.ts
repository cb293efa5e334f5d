/** Published methods of limiting the requests to a server, with which the pace of servers is compared. */
import type {PlacementEntry} from '../../src/fleet/placement-table.js';
import type {PlayedDaemon, PlayedMethod} from '../load/server-returns.js';

/** Time in ms after which slow start by time gives a server its full weight, and the least weight, as Envoy's aggression 1 and HAProxy's `slowstart` have it. */
const SLOW_START_MS = 10_000;
const MIN_WEIGHT = 0.1;
const INITIAL_LIMIT = 2;
/** Backoff ratio of the AIMD limit, and smoothing, tolerance and queue of the gradient limit, of Netflix concurrency-limits. */
const AIMD_BACKOFF = 0.9;
const GRADIENT = {
	smoothing: 0.2, tolerance: 1.5, queue: 4, longWindow: 600,
} as const;
/** A server known from the start of a play is not limited. */
const START_MS = 100;

type Limit = {readonly since: number; limit: number; longMs: number; readonly isNew: boolean};
type Outcome = {readonly ms: number; readonly isServed: boolean; readonly open: number};

/** A method that learns from the ends of all placements that the daemon hears of. */
function createMethod({id, placements}: PlayedDaemon, {limitAt, learn}: {
	limitAt(limit: Limit, slots: number, now: number): number;
	learn(limit: Limit, outcome: Outcome): void;
}): PlayedMethod {
	const limits = new Map<string, Limit>();
	let firstAt: number | undefined;
	const record = ({server, daemon, placedAt}: PlacementEntry, isServed: boolean, now: number) => {
		const limit = limits.get(server);
		// The own failures are recorded as such.
		if (limit && (isServed || daemon !== id)) {
			learn(limit, {ms: now - placedAt, isServed, open: placements.entriesOn(server).length + 1});
		}
	};

	return {
		opened: () => undefined,
		started: () => undefined,
		closed: record,
		recordFailure(server) {
			const limit = limits.get(server);
			if (limit) {
				learn(limit, {ms: 0, isServed: false, open: placements.entriesOn(server).length + 1});
			}
		},
		limitServers({servers}, now) {
			firstAt ??= now;
			const blocked = new Set<string>();
			for (const {id: server, slots} of servers) {
				const limit = limits.get(server) ?? {
					since: now, limit: INITIAL_LIMIT, longMs: 0, isNew: now - firstAt > START_MS,
				};
				limits.set(server, limit);
				if (limit.isNew && placements.entriesOn(server).length >= Math.floor(limitAt(limit, slots, now))) {
					blocked.add(server);
				}
			}

			return {blocked};
		},
	};
}

const isUsed = (limit: number, open: number): boolean => 2 * open >= limit;

export const limitMethods: Readonly<Record<string, (daemon: PlayedDaemon) => PlayedMethod>> = {
	'no limit': daemon => createMethod(daemon, {limitAt: () => Infinity, learn: () => undefined}),
	'slow start by time': daemon => createMethod(daemon, {
		limitAt: ({since}, slots, now) => Math.max(1, slots * Math.min(1, Math.max(MIN_WEIGHT, (now - since) / SLOW_START_MS))),
		learn: () => undefined,
	}),
	'additive increase, multiplicative decrease': daemon => createMethod(daemon, {
		limitAt: ({limit}) => limit,
		learn(limit, {isServed, open}) {
			if (!isServed) {
				limit.limit = Math.max(1, limit.limit * AIMD_BACKOFF);
			} else if (isUsed(limit.limit, open)) {
				limit.limit++;
			}
		},
	}),
	gradient: daemon => createMethod(daemon, {
		limitAt: ({limit}) => limit,
		learn(limit, {ms, isServed, open}) {
			if (!isServed) {
				limit.limit = Math.max(1, limit.limit / 2);
				return;
			}

			limit.longMs = limit.longMs === 0 ? ms : limit.longMs + ((ms - limit.longMs) / GRADIENT.longWindow);
			if (isUsed(limit.limit, open)) {
				const gradient = Math.max(0.5, Math.min(1, GRADIENT.tolerance * limit.longMs / ms));
				const target = (limit.limit * gradient) + GRADIENT.queue;
				limit.limit = Math.max(1, (limit.limit * (1 - GRADIENT.smoothing)) + (target * GRADIENT.smoothing));
			}
		},
	}),
};
