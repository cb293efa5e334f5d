/** Snapshots of a value that a stand-in reports with a lag. */
import {monotonicMs} from '../../src/util/clock.js';

const SAMPLE_MS = 50;

/** Samples a value at intervals and reads it as it was some time ago. */
export class History<T> {
	/** Reads show the sample that is at least `lagMs` old; 0 reads the present value. */
	static create<T>(lagMs: number, sample: (now: number) => T): History<T> {
		return new History(lagMs, sample);
	}

	readonly #lagMs: number;
	readonly #sample: (now: number) => T;
	readonly #timer: NodeJS.Timeout | undefined;
	#samples: ReadonlyArray<{readonly at: number; readonly value: T}> = [];

	private constructor(lagMs: number, sample: (now: number) => T) {
		this.#lagMs = lagMs;
		this.#sample = sample;
		this.#timer = lagMs > 0
			? setInterval(() => {
				this.#record(monotonicMs());
			}, SAMPLE_MS).unref()
			: undefined;
	}

	/** The lagging value with its age in ms. */
	read(now: number): T & {readonly ageMs: number} {
		const found = this.#lagMs > 0 ? this.#samples[0] : undefined;
		return found ? {...found.value, ageMs: now - found.at} : {...this.#sample(now), ageMs: 0};
	}

	close(): void {
		clearInterval(this.#timer);
	}

	/** Keeps the newest sample that is old enough and everything after it. */
	#record(now: number): void {
		const samples = [...this.#samples, {at: now, value: this.#sample(now)}];
		const oldest = samples.findLastIndex(sample => now - sample.at >= this.#lagMs);
		this.#samples = samples.slice(Math.max(0, oldest));
	}
}
