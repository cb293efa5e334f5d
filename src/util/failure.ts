/**
 * The failures that a caller can receive, as one tagged union.
 * Each carries the step and the peer at which it arose and says whether the request ran.
 */

/** Whether the backend server ran the request. `not_run` is only used where that is known. */
export type Ran = 'not_run' | 'ran' | 'unknown';

/** Machine-readable failure codes, stable for callers. */
export type FailureCode =
	| 'invalid_api_key'
	| 'invalid_request'
	| 'request_too_large'
	| 'unknown_service'
	| 'service_not_allowed'
	| 'limit_exceeded'
	| 'overloaded'
	| 'no_capacity'
	| 'too_large'
	| 'deadline_unreachable'
	| 'deadline_exceeded'
	| 'not_ready'
	| 'draining'
	| 'claim_unavailable'
	| 'operation_in_progress'
	| 'operation_in_doubt'
	| 'operation_expired'
	| 'operation_key_invalid'
	| 'operation_key_reused'
	| 'backend_failed'
	| 'caller_left'
	| 'internal';

/** The step of request handling at which a failure arose. */
export type Step =
	| 'authenticate'
	| 'parse'
	| 'admit'
	| 'reserve'
	| 'claim'
	| 'connect'
	| 'send'
	| 'stream'
	| 'resume'
	| 'settle';

/** A typed failure. `retryAfterMs` is set where waiting helps. */
export type Failure = {
	readonly kind: 'failure';
	readonly code: FailureCode;
	readonly message: string;
	readonly ran: Ran;
	readonly step: Step;
	/** Identity or address of the peer at which it arose. */
	readonly peer?: string;
	/** Request field or header at fault. */
	readonly param?: string;
	readonly retryAfterMs?: number;
};

/** Builds a failure value. */
export const failure = (fields: Omit<Failure, 'kind'>): Failure => ({kind: 'failure', ...fields});
