/**
 * Limits model loads, so that all coordinators together stay within the rate limit of the weight store.
 *
 * Each pool has a fixed share of the configured rate, so the limit needs no messages between coordinators and also holds
 * during a network partition. A new coordinator starts without a permit, since the previous one may just have used one.
 */

const MS_PER_MINUTE = 60_000;

/** Token bucket of one pool with a capacity of one permit. */
export class LoadPermits {
	/**
	 * `loadsPerMinute` is the rate of the whole system, which is divided evenly among `pools` model pools. Pools that start
	 * at the same time receive their first permits one after another in the order of `index`, which prevents a burst of loads.
	 */
	static create(loadsPerMinute: number, pools: number, now: number, index = 0): LoadPermits {
		const poolCount = Math.max(1, pools);
		return new LoadPermits(loadsPerMinute / poolCount / MS_PER_MINUTE, now, -index / poolCount);
	}

	private constructor(
		private readonly permitsPerMs: number,
		private refilledAt: number,
		private permits: number,
	) {}

	/** Whether a permit is available at `now` (monotonic ms). */
	hasPermit(now: number): boolean {
		this.#refill(now);
		return this.permits >= 1;
	}

	/** Takes one permit if one is available. Returns whether it was taken. */
	tryTake(now: number): boolean {
		const isTaken = this.hasPermit(now);
		this.permits -= isTaken ? 1 : 0;
		return isTaken;
	}

	#refill(now: number): void {
		const elapsed = Math.max(0, now - this.refilledAt);
		this.permits = Math.min(1, this.permits + (elapsed * this.permitsPerMs));
		this.refilledAt = Math.max(now, this.refilledAt);
	}
}
