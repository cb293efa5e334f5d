/**
 * Gives the clients that a daemon rejects an order in which to come back, so that they compete neither with each other nor with new requests for
 * room that has not come yet.
 *
 * A place in the order is a time. Places are as far apart as those that the daemon's part of the ending placements leaves, and lie behind the
 * requests that wait here and the returns that were promised to requests of the same or a more urgent rank. Nothing in a request tells that
 * it is a return, so a promise ends by its time alone: the client may come back to any daemon, and those of other daemons come here.
 */

/** Clients honour advice up to this share of the time that they have left. */
export const MAX_TIME_SHARE = 0.33;
/** Most promises of one daemon: it rejects a few requests a second, and the longest advice is some seconds. Beyond it, places are not remembered. */
const MAX_PROMISES = 256;

/** A request that is rejected and has not run. Times are in ms from now. */
export type RejectedRequest = {
	readonly service: string;
	/** 0 is the most urgent. */
	readonly rank: number;
	/** Time that the client has left. */
	readonly timeLeftMs: number;
	/** A place up to then lets the request meet its target; negative once that is lost. */
	readonly dueInMs: number;
	/** The advice that follows from the cause of the rejection alone, which knows the end of a limit. No place is before it. */
	readonly usualMs: number;
};

/** What is known of the room for a rejected request. */
export type ForecastRoom = {
	/** Time in ms between two places of this daemon. */
	readonly intervalMs: number;
	/** Requests of the service that wait here and go before the rejected one. */
	readonly ahead: number;
};

export type ReturnAdvice = {
	/** Time in ms after which the client is told to come back. */
	readonly ms: number;
	/** Its place in the order, in ms from now, and the time in ms to the next one. */
	readonly placeMs: number;
	readonly intervalMs: number;
	/**
	 * `place`: it is told its place. `target`: its place is too late for its target, which it can still meet by the usual advice. `latest`: its
	 * place is later than it would come back, so it is told the latest time that it honours. The last two compete with others.
	 */
	readonly kind: 'place' | 'target' | 'latest';
};

/** A return that a client was told. */
type PromisedReturn = {
	readonly service: string;
	readonly rank: number;
	/** Time in ms on the monotonic clock. */
	readonly at: number;
	/** From then on the place is taken or lost. */
	readonly expiresAt: number;
};

export class ReturnOrder {
	static create(): ReturnOrder {
		return new ReturnOrder();
	}

	#promises: readonly PromisedReturn[] = [];

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Number of returns that are promised and due, or due later. */
	promised(now: number): number {
		return this.#openPromises(now).length;
	}

	/**
	 * Returns when the client of a rejected request should come back. `random`, from 0 to below 1, is the share of an interval that passes before
	 * the first place: daemons that reject requests together would otherwise all name the same time.
	 */
	advise({service, rank, timeLeftMs, dueInMs, usualMs}: RejectedRequest, {intervalMs, ahead}: ForecastRoom, random: number, now: number): ReturnAdvice {
		const taken = this.#openPromises(now).filter(promise => promise.service === service && promise.rank <= rank).map(({at}) => at - now).sort((a, b) => a - b);
		let placeMs = Math.max(usualMs, (ahead + random) * intervalMs);
		for (const takenMs of taken) {
			placeMs = Math.abs(takenMs - placeMs) < intervalMs ? takenMs + intervalMs : placeMs;
		}

		const latestMs = Math.max(0, MAX_TIME_SHARE * timeLeftMs);
		const place = {placeMs, intervalMs};
		if (placeMs > dueInMs && usualMs < dueInMs) {
			return {kind: 'target', ms: Math.min(usualMs, latestMs), ...place};
		}

		return placeMs >= latestMs ? {kind: 'latest', ms: latestMs, ...place} : {kind: 'place', ms: placeMs, ...place};
	}

	/** Remembers the place that the client of a rejected request is told. */
	promise({service, rank}: Pick<RejectedRequest, 'service' | 'rank'>, {kind, ms, intervalMs}: ReturnAdvice, now: number): void {
		const open = this.#openPromises(now);
		const at = now + ms;
		this.#promises = open;
		if (kind === 'place' && open.length < MAX_PROMISES) {
			this.#promises = [...open, {
				service, rank, at, expiresAt: at + intervalMs,
			}];
		}
	}

	#openPromises(now: number): readonly PromisedReturn[] {
		return this.#promises.filter(({expiresAt}) => expiresAt > now);
	}
}
