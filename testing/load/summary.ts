/** Latency percentiles and outcome counts of a load run. */
import {build, type Histogram} from 'hdr-histogram-js';
import {lengthClasses, type LengthClass} from '../../src/util/length-class.js';
import type {CompletionRecord} from './completion-client.js';

/** Percentiles in ms with 0.1 ms resolution. */
export type Percentiles = {readonly count: number; readonly p50: number; readonly p95: number; readonly p99: number; readonly max: number};

/** Histogram units per millisecond. */
const UNITS_PER_MS = 10;

/** Computes percentiles of `valuesMs` with an HDR histogram of three significant digits. */
export function percentilesOf(valuesMs: readonly number[]): Percentiles {
	const histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 36_000_000, numberOfSignificantValueDigits: 3});
	for (const value of valuesMs) {
		histogram.recordValue(Math.max(1, Math.round(value * UNITS_PER_MS)));
	}

	const at = (percentile: number) => valuesMs.length === 0 ? Number.NaN : histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
	return {
		count: valuesMs.length, p50: at(50), p95: at(95), p99: at(99), max: at(100),
	};
}

/** First-token latency percentiles of the requests that received a first token. */
export const firstTokenPercentiles = (records: readonly CompletionRecord[]): Percentiles =>
	percentilesOf(records.flatMap(record => record.firstTokenMs ?? []));

/** Selects the records of one length class. */
export const recordsOfClass = (records: readonly CompletionRecord[], lengthClass: LengthClass): readonly CompletionRecord[] =>
	records.filter(record => record.lengthClass === lengthClass);

/** Counts records by outcome, for example `{finished: 118, 'refused overloaded not_run': 2}`. */
export function countOutcomes(records: readonly CompletionRecord[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const {outcome} of records) {
		const label = outcome.kind === 'refused' || outcome.kind === 'failed' ? `${outcome.kind} ${outcome.code} ${outcome.ran}` : outcome.kind;
		counts[label] = (counts[label] ?? 0) + 1;
	}

	return counts;
}

/** First-token latency percentiles by length class. Classes without a first token are omitted. */
export function firstTokenPercentilesByClass(records: readonly CompletionRecord[]): ReadonlyArray<readonly [LengthClass, Percentiles]> {
	return lengthClasses
		.map(lengthClass => [lengthClass, firstTokenPercentiles(recordsOfClass(records, lengthClass))] as const)
		.filter(([, percentiles]) => percentiles.count > 0);
}
