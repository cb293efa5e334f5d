/** One workspace sends far more than the engines can serve. Compares the time to first token of the other workspaces with and without that load. */
import {drawArrivals, shortMix} from '../load/arrivals.js';
import {countOutcomes, firstTokenPercentiles} from '../load/summary.js';
import type {Benchmark} from './benchmark.js';
import {withModelFixture} from './model-fixture.js';

const BENCHMARK_NAME = 'flood';
const DURATION_MS = 20_000;
const OTHER_REQUESTS_PER_SECOND = 8;

/** Prompt tokens per second of the flood as a multiple of the prefill throughput of all engines. */
const FLOOD_LOAD_FACTOR = 2.5;
const FLOOD_PROMPT_RANGE = {fromTokens: 8000, toTokens: 30_000};
const MEAN_FLOOD_PROMPT_TOKENS = 22_000 / Math.log(30 / 8);
const MAX_COMPLETION_TOKENS = 8;

/** Benchmark `flood`. Workspace limits are disabled, so that only the queue protects the other workspaces. */
export const flood: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Overload by one workspace (baseline: without the flood)',
	async run({seed, log}) {
		return withModelFixture({
			example: 'sacaria', enginesPerDomain: 3, daemonsPerDomain: 2, seed,
		}, async fixture => {
			const [floodingKey, ...otherKeys] = fixture.apiKeys;
			const arrivals = drawArrivals({
				seed, durationMs: DURATION_MS, requestsPerSecond: OTHER_REQUESTS_PER_SECOND, mix: shortMix, maxTokens: MAX_COMPLETION_TOKENS,
			});
			const floodArrivals = drawArrivals({
				seed: seed + 1,
				durationMs: DURATION_MS,
				requestsPerSecond: FLOOD_LOAD_FACTOR * fixture.prefillTokensPerSecond / MEAN_FLOOD_PROMPT_TOKENS,
				mix: [{share: 1, ...FLOOD_PROMPT_RANGE}],
				maxTokens: MAX_COMPLETION_TOKENS,
			});
			log(`${arrivals.length} requests of other workspaces, ${floodArrivals.length} of the flooding workspace`);
			const withoutFlood = await fixture.run('fireflyport', arrivals, {apiKeys: otherKeys});
			const [withFlood, floodRecords] = await Promise.all([
				fixture.run('fireflyport', arrivals, {apiKeys: otherKeys}),
				fixture.run('fireflyport', floodArrivals, {apiKeys: [floodingKey!]}),
			]);
			return [
				{
					measure: BENCHMARK_NAME,
					metric: 'short p95 first token of the others',
					unit: 'ms',
					baseline: firstTokenPercentiles(withoutFlood).p95,
					value: firstTokenPercentiles(withFlood).p95,
					bound: {kind: 'none'},
					note: `others ${JSON.stringify(countOutcomes(withFlood))}; flood ${JSON.stringify(countOutcomes(floodRecords))}`,
				},
				{
					measure: BENCHMARK_NAME,
					metric: 'requests of the others not finished',
					unit: 'requests',
					baseline: withoutFlood.filter(({outcome}) => outcome.kind !== 'finished').length,
					value: withFlood.filter(({outcome}) => outcome.kind !== 'finished').length,
					bound: {kind: 'at_most', limit: 0},
				},
			];
		});
	},
};
