/** Runs one request: chooses a server, sends, and decides after each attempt whether to retry, deliver or fail. */
import type {BackendServer} from '../fleet/backend-server.js';
import type {LoadExchange} from '../fleet/load-exchange.js';
import type {ResponseBuffers} from '../forwarding/response-buffers.js';
import {httpStatusOf} from '../http/error-response.js';
import {SOUND_EVENTS} from '../quarantine/crash-evidence.js';
import {parseSubject, type RequestSubjects} from '../quarantine/crash-subject.js';
import type {PromptQuarantine, RefusedSubject} from '../quarantine/prompt-quarantine.js';
import type {RequestRelay} from '../relaying/request-relay.js';
import type {Clock} from '../util/clock.js';
import {failure, type Failure, type FailureCode} from '../util/failure.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import type {RetryBudget} from '../util/retry-budget.js';
import {stackOf} from '../util/stack-of.js';
import {timerDelay} from '../util/timer-delay.js';
import {
	Attempt, type AttemptOptions, type AttemptResult, type AttemptTarget, type BufferedResponse, type HandOver,
} from './attempt.js';
import {ClientResponse} from './client-response.js';
import {clientSilenceLimitMs, type GatewayRequest} from './gateway-request.js';
import {MemoryReservation, type MemoryOrders} from './memory-reservation.js';
import {retryAdviceMs, type RefusalCause} from './retry-advice.js';
import {
	canRunAgain, nextStep, type AttemptOutcome, type NextStep, type RetryState,
} from './retry-policy.js';
import {
	chooseServer, isAllowedDomain, limitWaitMs, type ServerChoice, type ChoiceParts,
} from './server-choice.js';
import type {ResponseMetadata, WireFormat} from './wire-format.js';

/** A retryable request without a stream is sent to another server after this multiple of its target latency. */
const NON_STREAM_SILENCE_TARGETS = 2;
/** A resumable stream is continued on another server after this share of the client's silence limit without an event. */
const STREAM_SILENCE_SHARE = 0.5;
/** A silent engine is not abandoned before this multiple of the expected time to the first event. */
const EXPECTED_TIME_FACTOR = 2;
/** A relaying host is given up after this multiple of the time after which it gives up a silent server itself. */
const RELAY_SILENCE_FACTOR = 2;
/** Servers that this host could not connect to for one request, after which the request goes through another host, whatever the reason. */
const MAX_UNCONNECTED_SERVERS = 2;
/** Largest number of hosts that are asked to relay one request. */
const MAX_RELAY_TRIES = 3;
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

/** Interval in ms at which an interrupted stream looks for another server: several times before its client leaves after two seconds. */
const RESUME_INTERVAL_MS = 250;
/** Status in logs of a request whose client has disconnected. */
const CLIENT_LEFT_STATUS = 499;

export type FlowParts = ChoiceParts & {
	readonly wire: WireFormat;
	readonly loadExchange: Pick<LoadExchange, 'openPlacement' | 'startPlacement' | 'closePlacement' | 'broadcastLimit' | 'broadcastLost'>;
	readonly memoryOrders: MemoryOrders;
	readonly quarantine: PromptQuarantine;
	readonly relay: Pick<RequestRelay, 'isNeeded' | 'isPathDoubtful' | 'chooseAddress' | 'skip' | 'recordConnected' | 'recordNotConnected'>;
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
	/** Hosts that were asked to relay the request; undefined for none. */
	readonly hosts?: number;
	/** Time in ms to the first event of a stream, and the longest pause between events. */
	readonly firstEventMs?: number;
	readonly longestGapMs?: number;
	readonly failure?: Failure;
	/** Set if the request was ended from outside. */
	readonly stoppedBy?: StopReason['kind'];
};

/** An attempt at a server, whose placement is open and whose memory is reserved, or through another host. */
type PreparedAttempt =
	| {
		readonly kind: 'server';
		readonly choice: ServerChoice;
		readonly memory: MemoryReservation | undefined;
		readonly placedAt: number;
	}
	| {readonly kind: 'host'; readonly address: string};

type ServerAttempt = Extract<PreparedAttempt, {kind: 'server'}>;

type NextChoice =
	| {readonly kind: 'server'; readonly choice: ServerChoice}
	| {readonly kind: 'host'; readonly address: string}
	| {readonly kind: 'refused'; readonly failure: Failure};

