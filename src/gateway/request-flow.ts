/** Runs one request: chooses a server, sends, and decides after each attempt whether to retry, deliver or fail. */
import type {BackendServer} from '../fleet/backend-server.js';
import type {LoadExchange} from '../fleet/load-exchange.js';
import type {ResponseBuffers} from '../forwarding/response-buffers.js';
import {SOUND_EVENTS} from '../quarantine/crash-evidence.js';
import {parseSubject, type RequestSubjects} from '../quarantine/crash-subject.js';
import type {PromptQuarantine, RefusedSubject} from '../quarantine/prompt-quarantine.js';
import type {Clock} from '../util/clock.js';
import {failure, type Failure, type FailureCode} from '../util/failure.js';
import type {Logger} from '../util/logger.js';
import type {RetryBudget} from '../util/retry-budget.js';
import {
	runAttempt, type BufferedResponse, type AttemptResult,
} from './attempt.js';
import {ClientResponse} from './client-response.js';
import {clientSilenceLimitMs, type GatewayRequest} from './gateway-request.js';
import {MemoryReservation, type MemoryOrders} from './memory-reservation.js';
import {retryAdviceMs, type RefusalCause} from './retry-advice.js';
import {
	canRunAgain, nextStep, type AttemptOutcome, type NextStep, type RetryState,
} from './retry-policy.js';
import {
	chooseServer, limitWaitMs, type ServerChoice, type ChoiceParts,
} from './server-choice.js';
import type {WireFormat} from './wire-format.js';

/** A retryable request without a stream is sent to another server after this multiple of its target latency. */
const NON_STREAM_SILENCE_TARGETS = 2;
/** A resumable stream is continued on another server after this share of the client's silence limit without an event. */
const STREAM_SILENCE_SHARE = 0.5;
/** A silent engine is not abandoned before this multiple of the expected time to the first event. */
const EXPECTED_TIME_FACTOR = 2;
/** A prompt is refused at once if its first event is expected after this share of the client's silence limit. */
const MAX_EXPECTED_SHARE = 0.9;
/**
 * Time in ms for which a server is excluded whose address now belongs to another one: three heartbeats of 1.2 s and a
 * margin, after which its registration has expired. It registers again under a new id.
 */
const MOVED_EXCLUSION_MS = 6000;
/** Time in ms for which a server is excluded if nothing listens on its address; a restart takes one or two seconds. */
const REFUSED_EXCLUSION_MS = 1500;
const FIRST_SERVER_ERROR_STATUS = 500;
/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429]);

export type FlowParts = ChoiceParts & {
	readonly wire: WireFormat;
	readonly loadExchange: LoadExchange;
	readonly memoryOrders: MemoryOrders;
	readonly quarantine: PromptQuarantine;
	/** Memory of responses, shared by all requests of this daemon. */
	readonly buffers: ResponseBuffers;
	readonly clock: Clock;
	readonly logger: Logger;
	retryBudget(service: string): RetryBudget;
	/** Random number between 0 and 1. */
	random(): number;
};

/** Result of a request, for logs and metrics. */
export type FlowResult = {
	readonly outcome: 'delivered' | 'answered' | 'failed' | 'left';
	readonly status: number;
	readonly sends: number;
	/** Time in ms to the first event of a stream, and the longest pause between events. */
	readonly firstEventMs?: number;
	readonly longestGapMs?: number;
	readonly failure?: Failure;
};

export class RequestFlow {
	static create(parts: FlowParts, request: GatewayRequest): RequestFlow {
		return new RequestFlow(parts, request);
	}

	readonly #subjects: RequestSubjects;
	readonly #excluded = new Set<string>();
	readonly #response: ClientResponse;
	#runs = 0;
	#sends = 0;
	#receivedSends = 0;

	private constructor(private readonly parts: FlowParts, private readonly request: GatewayRequest) {
		this.#subjects = {parts: request.metadata.sharedParts, identity: request.identity};
		this.#response = ClientResponse.create(request, parts.clock);
	}

