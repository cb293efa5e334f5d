/**
 * Delays the choice for a waiting request after a wake-up, so that the daemons that wake on one message do not all take the same place.
 *
 * More urgent requests, and those that have waited longer, go first. The spread differs by daemon and by place, so that no daemon is first at
 * all places. Messages take 5 to 45 ms, so the delay thins simultaneous choices out; it cannot exclude them.
 */
import {uniformHash} from '../util/uniform-hash.js';
import {agedRank, waitedShare, type Urgency} from './dispatch-queue.js';

/** Delay in ms of each rank, of a request that has not waited. */
const RANK_DELAY_MS = 4;
/** Ranks beyond this one have no longer delay: a place must not stay empty for them. */
const MAX_DELAYED_RANK = 3;
/** Largest part of the delay in ms that differs by daemon. */
const SPREAD_MS = 8;

/** Time in ms after which the first of the waiting requests is offered a place. `place` is the server, if a server has become free. */
export function offerDelayMs(request: Urgency, {daemon, place = ''}: {readonly daemon: string; readonly place?: string}, now: number): number {
	const rank = Math.min(MAX_DELAYED_RANK, Math.max(0, agedRank(request, now)));
	const rankMs = RANK_DELAY_MS * rank * (1 - waitedShare(request, now));
	return rankMs + (SPREAD_MS * uniformHash(daemon, place));
}