type Preparation =
	| {readonly kind: 'prepared'; readonly attempt: ServerAttempt}
	| {readonly kind: 'refused'; readonly result: AttemptResult};

/** Why a request is ended from outside: the daemon stops, or the deadline of the request has passed. */
export type StopReason = {readonly kind: 'shutdown'} | {readonly kind: 'overdue'};

export class RequestFlow {
	static create(parts: FlowParts, request: GatewayRequest): RequestFlow {
		return new RequestFlow(parts, request);
	}

	readonly #subjects: RequestSubjects;
	/** Servers of earlier attempts, and those of them that broke off. The others were silent or refused the request. */
	readonly #excluded = new Set<string>();
	readonly #broken = new Set<string>();
	/** IP:PORT of the daemons that were asked to relay the request. */
	readonly #relayAddresses = new Set<string>();
	#unconnectedServers = 0;
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
	#choices = 0;
	/** The stream has begun, and no server has it now. */
	#isInterrupted = false;
	#runs = 0;
	#sends = 0;
	#receivedSends = 0;

	private constructor(private readonly parts: FlowParts, private readonly request: GatewayRequest) {
		this.#subjects = {parts: request.metadata.sharedParts, identity: request.identity};
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
				retryAfterMs: ran === 'not_run' ? this.#retryAdviceMs({kind: reason.kind === 'shutdown' ? 'shutdown' : 'full'}, now) : undefined,
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
			this.#resolve({...result, hosts: this.#relayAddresses.size === 0 ? undefined : this.#relayAddresses.size, stoppedBy: this.#stoppedBy});
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
		this.#logError(err);
		this.#fail(failure({
			code: 'internal', message: 'this daemon failed to handle the request', ran: this.#mayHaveRun ? 'unknown' : 'not_run', step: 'send',
		}));
	}

	#logError(err: unknown): void {
		this.parts.logger.error('unexpected_error', {request: this.request.id, message: stackOf(err)});
	}

	/** Runs a step that no answer depends on. An exception in it is logged. */
	#record(step: () => void): void {
		try {
			step();
		} catch (err) {
			this.#logError(err);
		}
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
			this.#close(this.#takeNext());
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

		const refused = this.parts.quarantine.findRefused(this.#subjects, this.parts.clock());
		if (refused) {
			this.#fail(this.#quarantineFailure(refused));
			return undefined;
		}

		const next = await this.#prepareAnother(this.#runs, [this.#excluded, this.#broken]);
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
		const choice = this.#choose(now);
		switch (choice.kind) {
			case 'refused': {
				this.#failOrAwait(choice.failure);
				return undefined;
			}

			case 'host': {
				return choice;
			}

			case 'server': {
				const prepared = await this.#prepare(choice.choice, now);
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
	async #prepareAnother(runs: number, exclusions: ReadonlyArray<ReadonlySet<string>>): Promise<HandOver | undefined> {
		const budget = this.parts.retryBudget(this.request.service.name);
		let hasToken = false;
		try {
			const now = this.parts.clock();
			hasToken = canRunAgain({...this.#retryState(now), runs}) && budget.tryRetry();
			const another = hasToken ? await this.#prepareChoice(this.#chooseAnother(exclusions, now), now) : undefined;
			if (another) {
				hasToken = false;
				return {
					accept: () => {
						this.#next = another;
					},
					discard: () => {
						budget.giveBack();
						this.#close(another);
					},
				};
			}
		} catch (err) {
			this.#logError(err);
		}

		if (hasToken) {
			budget.giveBack();
		}

		return undefined;
	}

	async #prepareChoice(choice: Exclude<NextChoice, {kind: 'refused'}> | undefined, now: number): Promise<PreparedAttempt | undefined> {
		if (choice?.kind !== 'server') {
			return choice;
		}

		const prepared = await this.#prepare(choice.choice, now);
		return prepared.kind === 'prepared' ? prepared.attempt : undefined;
	}

	/** Returns a server that can be expected to respond before the client leaves, or a host that relays the request. */
	#chooseAnother(exclusions: ReadonlyArray<ReadonlySet<string>>, now: number): Exclude<NextChoice, {kind: 'refused'}> | undefined {
		const {parts, request} = this;
		if (parts.quarantine.findRefused(this.#subjects, now)) {
			return undefined;
		}

		const host = this.#chooseHost(now);
		if (host !== undefined || parts.relay.isNeeded) {
			return host;
		}

		for (const excluded of exclusions) {
			const choice = this.#chooseServer(excluded, now);
			if (choice && choice.expectedMs <= MAX_EXPECTED_SHARE * clientSilenceLimitMs(request.route)) {
				return {kind: 'server', choice};
			}
		}

		return undefined;
	}

	/**
	 * Returns a host that relays the request, if this one seems to have no path to the servers. A request that another host relays through
	 * this one is never relayed further.
	 */
	#chooseHost(now: number): Extract<NextChoice, {kind: 'host'}> | undefined {
		const {parts, request} = this;
		const hasNoPath = parts.relay.isNeeded || this.#unconnectedServers >= MAX_UNCONNECTED_SERVERS;
		const address = request.isRelayed || !hasNoPath || this.#relayAddresses.size >= MAX_RELAY_TRIES
			? undefined
			: parts.relay.chooseAddress((host, failureDomain) => !this.#relayAddresses.has(host) && isAllowedDomain(parts, request, failureDomain), now);
		return address === undefined ? undefined : {kind: 'host', address};
	}

	#chooseServer(excluded: ReadonlySet<string>, now: number): ServerChoice | undefined {
		return chooseServer(this.parts, this.request, {excluded, count: this.#choices++}, now);
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
					retryAfterMs: next.ran === 'not_run' ? this.#retryAdviceMs({kind: 'full'}, this.parts.clock()) : undefined,
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
				this.#excluded.add(faultyServer.id);
				if (result.outcome.kind === 'broken' && !this.#next) {
					this.#broken.add(faultyServer.id);
				}

				this.#record(() => {
					this.#recordAttempt(choice, result, faultyServer, next);
				});
				break;
			}

			case 'host': {
				this.#record(() => {
					this.#recordRelay(prepared.address, result, next);
				});
				break;
			}
		}
	}

	#choose(now: number): NextChoice {
		const {parts, request} = this;
		const refused = parts.quarantine.findRefused(this.#subjects, now);
		if (refused) {
			return {kind: 'refused', failure: this.#quarantineFailure(refused)};
		}

		const ran = this.#runs === 0 ? 'not_run' : 'unknown';
		const host = this.#chooseHost(now);
		if (host) {
			return host;
		}

		if (parts.relay.isNeeded) {
			return {
				kind: 'refused',
				failure: failure({
					code: ran === 'not_run' ? 'no_capacity' : 'backend_failed',
					message: `this host has no path to the backend servers${request.isRelayed ? ' either' : ', and no other host relays the request'}`,
					ran,
					step: 'reserve',
					retryAfterMs: this.#retryAdviceMs({kind: 'full'}, now),
				}),
			};
		}

		const choice = this.#chooseServer(this.#excluded, now);
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

		return {kind: 'server', choice};
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

	/** Opens the placement of an attempt and reserves memory on its helpers. */
	async #prepare(choice: ServerChoice, placedAt: number): Promise<Preparation> {
		const {parts, request} = this;
		this.#record(() => {
			parts.loadExchange.openPlacement(choice.placement, placedAt);
		});
		if (choice.reserved.length === 0) {
			return {
				kind: 'prepared', attempt: {
					kind: 'server', choice, memory: undefined, placedAt,
				},
			};
		}

		const acquired = await MemoryReservation.acquire({orders: parts.memoryOrders, clock: parts.clock, logger: parts.logger}, request.id, choice.reserved);
		if (acquired.kind === 'reserved') {
			return {
				kind: 'prepared', attempt: {
					kind: 'server', choice, memory: acquired.reservation, placedAt,
				},
			};
		}

		this.#closePlacement(choice);
		return {
			kind: 'refused',
			result: {
				outcome: {kind: 'rejected', reason: acquired.reason}, mayHaveRun: false, isUnsent: true, faultyAddress: acquired.server.address,
			},
		};
	}

	#close(prepared: PreparedAttempt | undefined, isAnswered = false): void {
		if (prepared?.kind === 'server') {
			this.#closePlacement(prepared.choice, isAnswered);
			void prepared.memory?.release();
		}
	}

	#closePlacement({placement}: ServerChoice, isAnswered = false): void {
		this.#record(() => {
			this.parts.loadExchange.closePlacement(placement.id, isAnswered);
		});
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
			prepareHandOver: async () => this.#prepareAnother(this.#runs + 1, [new Set([...this.#excluded, choice.server.id])]),
			onConnected() {
				parts.relay.recordConnected(parts.clock());
			},
			onMetadata: metadata => {
				this.#recordMetadata(choice.server, metadata, placedAt);
			},
			onEvent: events => {
				this.#recordEvents(choice, events);
			},
		});
		this.#receivedSends += result.isUnsent ? 0 : 1;
		this.#record(() => {
			this.#reportSubjects(choice, result, parts.clock());
		});
		return result;
	}

	async #relay(address: string): Promise<AttemptResult> {
		const {parts, request} = this;
		this.#relayAddresses.add(address);
		this.#server = address;
		parts.logger.info('relayed', {request: request.id, host: address, try: this.#relayAddresses.size});
		return this.#run({kind: 'host', address}, {
			silenceTimeoutMs: RELAY_SILENCE_FACTOR * this.#silenceTimeoutMs(0),
			prepareHandOver: async () => this.#prepareAnother(this.#runs + 1, [this.#excluded]),
			onConnected: ignore,
			onMetadata: ignore,
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
				this.#record(onConnected);
			},
			onMetadata: metadata => {
				this.#record(() => {
					onMetadata(metadata);
				});
			},
			onEvent: events => {
				this.#record(() => {
					onEvent(events);
				});
			},
			onError: err => {
				this.#logError(err);
			},
		});
		const result = await this.#running.result;
		this.#running = undefined;
		this.#runs += result.mayHaveRun ? 1 : 0;
		return result;
	}

	#recordMetadata(server: BackendServer, {isMisdirected, isLeaving, closedForMs, maxRequestsPerSecond}: ResponseMetadata, sentAt: number): void {
		const now = this.parts.clock();
		if (!isMisdirected) {
			this.#recordLimit(server, maxRequestsPerSecond, {sentAt, now});
		}

		if (closedForMs !== undefined) {
			this.#recordClosed(server, closedForMs, now);
		}

		if (isLeaving) {
			this.#recordLeaving(server, now);
		}
	}

	#recordEvents({placement}: ServerChoice, events: number): void {
		const {parts, request} = this;
		if (events === 1) {
			parts.loadExchange.startPlacement(placement.id, parts.clock());
		}

		if (events === SOUND_EVENTS) {
			parts.quarantine.reportWritten(this.#subjects, parts.clock());
		}
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

	/** Records the outcome in the health of the server at fault. */
	#recordAttempt(choice: ServerChoice, result: AttemptResult, faultyServer: BackendServer, next: string): void {
		const {parts, request} = this;
		const {outcome, lostReason, isNotConnected} = result;
		const isSuccess = outcome.kind === 'answered' && outcome.status < 500;
		const now = parts.clock();
		if (!result.isBlameless) {
			parts.health.recordOutcome(faultyServer.id, isSuccess, now);
		}

		if (faultyServer !== choice.server && faultyServer.failureDomain !== choice.server.failureDomain) {
			parts.partitions.record(faultyServer.failureDomain, choice.server.failureDomain, now);
		}

		if (isNotConnected) {
			this.#unconnectedServers++;
			parts.relay.recordNotConnected(faultyServer, now);
		}

		// If this host may have no path to the servers, its failure to connect says nothing about this one.
		if (lostReason !== undefined && !parts.relay.isPathDoubtful) {
			this.#excludeLost(faultyServer, lostReason, now);
		}

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

	#recordRelay(address: string, {outcome, events}: AttemptResult, next: string): void {
		const {parts, request} = this;
		if (outcome.kind === 'rejected' || outcome.kind === 'broken') {
			parts.relay.skip(address, parts.clock());
			parts.logger.warn('relay_failed', {
				request: request.id, host: address, outcome: outcome.kind, reason: outcome.reason, events, next,
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
			this.#logError(err);
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

/** Whether the answer shows that the server has run the request. It may fail requests before it begins to run them. */
const hasRun = (outcome: AttemptOutcome): boolean =>
	outcome.kind === 'answered' && outcome.status < FIRST_SERVER_ERROR_STATUS && !NOT_RUN_STATUSES.has(outcome.status);
