/** Latency histograms in whole milliseconds, with two significant digits. Merging them is exact. */
import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';

const SIGNIFICANT_DIGITS = 2;

/** Percentiles shown in reports. */
export type Percentiles = {
	readonly count: number;
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
};

export class LatencyHistogram {
	static create(): LatencyHistogram {
		// Packed buckets take about 2 KB, a tenth of the plain ones, as most series see few different values.
		return new LatencyHistogram(build({
			bitBucketSize: 'packed', autoResize: true, highestTrackableValue: 2, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
		}));
	}

	/** Reads the text of {@link LatencyHistogram.serialize}; throws on any other text. */
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

	/** Compressed and Base64-encoded, in the interchange format of HdrHistogram. */
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
