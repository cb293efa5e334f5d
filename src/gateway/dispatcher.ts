/**
 * Holds the requests of this daemon that wait for a place, and offers them places when something may have become free.
 *
 * Wake-ups are events: a placement of any daemon starts or ends, a server appears, a limit is lifted, a configuration. One timer covers the
 * known times: a delayed offer, the forecast of a place, and the time after which a place no longer helps.
 */
import {isMeshSize} from '../fleet/fleet-topology.js';
import {wasServed, type PlacementEntry} from '../fleet/placement-table.js';
import {
	agedRank, compareUrgency, DispatchQueue, type QueuedRequest, type Urgency,
} from '../scheduling/dispatch-queue.js';
import {offerDelayMs} from '../scheduling/offer-delay.js';
import {PlaceForecast} from '../scheduling/place-forecast.js';
import {ReturnOrder, type RejectedRequest, type ReturnAdvice} from '../scheduling/return-order.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {stackOf} from '../util/stack-of.js';
import {timerDelay} from '../util/timer-delay.js';
import type {RefusalCause} from './retry-advice.js';
import type {Service} from './serving-configuration.js';

/** Waiting requests of one daemon: a daemon of a large fleet gets a few requests a second, and none waits longer than some seconds. */
const MAX_WAITING_REQUESTS = 64;
/** Share of the daemon's limit on request bodies that waiting ones may hold, so that the bodies of new requests still find room. */
const MAX_WAITING_BODY_SHARE = 0.5;
/**
 * Shortest time in ms between two rounds of offers. Placements of the whole fleet end hundreds of times a second, and a choice among 60 engines
 * takes about 0.9 ms, so the rounds of one service take at most a fourteenth of a core while requests wait.
 */
const ROUND_INTERVAL_MS = 25;
/**
 * Requests that find no place in one round, after which the others of their lane are not asked: they differ in size and regions only. Of
 * those that are held back or lack a token, as many are asked, which says nothing of the room for the others.
 */
const MAX_FAILED_OFFERS = 2;

/**
 * Longest time in ms that a request waits for a token of the retry budget once it lacked one. A client that is refused comes back after about
 * that time, and its next attempt needs no token.
 */
const TOKEN_WAIT_MS = 200;

/** How a wait ended. */
export type WaitEnd =
	/** A place was found. */
	| 'placed'
	/** The client left. */
	| 'left'
	/** The deadline passed. */
	| 'overdue'
	/** A place no longer helps. */
	| 'given_up'
	/** The known time of the next place is too late to help, or the servers that are left could never hold the prompt. */
	| 'no_forecast'
	| 'quarantined'
	/** A new configuration is in force, by which the request is handled anew. */
	| 'superseded'
	/** This host has no path to the servers, and no other host relays the request. */
	| 'no_path'
	/** The daemon stops. */
	| 'shutdown'
	/** Offering a place threw. */
	| 'failed';

/** What an offer of a place led to. */
export type Offer =
	/** The placement is open. */
	| {readonly kind: 'placed'}
	/** There is no place for the request. `isKnown`: the time of the next one is known, not estimated. `isHeld`: there is one, which is kept for short prompts or for other workspaces. */
	| {readonly kind: 'none'; readonly placeInMs: number; readonly isKnown: boolean; readonly isHeld?: boolean}
	/** There is a place, and the retry budget has no token for the request, which a server has refused before. */
	| {readonly kind: 'no_token'}
	| {readonly kind: 'ended'; readonly end: 'quarantined' | 'no_path' | 'no_forecast'};

/** Why a request found no place. `long_prompts`, `workspace_share`: there is one, which is kept for others. */
export type WaitReason = RefusalCause['kind'] | 'long_prompts' | 'workspace_share';

/** Whether a request is only held back for others. */
export const isHeldFor = (why: WaitReason): boolean => why === 'long_prompts' || why === 'workspace_share';

export type WaitingRequest = QueuedRequest & {
	/** Why it found no place. */
	readonly why: WaitReason;
	readonly placeInMs: number;
	/** Chooses a place, and opens the placement if there is one. */
	offer(now: number): Offer;
	/** Whether there is a place for the request now. */
	hasPlace(now: number): boolean;
	/** Servers that refused the request may be asked again: `server`, or all. */
	readmit(server?: string): void;
};

