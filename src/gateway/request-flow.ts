/** Runs one request: chooses a server, sends, and decides after each attempt whether to retry, deliver or fail. */
import {httpStatusOf} from '../http/error-response.js';
import type {RequestSubjects} from '../quarantine/crash-subject.js';
import {failure, type Failure, type FailureCode} from '../util/failure.js';
import {pause} from '../util/pause.js';
import {timerDelay} from '../util/timer-delay.js';
import {
	Attempt, type AttemptOptions, type AttemptResult, type AttemptTarget, type BufferedResponse, type HandOver,
} from './attempt.js';
import {AttemptRecords, hasRun} from './attempt-records.js';
import {ClientResponse} from './client-response.js';
import {DestinationChoice, type Destination, type Exclusions} from './destination-choice.js';
import type {FlowParts} from './flow-parts.js';
import {clientSilenceLimitMs, type GatewayRequest} from './gateway-request.js';
import {AttemptPreparation, type PreparedAttempt, type ServerAttempt} from './prepared-attempt.js';
import {
	canRunAgain, nextStep, type NextStep, type RetryState,
} from './retry-policy.js';

/** A retryable request without a stream is sent to another server after this multiple of its target latency. */
const NON_STREAM_SILENCE_TARGETS = 2;
/** A resumable stream is continued on another server after this share of the client's silence limit without an event. */
const STREAM_SILENCE_SHARE = 0.5;
/** A silent engine is not abandoned before this multiple of the expected time to the first event. */
const EXPECTED_TIME_FACTOR = 2;
/** A relaying host is given up after this multiple of the time after which it gives up a silent server itself. */
const RELAY_SILENCE_FACTOR = 2;
/** Interval in ms at which an interrupted stream looks for another server: several times before its client leaves after two seconds. */
const RESUME_INTERVAL_MS = 250;
/** Status in logs of a request whose client has disconnected. */
const CLIENT_LEFT_STATUS = 499;

/** Result of a request, for logs and metrics. */
export type FlowResult = {
	readonly outcome: 'delivered' | 'answered' | 'failed' | 'left';
	readonly status: number;
	readonly sends: number;
	/** Hosts that were asked to relay the request; undefined for none. */
	readonly hosts?: number;
	/** Time in ms to the first event of a stream, and the longest pause between events. */
	readonly firstEventMs?: number;
	readonly longestGapMs?: number;
	readonly failure?: Failure;
	/** Set if the request was ended from outside. */
	readonly stoppedBy?: StopReason['kind'];
};

/** Why a request is ended from outside: the daemon stops, or the deadline of the request has passed. */
export type StopReason = {readonly kind: 'shutdown'} | {readonly kind: 'overdue'};

export class RequestFlow {
	static create(parts: FlowParts, request: GatewayRequest): RequestFlow {
		return new RequestFlow(parts, request);
	}

	readonly #subjects: RequestSubjects;
	readonly #destinations: DestinationChoice;
	readonly #records: AttemptRecords;
	readonly #preparation: AttemptPreparation;
	#stoppedBy: StopReason['kind'] | undefined;
	readonly #response: ClientResponse;
	readonly #result: Promise<FlowResult>;
	#resolve!: (result: FlowResult) => void;
	#isEnded = false;
	#deadlineTimer: NodeJS.Timeout | undefined;
	#running: Attempt | undefined;
	#server: string | undefined;
	/** Takes over from the attempt that has just ended. */
	#next: PreparedAttempt | undefined;
	/** The stream has begun, and no server has it now. */
	#isInterrupted = false;
	#runs = 0;
	#sends = 0;
	#receivedSends = 0;

