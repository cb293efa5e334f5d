/**
 * Decides after what time a refused client should come back, so that it is then served.
 *
 * Designed for prompts that are refused during a burst or while engines are missing. The known work of an engine shrinks by
 * one ms each ms, so a prompt whose first event is expected too late fits once the difference has passed. Clients that are
 * refused together are spread, since otherwise they would return together and be refused again. Where requests may wait, a client that found no
 * room is told a place in the order of returns instead (`src/scheduling/return-order.ts`).
 */
import {MAX_TIME_SHARE} from '../scheduling/return-order.js';

/** A typical response ends and frees a slot in this time, in ms. */
const SLOT_TIME_MS = 700;
/** Retry advice in ms where another daemon can serve the request at once: this one stops, has no configuration yet or relays enough. */
export const OTHER_DAEMON_RETRY_MS = 200;
/** Registrations of restarted servers need about this time in ms. */
const REGISTRATION_MS = 2000;
/** Clients return within this share of the time after the earliest moment. */
const SPREAD_SHARE = 0.5;

/** Why a request that has not run is refused. */
export type RefusalCause =
	/** This daemon is shutting down. */
	| {readonly kind: 'shutdown'}
	/** No usable server is registered. */
	| {readonly kind: 'no_server'}
	/** All servers have got as many requests as they take, and one takes the next in `waitMs`. */
	| {readonly kind: 'limited'; readonly waitMs: number}
	/** All servers that were asked are full. */
	| {readonly kind: 'full'}
	/** The first event is expected after `expectedMs`, and the client accepts `limitMs`. */
	| {readonly kind: 'too_late'; readonly expectedMs: number; readonly limitMs: number};

/** Returns the time in ms after which the client should come back. `random` is between 0 and 1. */
export function retryAdviceMs(cause: RefusalCause, timeLeftMs: number, random: number): number {
	const spread = 1 + (SPREAD_SHARE * random);
	return Math.max(0, Math.min(spread * earliestPlaceMs(cause), MAX_TIME_SHARE * timeLeftMs));
}

/** Time in ms until a place may come, without knowledge of the other daemons. */
export function earliestPlaceMs(cause: RefusalCause): number {
	switch (cause.kind) {
		case 'shutdown': {
			return OTHER_DAEMON_RETRY_MS;
		}

		case 'no_server': {
			return REGISTRATION_MS;
		}

		case 'limited': {
			return cause.waitMs;
		}

		case 'full': {
			return SLOT_TIME_MS;
		}

		case 'too_late': {
			return Math.max(SLOT_TIME_MS, cause.expectedMs - cause.limitMs);
		}
	}
}
