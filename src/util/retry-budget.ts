/** Bounds retries to a share of the requests, so that retries cannot multiply the load of a failing service. */

/** Retries that are allowed at once after a quiet time. */
const MAX_SAVED = 10;

/** Token bucket that is filled by requests and emptied by retries. */
export class RetryBudget {
	/** `share` is the number of retries allowed for each request, for example 0.2. */
	static create(share: number): RetryBudget {
		return new RetryBudget(share);
	}

	#saved = MAX_SAVED;

	private constructor(private readonly share: number) {}

	/** Records a first attempt. */
	recordRequest(): void {
		this.#saved = Math.min(MAX_SAVED, this.#saved + this.share);
	}

	/** Takes one retry; false when the budget is used up. */
	tryRetry(): boolean {
		if (this.#saved < 1) {
			return false;
		}

		this.#saved--;
		return true;
	}
}