	private constructor(private readonly parts: FlowParts, private readonly request: GatewayRequest) {
		this.#subjects = {parts: request.metadata.sharedParts, identity: request.identity};
		this.#destinations = DestinationChoice.create(parts, request, this.#subjects);
		this.#records = AttemptRecords.create(parts, request, this.#subjects);
		this.#preparation = AttemptPreparation.create(parts, request.id, this.#records);
		this.#response = ClientResponse.create(request, parts.clock);
		this.#result = new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	/** Whether a backend server may have got the request, and the last one chosen, for logs. */
	get progress(): {readonly isSent: boolean; readonly server: string | undefined} {
		return {isSent: this.#mayHaveRun || this.#receivedSends > 0, server: this.#server};
	}

	/** Resolves when the response has been handed to the client's connection, or the client has disconnected. */
	async run(): Promise<FlowResult> {
		const {parts: {clock}, request} = this;
		const {signal} = this.#response;
		signal.addEventListener('abort', () => {
			this.#leave();
		}, {once: true});
		if (signal.aborted) {
			this.#leave();
		} else {
			this.#deadlineTimer = setTimeout(() => {
				this.stop({kind: request.isShortened ? 'shutdown' : 'overdue'}, clock());
			}, timerDelay(request.deadline - clock()));
			void this.#runToEnd();
		}

		return this.#result;
	}

