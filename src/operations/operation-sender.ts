/**
 * Sends a claimed operation so that it runs at most once. Another backend server is tried only if the previous one provably
 * did not run the operation.
 */
import {type Buffer, isUtf8} from 'node:buffer';
import {
	NOT_RUN_HEADER, type PlainResponseHead, type PlainSendOutcome, type SentOnceOutcome,
} from '../backend/plain-service-protocol.js';
import {processStateOf} from '../backend/plain-service-client.js';
import type {StoredResponse} from '../peer/protocol.js';
import {failure, type Failure} from '../util/failure.js';
import {operationHeaders, responseHeaders} from './plain-headers.js';
import type {
	PlainAnswer, PlainReservation, PlainResult, RoutedCall, SenderOptions,
} from './plain-call.js';

const MAX_BACKEND_SERVERS = 3;

/** Maximum size of a response body that is stored with a claim, to answer repeats. */
const MAX_STORED_BODY_BYTES = 4096;

/** Conditions for sending. `mayStillSend` is called right before the first byte is sent; a text says why it may not be. */
export type SendContext = {
	readonly operation: string;
	/** Monotonic ms from which the operation must not be sent any more. */
	readonly sendBefore: number;
	readonly mayStillSend: () => string | undefined;
};

/**
 * Result of sending an operation.
 * - `not_run`: the operation provably did not run; the claim can be released
 * - `ran`: the service answered; repeats receive `response`
 * - `unknown`: the operation may have run; the claim remains held
 */
export type SendResult =
	| {readonly kind: 'not_run'; readonly failed: Failure}
	| {readonly kind: 'ran'; readonly response: StoredResponse; readonly result: PlainResult}
	| {readonly kind: 'unknown'; readonly failed: Failure};

/** Reserves capacity for operations and sends them. */
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
			const notRunReason = reasonNotRun(outcome);
			if (notRunReason === undefined) {
				return resultOf(outcome, reservation);
			}

			exclude.push(reservation.servers[0]!.id);
			const stop = this.#reasonNotToSend(call, context);
			if (stop !== undefined || exclude.length >= MAX_BACKEND_SERVERS) {
				return {kind: 'not_run', failed: notRunFailure(stop ?? notRunReason, reservation)};
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
		}, () => this.#reasonNotToSend(call, context) ?? this.#expiryReason(reservation));
		settleReservation(outcome, reservation);
		return outcome;
	}

	/** Returns the reason why the call must not be sent any more, or undefined. */
	#reasonNotToSend(call: RoutedCall, context: SendContext): string | undefined {
		const now = this.#options.clock();
		if (call.signal.aborted) {
			return 'the caller disconnected';
		}

		if (now >= call.deadline) {
			return 'the deadline passed';
		}

		if (now >= context.sendBefore) {
			return 'the send window after the confirmation of the claim has passed';
		}

		return context.mayStillSend();
	}

	#expiryReason(reservation: PlainReservation): string | undefined {
		return this.#options.clock() >= reservation.validUntil ? 'the reservation expired' : undefined;
	}
}

/** Returns the reason why the outcome proves that the request did not run; undefined if it does not prove that. */
export function reasonNotRun(outcome: SentOnceOutcome | PlainSendOutcome): string | undefined {
	if (outcome.kind === 'not_sent') {
		return outcome.message;
	}

	const refused = outcome.kind !== 'unknown' && outcome.status === 503 && outcome.headers[NOT_RUN_HEADER] === 'true';
	return refused ? 'the backend server refused the request without running it' : undefined;
}

function settleReservation(outcome: SentOnceOutcome, reservation: PlainReservation): void {
	const server = reservation.servers[0]!.id;
	switch (outcome.kind) {
		case 'not_sent': {
			reservation.release('not_sent');
			break;
		}

		case 'answered': {
			reservation.acknowledge({server, ...processStateOf(outcome)});
			reservation.release('finished');
			break;
		}

		case 'broken': {
			reservation.acknowledge({server, ...processStateOf(outcome)});
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
				code: 'backend_failed', message: `${address} answered with status ${outcome.status}, but the response body was incomplete: ${outcome.message}`, ran: 'ran', step: 'send', peer: address,
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

function storedResponse({status, headers, body}: PlainResponseHead & {readonly body: Buffer}): StoredResponse {
	const {'content-type': contentType = ''} = headers;
	const isKept = body.length <= MAX_STORED_BODY_BYTES && isUtf8(body) && headers['content-encoding'] === undefined;
	const head = {status, contentType: String(contentType)};
	return isKept ? {...head, body: body.toString('utf8')} : head;
}
