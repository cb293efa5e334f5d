/**
 * Failures that a caller can receive, distinguished by their code.
 * Each names the step, and the peer if there is one, at which it occurred, and tells whether the request ran.
 */

/** Whether the backend server ran the request. `not_run` is used only if that is certain. */
export type RunState = 'not_run' | 'ran' | 'unknown';

/** Machine-readable failure codes. Callers rely on them. */
export type FailureCode =
	| 'invalid_api_key'
	| 'invalid_request'
	| 'request_too_large'
	| 'unknown_service'
	| 'service_not_allowed'
	| 'limit_exceeded'
	| 'overloaded'
	| 'no_capacity'
	| 'prompt_quarantined'
	| 'request_quarantined'
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

/** The step of request handling at which a failure occurred. */
export type RequestStep =
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

/** A failure. `retryAfterMs` is set if the request may succeed after that time. */
export type Failure = {
	readonly kind: 'failure';
	readonly code: FailureCode;
	readonly message: string;
	readonly ran: RunState;
	readonly step: RequestStep;
	/** Id or address of the peer at which the failure occurred. */
	readonly peer?: string;
	/** The request field or header that caused the failure. */
	readonly param?: string;
	readonly retryAfterMs?: number;
};

/** Creates a failure. */
export const failure = (fields: Omit<Failure, 'kind'>): Failure => ({kind: 'failure', ...fields});
