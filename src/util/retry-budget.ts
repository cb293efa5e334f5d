/** Limits retries to a share of the requests, so that retries do not multiply the load on a failing service. */

/** Default capacity of the bucket: the largest burst of retries. */
const DEFAULT_CAPACITY = 10;

/** What the handling of requests uses of a limit on retries. */
export type RetryLimit = Pick<RetryBudget, 'recordRequest' | 'tryRetry' | 'giveBack'>;

/** Token bucket: each request adds a fraction of a token, each retry takes one. */
export class RetryBudget {
	/**
	 * `retriesPerRequest` is the number of retries allowed per request, for example 0.2. `capacity` is called at each use,
	 * since all daemons share one allowance and their number changes.
	 */
	static create(retriesPerRequest: number, capacity: () => number = () => DEFAULT_CAPACITY): RetryBudget {
		return new RetryBudget(retriesPerRequest, capacity);
	}

	#tokens: number;

	private constructor(private readonly retriesPerRequest: number, private readonly capacity: () => number) {
		this.#tokens = capacity();
	}

	/** Records a first attempt. */
	recordRequest(): void {
		this.#tokens = Math.min(this.capacity(), this.#tokens + this.retriesPerRequest);
	}

	/** Takes one token for a retry. Returns false if the budget is exhausted. */
	tryRetry(): boolean {
		this.#tokens = Math.min(this.#tokens, this.capacity());
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}

	/** Returns the token of a retry that was not made. */
	giveBack(): void {
		this.#tokens = Math.min(this.capacity(), this.#tokens + 1);
	}
}
