/**
 * Bounded queue of the requests that wait in one daemon for a place on a server: their order and their times.
 *
 * The queue of the other entry (`src/capacity/wait-queue.ts`) orders by the shares of workspaces in one pool and raises long prompts once; this
 * one orders by target times within the shares of the fleet, and its requests end after a time of their own. It holds some dozens of requests and needs no index.
 */

/** A request is raised by one rank for each of these shares of the time that it may wait. */
const AGEING_SHARE = 0.25;

export type QueuedRequest = {
	readonly id: string;
	/** Requests of one lane wait for the same servers. */
	readonly lane: string;
	/** 0 is the most urgent. */
	readonly rank: number;
	readonly bytes: number;
	/** Times in ms. Ageing begins at `arrivedAt`. */
	readonly arrivedAt: number;
	/** A place up to then lets the request meet its own target. */
	readonly dueAt: number;
	/** From then on a place no longer helps. */
	readonly giveUpAt: number;
	/** Whether its workspace has had more than its share of the lane's servers; absent where room is not shared between workspaces. */
	readonly isOverShare?: (now: number) => boolean;
};

/** What the order of a request follows from. */
export type Urgency = Pick<QueuedRequest, 'rank' | 'arrivedAt' | 'dueAt' | 'giveUpAt' | 'isOverShare'>;

export type QueueBounds = {
	readonly maxRequests: number;
	/** Limit on the bodies of all waiting requests. */
	readonly maxBytes: number;
};

export type Admission = {readonly kind: 'added'} | {readonly kind: 'full'; readonly bound: 'requests' | 'bytes'};

/** Share of the time that a request may wait that has passed, from 0 to 1. */
export const waitedShare = ({arrivedAt, giveUpAt}: Urgency, now: number): number =>
	giveUpAt <= arrivedAt ? 1 : Math.min(1, Math.max(0, (now - arrivedAt) / (giveUpAt - arrivedAt)));

/** Rank after ageing. It may be negative, so that requests of rank 0 that have waited keep their place. */
export const agedRank = (request: Urgency, now: number): number => request.rank - Math.floor(waitedShare(request, now) / AGEING_SHARE);

const isOverShare = (request: Urgency, now: number): boolean => request.isOverShare?.(now) ?? false;

/** Negative if `a` goes first: by rank, then workspaces under their share, then what can still be on time, then by the target. */
export const compareUrgency = (a: Urgency, b: Urgency, now: number): number =>
	(agedRank(a, now) - agedRank(b, now))
	|| (Number(isOverShare(a, now)) - Number(isOverShare(b, now)))
	|| (Number(a.dueAt < now) - Number(b.dueAt < now))
	|| (a.dueAt - b.dueAt);

export class DispatchQueue<T extends QueuedRequest> {
	static create<T extends QueuedRequest>(bounds: QueueBounds): DispatchQueue<T> {
		return new DispatchQueue<T>(bounds);
	}

	/** In the order of arrival. */
	readonly #items = new Set<T>();
	#bytes = 0;

	private constructor(private readonly bounds: QueueBounds) {}

	get size(): number {
		return this.#items.size;
	}

	/** Waiting requests in the order of arrival. */
	items(): Iterable<T> {
		return this.#items.values();
	}

	/** Whether a request with a body of `bytes` could be added. */
	admit(bytes: number): Admission {
		const {maxRequests, maxBytes} = this.bounds;
		if (this.#items.size >= maxRequests) {
			return {kind: 'full', bound: 'requests'};
		}

		if (this.#bytes + bytes > maxBytes) {
			return {kind: 'full', bound: 'bytes'};
		}

		return {kind: 'added'};
	}

	add(item: T): Admission {
		const admission = this.admit(item.bytes);
		if (admission.kind === 'added') {
			this.#items.add(item);
			this.#bytes += item.bytes;
		}

		return admission;
	}

	/** Returns whether the request was waiting. */
	remove(item: T): boolean {
		const wasWaiting = this.#items.delete(item);
		this.#bytes -= wasWaiting ? item.bytes : 0;
		return wasWaiting;
	}

	/** Waiting requests in the order in which they get places, of one lane or of all. Equal ones go in the order of arrival. */
	ordered(now: number, lane?: string): readonly T[] {
		return [...this.#items].filter(item => lane === undefined || item.lane === lane).sort((a, b) => compareUrgency(a, b, now));
	}

	/** Requests for which a place no longer helps. */
	expired(now: number): readonly T[] {
		return [...this.#items].filter(({giveUpAt}) => giveUpAt <= now);
	}
}
