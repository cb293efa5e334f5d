/** Compares shares of the engines on which long prompts may be prefilled at one time; 1 leaves only priorities. */
import type {Configuration} from '../../src/configuration/schema.js';
import {measurePolicy} from './blocking.js';
import type {Measure} from './measure.js';
import {withModelFixture} from './model-fixture.js';
import type {Row} from './row.js';

const MEASURE = 'long-prompt-share';

/** The share of the examples is the first one; the others are the alternatives. */
const SHARES = [0.5, 1, 0.34];

const withShare = (configuration: Configuration, longPromptShare: number): Configuration => ({
	...configuration,
	services: configuration.services.map(service => service.kind === 'model' ? {...service, longPromptShare} : service),
});

/** Measure `long-prompt-share`. */
export const longPromptShare: Measure = {
	name: MEASURE,
	title: 'Short and long requests by the share of engines open to long prefill',
	async run(options) {
		const rows: Row[] = [];
		for (const share of SHARES) {
			options.log(`share ${share}`);
			const outcome = await withModelFixture({
				example: 'sacaria', enginesPerDomain: 3, daemonsPerDomain: 2, seed: options.seed, change: configuration => withShare(configuration, share),
			}, async fixture => measurePolicy(fixture, 'fireflyport', options));
			rows.push(...([
				['short p95 with long', 'ms', outcome.shortP95],
				['slowdown of short requests', 'ratio', outcome.slowdown],
				['long rate with short ÷ alone', 'ratio', outcome.longRate],
				['long p95 first token with short', 'ms', outcome.longP95],
			] as const).map(([metric, unit, value]): Row => ({
				measure: MEASURE, metric: `share ${share}: ${metric}`, unit, baseline: undefined, value, bound: {kind: 'none'}, note: outcome.note,
			})));
		}

		return rows;
	},
};
