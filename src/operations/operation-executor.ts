/**
 * Executes non-idempotent calls at most once: claims the operation, reserves capacity, sends the call, answers the caller and
 * settles the claim. A failure states whether the operation ran only if that is known.
 */
import {Buffer} from 'node:buffer';
import type {Directory} from '../membership/directory.js';
import type {ClaimAnswer, StoredResponse} from '../peer/protocol.js';
import {monotonicMs, wallClockMs, type Clock} from '../util/clock.js';
import {failure, type Failure} from '../util/failure.js';
import {pause} from '../util/pause.js';
import {
	digestRequest, IDEMPOTENCY_KEY_HEADER, isKeyRetained, parseOperationKey, type OperationIdentity,
} from './operation-key.js';
import type {OperationClaims} from './operation-claims.js';
import {OperationSender, type SendResult} from './operation-sender.js';
import {REPEATED_HEADER} from './plain-headers.js';
import {
	withRan, type PlainAnswer, type PlainResult, type RoutedCall, type SenderOptions,
} from './plain-call.js';

/** Maximum time between the confirmation of a claim and the first byte sent. A longer time means that the daemon was paused. */
export const SEND_WINDOW_MS = 2000;

/** Time limit for recording a claim. */
const CLAIM_TIMEOUT_MS = 3000;

/** A repeat checks the claim again this many times, after this pause, before it is answered with `operation_in_progress`. */
const MAX_RECHECKS = 2;
const RECHECK_PAUSE_MS = 250;

/** A held claim is considered in doubt after the route's time limit, the send window and this margin. */
const IN_DOUBT_MARGIN_MS = 1000;

export type OperationExecutorOptions = Omit<SenderOptions, 'clock'> & {
	readonly directory: Directory;
	readonly claims: OperationClaims;
	/** Pause before a repeat checks again whether the operation has ended; default 250 ms. */
	readonly recheckPauseMs?: number;
	readonly clock?: Clock;
	readonly wallClock?: Clock;
};

type Attempt = OperationIdentity & {
	readonly id: string;
	readonly retentionMs: number;
	/** Whether an earlier attempt may already have run the operation. */
	readonly mayHaveRun: boolean;
};

/** Executes the operations that this daemon receives. */
export class OperationExecutor {
	static create(options: OperationExecutorOptions): OperationExecutor {
		return new OperationExecutor(options);
	}

	readonly #options: OperationExecutorOptions;
	readonly #sender: OperationSender;
	readonly #clock: Clock;
	readonly #wallClock: Clock;
	#sequence = 0;

	private constructor(options: OperationExecutorOptions) {
		this.#options = options;
		this.#clock = options.clock ?? monotonicMs;
		this.#wallClock = options.wallClock ?? wallClockMs;
		this.#sender = OperationSender.create({reservations: options.reservations, client: options.client, clock: this.#clock});
	}

	/** Executes one call. Returns the service's response, the stored response of an earlier execution, or a failure. */
	async execute(call: RoutedCall): Promise<PlainResult> {
		const layout = await this.#options.claims.layout();
		if (!layout) {
			return claimUnavailable('the claim layout could not be read');
		}

		const {retentionMs} = layout;
		const header = call.headers[IDEMPOTENCY_KEY_HEADER];
		const context = {workspace: call.workspace.name, service: call.service.name, retentionMs};
		const identity = parseOperationKey(typeof header === 'string' ? header : undefined, context, this.#wallClock());
		if (identity.kind === 'failure') {
			return identity;
		}

		const attempt = {
			...identity, retentionMs, id: this.#nextAttempt(), mayHaveRun: false,
		};
		return this.#claimAndSend(call, attempt);
	}

	async #claimAndSend(call: RoutedCall, attempt: Attempt, rechecks = MAX_RECHECKS): Promise<PlainResult> {
		const {operation, keyTimeMs, id} = attempt;
		const answer = await this.#options.claims.claim({
			operation,
			keyTimeMs,
			attempt: id,
			requestDigest: digestRequest(call.method, call.path, call.body),
			remainingMs: Math.max(1, Math.min(CLAIM_TIMEOUT_MS, call.deadline - this.#clock())),
		});
		switch (answer.kind) {
			case 'claimed': {
				return this.#send(call, attempt);
			}

			case 'held': {
				return this.#answerHeld(call, attempt, answer, rechecks);
			}

			case 'done': {
				return storedAnswer(answer.response);
			}

			case 'mismatch': {
				return failure({
					code: 'operation_key_reused',
					message: 'Idempotency-Key was already used with a different method, path or body; this request was not run',
					ran: 'not_run',
					step: 'claim',
					param: IDEMPOTENCY_KEY_HEADER,
				});
			}

			case 'unavailable': {
				if (!answer.unwritten) {
					this.#release(attempt);
				}

				return claimUnavailable(answer.message);
			}
		}
	}

