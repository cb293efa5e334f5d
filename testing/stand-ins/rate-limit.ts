/** Token bucket that stands for the rate limit of an outside system. */
export class RateLimit {
	/** Allows `perSecond` calls a second on average and `burst` at once; 0 a second means no limit. */
	static create(perSecond: number, burst: number, now: number): RateLimit {
		return new RateLimit(perSecond, burst, now);
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

	/** Takes one call; false when the limit is reached. */
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
