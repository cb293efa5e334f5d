/** Runs model requests: reserves capacity, runs an attempt, and repeats both where a retry is permitted. */
import type {AdmittedRequest} from '../admission/model-admission.js';
import type {DoneEvent} from '../backend/engine-protocol.js';
import type {TokenSink} from '../streams/token-relay.js';
import {failure, type Failure, type RunState} from '../util/failure.js';
import {LimitedSignal} from '../util/limited-signal.js';
import {prefixHashes} from '../util/prefix-hash.js';
import {RetryBudget} from '../util/retry-budget.js';
import {runAttempt, type AttemptOutcome, type AttemptParts} from './model-attempt.js';
import type {Grant} from './reservation.js';
import type {Reservations} from './reservations.js';

const RETRY_AFTER_MS = 1000;
const RETRIES_PER_REQUEST = 0.2;

export type ModelRun = {
	/** Request id used in log lines. */
	readonly requestId: string;
	readonly request: AdmittedRequest;
	readonly sink: TokenSink;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** A complete response. The sink has received all of its text. */
export type FinishedRun = {
	readonly kind: 'finished';
	readonly done: DoneEvent;
	readonly attempts: number;
	/** Monotonic ms of the first token; undefined for an empty response. */
	readonly firstTokenAt: number | undefined;
};

export type ModelRunnerParts = AttemptParts & {readonly reservations: Reservations};

/** State of a request that accumulates over its attempts. */
type AttemptHistory = {
	ran: RunState;
	attempts: number;
	/** Ids of the backend servers that failed the request; not used for further attempts. */
	exclude: string[];
	lastFailure?: Failure;
};

/** Runs the model requests of one daemon under a common retry budget. */
export class ModelRunner {
	static create(parts: ModelRunnerParts): ModelRunner {
		return new ModelRunner(parts, RetryBudget.create(RETRIES_PER_REQUEST));
	}

	private constructor(private readonly parts: ModelRunnerParts, private readonly budget: RetryBudget) {}

	/** Runs a request until it finishes or fails, at the latest at its deadline. Does not throw. */
	async run(run: ModelRun): Promise<FinishedRun | Failure> {
		this.budget.recordRequest();
		const timeoutMs = Math.max(0, Math.ceil(run.request.deadline - this.parts.clock()));
		const limit = LimitedSignal.create(timeoutMs, run.signal);
		try {
			return await this.#runAttempts(run, limit.signal);
		} finally {
			limit.close();
		}
	}

	async #runAttempts(run: ModelRun, signal: AbortSignal): Promise<FinishedRun | Failure> {
		const history: AttemptHistory = {ran: 'not_run', attempts: 0, exclude: []};
		const hashes = prefixHashes(run.request.prompt);
		for (;;) {
			const grant = await this.#reserve(run.request, hashes, history, signal);
			if (grant.kind === 'failure') {
				// The failure of the last attempt is more useful to the caller than `no_capacity`.
				return grant.code === 'no_capacity' && history.lastFailure ? history.lastFailure : {...grant, ran: history.ran};
			}

			history.attempts++;
			const outcome = await runAttempt(this.parts, {...run, grant, signal});
			const result = this.#resultAfterAttempt(run, outcome, history);
			if (result) {
				return result;
			}

			this.parts.logger.warn('request_retry', {request: run.requestId, attempt: history.attempts, message: history.lastFailure?.message});
		}
	}

	async #reserve(request: AdmittedRequest, hashes: readonly string[], {exclude}: AttemptHistory, signal: AbortSignal): Promise<Grant | Failure> {
		return this.parts.reservations.reserve(request.service, {
			workspace: request.workspace.name,
			model: request.model,
			priority: request.priority,
			weight: request.workspace.weight,
			lengthClass: request.lengthClass,
			promptTokens: request.promptTokens,
			kvTokens: request.promptTokens + request.maxTokens,
			prefixHashes: hashes,
			exclude: [...exclude],
			deadline: request.deadline,
		}, signal);
	}

	/** Returns the result of the request after an attempt, or undefined when the request is to be retried. */
	#resultAfterAttempt(run: ModelRun, outcome: AttemptOutcome, history: AttemptHistory): FinishedRun | Failure | undefined {
		switch (outcome.kind) {
			case 'finished': {
				return {
					kind: 'finished', done: outcome.done, attempts: history.attempts, firstTokenAt: outcome.firstTokenAt,
				};
			}

			case 'stopped': {
				history.ran = combineRan(history.ran, outcome.ran);
				return stoppedFailure(run, history.ran);
			}

			case 'not_run': {
				if (outcome.faultyServer) {
					history.exclude.push(outcome.faultyServer.id);
				}

				history.lastFailure = backendFailure(outcome.message, history.ran, outcome.faultyServer?.address);
				return this.#retryOr(history.lastFailure);
			}

			case 'broken': {
				history.ran = combineRan(history.ran, outcome.ran);
				if (outcome.faultyServer) {
					history.exclude.push(outcome.faultyServer.id);
				}

				const failed = backendFailure(outcome.message, history.ran, outcome.faultyServer?.address);
				history.lastFailure = failed;
				if (outcome.expired) {
					return {...failed, code: 'deadline_exceeded'};
				}

				// No retry after the first token: the caller has received text, and another engine may generate a different continuation.
				return outcome.tokens > 0 ? failed : this.#retryOr(failed);
			}
		}
	}

	/** Consumes one retry from the budget; returns `failed` when the budget is exhausted. */
	#retryOr(failed: Failure): Failure | undefined {
		return this.budget.tryRetry() ? undefined : failed;
	}
}

/** Combines what is known about the execution of two attempts: `ran` overrides `unknown`, which overrides `not_run`. */
function combineRan(before: RunState, now: RunState): RunState {
	if (before === 'ran' || now === 'ran') {
		return 'ran';
	}

	return before === 'unknown' || now === 'unknown' ? 'unknown' : 'not_run';
}

function backendFailure(message: string, ran: RunState, peer: string | undefined): Failure {
	return failure({
		code: 'backend_failed', message, ran, step: ran === 'not_run' ? 'send' : 'stream', peer, retryAfterMs: RETRY_AFTER_MS,
	});
}

function stoppedFailure({signal}: ModelRun, ran: RunState): Failure {
	return signal.aborted
		? failure({
			code: 'caller_left', message: 'the caller closed the connection', ran, step: 'stream',
		})
		: failure({
			code: 'deadline_exceeded', message: 'the deadline passed before the response was complete', ran, step: 'stream',
		});
}
