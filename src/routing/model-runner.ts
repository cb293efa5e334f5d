/** Runs one model request to its end: reserve, attempt, and again where a retry is permitted. */
import type {AdmittedRequest} from '../admission/model-admission.js';
import type {DoneEvent} from '../backend/engine-protocol.js';
import type {TokenSink} from '../streams/token-relay.js';
import {failure, type Failure, type Ran} from '../util/failure.js';
import {LimitedSignal} from '../util/limited-signal.js';
import {prefixHashes} from '../util/prefix-hash.js';
import {RetryBudget} from '../util/retry-budget.js';
import {runAttempt, type AttemptOutcome, type AttemptParts} from './model-attempt.js';
import type {Grant} from './reservation.js';
import type {Reservations} from './reservations.js';

const RETRY_AFTER_MS = 1000;
const RETRIES_PER_REQUEST = 0.2;

export type ModelRun = {
	/** Id under which the request is logged. */
	readonly requestId: string;
	readonly request: AdmittedRequest;
	readonly sink: TokenSink;
	/** Aborted when the caller leaves. */
	readonly signal: AbortSignal;
};

/** A complete response, whose text the sink has received. */
export type Finished = {
	readonly kind: 'finished';
	readonly done: DoneEvent;
	readonly attempts: number;
	/** Monotonic ms of the first token; undefined for an empty response. */
	readonly firstTokenAt: number | undefined;
};

export type ModelRunnerParts = AttemptParts & {readonly reservations: Reservations};

/** What earlier attempts of a request have shown. */
type History = {
	ran: Ran;
	attempts: number;
	/** Ids of backend servers that failed the request. */
	exclude: string[];
	failed?: Failure;
};

/** Executes model requests of one daemon. */
export class ModelRunner {
	static create(parts: ModelRunnerParts): ModelRunner {
		return new ModelRunner(parts, RetryBudget.create(RETRIES_PER_REQUEST));
	}

	private constructor(private readonly parts: ModelRunnerParts, private readonly budget: RetryBudget) {}

	/** Runs a request. It finishes or fails within its deadline. Does not throw. */
	async run(run: ModelRun): Promise<Finished | Failure> {
		this.budget.recordRequest();
		const timeoutMs = Math.max(0, Math.ceil(run.request.deadline - this.parts.clock()));
		const limit = LimitedSignal.create(timeoutMs, run.signal);
		try {
			return await this.#attempts(run, limit.signal);
		} finally {
			limit.close();
		}
	}

	async #attempts(run: ModelRun, signal: AbortSignal): Promise<Finished | Failure> {
		const history: History = {ran: 'not_run', attempts: 0, exclude: []};
		const hashes = prefixHashes(run.request.prompt);
		for (;;) {
			const grant = await this.#reserve(run.request, hashes, history, signal);
			if (grant.kind === 'failure') {
				// The failure of an attempt says more than the lack of another backend server.
				return grant.code === 'no_capacity' && history.failed ? history.failed : {...grant, ran: history.ran};
			}

			history.attempts++;
			const outcome = await runAttempt(this.parts, {...run, grant, signal});
			const ended = this.#judge(run, outcome, history);
			if (ended) {
				return ended;
			}

			this.parts.logger.warn('request_retry', {request: run.requestId, attempt: history.attempts, message: history.failed?.message});
		}
	}

	async #reserve(request: AdmittedRequest, hashes: readonly string[], {exclude}: History, signal: AbortSignal): Promise<Grant | Failure> {
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

	/** The result of a request after an attempt, or undefined when it is tried again. */
	#judge(run: ModelRun, outcome: AttemptOutcome, history: History): Finished | Failure | undefined {
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
				if (outcome.blamed) {
					history.exclude.push(outcome.blamed.id);
				}

				history.failed = backendFailure(outcome.message, history.ran, outcome.blamed?.address);
				return this.#retryOr(history.failed);
			}

			case 'broken': {
				history.ran = combineRan(history.ran, outcome.ran);
				if (outcome.blamed) {
					history.exclude.push(outcome.blamed.id);
				}

				const failed = backendFailure(outcome.message, history.ran, outcome.blamed?.address);
				history.failed = failed;
				if (outcome.expired) {
					return {...failed, code: 'deadline_exceeded'};
				}

				// Text that the caller has received cannot be taken back, and another engine may continue it differently.
				return outcome.tokens > 0 ? failed : this.#retryOr(failed);
			}
		}
	}

	/** Takes a retry from the budget, or returns the failure. */
	#retryOr(failed: Failure): Failure | undefined {
		return this.budget.tryRetry() ? undefined : failed;
	}
}

/** Whether any attempt ran: the least reassuring answer wins. */
function combineRan(before: Ran, now: Ran): Ran {
	if (before === 'ran' || now === 'ran') {
		return 'ran';
	}

	return before === 'unknown' || now === 'unknown' ? 'unknown' : 'not_run';
}

function backendFailure(message: string, ran: Ran, peer: string | undefined): Failure {
	return failure({
		code: 'backend_failed', message, ran, step: ran === 'not_run' ? 'send' : 'stream', peer, retryAfterMs: RETRY_AFTER_MS,
	});
}

function stoppedFailure({signal}: ModelRun, ran: Ran): Failure {
	return signal.aborted
		? failure({
			code: 'caller_left', message: 'the caller closed the connection', ran, step: 'stream',
		})
		: failure({
			code: 'deadline_exceeded', message: 'the deadline passed before the response was complete', ran, step: 'stream',
		});
}
