/** Latency histograms in whole milliseconds with two significant digits. They can be merged without loss of precision. */
import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';

const SIGNIFICANT_DIGITS = 2;

/** Number of values, and their percentiles in ms, as shown in reports. */
export type Percentiles = {
	readonly count: number;
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
};

export class LatencyHistogram {
	static create(): LatencyHistogram {
		// Packed buckets use about 2 KB, a tenth of unpacked ones, because most series have few distinct values.
		return new LatencyHistogram(build({
			bitBucketSize: 'packed', autoResize: true, highestTrackableValue: 2, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
		}));
	}

	/** Parses the output of {@link LatencyHistogram.serialize}. Throws on malformed input. */
	static parse(text: string): LatencyHistogram {
		return new LatencyHistogram(decodeFromCompressedBase64(text, 'packed'));
	}

	private constructor(private readonly histogram: Histogram) {}

	record(ms: number): void {
		this.histogram.recordValue(Math.max(0, Math.round(ms)));
	}

	/** Adds all values of `other`. */
	add(other: LatencyHistogram): void {
		this.histogram.add(other.histogram);
	}

	/** Returns the histogram in the compressed interchange format of HdrHistogram, encoded as Base64. */
	serialize(): string {
		return encodeIntoCompressedBase64(this.histogram);
	}

	percentiles(): Percentiles {
		return {
			count: this.histogram.totalCount,
			p50: this.histogram.getValueAtPercentile(50),
			p95: this.histogram.getValueAtPercentile(95),
			p99: this.histogram.getValueAtPercentile(99),
		};
	}
}
