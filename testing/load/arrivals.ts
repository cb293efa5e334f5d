/** Seeded arrivals of model requests: Poisson arrival times and the prompt-length mixes of the design. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {chooseWeighted} from '../../src/util/weighted-choice.js';
import {lengthClassOf, type LengthClass} from '../../src/util/length-class.js';

/** One request to send. `atMs` counts from the start of the run. */
export type Arrival = {
	readonly index: number;
	readonly atMs: number;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly lengthClass: LengthClass;
};

/** Range of prompt lengths in tokens. Lengths are log-uniformly distributed. */
export type LengthRange = {readonly fromTokens: number; readonly toTokens: number};

/** One part of a mix: its share of the arrivals and its range of lengths. */
export type MixPart = LengthRange & {readonly share: number};

/** The mix that the design assumes: 2 % of the prompts have more than 100 k tokens, the others 1 k to 100 k. */
export const designMix: readonly MixPart[] = [
	{share: 0.98, fromTokens: 1000, toTokens: 100_000},
	{share: 0.02, fromTokens: 100_000, toTokens: 1_000_000},
];

export const shortMix: readonly MixPart[] = [{share: 1, fromTokens: 1000, toTokens: 7900}];
export const longMix: readonly MixPart[] = [{share: 1, fromTokens: 32_000, toTokens: 100_000}];

export type ArrivalPlan = {
	readonly seed: number;
	readonly durationMs: number;
	readonly requestsPerSecond: number;
	readonly mix: readonly MixPart[];
	readonly maxTokens: number;
};

/** The first output for a small seed is close to 1, which made the first interval 14 times as long as the mean. */
const DISCARDED_OUTPUTS = 20;

/** Creates a seeded generator of uniform random numbers in [0, 1). */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	for (let index = 0; index < DISCARDED_OUTPUTS; index++) {
		uniformFloat64(generator);
	}

	return () => uniformFloat64(generator);
}

function drawLength(mix: readonly MixPart[], random: () => number): number {
	const part = chooseWeighted(mix, ({share}) => share, random())!;
	const span = Math.log(part.toTokens / part.fromTokens);
	return Math.round(part.fromTokens * Math.exp(span * random()));
}

/** Generates the arrivals of a plan. The same plan always gives the same arrivals. */
export function drawArrivals(plan: ArrivalPlan): readonly Arrival[] {
	const random = createRandom(plan.seed);
	const arrivals: Arrival[] = [];
	let atMs = 0;
	for (;;) {
		atMs += -Math.log(1 - random()) * 1000 / plan.requestsPerSecond;
		if (atMs >= plan.durationMs) {
			return arrivals;
		}

		const promptTokens = drawLength(plan.mix, random);
		arrivals.push({
			index: arrivals.length,
			atMs,
			promptTokens,
			maxTokens: plan.maxTokens,
			lengthClass: lengthClassOf(promptTokens),
		});
	}
}
