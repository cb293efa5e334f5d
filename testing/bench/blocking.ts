/** Head-of-line blocking: runs short requests alone, long requests alone, and both concurrently. */
import {
	drawArrivals, longMix, shortMix, type Arrival,
} from '../load/arrivals.js';
import type {CompletionRecord} from '../load/completion-client.js';
import {countOutcomes, firstTokenPercentiles, recordsOfClass} from '../load/summary.js';
import type {Benchmark, BenchmarkOptions} from './benchmark.js';
import {withModelFixture, type ModelFixture, type Policy} from './model-fixture.js';
import type {Bound, ResultRow} from './row.js';

const DURATION_MS = 30_000;
const SHORT_REQUESTS_PER_SECOND = 12;
const MAX_COMPLETION_TOKENS = 16;

/** Fraction of the engines' prefill capacity that the long requests need. */
const LONG_PREFILL_SHARE = 0.35;
const MEAN_LONG_PROMPT_TOKENS = 68_000 / Math.log(100 / 32);

/** Limits stated in the requirements. */
const MAX_SHORT_SLOWDOWN = 1.25;
const MIN_LONG_THROUGHPUT_RATIO = 0.9;

const BENCHMARK_NAME = 'blocking';
const policies: readonly Policy[] = ['fireflyport', 'least-in-flight', 'round-robin'];

export type PolicyResult = {
	readonly shortMixedP95: number;
	readonly shortAloneP95: number;
	readonly shortSlowdown: number;
	readonly longThroughputRatio: number;
	readonly longMixedP95: number;
	readonly note: string;
};

/** Prompt tokens of finished long requests per second, from the first start to the last completion. */
function longTokensPerSecond(records: readonly CompletionRecord[]): number {
	const finished = recordsOfClass(records, 'long').filter(({outcome: end}) => end.kind === 'finished');
	const startMs = Math.min(...finished.map(({startedAt}) => startedAt));
	const endMs = Math.max(...finished.map(({startedAt, totalMs}) => startedAt + totalMs));
	return finished.map(({promptTokens}) => promptTokens).reduce((sum, tokens) => sum + tokens, 0) / ((endMs - startMs) / 1000);
}

function mergeArrivals(...lists: ReadonlyArray<readonly Arrival[]>): readonly Arrival[] {
	return lists.flat().toSorted((a, b) => a.atMs - b.atMs).map((arrival, index) => ({...arrival, index}));
}

export async function measurePolicy(fixture: ModelFixture, policy: Policy, {seed, log}: BenchmarkOptions): Promise<PolicyResult> {
	const short = drawArrivals({
		seed, durationMs: DURATION_MS, requestsPerSecond: SHORT_REQUESTS_PER_SECOND, mix: shortMix, maxTokens: MAX_COMPLETION_TOKENS,
	});
	const longRequestsPerSecond = LONG_PREFILL_SHARE * fixture.prefillTokensPerSecond / MEAN_LONG_PROMPT_TOKENS;
	const long = drawArrivals({
		seed: seed + 1, durationMs: DURATION_MS, requestsPerSecond: longRequestsPerSecond, mix: longMix, maxTokens: MAX_COMPLETION_TOKENS,
	});
	log(`${policy}: ${short.length} short, ${long.length} long`);
	const shortAlone = await fixture.run(policy, short);
	const longAlone = await fixture.run(policy, long);
	const mixed = await fixture.run(policy, mergeArrivals(short, long));
	const shortAloneP95 = firstTokenPercentiles(shortAlone).p95;
	const shortMixedP95 = firstTokenPercentiles(recordsOfClass(mixed, 'short')).p95;
	return {
		shortAloneP95,
		shortMixedP95,
		shortSlowdown: shortMixedP95 / shortAloneP95,
		longMixedP95: firstTokenPercentiles(recordsOfClass(mixed, 'long')).p95,
		longThroughputRatio: longTokensPerSecond(mixed) / longTokensPerSecond(longAlone),
		note: JSON.stringify(countOutcomes([...shortAlone, ...longAlone, ...mixed])),
	};
}

function rowsOf(results: Readonly<Record<Policy, PolicyResult>>): readonly ResultRow[] {
	const daemonResult = results.fireflyport;
	const leastInFlight = results['least-in-flight'];
	const roundRobin = results['round-robin'];
	const row = (metric: string, select: (result: PolicyResult) => number, bound: Bound, note = ''): ResultRow => ({
		measure: BENCHMARK_NAME,
		metric,
		unit: bound.kind === 'none' ? 'ms' : 'ratio',
		baseline: select(leastInFlight),
		value: select(daemonResult),
		bound,
		note: `round robin ${select(roundRobin).toPrecision(4)} ${note}`.trim(),
	});
	return [
		row('short p95 first token without long', result => result.shortAloneP95, {kind: 'none'}),
		row('short p95 first token with long', result => result.shortMixedP95, {kind: 'none'}, daemonResult.note),
		row('slowdown of short requests', result => result.shortSlowdown, {kind: 'at_most', limit: MAX_SHORT_SLOWDOWN}),
		row('long p95 first token with short', result => result.longMixedP95, {kind: 'none'}),
		row('long rate with short ÷ alone', result => result.longThroughputRatio, {kind: 'at_least', limit: MIN_LONG_THROUGHPUT_RATIO}),
	];
}

/** Benchmark `blocking`. */
export const blocking: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Head-of-line blocking of short requests (baseline: least in flight)',
	async run(options) {
		return withModelFixture({
			example: 'sacaria', enginesPerDomain: 3, daemonsPerDomain: 2, seed: options.seed,
		}, async fixture => {
			const outcomes: Partial<Record<Policy, PolicyResult>> = {};
			for (const policy of policies) {
				outcomes[policy] = await measurePolicy(fixture, policy, options);
			}

			return rowsOf(outcomes as Readonly<Record<Policy, PolicyResult>>);
		});
	},
};
