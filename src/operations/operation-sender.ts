/**
 * Sends a claimed operation to one backend server, at most once. Another backend server is tried only when it is
 * proven that the one before did not run it.
 */
import {type Buffer, isUtf8} from 'node:buffer';
import {
	NOT_RUN_HEADER, type PlainHead, type PlainOutcome, type SentOnceOutcome,
} from '../backend/plain-service-protocol.js';
import {temperatureOf} from '../backend/plain-service-client.js';
import type {StoredResponse} from '../peer/protocol.js';
import {failure, type Failure} from '../util/failure.js';
import {operationHeaders, responseHeaders} from './plain-headers.js';
import type {
	PlainAnswer, PlainReservation, PlainResult, RoutedCall, SenderOptions,
} from './plain-call.js';

const MAX_BACKEND_SERVERS = 3;

/** Largest body that is kept with a claim for repeats. */
const MAX_STORED_BODY_BYTES = 4096;

/** What sending needs. `mayStillSend` is asked directly before the first byte. */
export type SendContext = {
	readonly operation: string;
	/** Monotonic ms after which nothing is sent any more. */
	readonly sendBefore: number;
	readonly mayStillSend: () => string | undefined;
};

/**
 * What became of an operation.
 * - `not_run`: proven; the claim can be released
 * - `ran`: the service answered; `response` is what repeats receive
 * - `unknown`: it may have run; the claim stays held
 */
export type SendResult =
	| {readonly kind: 'not_run'; readonly failed: Failure}
	| {readonly kind: 'ran'; readonly response: StoredResponse; readonly result: PlainResult}
	| {readonly kind: 'unknown'; readonly failed: Failure};

/** Sends operations under reservations. */
export class OperationSender {
	static create(options: SenderOptions): OperationSender {
		return new OperationSender(options);
	}

	readonly #options: SenderOptions;

	private constructor(options: SenderOptions) {
		this.#options = options;
	}

	async send(call: RoutedCall, context: SendContext): Promise<SendResult> {
		const exclude: string[] = [];
		for (;;) {
			const reservation = await this.#reserve(call, context, exclude);
			if (reservation.kind === 'failure') {
				return {kind: 'not_run', failed: reservation};
			}

			const outcome = await this.#sendTo(call, context, reservation);
			const notRun = proofOfNotRun(outcome);
			if (notRun === undefined) {
				return resultOf(outcome, reservation);
			}

			exclude.push(reservation.servers[0]!.id);
			const stop = this.#refusal(call, context);
			if (stop !== undefined || exclude.length >= MAX_BACKEND_SERVERS) {
				return {kind: 'not_run', failed: notRunFailure(stop ?? notRun, reservation)};
			}
		}
	}

	async #reserve(call: RoutedCall, context: SendContext, exclude: readonly string[]): Promise<PlainReservation | Failure> {
		const now = this.#options.clock();
		const deadline = Math.min(call.deadline, context.sendBefore);
		const {requestId, workspace, service, signal} = call;
		const reservation = await this.#options.reservations.reserve({
			requestId, workspace, service, deadline, exclude: [...exclude],
		}, {signal, now});
		return reservation.kind === 'failure' ? {...reservation, ran: 'not_run'} : reservation;
	}

	async #sendTo(call: RoutedCall, context: SendContext, reservation: PlainReservation): Promise<SentOnceOutcome> {
		const server = reservation.servers[0]!;
		const now = this.#options.clock();
		const timeoutMs = Math.max(1, Math.min(call.deadline - now, call.route.timeoutMs));
		const outcome = await this.#options.client.sendOnce({
			address: server.address,
			method: call.method,
			path: call.path,
			headers: operationHeaders(call.headers, call.requestId, context.operation),
			body: call.body,
			timeoutMs,
		}, () => this.#refusal(call, context) ?? this.#expiredGrant(reservation));
		settleReservation(outcome, reservation);
		return outcome;
	}

	/** Why the call must not be sent any more, or undefined. */
	#refusal(call: RoutedCall, context: SendContext): string | undefined {
		const now = this.#options.clock();
		if (call.signal.aborted) {
			return 'the caller left';
		}

		if (now >= call.deadline) {
			return 'the deadline passed';
		}

		if (now >= context.sendBefore) {
			return 'too much time passed since the claim was confirmed';
		}

		return context.mayStillSend();
	}

	#expiredGrant(reservation: PlainReservation): string | undefined {
		return this.#options.clock() >= reservation.validUntil ? 'the reservation expired' : undefined;
	}
}

/** Text that says why an outcome proves that the request did not run; undefined when it does not. */
export function proofOfNotRun(outcome: SentOnceOutcome | PlainOutcome): string | undefined {
	if (outcome.kind === 'not_sent') {
		return outcome.message;
	}

	const refused = outcome.kind !== 'unknown' && outcome.status === 503 && outcome.headers[NOT_RUN_HEADER] === 'true';
	return refused ? 'the backend server refused it without running it' : undefined;
}

function settleReservation(outcome: SentOnceOutcome, reservation: PlainReservation): void {
	const server = reservation.servers[0]!.id;
	switch (outcome.kind) {
		case 'not_sent': {
			reservation.release('not_sent');
			break;
		}

		case 'answered': {
			reservation.acknowledge({server, ...temperatureOf(outcome)});
			reservation.release('finished');
			break;
		}

		case 'broken': {
			reservation.acknowledge({server, ...temperatureOf(outcome)});
			reservation.release('failed');
			break;
		}

		case 'unknown': {
			reservation.release('silent');
			break;
		}
	}
}

function resultOf(outcome: SentOnceOutcome, reservation: PlainReservation): SendResult {
	const {address} = reservation.servers[0]!;
	switch (outcome.kind) {
		case 'answered': {
			const result: PlainAnswer = {...outcome, headers: responseHeaders(outcome.headers)};
			return {kind: 'ran', response: storedResponse(outcome), result};
		}

		case 'broken': {
			const failed = failure({
				code: 'backend_failed', message: `${address} answered ${outcome.status}, but its answer broke off: ${outcome.message}`, ran: 'ran', step: 'send', peer: address,
			});
			return {kind: 'ran', response: {status: outcome.status, contentType: ''}, result: failed};
		}

		case 'not_sent': {
			return {kind: 'not_run', failed: notRunFailure(outcome.message, reservation)};
		}

		case 'unknown': {
			return {
				kind: 'unknown',
				failed: failure({
					code: 'backend_failed', message: `${address} did not answer the operation, which may have run: ${outcome.message}`, ran: 'unknown', step: 'send', peer: address,
				}),
			};
		}
	}
}

const notRunFailure = (message: string, reservation: PlainReservation): Failure => failure({
	code: 'backend_failed', message: `the operation was not run: ${message}`, ran: 'not_run', step: 'connect', peer: reservation.servers[0]!.address, retryAfterMs: 1000,
});

function storedResponse({status, headers, body}: PlainHead & {readonly body: Buffer}): StoredResponse {
	const {'content-type': contentType = ''} = headers;
	const isKept = body.length <= MAX_STORED_BODY_BYTES && isUtf8(body) && headers['content-encoding'] === undefined;
	const head = {status, contentType: String(contentType)};
	return isKept ? {...head, body: body.toString('utf8')} : head;
}
