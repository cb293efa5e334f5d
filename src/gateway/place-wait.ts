/** The waits of one request for a place: whether it waits, and the offers that it gets while it does. */
import {decideWait, latestWaitAt, type WaitDecision} from '../scheduling/wait-decision.js';
import type {Destination, DestinationChoice, Shortage} from './destination-choice.js';
import {
	isHeldFor, type Offer, type WaitEnd, type WaitingRequest,
} from './dispatcher.js';
import type {FlowParts} from './flow-parts.js';
import {
	patienceEndsAt, urgencyOf, type GatewayRequest, type RoutedRequest,
} from './gateway-request.js';

/** Largest number of waits of one request, each of which can end in one attempt that a server refuses. */
const MAX_WAITS = 4;

/** What takes a place for the request. */
export type PlaceTaker = {
	/** Whether a place needs no token of the retry budget. */
	isFree(): boolean;
	/** Opens the placement at a destination. Returns false if the budget has no token for it. */
	take(destination: Destination, now: number): boolean;
};

/** Whether a request that found no place would wait for one, and until when. */
export function decideRequestWait(request: RoutedRequest, shortage: Shortage, now: number): WaitDecision {
	const {arrivedAt, route} = request;
	return decideWait({
		arrivedAt, targetAt: arrivedAt + route.targetLatencyMs, patienceEndsAt: patienceEndsAt(request), ...shortage,
	}, now);
}

export class PlaceWait {
	/** `waits`: waits of the request before the configuration in force. */
	static create(parts: FlowParts, request: GatewayRequest, destinations: DestinationChoice, waits: number): PlaceWait {
		return new PlaceWait(parts, request, destinations, waits);
	}

	#waits: number;
	#waiting: WaitingRequest | undefined;

	private constructor(
		private readonly parts: FlowParts,
		private readonly request: GatewayRequest,
		private readonly destinations: DestinationChoice,
		waits: number,
	) {
		this.#waits = waits;
	}

	/** Number of waits that have begun. */
	get waits(): number {
		return this.#waits;
	}

	/** Whether requests like this one may wait. One that another host relays waits there, where its client is. */
	get mayWait(): boolean {
		return !this.request.isRelayed && this.parts.dispatcher.mayWait(this.request.service);
	}

	/** Whether the client would still wait for a place. */
	hasPatience(now: number): boolean {
		const {arrivedAt} = this.request;
		return now < latestWaitAt({arrivedAt, patienceEndsAt: patienceEndsAt(this.request)});
	}

	/**
	 * Waits for a place, and resolves with how that ended; undefined if the request does not wait. It must have run nowhere.
	 */
	begin(shortage: Shortage, taker: PlaceTaker, now: number): Promise<WaitEnd> | undefined {
		const {parts, request} = this;
		if (!this.mayWait || this.#waits >= MAX_WAITS) {
			return undefined;
		}

		const {arrivedAt, service, rank, body, id} = request;
		const decision = decideRequestWait(request, shortage, now);
		if (decision.kind === 'refuse') {
			return undefined;
		}

		this.#waiting = {
			id,
			lane: service.name,
			rank,
			bytes: body.length,
			arrivedAt,
			dueAt: decision.dueAt,
			giveUpAt: decision.giveUpAt,
			isOverShare: urgencyOf(request, parts.roomShares).isOverShare,
			why: shortage.why,
			placeInMs: shortage.placeInMs,
			offer: at => this.#offer(taker, at),
			hasPlace: at => taker.isFree() && this.destinations.hasPlace(at, this.#silentMs(at)),
			readmit: server => {
				this.destinations.readmit(server);
			},
		};
		const ended = parts.dispatcher.wait(this.#waiting, now);
		this.#waits += ended ? 1 : 0;
		return ended;
	}

	/** Ends the wait, if there is one. */
	end(end: WaitEnd): void {
		if (this.#waiting) {
			this.parts.dispatcher.end(this.#waiting, end, this.parts.clock());
		}
	}

	/** Lets waiting requests that go before this one take places first. */
	serveEarlier(now: number): void {
		const {parts: {dispatcher, roomShares}, request} = this;
		if (this.mayWait) {
			dispatcher.serveBefore(request.service.name, urgencyOf(request, roomShares), now);
		}
	}

	/** Time in ms for which the client has waited for the first event of a stream. Others wait for their response until the deadline. */
	#silentMs(now: number): number {
		const {route, arrivedAt} = this.request;
		return route.kind.kind === 'stream' ? now - arrivedAt : 0;
	}

	/** Why no room helps the request. */
	#findEnd(now: number): 'quarantined' | 'no_path' | 'no_forecast' {
		if (this.destinations.findQuarantine('not_run', now)) {
			return 'quarantined';
		}

		return this.destinations.needsHost ? 'no_path' : 'no_forecast';
	}

	#offer(taker: PlaceTaker, now: number): Offer {
		const {destinations} = this;
		const next = destinations.choose('not_run', now, this.#silentMs(now));
		if (next.kind !== 'refused') {
			return taker.take(next, now) ? {kind: 'placed'} : {kind: 'no_token'};
		}

		return next.shortage
			? {kind: 'none', ...next.shortage, isHeld: isHeldFor(next.shortage.why)}
			: {kind: 'ended', end: this.#findEnd(now)};
	}
}
