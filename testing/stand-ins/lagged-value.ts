/** A value that a stand-in reports with a lag, from periodic samples. */
import {monotonicMs} from '../../src/util/clock.js';

const SAMPLE_INTERVAL_MS = 50;

/** Samples a value periodically and returns it as it was some time ago. */
export class LaggedValue<T> {
	/** Reads return the newest sample that is at least `lagMs` old, or the current value when `lagMs` is 0. */
	static create<T>(lagMs: number, sample: (now: number) => T): LaggedValue<T> {
		return new LaggedValue(lagMs, sample);
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
			}, SAMPLE_INTERVAL_MS).unref()
			: undefined;
	}

	/** Returns the lagged value with its age in ms, or the current value before the first sample. */
	read(now: number): T & {readonly ageMs: number} {
		const found = this.#lagMs > 0 ? this.#samples[0] : undefined;
		return found ? {...found.value, ageMs: now - found.at} : {...this.#sample(now), ageMs: 0};
	}

	close(): void {
		clearInterval(this.#timer);
	}

	/** Adds a sample and drops those before the newest one that is at least `lagMs` old. */
	#record(now: number): void {
		const samples = [...this.#samples, {at: now, value: this.#sample(now)}];
		const newestOldEnough = samples.findLastIndex(sample => now - sample.at >= this.#lagMs);
		this.#samples = samples.slice(Math.max(0, newestOldEnough));
	}
}
