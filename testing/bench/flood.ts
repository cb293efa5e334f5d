/** One workspace sends far more than the engines can serve; the others' first tokens are compared with and without it. */
import {drawArrivals, shortMix} from '../load/arrivals.js';
import {countEnds, firstTokenOf} from '../load/summary.js';
import type {Measure} from './measure.js';
import {withModelFixture} from './model-fixture.js';

const MEASURE = 'flood';
const DURATION_MS = 20_000;
const OTHERS_PER_SECOND = 8;

/** Prompt tokens of the flood as a multiple of what all engines prefill. */
const FLOOD_LOAD = 2.5;
const FLOOD_RANGE = {fromTokens: 8000, toTokens: 30_000};
const MEAN_FLOOD_TOKENS = 22_000 / Math.log(30 / 8);
const ANSWER_TOKENS = 8;

/** Measure `flood`. Limits of workspaces are switched off, so that only the queue protects the others. */
export const flood: Measure = {
	name: MEASURE,
	title: 'A flood of one workspace (baseline: without the flood)',
	async run({seed, log}) {
		return withModelFixture({
			example: 'sacaria', enginesPerDomain: 3, daemonsPerDomain: 2, seed,
		}, async fixture => {
			const [flooding, ...others] = fixture.apiKeys;
			const arrivals = drawArrivals({
				seed, durationMs: DURATION_MS, requestsPerSecond: OTHERS_PER_SECOND, mix: shortMix, maxTokens: ANSWER_TOKENS,
			});
			const floodArrivals = drawArrivals({
				seed: seed + 1,
				durationMs: DURATION_MS,
				requestsPerSecond: FLOOD_LOAD * fixture.prefillTokensPerSecond / MEAN_FLOOD_TOKENS,
				mix: [{share: 1, ...FLOOD_RANGE}],
				maxTokens: ANSWER_TOKENS,
			});
			log(`${arrivals.length} requests of the others, ${floodArrivals.length} of the flood`);
			const alone = await fixture.run('fireflyport', arrivals, {apiKeys: others});
			const [beside, flooded] = await Promise.all([
				fixture.run('fireflyport', arrivals, {apiKeys: others}),
				fixture.run('fireflyport', floodArrivals, {apiKeys: [flooding!]}),
			]);
			return [
				{
					measure: MEASURE,
					metric: 'short p95 first token of the others',
					unit: 'ms',
					baseline: firstTokenOf(alone).p95,
					value: firstTokenOf(beside).p95,
					bound: {kind: 'none'},
					note: `others ${JSON.stringify(countEnds(beside))}; flood ${JSON.stringify(countEnds(flooded))}`,
				},
				{
					measure: MEASURE,
					metric: 'requests of the others not finished',
					unit: 'requests',
					baseline: alone.filter(({end}) => end.kind !== 'finished').length,
					value: beside.filter(({end}) => end.kind !== 'finished').length,
					bound: {kind: 'at_most', limit: 0},
				},
			];
		});
	},
};
