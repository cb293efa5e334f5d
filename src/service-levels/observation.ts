/** Defines which requests count towards service levels and why a request counts against the error budget. */
import type {Objective} from '../configuration/schema.js';
import type {FailureCode} from '../util/failure.js';
import type {LengthClass} from '../util/length-class.js';

/** Outcomes of counted requests. `late` means that the request exceeded its deadline. */
export const outcomes = ['finished', 'refused', 'late', 'failed'] as const;

export type Outcome = (typeof outcomes)[number];

/** A request that has ended. Times are in ms since its arrival, except `betweenTokensMs`, the mean time between its tokens. */
export type Observation = {
	readonly service: string;
	readonly workspace: string;
	readonly lengthClass: LengthClass;
	readonly outcome: Outcome;
	readonly firstTokenMs?: number;
	readonly betweenTokensMs?: number;
	readonly totalMs: number;
};

/** Reasons why a request counts against the error budget. */
export const causes = ['refused', 'failed', 'late', 'first_token', 'between_tokens'] as const;

export type Cause = (typeof causes)[number];

/** Outcome by failure code. Failures caused by the client or by its limits are `not_counted`. */
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
	prompt_quarantined: 'not_counted',
	request_quarantined: 'not_counted',
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

/** Returns the reason why a request missed its objective, or undefined when it met the objective. */
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