	/**
	 * Ends the request at once with a failure, or breaks its stream off if that has begun. `run` resolves with it. Does nothing if the
	 * request has ended.
	 */
	stop(reason: StopReason, now: number): void {
		if (this.#isEnded) {
			return;
		}

		const running = this.#running;
		this.#stoppedBy = reason.kind;
		try {
			const ran = this.#mayHaveRun ? 'unknown' : 'not_run';
			if (reason.kind === 'shutdown') {
				this.request.closeConnection();
			}

			this.#fail(failure({
				...stopFailure(reason, ran),
				ran,
				step: 'send',
				retryAfterMs: ran === 'not_run' ? this.#destinations.retryAdviceMs({kind: reason.kind === 'shutdown' ? 'shutdown' : 'full'}, now) : undefined,
			}));
		} catch (err) {
			this.#failUnexpectedly(err);
		}

		running?.abort(reason.kind === 'overdue' ? 'expired' : 'request_ended');
	}

	/** Whether a backend server may have run the request, or may do so from what was sent. */
	get #mayHaveRun(): boolean {
		return this.#runs > 0 || (this.#running?.mayHaveRun ?? false);
	}

	/** The host that a relayed request came from counts each relay as one run. */
	get #maxRuns(): number {
		return this.request.isRelayed ? 1 : this.request.route.maxAttempts;
	}

	/** What can be said of the attempts that have ended. */
	get #ran(): 'not_run' | 'unknown' {
		return this.#runs === 0 ? 'not_run' : 'unknown';
	}

	#leave(): void {
		const running = this.#running;
		this.#end({
			outcome: 'left', status: CLIENT_LEFT_STATUS, sends: this.#sends, ...this.#response.timing,
		});
		running?.abort('request_ended');
	}

	#end(result: FlowResult): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			clearTimeout(this.#deadlineTimer);
			this.#resolve({...result, hosts: this.#destinations.relayTries === 0 ? undefined : this.#destinations.relayTries, stoppedBy: this.#stoppedBy});
		}
	}

	async #runToEnd(): Promise<void> {
		try {
			await this.#runAttempts();
		} catch (err) {
			this.#failUnexpectedly(err);
		}
	}

	#failUnexpectedly(err: unknown): void {
		this.#records.logError(err);
		this.#fail(failure({
			code: 'internal', message: 'this daemon failed to handle the request', ran: this.#mayHaveRun ? 'unknown' : 'not_run', step: 'send',
		}));
	}

	async #runAttempts(): Promise<void> {
		const {parts, request} = this;
		if (!request.isRelayed) {
			parts.retryBudget(request.service.name).recordRequest();
		}

		try {
			while (!this.#isEnded) {
				const prepared = this.#takeNext() ?? await (this.#isInterrupted ? this.#awaitNext() : this.#prepareNext());
				if (prepared) {
					this.#isInterrupted = false;
					await this.#attempt(prepared);
				}
			}
		} finally {
			this.#close(this.#takeNext(), false);
		}
	}

	/** Ends the request, or keeps its stream open if that has begun and may be resumed as soon as a server or a retry is available. */
	#failOrAwait(failed: Failure): void {
		this.#isInterrupted = this.#response.hasBegun && canRunAgain(this.#retryState(this.parts.clock()));
		if (this.#isInterrupted) {
			this.parts.logger.info('stream_interrupted', {request: this.request.id, last_event: this.#response.lastEventId, reason: failed.message});
		} else {
			this.#fail(failed);
		}
	}

	/** Looks for another attempt at an interrupted stream, after a pause. Servers that were silent or refused the request may take it now. */
	async #awaitNext(): Promise<PreparedAttempt | undefined> {
		await pause(RESUME_INTERVAL_MS);
		if (this.#isEnded) {
			return undefined;
		}

		const quarantined = this.#destinations.findQuarantine(this.#ran, this.parts.clock());
		if (quarantined) {
			this.#fail(quarantined);
			return undefined;
		}

		const next = await this.#prepareAnother(this.#runs, this.#destinations.exclusionsOfInterrupted);
		next?.accept();
		return this.#takeNext();
	}

	#takeNext(): PreparedAttempt | undefined {
		const next = this.#next;
		this.#next = undefined;
		return next;
	}

	/** Chooses a server and prepares an attempt. Returns undefined if that failed; the request has then ended, or another server may do. */
	async #prepareNext(): Promise<PreparedAttempt | undefined> {
		const now = this.parts.clock();
		const choice = this.#destinations.choose(this.#ran, now);
		switch (choice.kind) {
			case 'refused': {
				this.#failOrAwait(choice.failure);
				return undefined;
			}

			case 'host': {
				return choice;
			}

			case 'server': {
				const prepared = await this.#preparation.prepare(choice.choice, now);
				if (prepared.kind === 'prepared') {
					return prepared.attempt;
				}

				this.#sends++;
				this.#continueAfter({...choice, memory: undefined, placedAt: now}, prepared.result);
				return undefined;
			}
		}
	}

	/**
	 * Prepares an attempt at a server outside the first of the `exclusions` that leaves one, or through another host if this one has no
	 * path to the servers, and takes its token of the retry budget.
	 * `runs` counts the attempts that may have run or are running.
	 */
	async #prepareAnother(runs: number, exclusions: Exclusions): Promise<HandOver | undefined> {
		const budget = this.parts.retryBudget(this.request.service.name);
		let hasToken = false;
		try {
			const now = this.parts.clock();
			hasToken = canRunAgain({...this.#retryState(now), runs}) && budget.tryRetry();
			const another = hasToken ? await this.#prepareChoice(this.#destinations.chooseAnother(exclusions, now), now) : undefined;
			if (another) {
				hasToken = false;
				return {
					accept: () => {
						this.#next = another;
					},
					discard: () => {
						budget.giveBack();
						this.#close(another, false);
					},
				};
			}
		} catch (err) {
			this.#records.logError(err);
		}

		if (hasToken) {
			budget.giveBack();
		}

		return undefined;
	}

	async #prepareChoice(choice: Destination | undefined, now: number): Promise<PreparedAttempt | undefined> {
		if (choice?.kind !== 'server') {
			return choice;
		}

		const prepared = await this.#preparation.prepare(choice.choice, now);
		return prepared.kind === 'prepared' ? prepared.attempt : undefined;
	}

	/** Records an attempt, and ends the request unless another attempt follows. */
	#continueAfter(prepared: PreparedAttempt, result: AttemptResult): void {
		const next: NextStep = this.#next ? {kind: 'repeat'} : nextStep(result.outcome, this.#retryState(this.parts.clock()));
		if (result.outcome.kind !== 'delivered' && result.outcome.kind !== 'aborted') {
			this.#recordPrepared(prepared, result, next.kind);
		}

		if (next.kind !== 'deliver' || this.#isEnded) {
			result.response?.account.close();
		}

		if (this.#isEnded) {
			return;
		}

		switch (next.kind) {
			case 'repeat': {
				return;
			}

			case 'finished': {
				this.#finish();
				return;
			}

			case 'deliver': {
				this.#deliver(result.response!);
				return;
			}

			case 'fail': {
				const failed = failure({
					code: failureCode(next),
					message: next.reason,
					ran: next.ran,
					step: 'send',
					peer: prepared.kind === 'server' ? prepared.choice.server.instanceId : prepared.address,
					retryAfterMs: next.ran === 'not_run' ? this.#destinations.retryAdviceMs({kind: 'full'}, this.parts.clock()) : undefined,
				});
				if (next.isExpired) {
					this.#fail(failed);
				} else {
					this.#failOrAwait(failed);
				}
			}
		}
	}

	#recordPrepared(prepared: PreparedAttempt, result: AttemptResult, next: string): void {
		switch (prepared.kind) {
			case 'server': {
				const {choice} = prepared;
				const faultyServer = [choice.server, ...choice.helpers].find(({address}) => address === result.faultyAddress) ?? choice.server;
				this.#destinations.recordServer(faultyServer.id, {
					isBroken: result.outcome.kind === 'broken' && !this.#next, isNotConnected: result.isNotConnected ?? false, isUnsent: result.isUnsent ?? false,
				});
				this.#records.guard(() => {
					this.#records.recordAttempt(choice, result, faultyServer, next);
				});
				break;
			}

			case 'host': {
				this.#records.guard(() => {
					this.#records.recordRelay(prepared.address, result, next);
				});
				break;
			}
		}
	}

	#close(prepared: PreparedAttempt | undefined, isAnswered: boolean): void {
		if (prepared) {
			this.#preparation.close(prepared, isAnswered);
		}
	}

	/** Makes a prepared attempt, unless the request has ended meanwhile, and closes it. */
	async #attempt(prepared: PreparedAttempt): Promise<void> {
		let result: AttemptResult | undefined;
		try {
			if (this.#isEnded) {
				return;
			}

			result = await (prepared.kind === 'server' ? this.#send(prepared) : this.#relay(prepared.address));
		} finally {
			this.#close(prepared, result !== undefined && hasRun(result.outcome));
		}

		this.#continueAfter(prepared, result);
	}

	async #send({choice, memory, placedAt}: ServerAttempt): Promise<AttemptResult> {
		const {parts, request} = this;
		this.#sends++;
		this.#server = choice.server.instanceId;
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
		const result = await this.#run({kind: 'server', choice, memory}, {
			silenceTimeoutMs: this.#silenceTimeoutMs(choice.expectedMs),
			prepareHandOver: async () => this.#prepareAnother(this.#runs + 1, this.#destinations.exclusionsBeside(choice.server.id)),
			onConnected() {
				parts.relay.recordConnected(parts.clock());
			},
			onMetadata: metadata => {
				this.#records.recordMetadata(choice.server, metadata, placedAt);
			},
			onEvent: events => {
				this.#records.recordEvents(choice, events);
			},
		});
		this.#receivedSends += result.isUnsent ? 0 : 1;
		this.#records.guard(() => {
			this.#records.recordEnd(choice, result, parts.turnClock());
		});
		return result;
	}

	async #relay(address: string): Promise<AttemptResult> {
		const {parts, request} = this;
		this.#destinations.recordRelay(address);
		this.#server = address;
		parts.logger.info('relayed', {request: request.id, host: address, try: this.#destinations.relayTries});
		return this.#run({kind: 'host', address, requiredConfiguration: parts.relay.requiredConfiguration(request.configuration)}, {
			silenceTimeoutMs: RELAY_SILENCE_FACTOR * this.#silenceTimeoutMs(0),
			prepareHandOver: async () => this.#prepareAnother(this.#runs + 1, this.#destinations.exclusionsBeside()),
			onConnected: ignore,
			onMetadata: (metadata, relayNote) => {
				this.#records.recordRelayedMetadata(metadata, relayNote);
			},
			onEvent: ignore,
		});
	}

	/** Runs an attempt. The callbacks after `prepareHandOver` are for records that the answer does not depend on. */
	async #run(target: AttemptTarget, {
		silenceTimeoutMs, prepareHandOver, onConnected, onMetadata, onEvent,
	}: Pick<AttemptOptions, 'silenceTimeoutMs' | 'prepareHandOver' | 'onConnected' | 'onMetadata' | 'onEvent'>): Promise<AttemptResult> {
		const {parts, request} = this;
		this.#running = Attempt.start({
			wire: parts.wire,
			clock: parts.clock,
			request,
			target,
			sink: this.#response,
			buffers: parts.buffers,
			silenceTimeoutMs,
			prepareHandOver,
			onConnected: () => {
				this.#records.guard(onConnected);
			},
			onMetadata: (...metadata) => {
				this.#records.guard(() => {
					onMetadata(...metadata);
				});
			},
			onEvent: events => {
				this.#records.guard(() => {
					onEvent(events);
				});
			},
			onError: err => {
				this.#records.logError(err);
			},
		});
		const result = await this.#running.result;
		this.#running = undefined;
		this.#runs += result.mayHaveRun ? 1 : 0;
		return result;
	}

	#silenceTimeoutMs(expectedMs: number): number {
		const {route} = this.request;
		return route.kind.kind === 'stream'
			? Math.max(STREAM_SILENCE_SHARE * clientSilenceLimitMs(route), EXPECTED_TIME_FACTOR * expectedMs)
			: NON_STREAM_SILENCE_TARGETS * route.targetLatencyMs;
	}

	#retryState(now: number): RetryState {
		const {route, deadline, service} = this.request;
		return {
			kind: route.kind,
			maxAttempts: this.parts.quarantine.allowsRetry(this.#subjects, now) ? this.#maxRuns : this.#runs,
			runs: this.#runs,
			sends: this.#sends,
			receivedSends: this.#receivedSends,
			timeLeftMs: deadline - now,
			tryBudget: () => this.parts.retryBudget(service.name).tryRetry(),
		};
	}

	#finish(): void {
		this.#response.end();
		this.#end({
			outcome: 'delivered', status: 200, sends: this.#sends, ...this.#response.timing,
		});
	}

	#deliver(response: BufferedResponse): void {
		const {parts, request} = this;
		this.#response.sendBuffered(response, () => {
			parts.logger.warn('response_dropped', {request: request.id, bytes: response.body.length, buffered: parts.buffers.totalBytes});
		});
		this.#end({outcome: 'answered', status: response.status, sends: this.#sends});
	}

	#fail(failed: Failure): void {
		if (this.#isEnded) {
			return;
		}

		try {
			this.#response.fail(failed, this.parts.wire.formatRetryAfter);
		} catch (err) {
			this.#records.logError(err);
			this.#response.destroy();
		}

		this.#end({
			outcome: 'failed', status: httpStatusOf(failed.code), sends: this.#sends, ...this.#response.timing, failure: failed,
		});
	}
}

function ignore(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

function stopFailure(reason: StopReason, ran: 'not_run' | 'unknown'): {readonly code: FailureCode; readonly message: string} {
	switch (reason.kind) {
		case 'shutdown': {
			return {code: ran === 'not_run' ? 'draining' : 'backend_failed', message: 'this daemon is shutting down'};
		}

		case 'overdue': {
			return {code: ran === 'not_run' ? 'no_capacity' : 'deadline_exceeded', message: 'the deadline of the request has passed'};
		}
	}
}

function failureCode({ran, isExpired}: Extract<NextStep, {kind: 'fail'}>): FailureCode {
	if (ran === 'not_run') {
		return 'no_capacity';
	}

	return isExpired ? 'deadline_exceeded' : 'backend_failed';
}
