/** Runs one model request to its end: reserve, attempt, and again where a retry is permitted. */
import type {AdmittedRequest} from '../admission/model-admission.js';
import type {DoneEvent} from '../backend/engine-protocol.js';
import type {TokenSink} from '../streams/token-relay.js';
import {failure, type Failure, type Ran} from '../util/failure.js';
import {prefixHashes} from '../util/prefix-hash.js';
import {RetryBudget} from '../util/retry-budget.js';
import {runAttempt, type AttemptOutcome, type AttemptParts} from './model-attempt.js';
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
	exclude: string[];
};

/** Executes model requests of one daemon. */
export class ModelRunner {
	static create(parts: ModelRunnerParts): ModelRunner {
		return new ModelRunner(parts, RetryBudget.create(RETRIES_PER_REQUEST));
	}

	private constructor(private readonly parts: ModelRunnerParts, private readonly budget: RetryBudget) {}

	/** Runs a request. It finishes or fails within its deadline. Does not throw. */
	async run(run: ModelRun): Promise<Finished | Failure> {
		const {request} = run;
		const {clock} = this.parts;
		this.budget.recordRequest();
		const remainingMs = Math.max(0, Math.ceil(request.deadline - clock()));
		const signal = AbortSignal.any([run.signal, AbortSignal.timeout(remainingMs)]);
		const history: History = {ran: 'not_run', attempts: 0, exclude: []};
		const hashes = prefixHashes(request.prompt);
		for (;;) {
			const grant = await this.parts.reservations.reserve(request.service, {
				workspace: request.workspace.name,
				priority: request.priority,
				weight: request.workspace.weight,
				lengthClass: request.lengthClass,
				promptTokens: request.promptTokens,
				kvTokens: request.promptTokens + request.maxTokens,
				prefixHashes: hashes,
				exclude: history.exclude,
				deadline: request.deadline,
			}, signal);
			if (grant.kind === 'failure') {
				return {...grant, ran: history.ran};
			}

			history.attempts++;
			const outcome = await runAttempt(this.parts, {...run, grant, signal});
			const ended = this.#judge(run, outcome, history);
			if (ended) {
				return ended;
			}

			this.parts.logger.warn('request_retry', {request: run.requestId, attempt: history.attempts, message: 'message' in outcome ? outcome.message : ''});
		}
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

				return this.#retryOr(backendFailure(outcome.message, history.ran, outcome.blamed?.address));
			}

			case 'broken': {
				history.ran = combineRan(history.ran, outcome.ran);
				history.exclude.push(outcome.blamed.id);
				const failed = backendFailure(outcome.message, history.ran, outcome.blamed.address);
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
