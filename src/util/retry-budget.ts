/** Bounds retries to a share of the requests, so that retries cannot multiply the load of a failing service. */

/** Retries that are allowed at once after a quiet time. */
const MAX_SAVED = 10;

/** Token bucket that is filled by requests and emptied by retries. */
export class RetryBudget {
	/**
	 * `share` is the number of retries allowed for each request, for example 0.2. `maxSaved` is asked at each use, since the
	 * daemons share one allowance and their number changes.
	 */
	static create(share: number, maxSaved: () => number = () => MAX_SAVED): RetryBudget {
		return new RetryBudget(share, maxSaved);
	}

	#saved: number;

	private constructor(private readonly share: number, private readonly maxSaved: () => number) {
		this.#saved = maxSaved();
	}

	/** Records a first attempt. */
	recordRequest(): void {
		this.#saved = Math.min(this.maxSaved(), this.#saved + this.share);
	}

	/** Takes one retry; false when the budget is used up. */
	tryRetry(): boolean {
		this.#saved = Math.min(this.#saved, this.maxSaved());
		if (this.#saved < 1) {
			return false;
		}

		this.#saved--;
		return true;
	}
}
