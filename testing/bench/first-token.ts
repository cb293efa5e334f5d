/** Time to first token by prompt length, at several loads, against blind baselines on the same arrivals. */
import {drawArrivals, plannedMix, type ArrivalPlan} from '../load/arrivals.js';
import type {CompletionRecord} from '../load/completion-client.js';
import {countEnds, firstTokenByClass} from '../load/summary.js';
import type {Measure, MeasureOptions} from './measure.js';
import {
	withModelFixture, type Example, type ModelFixture, type Policy,
} from './model-fixture.js';
import type {Bound, Row} from './row.js';

/** Loads as shares of saturation; the planned one carries the bound. */
const PLANNED_LOAD = 0.4;
const LOADS: ReadonlyArray<readonly [Example, readonly number[]]> = [
	['sacaria', [0.2, PLANNED_LOAD, 0.8]],
	['frialia', [PLANNED_LOAD]],
];

const DURATION_MS = 30_000;
const ANSWER_TOKENS = 24;

/** Stated target: p95 of the first token of short prompts at the planned load. */
const SHORT_P95_LIMIT_MS = 380;

const MEASURE = 'first-token';
const policies: readonly Policy[] = ['fireflyport', 'least-in-flight', 'round-robin'];

type Runs = Readonly<Record<Policy, readonly CompletionRecord[]>>;

function boundOf(lengthClass: string, load: number): Bound {
	return lengthClass === 'short' && load === PLANNED_LOAD ? {kind: 'at_most', limit: SHORT_P95_LIMIT_MS} : {kind: 'none'};
}

function rowsOf(label: string, load: number, fixture: ModelFixture, runs: Runs): readonly Row[] {
	const byClass = new Map(policies.map(policy => [policy, new Map(firstTokenByClass(runs[policy]))]));
	const rows = [...byClass.get('fireflyport')!].flatMap(([lengthClass, own]) => {
		const least = byClass.get('least-in-flight')!.get(lengthClass);
		const robin = byClass.get('round-robin')!.get(lengthClass);
		return (['p50', 'p95', 'p99'] as const).map((percentile): Row => ({
			measure: MEASURE,
			metric: `${label} ${lengthClass} ${percentile}`,
			unit: 'ms',
			baseline: least?.[percentile],
			value: own[percentile],
			bound: percentile === 'p95' ? boundOf(lengthClass, load) : {kind: 'none'},
			note: `n=${own.count}; round robin ${robin?.[percentile] ?? '-'}`,
		}));
	});
	return [...rows, {
		measure: MEASURE,
		metric: `${label} goodput`,
		unit: 'share',
		baseline: fixture.goodput(runs['least-in-flight']),
		value: fixture.goodput(runs.fireflyport),
		bound: {kind: 'none'},
		note: `${JSON.stringify(countEnds(runs.fireflyport))}; round robin ${fixture.goodput(runs['round-robin']).toFixed(3)}`,
	}];
}

async function measureLoad(fixture: ModelFixture, label: string, load: number, {seed, log}: MeasureOptions): Promise<readonly Row[]> {
	const plan: ArrivalPlan = {
		seed, durationMs: DURATION_MS, requestsPerSecond: fixture.saturationPerSecond * load, mix: plannedMix, maxTokens: ANSWER_TOKENS,
	};
	const arrivals = drawArrivals(plan);
	const runs: Partial<Record<Policy, readonly CompletionRecord[]>> = {};
	for (const policy of policies) {
		log(`${label}, ${policy}: ${arrivals.length} requests at ${plan.requestsPerSecond.toFixed(1)}/s`);
		runs[policy] = await fixture.run(policy, arrivals);
	}

	return rowsOf(label, load, fixture, runs as Runs);
}

/** Measure `first-token`. The speed of the stand-in engines is the one that the example configuration states. */
export const firstToken: Measure = {
	name: MEASURE,
	title: 'Time to first token by prompt length (baseline: least in flight)',
	async run(options) {
		const rows: Row[] = [];
		for (const [example, loads] of LOADS) {
			rows.push(...await withModelFixture({
				example, enginesPerDomain: example === 'sacaria' ? 5 : 6, daemonsPerDomain: 3, seed: options.seed,
			}, async fixture => {
				const measured: Row[] = [];
				for (const load of loads) {
					measured.push(...await measureLoad(fixture, `${example} load ${load}`, load, options));
				}

				return measured;
			}));
		}

		return rows;
	},
};
