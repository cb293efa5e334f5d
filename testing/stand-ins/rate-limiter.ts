/** Token bucket that simulates the rate limit of an external system. */
export class RateLimiter {
	/** Allows `perSecond` calls per second on average and bursts of `burst` calls; a rate of 0 means no limit. */
	static create(perSecond: number, burst: number, now: number): RateLimiter {
		return new RateLimiter(perSecond, burst, now);
	}

	readonly #perSecond: number;
	readonly #burst: number;
	#available: number;
	#refilledAt: number;

	private constructor(perSecond: number, burst: number, now: number) {
		this.#perSecond = perSecond;
		this.#burst = burst;
		this.#available = burst;
		this.#refilledAt = now;
	}

	/** Consumes one call; returns false when the limit is reached. */
	take(now: number): boolean {
		if (this.#perSecond === 0) {
			return true;
		}

		this.#available = Math.min(this.#burst, this.#available + ((now - this.#refilledAt) * this.#perSecond / 1000));
		this.#refilledAt = now;
		if (this.#available < 1) {
			return false;
		}

		this.#available--;
		return true;
	}

	/** Time in ms until the next call is allowed. */
	waitMs(): number {
		return this.#perSecond === 0 ? 0 : Math.max(0, (1 - this.#available) * 1000 / this.#perSecond);
	}
}
