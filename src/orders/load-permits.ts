/**
 * Permits for model loads, so that all coordinators together stay within the rate of the weight store.
 *
 * Each pool has a fixed share of the configured rate, so no messages are needed and the sum holds in a partition.
 * A new coordinator starts without a permit, since its predecessor may just have used the last one.
 */

const MS_PER_MINUTE = 60_000;

/** Token bucket of one pool with room for one permit. */
export class LoadPermits {
	/**
	 * `loadsPerMinute` is the rate of the whole system, divided by the number of model pools. Pools that start at one
	 * time get their first permits one after another in the order of `index`, so that they do not load in a burst.
	 */
	static create(loadsPerMinute: number, pools: number, now: number, index = 0): LoadPermits {
		const count = Math.max(1, pools);
		return new LoadPermits(loadsPerMinute / count / MS_PER_MINUTE, now, -index / count);
	}

	private constructor(
		private readonly permitsPerMs: number,
		private refilledAt: number,
		private permits: number,
	) {}

	/** Whether there is a permit. */
	available(now: number): boolean {
		this.#refill(now);
		return this.permits >= 1;
	}

	/** Takes one permit when there is one. */
	take(now: number): boolean {
		const available = this.available(now);
		this.permits -= available ? 1 : 0;
		return available;
	}

	#refill(now: number): void {
		const elapsed = Math.max(0, now - this.refilledAt);
		this.permits = Math.min(1, this.permits + (elapsed * this.permitsPerMs));
		this.refilledAt = Math.max(now, this.refilledAt);
	}
}