	async run(): Promise<FlowResult> {
		const {parts, request} = this;
		parts.retryBudget(request.service.name).recordRequest();
		for (;;) {
			const now = parts.clock();
			const choice = this.#choose(now);
			if (choice.kind === 'refused') {
				return this.#fail(choice.failure);
			}

			const result = await this.#attempt(choice.choice, now);
			const next = nextStep(result.outcome, this.#retryState(parts.clock()));
			if (result.outcome.kind !== 'delivered' && result.outcome.kind !== 'left') {
				this.#recordAttempt(choice.choice, result, next.kind);
			}

			if (next.kind !== 'deliver') {
				result.response?.account.close();
			}

			switch (next.kind) {
				case 'repeat': {
					continue;
				}

				case 'finished': {
					return this.#finish(result.outcome.kind === 'left' ? 'left' : 'delivered');
				}

				case 'deliver': {
					return this.#deliver(result.response!);
				}

				case 'fail': {
					return this.#fail(failure({
						code: failureCode(next),
						message: next.reason,
						ran: next.ran,
						step: 'send',
						peer: choice.choice.server.instanceId,
						retryAfterMs: next.ran === 'not_run' ? this.#retryAdviceMs({kind: 'full'}, parts.clock()) : undefined,
					}));
				}
			}
		}
	}

	#choose(now: number): {readonly kind: 'chosen'; readonly choice: ServerChoice} | {readonly kind: 'refused'; readonly failure: Failure} {
		const {parts, request} = this;
		const refused = parts.quarantine.findRefused(this.#subjects, now);
		if (refused) {
			return {kind: 'refused', failure: this.#quarantineFailure(refused)};
		}

		const choice = chooseServer(parts, request, {excluded: this.#excluded, sends: this.#sends}, now);
		const ran = this.#runs === 0 ? 'not_run' : 'unknown';
		if (!choice) {
			const waitMs = limitWaitMs(parts, request, now);
			return {
				kind: 'refused',
				failure: failure({
					code: ran === 'not_run' ? 'no_capacity' : 'backend_failed',
					message: `no available backend server for service ${request.service.name}${waitMs === undefined ? '' : ' takes a further request now'}`,
					ran,
					step: 'reserve',
					retryAfterMs: this.#retryAdviceMs(waitMs === undefined ? {kind: 'no_server'} : {kind: 'limited', waitMs}, now),
				}),
			};
		}

		const silenceLimitMs = clientSilenceLimitMs(request.route);
		const limitMs = MAX_EXPECTED_SHARE * silenceLimitMs;
		if (ran === 'not_run' && choice.expectedMs > limitMs) {
			return {
				kind: 'refused',
				failure: failure({
					code: 'overloaded',
					message: `expected time to the first event (${Math.round(choice.expectedMs)} ms) is too long for the client's limit of ${silenceLimitMs} ms`,
					ran,
					step: 'reserve',
					retryAfterMs: this.#retryAdviceMs({kind: 'too_late', expectedMs: choice.expectedMs, limitMs}, now),
				}),
			};
		}

		return {kind: 'chosen', choice};
	}

	#quarantineFailure({subject: id, remainingMs}: RefusedSubject): Failure {
		const subject = parseSubject(id);
		const hasRun = this.#runs > 0;
		const fields = {ran: hasRun ? 'unknown' : 'not_run', step: 'reserve', retryAfterMs: hasRun ? undefined : remainingMs} as const;
		const seconds = Math.ceil(remainingMs / 1000);
		switch (subject.kind) {
			case 'part': {
				return failure({
					...fields,
					code: hasRun ? 'backend_failed' : 'prompt_quarantined',
					message: `the prompt contains the part ${subject.part}, on which engines crash; requests with it are refused for another ${seconds} s`,
				});
			}

			case 'request': {
				return failure({
					...fields,
					code: hasRun ? 'backend_failed' : 'request_quarantined',
					message: `backend servers crash on this request, whose identity is ${subject.identity}; its repeats are refused for another ${seconds} s`,
				});
			}
		}
	}

	#retryAdviceMs(cause: RefusalCause, now: number): number {
		return retryAdviceMs(cause, this.request.deadline - now, this.parts.random());
	}

	async #attempt(choice: ServerChoice, now: number): Promise<AttemptResult> {
		const {parts, request} = this;
		const subjects = this.#subjects;
		const {placement} = choice;
		this.#sends++;
		parts.logger.info('placed', {
			request: request.id,
			server: choice.server.instanceId,
			helpers: choice.helpers.length,
			prompt_tokens: request.metadata.promptTokens,
			reserved_tokens: choice.reserved.reduce((sum, {tokens}) => sum + tokens, 0),
			expected_ms: Math.round(choice.expectedMs),
			considered: choice.considered,
			send: this.#sends,
		});
		parts.loadExchange.openPlacement(placement, now);
		let memory: MemoryReservation | undefined;
		let isAnswered = false;
		try {
			if (choice.reserved.length > 0) {
				const acquired = await MemoryReservation.acquire({orders: parts.memoryOrders, clock: parts.clock, logger: parts.logger}, request.id, choice.reserved);
				if (acquired.kind === 'refused') {
					return {
						outcome: {kind: 'rejected', reason: acquired.reason}, mayHaveRun: false, isUnsent: true, faultyAddress: acquired.server.address,
					};
				}

				memory = acquired.reservation;
			}

			const result = await runAttempt({
				memory,
				wire: parts.wire,
				clock: parts.clock,
				request,
				choice,
				sink: this.#response,
				buffers: parts.buffers,
				silenceTimeoutMs: this.#silenceTimeoutMs(choice),
				canRetry: () => canRunAgain({...this.#retryState(parts.clock()), runs: this.#runs + 1}),
				onMetadata: ({isMisdirected, isLeaving, closedForMs, maxRequestsPerSecond}) => {
					if (!isMisdirected) {
						this.#recordLimit(choice.server, maxRequestsPerSecond, {sentAt: now, now: parts.clock()});
					}

					if (closedForMs !== undefined) {
						this.#recordClosed(choice.server, closedForMs, parts.clock());
					}

					if (isLeaving) {
						this.#recordLeaving(choice.server, parts.clock());
					}
				},
				onEvent(events) {
					if (events === 1) {
						parts.loadExchange.startPlacement(placement.id, parts.clock());
					}

					if (events === SOUND_EVENTS) {
						parts.quarantine.reportWritten(subjects, parts.clock());
					}
				},
				signal: this.#response.signal,
			});
			this.#runs += result.mayHaveRun ? 1 : 0;
			this.#receivedSends += result.isUnsent ? 0 : 1;
			isAnswered = hasRun(result.outcome);
			this.#reportSubjects(choice, result, parts.clock());
			return result;
		} finally {
			parts.loadExchange.closePlacement(placement.id, isAnswered);
			void memory?.release();
		}
	}

	#silenceTimeoutMs(choice: ServerChoice): number {
		const {route} = this.request;
		return route.kind.kind === 'stream'
			? Math.max(STREAM_SILENCE_SHARE * clientSilenceLimitMs(route), EXPECTED_TIME_FACTOR * choice.expectedMs)
			: NON_STREAM_SILENCE_TARGETS * route.targetLatencyMs;
	}

	#retryState(now: number): RetryState {
		const {route, deadline, service} = this.request;
		return {
			kind: route.kind,
			maxAttempts: this.parts.quarantine.allowsRetry(this.#subjects, now) ? route.maxAttempts : this.#runs,
			runs: this.#runs,
			sends: this.#sends,
			receivedSends: this.#receivedSends,
			timeLeftMs: deadline - now,
			tryBudget: () => this.parts.retryBudget(service.name).tryRetry(),
		};
	}

	/** Records a limit that the server names, or that it no longer does, and tells the other daemons. */
	#recordLimit({id, instanceId}: BackendServer, perSecond: number | undefined, {sentAt, now}: {readonly sentAt: number; readonly now: number}): void {
		const {limits, loadExchange, logger} = this.parts;
		const notice = limits.recordResponse({server: id, perSecond}, sentAt, now);
		if (notice) {
			loadExchange.broadcastLimit(notice);
			logger.info('server_limited', {server: instanceId, per_second: perSecond});
		}
	}

	#recordClosed({id, instanceId}: BackendServer, ms: number, now: number): void {
		const {limits, logger} = this.parts;
		limits.recordClosed(id, now + ms);
		logger.info('server_closed', {server: instanceId, ms: Math.round(ms)});
	}

	/** Other daemons prefer other servers; this one, which has the server's own word, sends it nothing. */
	#recordLeaving({id, instanceId, isDraining}: BackendServer, now: number): void {
		const {fleet, loadExchange, logger} = this.parts;
		if (fleet.markLeaving(id, now)) {
			loadExchange.broadcastLost(id, MOVED_EXCLUSION_MS);
			logger.info('server_leaving', {server: instanceId, source: 'response', was_draining: isDraining});
		}
	}

	/** Reports whether the server wrote the answer or ended before. */
	#reportSubjects({server}: ServerChoice, {outcome, isDisconnected, events = 0}: AttemptResult, now: number): void {
		const {quarantine} = this.parts;
		if (outcome.kind === 'delivered') {
			quarantine.reportWritten(this.#subjects, now);
		} else if (hasRun(outcome)) {
			quarantine.reportAnswered(this.#subjects, now);
		} else if (isDisconnected && events < SOUND_EVENTS) {
			quarantine.reportCrash({server: server.id, request: this.request.id, subjects: this.#subjects}, now);
		}
	}

	/** Records the outcome in the health of the server at fault, and excludes that server from further attempts. */
	#recordAttempt(choice: ServerChoice, result: AttemptResult, next: string): void {
		const {parts, request} = this;
		const {outcome, faultyAddress, lostReason} = result;
		const faultyServer = [choice.server, ...choice.helpers].find(({address}) => address === faultyAddress) ?? choice.server;
		const isSuccess = outcome.kind === 'answered' && outcome.status < 500;
		const now = parts.clock();
		parts.health.recordOutcome(faultyServer.id, isSuccess, now);
		if (faultyServer !== choice.server && faultyServer.failureDomain !== choice.server.failureDomain) {
			parts.partitions.record(faultyServer.failureDomain, choice.server.failureDomain, now);
		}

		if (lostReason !== undefined) {
			this.#excludeLost(faultyServer, lostReason, now);
		}

		this.#excluded.add(faultyServer.id);
		if (!isSuccess) {
			parts.logger.warn('attempt_failed', {
				request: request.id,
				identity: request.identity.digest,
				server: faultyServer.instanceId,
				outcome: outcome.kind,
				reason: 'reason' in outcome ? outcome.reason : undefined,
				status: 'status' in outcome ? outcome.status : undefined,
				events: result.events,
				disconnected: result.isDisconnected,
				parts: request.metadata.sharedParts.join(','),
				route: request.route.name,
				workspace: request.workspace?.name,
				next,
			});
		}
	}

	/** Excludes a server here and at the other daemons, which would otherwise each lose a request to find out the same. */
	#excludeLost({id, instanceId}: BackendServer, lostReason: 'moved' | 'refused', now: number): void {
		const {fleet, loadExchange, logger} = this.parts;
		const ms = lostReason === 'moved' ? MOVED_EXCLUSION_MS : REFUSED_EXCLUSION_MS;
		if (fleet.markLost(id, now + ms, now)) {
			logger.info('server_lost', {server: instanceId, ms, reason: lostReason});
			loadExchange.broadcastLost(id, ms);
		}
	}

	#finish(outcome: 'delivered' | 'left'): FlowResult {
		if (outcome === 'delivered') {
			this.#response.end();
		}

		return {
			outcome, status: outcome === 'delivered' ? 200 : 499, sends: this.#sends, ...this.#response.timing,
		};
	}

	#deliver(response: BufferedResponse): FlowResult {
		this.#response.sendBuffered(response);
		return {outcome: 'answered', status: response.status, sends: this.#sends};
	}

	#fail(failed: Failure): FlowResult {
		const status = this.#response.fail(failed, this.parts.wire.formatRetryAfter);
		return {
			outcome: 'failed', status, sends: this.#sends, ...this.#response.timing, failure: failed,
		};
	}
}

function failureCode({ran, isExpired}: Extract<NextStep, {kind: 'fail'}>): FailureCode {
	if (ran === 'not_run') {
		return 'no_capacity';
	}

	return isExpired ? 'deadline_exceeded' : 'backend_failed';
}

/** Whether the answer shows that the server has run the request. It may fail requests before it begins to run them. */
const hasRun = (outcome: AttemptOutcome): boolean =>
	outcome.kind === 'answered' && outcome.status < FIRST_SERVER_ERROR_STATUS && !NOT_RUN_STATUSES.has(outcome.status);
