/**
 * How often and by whom the store is read.
 *
 * The store limits the rate of calls, and operators pay for each. A change has to be in force at every daemon within a
 * bound, also at one whose relay has lost the store without noticing. The longer that bound, the longer a relay may wait
 * for a change in one call, and the fewer calls are made.
 */

/** Added to the wait of a watch to get its timeout, in ms. The store answers within about 4 ms, so the margin is ample. */
export const WATCH_TIMEOUT_MARGIN_MS = 500;
/** Interval in ms of a relay's heartbeats, and a margin for delayed ones. */
export const HEARTBEAT_DELAY_MS = 300;
/** Time in ms in which a follower whose relay's copy has become too old reads the store itself, on a busy host. */
const DIRECT_READ_MS = 400;
/** Time in ms to read the store again over a new connection, once a watch was found broken. */
const REREAD_MS = 600;
const MIN_WAIT_MS = 500;
/** Relays take over the reading in a mesh if that makes at most this share of the calls; below, they are not worth a second hop. */
const MAX_RELAYED_CALL_SHARE = 0.5;

export type ReadBounds = {
	/** Time in ms after a fault within which a changed store has to be in force again. */
	readonly stableWindowMs: number;
	/** Shortest time in ms within which a change of the store has to be in force. */
	readonly changeBoundMs: number;
};

export class ReadSchedule {
	static create(bounds: ReadBounds): ReadSchedule {
		return new ReadSchedule(bounds);
	}

	/** Time in ms for which a watch of the store waits for a change. */
	readonly watchWaitMs: number;
	/** The same for a daemon with followers: its copy is confirmed at least that often. */
	readonly relayWatchWaitMs: number;
	/** Age in ms up to which a relay's copy of the store is used. */
	readonly maxStoreAgeMs: number;

	private constructor({stableWindowMs, changeBoundMs}: ReadBounds) {
		this.watchWaitMs = Math.max(MIN_WAIT_MS, stableWindowMs - WATCH_TIMEOUT_MARGIN_MS - REREAD_MS);
		this.maxStoreAgeMs = Math.max(MIN_WAIT_MS + WATCH_TIMEOUT_MARGIN_MS + HEARTBEAT_DELAY_MS, changeBoundMs - DIRECT_READ_MS);
		this.relayWatchWaitMs = Math.min(this.watchWaitMs, this.maxStoreAgeMs - WATCH_TIMEOUT_MARGIN_MS - HEARTBEAT_DELAY_MS);
	}

	/** Whether one daemon of each failure domain should read the store for the others, in a fleet without other relays. */
	readonly hasStoreRelays = (daemons: number, failureDomains: number): boolean => {
		const relayedCalls = failureDomains / this.relayWatchWaitMs;
		const directCalls = daemons / this.watchWaitMs;
		return relayedCalls <= MAX_RELAYED_CALL_SHARE * directCalls;
	};
}
