/** How long a stream may be silent before its connection, and then its engine, is given up. */
import type {AdmittedRequest} from '../admission/model-admission.js';
import type {SilenceLimits} from '../streams/token-relay.js';

/** First check, as a multiple of the expected time to the first token. A needless resume costs one connection. */
const CHECK_FACTOR = 3;
const MIN_CHECK_MS = 300;

/** An engine without progress is given up after this multiple of the prefill of the request and of what may be queued before it. */
const GIVE_UP_FACTOR = 2;
const GIVE_UP_MARGIN_MS = 1000;

/** Silence between tokens, as a multiple of the expected gap. */
const GAP_FACTOR = 4;
const MIN_GAP_LIMIT_MS = 60;

/** Part of the remaining time after which another engine can still finish the request. */
const FAIL_OVER_PART = 0.5;

/** `expectedMs` is the coordinator's estimate of the time to the first token at the time of the grant, if it gave one. */
export function silenceLimits({service, promptTokens, deadline}: Pick<AdmittedRequest, 'service' | 'promptTokens' | 'deadline'>, expectedMs: number | undefined, now: number): SilenceLimits {
	const prefillMs = (tokens: number): number => tokens * 1000 / service.prefillTokensPerSecond;
	const ownMs = prefillMs(promptTokens);
	const boundMs = (workMs: number): number => GIVE_UP_MARGIN_MS + (GIVE_UP_FACTOR * workMs);
	const inTimeMs = Math.max(boundMs(ownMs), FAIL_OVER_PART * (deadline - now));
	const giveUpMs = Math.min(boundMs(ownMs + prefillMs(service.warm.prefillTokens)), inTimeMs);
	const checkMs = Math.max(MIN_CHECK_MS, CHECK_FACTOR * Math.max(ownMs, expectedMs ?? 0));
	return {
		// At least one resume comes before the end.
		firstCheckMs: Math.min(checkMs, giveUpMs / 2),
		giveUpMs,
		betweenTokensMs: Math.max(MIN_GAP_LIMIT_MS, GAP_FACTOR * 1000 / service.decodeTokensPerSecond),
	};
}
