/** Computes how long a stream may stay without events before its connection, and then its engine, is considered lost. */
import type {AdmittedRequest} from '../admission/model-admission.js';
import type {SilenceLimits} from '../streams/token-relay.js';

/** Time of the first resume, as a multiple of the expected time to the first token. An unnecessary resume costs only one connection. */
const FIRST_RESUME_FACTOR = 3;
const MIN_FIRST_RESUME_MS = 300;

/** An engine without progress is considered lost after this multiple of the prefill time of the request and of the work that may be queued before it. */
const LOST_ENGINE_FACTOR = 2;
const LOST_ENGINE_MARGIN_MS = 1000;

/** Time limit between two tokens, as a multiple of the expected interval. */
const TOKEN_INTERVAL_FACTOR = 4;
const MIN_TOKEN_INTERVAL_LIMIT_MS = 60;

/** Share of the remaining time after which another engine can still finish the request. */
const FAILOVER_SHARE = 0.5;

/** `expectedMs` is the coordinator's estimate, made at the time of the grant, of the time to the first token; undefined if unknown. */
export function silenceLimits({service, promptTokens, deadline}: Pick<AdmittedRequest, 'service' | 'promptTokens' | 'deadline'>, expectedMs: number | undefined, now: number): SilenceLimits {
	const prefillMs = (tokens: number): number => tokens * 1000 / service.prefillTokensPerSecond;
	const ownPrefillMs = prefillMs(promptTokens);
	const limitMs = (workMs: number): number => LOST_ENGINE_MARGIN_MS + (LOST_ENGINE_FACTOR * workMs);
	const failoverLimitMs = Math.max(limitMs(ownPrefillMs), FAILOVER_SHARE * (deadline - now));
	const giveUpMs = Math.min(limitMs(ownPrefillMs + prefillMs(service.warm.prefillTokens)), failoverLimitMs);
	const firstResumeMs = Math.max(MIN_FIRST_RESUME_MS, FIRST_RESUME_FACTOR * Math.max(ownPrefillMs, expectedMs ?? 0));
	return {
		// At least one resume is tried before the engine is considered lost.
		firstCheckMs: Math.min(firstResumeMs, giveUpMs / 2),
		giveUpMs,
		betweenTokensMs: Math.max(MIN_TOKEN_INTERVAL_LIMIT_MS, TOKEN_INTERVAL_FACTOR * 1000 / service.decodeTokensPerSecond),
	};
}
