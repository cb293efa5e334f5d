/** Error responses to callers, in the format that OpenAI clients parse. See docs/callers.md. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Failure, FailureCode} from '../util/failure.js';

type ErrorType = 'invalid_request_error' | 'authentication_error' | 'permission_error' | 'rate_limit_error' | 'conflict_error' | 'server_error';

type ErrorPresentation = {readonly status: number; readonly type: ErrorType};

const errorPresentations: Readonly<Record<FailureCode, ErrorPresentation>> = {
	invalid_api_key: {status: 401, type: 'authentication_error'},
	invalid_request: {status: 400, type: 'invalid_request_error'},
	request_too_large: {status: 413, type: 'invalid_request_error'},
	unknown_service: {status: 404, type: 'invalid_request_error'},
	service_not_allowed: {status: 403, type: 'permission_error'},
	limit_exceeded: {status: 429, type: 'rate_limit_error'},
	overloaded: {status: 503, type: 'server_error'},
	no_capacity: {status: 503, type: 'server_error'},
	prompt_quarantined: {status: 503, type: 'server_error'},
	request_quarantined: {status: 503, type: 'server_error'},
	too_large: {status: 413, type: 'invalid_request_error'},
	deadline_unreachable: {status: 503, type: 'server_error'},
	deadline_exceeded: {status: 504, type: 'server_error'},
	not_ready: {status: 503, type: 'server_error'},
	draining: {status: 503, type: 'server_error'},
	claim_unavailable: {status: 503, type: 'server_error'},
	operation_in_progress: {status: 409, type: 'conflict_error'},
	operation_in_doubt: {status: 409, type: 'conflict_error'},
	operation_expired: {status: 409, type: 'conflict_error'},
	operation_key_invalid: {status: 400, type: 'invalid_request_error'},
	operation_key_reused: {status: 422, type: 'invalid_request_error'},
	backend_failed: {status: 502, type: 'server_error'},
	// The caller has disconnected, so no response is read; the status appears in logs.
	caller_left: {status: 499, type: 'server_error'},
	internal: {status: 500, type: 'server_error'},
};

/** HTTP status of a failure. */
export const httpStatusOf = (code: FailureCode): number => errorPresentations[code].status;

/** Body of an error response, and data of an error event in a stream. */
export const errorBody = (failure: Failure) => ({
	error: {
		message: failure.message,
		type: errorPresentations[failure.code].type,
		code: failure.code,
		param: failure.param ?? null,
		ran: failure.ran,
		step: failure.step,
		peer: failure.peer ?? null,
	},
});

/** Sends a complete JSON response. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	res.end(text);
}

/** Value of `Retry-After` in whole seconds (RFC 9110, section 10.2.3). */
const formatWholeSeconds = (ms: number): string => String(Math.max(1, Math.ceil(ms / 1000)));

/**
 * Sends a failure as a complete response. `formatRetryAfter` replaces the format in whole seconds for callers that
 * accept fractions.
 */
export function sendFailure(res: ServerResponse, failure: Failure, formatRetryAfter = formatWholeSeconds): void {
	if (failure.retryAfterMs !== undefined) {
		res.setHeader('retry-after', formatRetryAfter(failure.retryAfterMs));
	}

	if (failure.ran !== 'not_run' || failure.code === 'prompt_quarantined' || failure.code === 'request_quarantined') {
		// OpenAI clients retry 409 and 5xx by default. A request that may have run is retried only by decision of the caller, and a
		// quarantined one is refused again.
		res.setHeader('x-should-retry', 'false');
	}

	if (failure.code === 'invalid_api_key') {
		res.setHeader('www-authenticate', 'Bearer');
	}

	sendJson(res, httpStatusOf(failure.code), errorBody(failure));
}
