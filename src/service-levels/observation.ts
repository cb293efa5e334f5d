/** What counts towards service levels, and why a request counts against the error budget. */
import type {Objective} from '../configuration/schema.js';
import type {FailureCode} from '../util/failure.js';
import type {LengthClass} from '../util/length-class.js';

/** How a counted request ended. `late` passed its deadline. */
export const outcomes = ['finished', 'refused', 'late', 'failed'] as const;

export type Outcome = (typeof outcomes)[number];

/** One ended request. Times in ms from its arrival; `betweenTokensMs` is the mean gap between its tokens. */
export type Observation = {
	readonly service: string;
	readonly workspace: string;
	readonly lengthClass: LengthClass;
	readonly outcome: Outcome;
	readonly firstTokenMs?: number;
	readonly betweenTokensMs?: number;
	readonly totalMs: number;
};

/** Why a request counts against the error budget. */
export const causes = ['refused', 'failed', 'late', 'first_token', 'between_tokens'] as const;

export type Cause = (typeof causes)[number];

/** Outcome of a failed request; `not_counted` where the caller or its limits are the reason. */
const OUTCOME_OF_FAILURE: Readonly<Record<FailureCode, Outcome | 'not_counted'>> = {
	invalid_api_key: 'not_counted',
	invalid_request: 'not_counted',
	request_too_large: 'not_counted',
	unknown_service: 'not_counted',
	service_not_allowed: 'not_counted',
	limit_exceeded: 'not_counted',
	too_large: 'not_counted',
	operation_in_progress: 'not_counted',
	operation_expired: 'not_counted',
	operation_key_invalid: 'not_counted',
	operation_key_reused: 'not_counted',
	caller_left: 'not_counted',
	overloaded: 'refused',
	no_capacity: 'refused',
	deadline_unreachable: 'refused',
	not_ready: 'refused',
	draining: 'refused',
	claim_unavailable: 'refused',
	deadline_exceeded: 'late',
	operation_in_doubt: 'failed',
	backend_failed: 'failed',
	internal: 'failed',
};

/** Returns the outcome of a request that ended with a failure, or undefined when it does not count. */
export function outcomeOfFailure(code: FailureCode): Outcome | undefined {
	const outcome = OUTCOME_OF_FAILURE[code];
	return outcome === 'not_counted' ? undefined : outcome;
}

/** Returns why a request misses its objective, or undefined when it meets it. */
export function causeOf(observation: Observation, objective: Objective): Cause | undefined {
	if (observation.outcome !== 'finished') {
		return observation.outcome;
	}

	if (observation.totalMs > objective.totalMs) {
		return 'late';
	}

	if ((observation.firstTokenMs ?? 0) > objective.firstTokenMs) {
		return 'first_token';
	}

	return (observation.betweenTokensMs ?? 0) > objective.betweenTokensMs ? 'between_tokens' : undefined;
}
