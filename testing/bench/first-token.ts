/** Time to first token by prompt length at several loads, compared with baseline routers on the same arrivals. */
import {drawArrivals, designMix, type ArrivalPlan} from '../load/arrivals.js';
import type {CompletionRecord} from '../load/completion-client.js';
import {countOutcomes, firstTokenPercentilesByClass} from '../load/summary.js';
import type {Benchmark, BenchmarkOptions} from './benchmark.js';
import {
	withModelFixture, type Example, type ModelFixture, type Policy,
} from './model-fixture.js';
import type {Bound, ResultRow} from './row.js';

/** Loads as fractions of saturation. The bound applies to the planned load. */
const PLANNED_LOAD = 0.4;
const LOADS: ReadonlyArray<readonly [Example, readonly number[]]> = [
	['sacaria', [0.2, PLANNED_LOAD, 0.8]],
	['frialia', [PLANNED_LOAD]],
];

const DURATION_MS = 30_000;
const MAX_COMPLETION_TOKENS = 24;

/** Limit stated in the requirements for the p95 of the time to first token of short prompts at the planned load. */
const MAX_SHORT_P95_MS = 380;

const BENCHMARK_NAME = 'first-token';
const policies: readonly Policy[] = ['fireflyport', 'least-in-flight', 'round-robin'];

type RecordsByPolicy = Readonly<Record<Policy, readonly CompletionRecord[]>>;

function boundOf(lengthClass: string, load: number): Bound {
	return lengthClass === 'short' && load === PLANNED_LOAD ? {kind: 'at_most', limit: MAX_SHORT_P95_MS} : {kind: 'none'};
}

function rowsOf(label: string, load: number, fixture: ModelFixture, runs: RecordsByPolicy): readonly ResultRow[] {
	const byClass = new Map(policies.map(policy => [policy, new Map(firstTokenPercentilesByClass(runs[policy]))]));
	const rows = [...byClass.get('fireflyport')!].flatMap(([lengthClass, fireflyport]) => {
		const leastInFlight = byClass.get('least-in-flight')!.get(lengthClass);
		const roundRobin = byClass.get('round-robin')!.get(lengthClass);
		return (['p50', 'p95', 'p99'] as const).map((percentile): ResultRow => ({
			measure: BENCHMARK_NAME,
			metric: `${label} ${lengthClass} ${percentile}`,
			unit: 'ms',
			baseline: leastInFlight?.[percentile],
			value: fireflyport[percentile],
			bound: percentile === 'p95' ? boundOf(lengthClass, load) : {kind: 'none'},
			note: `n=${fireflyport.count}; round robin ${roundRobin?.[percentile] ?? '-'}`,
		}));
	});
	return [...rows, {
		measure: BENCHMARK_NAME,
		metric: `${label} goodput`,
		unit: 'share',
		baseline: fixture.goodput(runs['least-in-flight']),
		value: fixture.goodput(runs.fireflyport),
		bound: {kind: 'none'},
		note: `${JSON.stringify(countOutcomes(runs.fireflyport))}; round robin ${fixture.goodput(runs['round-robin']).toFixed(3)}`,
	}];
}

async function measureLoad(fixture: ModelFixture, label: string, load: number, {seed, log}: BenchmarkOptions): Promise<readonly ResultRow[]> {
	const plan: ArrivalPlan = {
		seed, durationMs: DURATION_MS, requestsPerSecond: fixture.saturationPerSecond * load, mix: designMix, maxTokens: MAX_COMPLETION_TOKENS,
	};
	const arrivals = drawArrivals(plan);
	const runs: Partial<Record<Policy, readonly CompletionRecord[]>> = {};
	for (const policy of policies) {
		log(`${label}, ${policy}: ${arrivals.length} requests at ${plan.requestsPerSecond.toFixed(1)}/s`);
		runs[policy] = await fixture.run(policy, arrivals);
	}

	return rowsOf(label, load, fixture, runs as RecordsByPolicy);
}

/** Benchmark `first-token`. The stand-in engines run at the speed stated in the example configuration. */
export const firstToken: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Time to first token by prompt length (baseline: least in flight)',
	async run(options) {
		const rows: ResultRow[] = [];
		for (const [example, loads] of LOADS) {
			rows.push(...await withModelFixture({
				example, enginesPerDomain: example === 'sacaria' ? 5 : 6, daemonsPerDomain: 3, seed: options.seed,
			}, async fixture => {
				const measured: ResultRow[] = [];
				for (const load of loads) {
					measured.push(...await measureLoad(fixture, `${example} load ${load}`, load, options));
				}

				return measured;
			}));
		}

		return rows;
	},
};
