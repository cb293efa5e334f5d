/** Queue of requests that wait for capacity of one pool, ordered by priority, then by weighted fair queueing across workspaces, then by deadline. */
import {isLong, type LengthClass} from '../util/length-class.js';

/** A long request that has waited this fraction of the time to its deadline is raised by one priority class. */
export const AGING_FRACTION = 0.25;

/** One waiting request. */
export type QueuedRequest = {
	readonly id: string;
	readonly workspace: string;
	readonly weight: number;
	/** Rank of the priority class; 0 is the most urgent. */
	readonly rank: number;
	readonly lengthClass: LengthClass;
	/** Requests of one lane wait for the same kind of capacity. A lane whose first request does not fit does not block other lanes. */
	readonly lane: string;
	/** Number of tokens charged to the workspace by fair queueing. */
	readonly cost: number;
	readonly arrivedAtMs: number;
	readonly deadlineMs: number;
};

type Entry<T extends QueuedRequest> = {
	readonly item: T;
	readonly sequence: number;
};

/** Bounded queue. It holds at most a few hundred requests, so it is searched without an index. */
export class WaitQueue<T extends QueuedRequest> {
	static create<T extends QueuedRequest>(options: {readonly capacity: number; readonly ranks: readonly number[]}): WaitQueue<T> {
		return new WaitQueue<T>(options.capacity, options.ranks);
	}

	readonly #entries = new Map<string, Entry<T>>();
	/** Virtual finish time of the last granted request of each workspace. */
	readonly #virtualFinishTimes = new Map<string, number>();
	#virtualTime = 0;
	#sequence = 0;
	readonly #ranks: readonly number[];

	private constructor(private readonly capacity: number, ranks: readonly number[]) {
		this.#ranks = [...ranks].sort((a, b) => a - b);
	}

	get size(): number {
		return this.#entries.size;
	}

	/** Adds a request. False when the queue is full. */
	add(item: T): boolean {
		if (this.#entries.size >= this.capacity) {
			return false;
		}

		this.#entries.set(item.id, {item, sequence: this.#sequence++});
		return true;
	}

	get(id: string): T | undefined {
		return this.#entries.get(id)?.item;
	}

	items(): readonly T[] {
		return [...this.#entries.values()].map(entry => entry.item);
	}

	/** Returns the first request that is in none of the `blocked` lanes, without removing it. */
	next(blocked: ReadonlySet<string>, now: number): T | undefined {
		let best: Entry<T> | undefined;
		for (const entry of this.#entries.values()) {
			if (!blocked.has(entry.item.lane) && (!best || this.#precedes(entry, best, now))) {
				best = entry;
			}
		}

		return best?.item;
	}

	/** Removes a request that is granted, and charges its workspace. */
	removeGranted(id: string): T | undefined {
		const item = this.remove(id);
		if (item) {
			const virtualStart = this.#virtualStartOf(item);
			this.#virtualTime = Math.max(this.#virtualTime, virtualStart);
			this.#virtualFinishTimes.set(item.workspace, virtualStart + (item.cost / item.weight));
			this.#removeIdleWorkspaces();
		}

		return item;
	}

	/** Removes a request without a grant. */
	remove(id: string): T | undefined {
		const entry = this.#entries.get(id);
		this.#entries.delete(id);
		return entry?.item;
	}

	/** Removes all requests whose deadline has passed. */
	removeExpired(now: number): readonly T[] {
		const expired = this.items().filter(item => item.deadlineMs <= now);
		for (const item of expired) {
			this.#entries.delete(item.id);
		}

		return expired;
	}

	/** Rank after aging. */
	rankAt(item: T, now: number): number {
		if (!isLong(item.lengthClass) || !isAged(item, now)) {
			return item.rank;
		}

		return this.#ranks.findLast(rank => rank < item.rank) ?? item.rank;
	}

	#precedes(a: Entry<T>, b: Entry<T>, now: number): boolean {
		const byRank = this.rankAt(a.item, now) - this.rankAt(b.item, now);
		const byShare = this.#virtualStartOf(a.item) - this.#virtualStartOf(b.item);
		const byDeadline = a.item.deadlineMs - b.item.deadlineMs;
		return (byRank || byShare || byDeadline || a.sequence - b.sequence) < 0;
	}

	/** Virtual start time of a request. A workspace that was idle starts at the current virtual time, so idle time earns no credit. */
	#virtualStartOf(item: T): number {
		return Math.max(this.#virtualFinishTimes.get(item.workspace) ?? 0, this.#virtualTime);
	}

	#removeIdleWorkspaces(): void {
		for (const [workspace, virtualFinishTime] of this.#virtualFinishTimes) {
			if (virtualFinishTime <= this.#virtualTime) {
				this.#virtualFinishTimes.delete(workspace);
			}
		}
	}
}

/** Whether a request has waited {@link AGING_FRACTION} of the time between its arrival and its deadline. */
export const isAged = (item: QueuedRequest, now: number): boolean =>
	now - item.arrivedAtMs >= AGING_FRACTION * (item.deadlineMs - item.arrivedAtMs);