export type DispatchMetrics = {
	observeWait(end: WaitEnd, ms: number): void;
	countRefusedWait(reason: 'full_requests' | 'full_bytes'): void;
	countInversion(): void;
	countReturnAdvice(kind: ReturnAdvice['kind'] | 'cause'): void;
};

/** A rejected request, and the servers that may come to have room for it. */
export type RejectedForRoom = RejectedRequest & {
	readonly id: string;
	readonly urgency: Urgency;
	readonly servers: readonly string[];
};

export type DispatcherOptions = {
	/** Name of this daemon, which differs from that of all others. */
	readonly daemon: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: DispatchMetrics;
	/** Limit in bytes on all request bodies of the daemon. */
	readonly maxBufferedBodyBytes: number;
	/** Number of known daemons, including this one. */
	daemons(): number;
};

/** What a request lacked at its last offer. */
type Lack = 'room' | 'share' | 'token';

type Entry = Omit<QueuedRequest, 'giveUpAt'> & {
	giveUpAt: number;
	readonly request: WaitingRequest;
	readonly since: number;
	lookAt: number;
	/** Undefined if it is to be asked next, whatever others lack. */
	lack: Lack | undefined;
	resolve(end: WaitEnd): void;
};

export class Dispatcher {
	static create(options: DispatcherOptions): Dispatcher {
		return new Dispatcher(options);
	}

	readonly #queue: DispatchQueue<Entry>;
	readonly #forecast = PlaceForecast.create();
	readonly #returns = ReturnOrder.create();
	#timer: NodeJS.Timeout | undefined;
	/** Time of the next round of offers after a wake-up. */
	#offerAt = Infinity;
	#lastRoundAt = -Infinity;
	#isClosed = false;

	private constructor(private readonly options: DispatcherOptions) {
		this.#queue = DispatchQueue.create({maxRequests: MAX_WAITING_REQUESTS, maxBytes: options.maxBufferedBodyBytes * MAX_WAITING_BODY_SHARE});
	}

	/** Number of waiting requests. */
	get size(): number {
		return this.#queue.size;
	}

	/** Whether requests to the service may wait: in fleets that are no mesh, where requests of many daemons meet on the engines. */
	mayWait({engine}: Service): boolean {
		return engine !== undefined && !isMeshSize(this.options.daemons());
	}

	/** Number of waiting requests of the lane that go before a new one. */
	requestsAhead(lane: string, urgency: Urgency, now: number): number {
		return this.#queue.ordered(now, lane).filter(other => compareUrgency(other, urgency, now) <= 0).length;
	}

	/** Whether a request with a body of `bytes` could wait. */
	admits(bytes: number): boolean {
		return !this.#isClosed && this.#queue.admit(bytes).kind === 'added';
	}

	/** Time in ms until a request of the lane would get a place on `servers` behind those that go before it; undefined if nothing ended there lately. */
	placeInMs(lane: string, urgency: Urgency, servers: Iterable<string>, now: number): number | undefined {
		const ahead = this.requestsAhead(lane, urgency, now);
		return this.#forecast.placeInMs(servers, {ahead, daemons: this.options.daemons()}, now);
	}

	/**
	 * Returns when the client of a rejected request should come back, and changes nothing; undefined if nothing ended on the servers lately.
	 * `random` is from 0 to below 1.
	 */
	adviseReturn(request: RejectedForRoom, random: number, now: number): ReturnAdvice | undefined {
		const {service, urgency, servers} = request;
		const intervalMs = this.#forecast.intervalMs(servers, this.options.daemons(), now);
		return intervalMs === undefined ? undefined : this.#returns.advise(request, {intervalMs, ahead: this.requestsAhead(service, urgency, now)}, random, now);
	}

	/** Records that the client of a rejected request is told to come back after `ms`. `advice` is undefined if that follows from the cause alone. */
	recordAdvice({id, service, rank}: RejectedForRoom, {advice, ms}: {readonly advice: ReturnAdvice | undefined; readonly ms: number}, now: number): void {
		const {logger, metrics} = this.options;
		if (advice) {
			this.#returns.promise({service, rank}, advice, now);
		}

		const kind = advice?.kind ?? 'cause';
		metrics.countReturnAdvice(kind);
		logger.info('return_advised', {
			request: id, service, kind, ms: Math.round(ms), place_ms: advice && Math.round(advice.placeMs), rank, promised: this.#returns.promised(now),
		});
	}

