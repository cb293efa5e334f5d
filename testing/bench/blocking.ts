/** Head-of-line blocking: short requests alone, long requests alone, and both together. */
import {
	drawArrivals, longMix, shortMix, type Arrival,
} from '../load/arrivals.js';
import type {CompletionRecord} from '../load/completion-client.js';
import {countEnds, firstTokenOf, ofClass} from '../load/summary.js';
import type {Measure, MeasureOptions} from './measure.js';
import {withModelFixture, type ModelFixture, type Policy} from './model-fixture.js';
import type {Bound, Row} from './row.js';

const DURATION_MS = 30_000;
const SHORT_PER_SECOND = 12;
const ANSWER_TOKENS = 16;

/** Share of the engines' prefill time that the long requests ask for. */
const LONG_LOAD = 0.35;
const MEAN_LONG_TOKENS = 68_000 / Math.log(100 / 32);

/** Stated targets. */
const SLOWDOWN_LIMIT = 1.25;
const LONG_RATE_LIMIT = 0.9;

const MEASURE = 'blocking';
const policies: readonly Policy[] = ['fireflyport', 'least-in-flight', 'round-robin'];

export type Outcome = {readonly shortP95: number; readonly alone: number; readonly slowdown: number; readonly longRate: number; readonly longP95: number; readonly note: string};

/** Long prompt tokens finished for each second from the first arrival to the last end. */
function longTokensPerSecond(records: readonly CompletionRecord[]): number {
	const done = ofClass(records, 'long').filter(({end}) => end.kind === 'finished');
	const from = Math.min(...done.map(({startedAt}) => startedAt));
	const to = Math.max(...done.map(({startedAt, totalMs}) => startedAt + totalMs));
	return done.map(({promptTokens}) => promptTokens).reduce((sum, tokens) => sum + tokens, 0) / ((to - from) / 1000);
}

function interleave(...lists: ReadonlyArray<readonly Arrival[]>): readonly Arrival[] {
	return lists.flat().toSorted((a, b) => a.atMs - b.atMs).map((arrival, index) => ({...arrival, index}));
}

export async function measurePolicy(fixture: ModelFixture, policy: Policy, {seed, log}: MeasureOptions): Promise<Outcome> {
	const short = drawArrivals({
		seed, durationMs: DURATION_MS, requestsPerSecond: SHORT_PER_SECOND, mix: shortMix, maxTokens: ANSWER_TOKENS,
	});
	const longPerSecond = LONG_LOAD * fixture.prefillTokensPerSecond / MEAN_LONG_TOKENS;
	const long = drawArrivals({
		seed: seed + 1, durationMs: DURATION_MS, requestsPerSecond: longPerSecond, mix: longMix, maxTokens: ANSWER_TOKENS,
	});
	log(`${policy}: ${short.length} short, ${long.length} long`);
	const shortAlone = await fixture.run(policy, short);
	const longAlone = await fixture.run(policy, long);
	const both = await fixture.run(policy, interleave(short, long));
	const alone = firstTokenOf(shortAlone).p95;
	const shortP95 = firstTokenOf(ofClass(both, 'short')).p95;
	return {
		alone,
		shortP95,
		slowdown: shortP95 / alone,
		longP95: firstTokenOf(ofClass(both, 'long')).p95,
		longRate: longTokensPerSecond(both) / longTokensPerSecond(longAlone),
		note: JSON.stringify(countEnds([...shortAlone, ...longAlone, ...both])),
	};
}

function rowsOf(outcomes: Readonly<Record<Policy, Outcome>>): readonly Row[] {
	const own = outcomes.fireflyport;
	const least = outcomes['least-in-flight'];
	const robin = outcomes['round-robin'];
	const row = (metric: string, pick: (outcome: Outcome) => number, bound: Bound, note = ''): Row => ({
		measure: MEASURE,
		metric,
		unit: bound.kind === 'none' ? 'ms' : 'ratio',
		baseline: pick(least),
		value: pick(own),
		bound,
		note: `round robin ${pick(robin).toPrecision(4)} ${note}`.trim(),
	});
	return [
		row('short p95 first token without long', outcome => outcome.alone, {kind: 'none'}),
		row('short p95 first token with long', outcome => outcome.shortP95, {kind: 'none'}, own.note),
		row('slowdown of short requests', outcome => outcome.slowdown, {kind: 'at_most', limit: SLOWDOWN_LIMIT}),
		row('long p95 first token with short', outcome => outcome.longP95, {kind: 'none'}),
		row('long rate with short ÷ alone', outcome => outcome.longRate, {kind: 'at_least', limit: LONG_RATE_LIMIT}),
	];
}

/** Measure `blocking`. */
export const blocking: Measure = {
	name: MEASURE,
	title: 'Head-of-line blocking of short requests (baseline: least in flight)',
	async run(options) {
		return withModelFixture({
			example: 'sacaria', enginesPerDomain: 3, daemonsPerDomain: 2, seed: options.seed,
		}, async fixture => {
			const outcomes: Partial<Record<Policy, Outcome>> = {};
			for (const policy of policies) {
				outcomes[policy] = await measurePolicy(fixture, policy, options);
			}

			return rowsOf(outcomes as Readonly<Record<Policy, Outcome>>);
		});
	},
};
