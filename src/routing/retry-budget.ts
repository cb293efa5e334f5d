/** Bounds retries to a share of the requests, so that retries cannot multiply an overload. */

/** Retries allowed for each request. */
const RETRIES_PER_REQUEST = 0.1;
/** Retries allowed at once after a quiet time, for example when an engine fails. */
const BURST_RETRIES = 20;
/** Allowed at low traffic, where the share of requests alone would forbid any retry. */
const RETRIES_PER_SECOND = 1;

/** Counts of one daemon. */
export class RetryBudget {
	static create(now: number): RetryBudget {
		return new RetryBudget(now);
	}

	#available = BURST_RETRIES;

	private constructor(private filledAt: number) {}

	/** Counts a request that is not a retry. */
	onRequest(): void {
		this.#add(RETRIES_PER_REQUEST);
	}

	/** Takes one retry at `now` (monotonic ms). Returns false when the budget is used up. */
	tryTake(now: number): boolean {
		this.#add(Math.max(0, now - this.filledAt) / 1000 * RETRIES_PER_SECOND);
		this.filledAt = Math.max(now, this.filledAt);
		if (this.#available < 1) {
			return false;
		}

		this.#available--;
		return true;
	}

	#add(retries: number): void {
		this.#available = Math.min(BURST_RETRIES, this.#available + retries);
	}
}
