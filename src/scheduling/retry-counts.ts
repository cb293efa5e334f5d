/** Counts of first and repeated placements at one service in the last window, in buckets of time. */

/** Length in ms of the window of the operator's rule. */
export const RETRY_WINDOW_MS = 10_000;
const BUCKET_MS = 100;
/** The window, the bucket that is not full yet, and one more for placements that are heard of late. */
const BUCKETS = (RETRY_WINDOW_MS / BUCKET_MS) + 2;

/** `endsAt` is exclusive. Counts of repeated placements become negative if retries are given back that were counted elsewhere. */
export type CountedSpan = {readonly endsAt: number; readonly firsts: number; readonly repeats: number};

export class RetryCounts {
	static create(): RetryCounts {
		return new RetryCounts();
	}

	readonly #buckets = Array.from({length: BUCKETS}, () => ({index: -Infinity, firsts: 0, repeats: 0}));

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Counts placements at the time `at`, which may be earlier than those counted before. Those older than the window are ignored. */
	add(kind: 'firsts' | 'repeats', count: number, at: number): void {
		const index = Math.floor(at / BUCKET_MS);
		const bucket = this.#buckets.at(index % BUCKETS)!;
		if (bucket.index < index) {
			Object.assign(bucket, {index, firsts: 0, repeats: 0});
		}

		if (bucket.index === index) {
			bucket[kind] += count;
		}
	}

	/** The buckets of the last window that are not empty, newest first. */
	recent(now: number): readonly CountedSpan[] {
		const newest = Math.floor(now / BUCKET_MS);
		return Array.from({length: BUCKETS}, (_, age) => this.#buckets[(newest - age + BUCKETS) % BUCKETS]!)
			.filter(({index}, age) => index === newest - age)
			.map(({index, firsts, repeats}) => ({endsAt: (index + 1) * BUCKET_MS, firsts, repeats}));
	}
}
