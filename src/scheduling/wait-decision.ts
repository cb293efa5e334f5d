/**
 * Decides whether a request without a place waits in its daemon, and until when a place helps it.
 *
 * A caller gets the most from an answer within its target, less from a late one (a tenth to a half), and nothing from an answer after it has
 * left. One that is refused early can still be served by another daemon; one that is held for most of its time and then refused cannot.
 */

/**
 * Share of the remaining patience of its client for which a request that is late anyway waits. Clients come back after a refusal within a
 * third of the time that they have left; after this share, that leaves them half of their whole patience for another daemon.
 */
const LATE_WAIT_SHARE = 0.3;
/** Largest share of the whole patience of a client that its request waits, whatever its target, so that most is left after a refusal. */
const MAX_WAIT_SHARE = 0.5;

/** A request that found no place. Times are in ms on the monotonic clock. */
export type PlacelessRequest = {
	readonly arrivedAt: number;
	/** The first event, or the response, is late after this time. */
	readonly targetAt: number;
	/** The client leaves, or the deadline passes. */
	readonly patienceEndsAt: number;
	/** Shortest time in ms from a place to the first event. */
	readonly serviceMs: number;
	/** Time in ms until a place is forecast. */
	readonly placeInMs: number;
};

export type WaitDecision =
	| {
		readonly kind: 'wait';
		/** A place up to then lets the request meet its target. */
		readonly dueAt: number;
		/** From then on the request is refused. */
		readonly giveUpAt: number;
	}
	| {readonly kind: 'refuse'};

/** Latest time at which a request may still wait for a place or look for a server that takes connections. */
export const latestWaitAt = ({arrivedAt, patienceEndsAt}: Pick<PlacelessRequest, 'arrivedAt' | 'patienceEndsAt'>): number =>
	arrivedAt + (MAX_WAIT_SHARE * (patienceEndsAt - arrivedAt));

export function decideWait(request: PlacelessRequest, now: number): WaitDecision {
	const {targetAt, patienceEndsAt, serviceMs, placeInMs} = request;
	const dueAt = targetAt - serviceMs;
	const placeAt = now + placeInMs;
	// Where the target can be met, the share counts from the time at which it is lost.
	const lateFrom = placeAt <= dueAt ? Math.max(now, dueAt) : now;
	const giveUpAt = Math.min(lateFrom + (LATE_WAIT_SHARE * Math.max(0, patienceEndsAt - lateFrom)), patienceEndsAt - serviceMs, latestWaitAt(request));
	return placeAt < giveUpAt ? {kind: 'wait', dueAt, giveUpAt} : {kind: 'refuse'};
}
