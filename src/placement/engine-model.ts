/**
 * Cost model of a model engine, based on the figures of its profile.
 *
 * An engine runs in passes. A pass with decoding requests executes `stepsPerPass` token steps and prefills waiting
 * prompts between them, so each event of a running stream is delayed by the prompts that are prefilled in its pass.
 */
import type {EngineProfile} from '../gateway/serving-configuration.js';

const TOKENS_PER_THOUSAND = 1000;
const PAIRS_PER_MILLION = 1_000_000;

/** Time in ms to prefill a prompt of `tokens` on one engine. */
export function prefillMs(profile: EngineProfile, tokens: number): number {
	const pairs = (tokens * tokens) / 2;
	return (tokens / profile.prefillTokensPerMs) + ((pairs / PAIRS_PER_MILLION) * profile.attentionMsPerMillionPairs);
}

/** Duration in ms of a pass without prefill, with one decoding request for each of the given context lengths. */
export function decodingPassMs(profile: EngineProfile, contexts: readonly number[]): number {
	let {stepMs} = profile;
	for (const context of contexts) {
		stepMs += profile.stepMsPerDecodingRequest + ((context / TOKENS_PER_THOUSAND) * profile.stepMsPerThousandContextTokens);
	}

	return contexts.length === 0 ? stepMs : profile.stepsPerPass * stepMs;
}

/** Weight of an output token relative to a prompt token in a request's weight, by which expected losses are compared. */
export const OUTPUT_TOKEN_WEIGHT = 10;