	async #send(call: RoutedCall, attempt: Attempt): Promise<PlainResult> {
		const sendBefore = this.#clock() + SEND_WINDOW_MS;
		const mayStillSend = () => isKeyRetained(attempt.keyTimeMs, attempt.retentionMs, this.#wallClock())
			? undefined
			: 'the claim may already have been deleted';
		const result = await this.#sender.send(call, {operation: attempt.operation, sendBefore, mayStillSend});
		return this.#settleResult(result, attempt);
	}

	#settleResult(sent: SendResult, attempt: Attempt): PlainResult {
		switch (sent.kind) {
			case 'not_run': {
				if (attempt.mayHaveRun) {
					return withRan(sent.failed, 'unknown');
				}

				this.#release(attempt);
				return sent.failed;
			}

			case 'ran': {
				const {operation, keyTimeMs, id} = attempt;
				this.#options.claims.settle({
					operation, keyTimeMs, attempt: id, result: {kind: 'done', response: sent.response},
				});
				return sent.result;
			}

			case 'unknown': {
				return sent.failed;
			}
		}
	}

	/** Answers a call whose claim is held by another attempt. A service that checks operation ids may receive the operation again once the holder is gone. */
	async #answerHeld(call: RoutedCall, attempt: Attempt, held: ClaimAnswer & {readonly kind: 'held'}, rechecks: number): Promise<PlainResult> {
		const isOverdue = held.ageMs > call.route.timeoutMs + SEND_WINDOW_MS + IN_DOUBT_MARGIN_MS;
		if (call.service.operationIdentity === 'checked' && (isOverdue || this.#isHolderGone(held.attempt))) {
			return this.#send(call, {...attempt, mayHaveRun: true});
		}

		if (isOverdue) {
			return operationInDoubt;
		}

		const {recheckPauseMs = RECHECK_PAUSE_MS} = this.#options;
		if (rechecks === 0 || call.signal.aborted || this.#clock() + recheckPauseMs >= call.deadline) {
			return operationInProgress;
		}

		await pause(recheckPauseMs, call.signal);
		return this.#claimAndSend(call, attempt, rechecks - 1);
	}

	#isHolderGone(holder: string): boolean {
		return !this.#options.directory.members().some(member => holder.startsWith(attemptPrefix(member)));
	}

	#release({operation, keyTimeMs, id}: Attempt): void {
		this.#options.claims.settle({
			operation, keyTimeMs, attempt: id, result: {kind: 'released'},
		});
	}

	#nextAttempt(): string {
		this.#sequence++;
		return `${attemptPrefix(this.#options.directory.self)}${this.#sequence}`;
	}
}

const attemptPrefix = (member: {readonly id: string; readonly incarnation: string}): string => `${member.id}.${member.incarnation}.`;

const operationInDoubt = failure({
	code: 'operation_in_doubt',
	message: 'an earlier request with this Idempotency-Key did not finish, so it is not known whether the operation ran; query the service for its state',
	ran: 'unknown',
	step: 'claim',
});

const operationInProgress = failure({
	code: 'operation_in_progress',
	message: 'an earlier request with this Idempotency-Key is still in progress; retry later to receive its response',
	ran: 'unknown',
	step: 'claim',
	retryAfterMs: 1000,
});

const claimUnavailable = (message: string): Failure => failure({
	code: 'claim_unavailable',
	message: `the request was not sent because its claim could not be recorded: ${message}`,
	ran: 'not_run',
	step: 'claim',
	retryAfterMs: 2000,
});

function storedAnswer({status, contentType, body}: StoredResponse): PlainAnswer | Failure {
	if (body === undefined) {
		return failure({
			code: 'operation_in_doubt', message: `the operation already ran and returned status ${status}; its response was not stored`, ran: 'ran', step: 'claim',
		});
	}

	const headers = contentType === '' ? {} : {'content-type': contentType};
	return {
		kind: 'answered', status, headers: {...headers, [REPEATED_HEADER]: 'true'}, body: Buffer.from(body, 'utf8'),
	};
}
