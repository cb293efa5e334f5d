/** Sends idempotent calls to plain services, retries on other backend servers and streams the response back. */
import type {Readable} from 'node:stream';
import type {PlainSendOutcome} from '../backend/plain-service-protocol.js';
import {processStateOf} from '../backend/plain-service-client.js';
import {failure, type Failure, type RunState} from '../util/failure.js';
import {RetryBudget} from '../util/retry-budget.js';
import {reasonNotRun} from './operation-sender.js';
import {requestHeaders, responseHeaders} from './plain-headers.js';
import {
	withRan, type PlainReservation, type PlainResult, type RoutedCall, type SenderOptions,
} from './plain-call.js';

const MAX_BACKEND_SERVERS = 3;
const RETRIES_PER_REQUEST = 0.2;

/** Sends calls that may safely run more than once. */
export class IdempotentSender {
	static create(options: SenderOptions): IdempotentSender {
		return new IdempotentSender(options);
	}

	readonly #options: SenderOptions;
	/** Retry budgets by service. */
	readonly #budgets = new Map<string, RetryBudget>();

	private constructor(options: SenderOptions) {
		this.#options = options;
	}

	async send(call: RoutedCall): Promise<PlainResult> {
		const budget = this.#budgetOf(call.service.name);
		budget.recordRequest();
		const exclude: string[] = [];
		let ran: RunState = 'not_run';
		for (;;) {
			const reservation = await this.#reserve(call, exclude);
			if (reservation.kind === 'failure') {
				return withRan(reservation, ran);
			}

			const outcome = await this.#sendTo(call, reservation);
			const notRunReason = reasonNotRun(outcome);
			if (outcome.kind === 'answered' && notRunReason === undefined) {
				return {...outcome, headers: responseHeaders(outcome.headers)};
			}

			ran = notRunReason === undefined ? 'unknown' : ran;
			exclude.push(reservation.servers[0]!.id);
			if (call.signal.aborted || this.#options.clock() >= call.deadline || exclude.length >= MAX_BACKEND_SERVERS || !budget.tryRetry()) {
				return this.#failureOf(call, notRunReason ?? describeOutcome(outcome), ran, reservation);
			}
		}
	}

	async #reserve(call: RoutedCall, exclude: readonly string[]): Promise<PlainReservation | Failure> {
		const {requestId, workspace, service, deadline, signal} = call;
		return this.#options.reservations.reserve({
			requestId, workspace, service, deadline, exclude: [...exclude],
		}, {signal, now: this.#options.clock()});
	}

	async #sendTo(call: RoutedCall, reservation: PlainReservation): Promise<PlainSendOutcome> {
		const now = this.#options.clock();
		if (now >= reservation.validUntil) {
			reservation.release('not_sent');
			return {kind: 'not_sent', message: 'the reservation expired before the call was sent'};
		}

		const {id, address} = reservation.servers[0]!;
		const outcome = await this.#options.client.send({
			address,
			method: call.method,
			path: call.path,
			headers: requestHeaders(call.headers, call.requestId),
			body: call.body,
			timeoutMs: Math.max(1, Math.min(call.deadline - now, call.route.timeoutMs)),
		}, call.signal);
		if (outcome.kind === 'answered') {
			reservation.acknowledge({server: id, ...processStateOf(outcome)});
			this.#releaseAfterBody(outcome.body, reservation, reasonNotRun(outcome) !== undefined);
		} else {
			reservation.release(releaseOutcome(call, outcome));
		}

		return outcome;
	}

	/** Releases the reservation when the body has ended or was aborted. */
	#releaseAfterBody(body: Readable, reservation: PlainReservation, isRefusal: boolean): void {
		body.once('close', () => {
			reservation.release(isRefusal || body.readableEnded ? 'finished' : 'failed');
		});
		if (isRefusal) {
			body.on('error', () => undefined);
			body.destroy();
		}
	}

	#failureOf(call: RoutedCall, message: string, ran: RunState, reservation: PlainReservation): Failure {
		const {address} = reservation.servers[0]!;
		const isLate = this.#options.clock() >= call.deadline;
		return failure({
			code: isLate ? 'deadline_exceeded' : 'backend_failed',
			message: `${call.method} ${call.path} at ${address}: ${message}`,
			ran,
			step: 'send',
			peer: address,
			retryAfterMs: 1000,
		});
	}

	#budgetOf(service: string): RetryBudget {
		const budget = this.#budgets.get(service) ?? RetryBudget.create(RETRIES_PER_REQUEST);
		this.#budgets.set(service, budget);
		return budget;
	}
}

function releaseOutcome(call: RoutedCall, outcome: PlainSendOutcome): 'not_sent' | 'cancelled' | 'failed' {
	if (outcome.kind === 'not_sent') {
		return 'not_sent';
	}

	return call.signal.aborted ? 'cancelled' : 'failed';
}

const describeOutcome = (outcome: PlainSendOutcome): string => outcome.kind === 'answered' ? `status ${outcome.status}` : outcome.message;
