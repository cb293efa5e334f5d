/** Compares limits on the share of engines that may prefill long prompts at the same time. With 1, only priorities protect short requests. */
import type {Configuration} from '../../src/configuration/schema.js';
import {measurePolicy} from './blocking.js';
import type {Benchmark} from './benchmark.js';
import {withModelFixture} from './model-fixture.js';
import type {ResultRow} from './row.js';

const BENCHMARK_NAME = 'long-prompt-share';

/** The first share is that of the example configurations; the others are alternatives. */
const SHARES = [0.5, 1, 0.34];

const withLongPromptShare = (configuration: Configuration, longPromptShare: number): Configuration => ({
	...configuration,
	services: configuration.services.map(service => service.kind === 'model' ? {...service, longPromptShare} : service),
});

/** Benchmark `long-prompt-share`. */
export const longPromptShare: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Short and long requests by the share of engines that may prefill long prompts',
	async run(options) {
		const rows: ResultRow[] = [];
		for (const share of SHARES) {
			options.log(`share ${share}`);
			const result = await withModelFixture({
				example: 'sacaria', enginesPerDomain: 3, daemonsPerDomain: 2, seed: options.seed, customize: configuration => withLongPromptShare(configuration, share),
			}, async fixture => measurePolicy(fixture, 'fireflyport', options));
			rows.push(...([
				['short p95 with long', 'ms', result.shortMixedP95],
				['slowdown of short requests', 'ratio', result.shortSlowdown],
				['long rate with short ÷ alone', 'ratio', result.longThroughputRatio],
				['long p95 first token with short', 'ms', result.longMixedP95],
			] as const).map(([metric, unit, value]): ResultRow => ({
				measure: BENCHMARK_NAME, metric: `share ${share}: ${metric}`, unit, baseline: undefined, value, bound: {kind: 'none'}, note: result.note,
			})));
		}

		return rows;
	},
};
