/** Exponential back-off with jitter from a seeded generator. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export type BackoffOptions = {
	readonly baseMs: number;
	readonly maxMs: number;
	/** Seed of the jitter. Daemons use different seeds, so that they do not retry at the same time. */
	readonly seed: number;
};

export class Backoff {
	static create(options: BackoffOptions): Backoff {
		return new Backoff(options);
	}

	readonly #random;
	#failures = 0;

	private constructor(private readonly options: BackoffOptions) {
		this.#random = xoroshiro128plus(options.seed);
	}

	/**
	 * Returns the delay before the next attempt in ms: `baseMs` doubled for each failure, up to `maxMs`, of which 50 to 100
	 * % is chosen at random.
	 */
	nextMs(maxMs = this.options.maxMs): number {
		const limitMs = Math.min(maxMs, this.options.baseMs * (2 ** this.#failures));
		this.#failures = Math.min(this.#failures + 1, 30);
		return uniformInt(this.#random, Math.ceil(limitMs / 2), Math.ceil(limitMs));
	}

	/** Resets the delay to `baseMs` after a success. */
	reset(): void {
		this.#failures = 0;
	}
}
