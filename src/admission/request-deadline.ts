/** Deadlines of requests, from the service objective and the timeout header. */
import {failure, type Failure} from '../util/failure.js';

/** Request header with the caller's time limit in ms. The smaller of it and the objective applies. */
export const TIMEOUT_HEADER = 'x-fireflyport-timeout-ms';

/** Time limit of requests for which no objective is configured. */
export const DEFAULT_TOTAL_MS = 120_000;

const MAX_TIMEOUT_MS = 86_400_000;

/** Parses the value of {@link TIMEOUT_HEADER}. Returns undefined when the header is missing. */
export function parseTimeout(header: string | undefined): number | undefined | Failure {
	if (header === undefined) {
		return undefined;
	}

	const timeoutMs = /^\d{1,9}$/v.test(header) ? Number(header) : 0;
	if (timeoutMs < 1 || timeoutMs > MAX_TIMEOUT_MS) {
		return failure({
			code: 'invalid_request',
			message: `header ${TIMEOUT_HEADER} is ${JSON.stringify(header)}; expected a whole number of milliseconds from 1 to ${MAX_TIMEOUT_MS}`,
			ran: 'not_run',
			step: 'parse',
			param: TIMEOUT_HEADER,
		});
	}

	return timeoutMs;
}

/** Returns the time by which a request that arrived at `arrivedAt` must finish, on the same clock. */
export const deadlineOf = (arrivedAt: number, totalMs: number | undefined, timeoutMs: number | undefined): number =>
	arrivedAt + Math.min(totalMs ?? DEFAULT_TOTAL_MS, timeoutMs ?? Number.POSITIVE_INFINITY);