	/** Resolves when the wait has ended; undefined if the queue is full. */
	wait(request: WaitingRequest, now: number): Promise<WaitEnd> | undefined {
		const {logger, metrics} = this.options;
		const {
			id, lane, rank, bytes, arrivedAt, dueAt, giveUpAt, isOverShare, why, placeInMs,
		} = request;
		let entry: Entry | undefined;
		const ended = new Promise<WaitEnd>(resolve => {
			entry = {
				id,
				lane,
				rank,
				bytes,
				arrivedAt,
				dueAt,
				giveUpAt,
				isOverShare,
				request,
				since: now,
				lookAt: now + placeInMs,
				lack: isHeldFor(why) ? 'share' : 'room',
				resolve,
			};
		});
		const admission = this.#isClosed ? {kind: 'full', bound: 'requests'} as const : this.#queue.add(entry!);
		if (admission.kind === 'full') {
			metrics.countRefusedWait(`full_${admission.bound}`);
			logger.warn('wait_refused', {request: id, bound: admission.bound, waiting: this.size});
			return undefined;
		}

		logger.info('request_waits', {
			request: id, service: lane, why, forecast_ms: Math.round(placeInMs), rank, give_up_ms: Math.round(giveUpAt - now), waiting: this.size,
		});
		this.#setTimer(now);
		return ended;
	}

	/** Ends the wait of a request from outside. Does nothing if it does not wait. */
	end(request: WaitingRequest, end: WaitEnd, now: number): void {
		const entry = this.#queue.ordered(now).find(other => other.request === request);
		if (entry) {
			this.#end(entry, end, now);
		}
	}

	/** Offers places to the waiting requests of the lane that go before a new one, which could otherwise take theirs. */
	serveBefore(lane: string, urgency: Urgency, now: number): void {
		if (this.size > 0) {
			this.#offerLane(this.#queue.ordered(now, lane).filter(entry => compareUrgency(entry, urgency, now) < 0), now);
			this.#setTimer(now);
		}
	}

	/** Counts a request that is placed now while a more urgent one waits that could have used the place. */
	recordPlacement({id, lane, urgency}: {readonly id: string; readonly lane: string; readonly urgency: Urgency}, now: number): void {
		const waiting = this.size > 0 ? this.#queue.ordered(now, lane) : [];
		const placed = waiting.find(entry => entry.id === id) ?? urgency;
		const first = waiting.find(entry => entry !== placed);
		if (first && agedRank(first, now) < agedRank(placed, now) && this.#guard(first, () => first.request.hasPlace(now), false, now)) {
			this.options.metrics.countInversion();
		}
	}

	/** Records that a placement of any daemon on `server` has started or ended. */
	recordRelease(server: string, kind: 'started' | 'closed', entry: Pick<PlacementEntry, 'startedAt' | 'placedAt'>): void {
		const now = this.options.clock();
		// A request that the server refused has not held a place, so its end frees none there.
		const hasFreed = wasServed(entry, now);
		if (kind === 'closed' && hasFreed) {
			this.#forecast.recordEnd(server, now);
		}

		this.#wake(server, hasFreed || kind === 'started', now);
	}

	/** Looks for places soon, since something has changed. */
	wake(): void {
		this.#wake(undefined, false, this.options.clock());
	}

	/** Ends all waits, in order, for a new configuration. */
	supersede(): void {
		const now = this.options.clock();
		for (const entry of this.#queue.ordered(now)) {
			this.#end(entry, 'superseded', now);
		}
	}

	/** Forgets servers that are not in `known`. */
	retain(known: ReadonlySet<string>): void {
		this.#forecast.retain(known);
	}

	/** No request waits from here on. */
	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		const now = this.options.clock();
		for (const entry of this.#queue.ordered(now)) {
			this.#end(entry, 'shutdown', now);
		}
	}

	/** `isFreed`: a server that refused requests may take them now. */
	#wake(server: string | undefined, isFreed: boolean, now: number): void {
		if (this.size === 0) {
			return;
		}

		if (isFreed) {
			for (const {request} of this.#queue.items()) {
				request.readmit(server);
			}
		}

		// Hundreds of placements of the fleet end each second; most of them come while the next round is due as early as it can be.
		const earliestAt = Math.max(now, this.#lastRoundAt + ROUND_INTERVAL_MS);
		if (this.#offerAt <= earliestAt) {
			return;
		}

		const [first] = this.#queue.ordered(now);
		const delayMs = offerDelayMs(first!, {daemon: this.options.daemon, place: server}, now);
		this.#offerAt = Math.min(this.#offerAt, Math.max(now + delayMs, earliestAt));
		this.#setTimer(now);
	}

	#setTimer(now: number): void {
		clearTimeout(this.#timer);
		if (this.#isClosed || this.size === 0) {
			this.#offerAt = Infinity;
			return;
		}

		const times = this.#queue.ordered(now).flatMap(({lookAt, giveUpAt}) => [lookAt, giveUpAt]);
		this.#timer = setTimeout(() => {
			this.#onTimer(this.options.clock());
		}, timerDelay(Math.max(1, Math.min(this.#offerAt, ...times) - now)));
	}

	#onTimer(now: number): void {
		for (const entry of this.#queue.expired(now)) {
			this.#end(entry, 'given_up', now);
		}

		for (const entry of this.#queue.ordered(now)) {
			if (entry.lookAt <= now) {
				entry.lookAt = Infinity;
				// The hold may have ended, whatever room others lack.
				entry.lack = entry.lack === 'share' ? undefined : entry.lack;
				entry.request.readmit();
				this.#offerAt = now;
			}
		}

		if (this.#offerAt <= now) {
			this.#offerAt = Infinity;
			this.#lastRoundAt = now;
			for (const lane of new Set(this.#queue.ordered(now).map(entry => entry.lane))) {
				this.#offerLane(this.#queue.ordered(now, lane), now);
			}
		}

		this.#setTimer(now);
	}

	/** Offers a place to each of the requests in turn, until several have found no room. */
	#offerLane(entries: readonly Entry[], now: number): void {
		const failed = {room: 0, share: 0, token: 0};
		for (const entry of entries) {
			if (entry.lack === undefined || Math.max(failed.room, failed[entry.lack]) < MAX_FAILED_OFFERS) {
				entry.lack = this.#offer(entry, now);
				if (entry.lack !== undefined) {
					failed[entry.lack]++;
				}
			}
		}
	}

	/** Returns what the request lacks; undefined if it no longer waits. */
	#offer(entry: Entry, now: number): Lack | undefined {
		const offer = this.#guard(entry, () => entry.request.offer(now), undefined, now);
		switch (offer?.kind) {
			case undefined: {
				return undefined;
			}

			case 'placed': {
				this.#end(entry, 'placed', now);
				return undefined;
			}

			case 'ended': {
				this.#end(entry, offer.end, now);
				return undefined;
			}

			case 'no_token': {
				entry.giveUpAt = Math.min(entry.giveUpAt, now + TOKEN_WAIT_MS);
				return 'token';
			}

			case 'none': {
				const lack = offer.isHeld ? 'share' : 'room';
				// An estimate that has not come true is not repeated; the next event tells more.
				if (!offer.isKnown) {
					return lack;
				}

				entry.lookAt = now + Math.max(ROUND_INTERVAL_MS, offer.placeInMs);
				if (entry.lookAt < entry.giveUpAt) {
					return lack;
				}

				this.#end(entry, 'no_forecast', now);
				return undefined;
			}
		}
	}

	/** Runs a step of a waiting request. An exception in it ends the wait. */
	#guard<T>(entry: Entry, step: () => T, fallback: T, now: number): T {
		try {
			return step();
		} catch (err) {
			this.options.logger.error('unexpected_error', {request: entry.id, message: stackOf(err)});
			this.#end(entry, 'failed', now);
			return fallback;
		}
	}

	#end(entry: Entry, end: WaitEnd, now: number): void {
		if (!this.#queue.remove(entry)) {
			return;
		}

		if (end !== 'placed') {
			// Those that remain may not have a known time of their own, as they were not asked when it was told.
			this.#offerAt = Math.min(this.#offerAt, Math.max(now, entry.lookAt));
		}

		const {logger, metrics} = this.options;
		const ms = now - entry.since;
		metrics.observeWait(end, ms);
		logger.info('request_waited', {
			request: entry.id, service: entry.lane, end, ms: Math.round(ms), rank: entry.rank, waiting: this.size,
		});
		entry.resolve(end);
	}
}
