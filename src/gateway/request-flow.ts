/** Runs one request: chooses a server, sends, and decides after each attempt whether to retry, wait, deliver or fail. */
import {httpStatusOf} from '../http/error-response.js';
import type {RequestSubjects} from '../quarantine/crash-subject.js';
import {failure, type Failure} from '../util/failure.js';
import {pause} from '../util/pause.js';
import {timerDelay} from '../util/timer-delay.js';
import type {AttemptResult, BufferedResponse} from './attempt-result.js';
import {AttemptRecords, hasRun} from './attempt-records.js';
import {AttemptRunner, noAttempts, type AttemptCounts} from './attempt-runner.js';
import {ClientResponse} from './client-response.js';
import {DestinationChoice, type Destination, type Shortage} from './destination-choice.js';
import type {WaitEnd} from './dispatcher.js';
import type {FlowParts} from './flow-parts.js';
import {
	failureCode, stopFailure, type EarlierHandling, type FlowResult, type StopReason,
} from './flow-result.js';
import type {GatewayRequest} from './gateway-request.js';
import {NextAttempt, type RefusedAttempt} from './next-attempt.js';
import {PlaceWait} from './place-wait.js';
import type {PreparedAttempt} from './prepared-attempt.js';
import type {ReadyAttempt} from './silence-watch.js';
import {
	canRunAgain, isEndWithoutFault, nextStep, type NextStep, type RetryState,
} from './retry-policy.js';

/** Interval in ms at which an interrupted stream looks for another server: several times before its client leaves after two seconds. */
const RESUME_INTERVAL_MS = 250;
/** Status in logs of a request whose client has disconnected. */
const CLIENT_LEFT_STATUS = 499;

/** A wait for a place. */
type Waiting = {
	/** What the client is told if no place comes. */
	readonly failed: Failure;
	readonly shortage: Shortage;
	readonly ended: Promise<WaitEnd>;
	/** The attempt that is being prepared at the place, if one came. */
	placed(): Promise<PreparedAttempt | RefusedAttempt | undefined>;
};

export class RequestFlow {
	/** `earlier`: how the request was handled by an earlier configuration, if it waited when that changed. */
	static create(parts: FlowParts, request: GatewayRequest, earlier?: EarlierHandling): RequestFlow {
		return new RequestFlow(parts, request, earlier);
	}

	readonly #subjects: RequestSubjects;
	readonly #destinations: DestinationChoice;
	readonly #records: AttemptRecords;
	readonly #attempts: NextAttempt;
	readonly #runner: AttemptRunner;
	readonly #wait: PlaceWait;
	readonly #isReadmitted: boolean;
	#stoppedBy: StopReason['kind'] | undefined;
	readonly #response: ClientResponse;
	readonly #result: Promise<FlowResult>;
	#resolve!: (result: FlowResult) => void;
	#isEnded = false;
	#deadlineTimer: NodeJS.Timeout | undefined;
	/** The stream has begun, and no server has it now. */
	#isInterrupted = false;
	/** Set while the request waits for a place. */
	#waiting: Waiting | undefined;
	/** Attempts that were started beside a silent one. Each resolves when its end has been handled. */
	readonly #beside: Array<Promise<void>> = [];
	/** Number of attempts whose end has not been handled yet. An attempt that has ended counts until then. */
	#unsettled = 0;
	/** An attempt has ended without a result while another one was going on. */
	#hasFailedBeside = false;

	private constructor(private readonly parts: FlowParts, private readonly request: GatewayRequest, earlier: EarlierHandling | undefined) {
		this.#isReadmitted = earlier !== undefined;
		this.#subjects = {parts: request.metadata.sharedParts, identity: request.identity};
		this.#destinations = DestinationChoice.create(parts, request, this.#subjects, earlier && {choices: earlier.choices, hasArrived: earlier.counts.receivedSends > 0});
		this.#records = AttemptRecords.create(parts, request, this.#subjects);
		this.#response = ClientResponse.create(request, parts.clock);
		this.#wait = PlaceWait.create(parts, request, this.#destinations, earlier?.waits ?? 0);
		this.#attempts = NextAttempt.create({
			parts, request, records: this.#records, destinations: this.#destinations, retryState: now => this.#retryState(now),
		});
		this.#runner = AttemptRunner.create({
			parts,
			request,
			records: this.#records,
			destinations: this.#destinations,
			sink: this.#response,
			prepareBeside: async () => this.#prepareBeside(),
		}, earlier?.counts ?? noAttempts);
		this.#result = new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	/** Whether a backend server may have got the request, and the last one chosen, for logs. */
	get progress(): {readonly isSent: boolean; readonly server: string | undefined} {
		return {isSent: this.#mayHaveRun || this.#runner.counts.receivedSends > 0, server: this.#runner.server};
	}

	/** What a flow needs to know that handles the request again by another configuration. */
	get handling(): EarlierHandling {
		return {counts: this.#runner.counts, waits: this.#wait.waits, choices: this.#destinations.choices};
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

		const abortRunning = this.#runner.abortLater();
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

		this.#wait.end(reason.kind);
		abortRunning(reason.kind === 'overdue' ? 'expired' : 'request_ended');
	}

	/** Whether a backend server may have run the request, or may do so from what was sent. */
	get #mayHaveRun(): boolean {
		return this.#runner.mayHaveRun;
	}

	/** The host that a relayed request came from counts each relay as one run. */
	get #maxRuns(): number {
		return this.request.isRelayed ? 1 : this.request.route.maxAttempts;
	}

	/** What can be said of the attempts that have ended. */
	get #ran(): 'not_run' | 'unknown' {
		return this.#runner.counts.runs === 0 ? 'not_run' : 'unknown';
	}

	#leave(): void {
		const abortRunning = this.#runner.abortLater();
		this.#end({
			outcome: 'left', status: CLIENT_LEFT_STATUS, sends: this.#runner.counts.sends, ...this.#response.timing,
		});
		this.#wait.end('left');
		abortRunning('request_ended');
	}

	#end(result: FlowResult): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			clearTimeout(this.#deadlineTimer);
			this.#returnToken();
			this.#resolve({...result, hosts: this.#destinations.relayTries === 0 ? undefined : this.#destinations.relayTries, stoppedBy: this.#stoppedBy});
		}
	}

	/** Returns the token of an attempt that was decided on and is not made. */
	#returnToken(): void {
		if (this.#wait.mayWait) {
			this.#attempts.giveTokenBack();
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
		if (!request.isRelayed && !this.#isReadmitted) {
			parts.retryBudget(request.service.name).recordRequest();
			// A token of the budget may be what a waiting request lacks.
			parts.dispatcher.wake();
		}

		try {
			while (!this.#isEnded) {
				const prepared = await this.#prepareNext();
				if (prepared) {
					this.#isInterrupted = false;
					await this.#attempt(prepared);
					for (let beside = this.#beside.pop(); beside; beside = this.#beside.pop()) {
						await beside;
					}
				}
			}
		} finally {
			// An attempt that ended after its request may have led to the decision to repeat that.
			this.#returnToken();
		}
	}

	/**
	 * Ends the request, unless it may go on later: its stream stays open if that has begun and may be resumed as soon as a server or a retry is
	 * available, and a request that has run nowhere waits for a place if one may come in time.
	 */
	#failOrAwait(failed: Failure, shortage?: Shortage): void {
		const now = this.parts.clock();
		this.#isInterrupted = this.#response.hasBegun && canRunAgain(this.#retryState(now));
		if (this.#isInterrupted) {
			this.parts.logger.info('stream_interrupted', {request: this.request.id, last_event: this.#response.lastEventId, reason: failed.message});
		} else if (!shortage || !this.#beginWait(failed, shortage, now)) {
			this.#failUnlessHeld(failed, shortage);
		}
	}

	/** A request that was only held back for others is placed instead. */
	#failUnlessHeld(failed: Failure, shortage: Shortage | undefined): void {
		if (shortage?.why === 'long_prompts') {
			this.#destinations.endHold();
		} else {
			this.#fail(shortage ? this.#destinations.orderReturn(failed, shortage, this.parts.clock(), true) : failed);
		}
	}

	/** Returns whether the request waits for a place from here on. One that may have run, or whose client has got anything, does not. */
	#beginWait(failed: Failure, shortage: Shortage, now: number): boolean {
		if (this.#mayHaveRun || this.#response.hasBegun) {
			return false;
		}

		let placed: Promise<PreparedAttempt | RefusedAttempt> | undefined;
		const ended = this.#wait.begin(shortage, {
			isFree: () => this.#runner.counts.receivedSends === 0,
			take: (destination, at) => {
				const isTaken = this.#maySendTo(destination);
				placed = isTaken ? this.#attempts.prepare(destination, at) : undefined;
				return isTaken;
			},
		}, now);
		this.#waiting = ended && {
			failed, shortage, ended, placed: async () => placed,
		};
		return ended !== undefined;
	}

	/** Waits for the end of the wait that has begun. Returns the attempt that was prepared. */
	async #awaitPlace({failed, shortage, ended, placed}: Waiting): Promise<PreparedAttempt | undefined> {
		const end = await ended;
		this.#waiting = undefined;
		const prepared = await placed();
		if (prepared) {
			return this.#takePrepared(prepared);
		}

		switch (end) {
			case 'placed':
			case 'failed': {
				this.#failUnexpectedly(new Error(`the wait for a place ended as ${end}`));
				break;
			}

			case 'superseded': {
				this.#end({
					outcome: 'superseded', status: httpStatusOf(failed.code), sends: this.#runner.counts.sends,
				});
				break;
			}

			case 'quarantined':
			case 'no_path': {
				// The choice says why, or finds a host that relays the request.
				return this.#chooseNext();
			}

			case 'given_up':
			case 'no_forecast': {
				this.#failUnlessHeld({...failed, retryAfterMs: this.#destinations.retryAdviceMs({kind: 'full'}, this.parts.clock())}, shortage);
				break;
			}

			case 'left':
			case 'overdue':
			case 'shutdown': {
				// What ended the wait ends the request, or has.
				this.#fail(failed);
				break;
			}
		}

		return undefined;
	}

	async #prepareNext(): Promise<PreparedAttempt | undefined> {
		if (this.#isInterrupted) {
			return this.#awaitNext();
		}

		return this.#waiting ? this.#awaitPlace(this.#waiting) : this.#chooseNext();
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

		const next = await this.#attempts.prepareAnother(this.#runner.counts.runs, this.#destinations.exclusionsOfInterrupted);
		return next?.prepared;
	}

	/** Prepares an attempt beside those that run, which are silent. */
	async #prepareBeside(): Promise<ReadyAttempt | undefined> {
		const another = await this.#attempts.prepareAnother(this.#runner.possibleRuns, this.#destinations.exclusionsBeside(this.#runner.runningServers, this.#hasFailedBeside));
		return another && {
			start: () => {
				this.parts.logger.info('silent_attempt', {
					request: this.request.id,
					servers: this.#runner.runningServers.join(','),
					last_event: this.#response.lastEventId,
					time_left_ms: Math.round(this.request.deadline - this.parts.clock()),
				});
				this.#runner.makeRoom();
				this.#beside.push(this.#attempt(another.prepared));
			},
			discard() {
				another.discard();
			},
		};
	}

	/** Chooses a server and prepares an attempt. Returns undefined if that failed; the request has then ended, waits, or another server may do. */
	async #chooseNext(): Promise<PreparedAttempt | undefined> {
		const now = this.parts.clock();
		this.#wait.serveEarlier(now);
		const choice = this.#destinations.choose(this.#ran, now);
		if (choice.kind === 'refused') {
			if (choice.shortage?.why === 'workspace_share') {
				this.parts.roomShares?.recordYield(this.request, now);
			}

			this.#failOrAwait(choice.failure, choice.shortage);
			return undefined;
		}

		if (!this.#maySendTo(choice)) {
			this.#failOrAwait(failure({
				code: 'no_capacity',
				message: 'the retry budget has no token for a further attempt',
				ran: this.#ran,
				step: 'reserve',
				retryAfterMs: this.#destinations.retryAdviceMs({kind: 'full'}, now),
			}), this.#destinations.shortageOfRefusals(now));
			return undefined;
		}

		return this.#takePrepared(await this.#attempts.prepare(choice, now));
	}

	/** The budget limits what servers receive beyond the first attempt of each request. A token may be left from the decision to repeat it. */
	#maySendTo({kind}: Destination): boolean {
		return kind === 'host' || this.#runner.counts.receivedSends === 0 || this.#attempts.takeToken();
	}

	#takePrepared(prepared: PreparedAttempt | RefusedAttempt): PreparedAttempt | undefined {
		if (prepared.kind !== 'unprepared') {
			return prepared;
		}

		this.#runner.countUnsent();
		this.#continueAfter(prepared.attempt, prepared.result);
		return undefined;
	}

	/** Records an attempt, and ends the request unless another attempt follows. */
	#continueAfter(prepared: PreparedAttempt, result: AttemptResult): void {
		const next: NextStep = this.#isEnded ? {kind: 'finished'} : nextStep(result.outcome, this.#retryState(this.parts.clock()));
		if (!isEndWithoutFault(result.outcome)) {
			this.#recordPrepared(prepared, result, next.kind);
		}

		if (next.kind !== 'deliver') {
			result.response?.account.close();
		}

		if (this.#isEnded) {
			return;
		}

		switch (next.kind) {
			case 'repeat': {
				return;
			}

			case 'wait': {
				this.#hasFailedBeside = true;
				this.#runner.lookAgain();
				return;
			}

			case 'finished': {
				this.#finish(result.streamHead);
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
					this.#failOrAwait(failed, next.ran === 'not_run' ? this.#destinations.shortageOfRefusals(this.parts.clock()) : undefined);
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
					isBroken: result.outcome.kind === 'broken' && !result.isGivenUp, isNotConnected: result.isNotConnected ?? false, isUnsent: result.isUnsent ?? false,
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

	/** Makes a prepared attempt and handles its end. Never rejects. */
	async #attempt(prepared: PreparedAttempt): Promise<void> {
		this.#unsettled++;
		try {
			const result = await this.#runPrepared(prepared);
			// In the same turn as the decision, for which the other attempt must count if that has ended as well.
			this.#unsettled--;
			if (result) {
				this.#continueAfter(prepared, result);
			}
		} catch (err) {
			this.#failUnexpectedly(err);
		}

		if (this.#isEnded) {
			this.#runner.abortLater()('overtaken');
		}
	}

	/** Makes a prepared attempt, unless the request has ended meanwhile, and closes it. */
	async #runPrepared(prepared: PreparedAttempt): Promise<AttemptResult | undefined> {
		let result: AttemptResult | undefined;
		try {
			if (!this.#isEnded && !this.#response.isSendable) {
				// Asked before each attempt: the connection may have been closed while the request waited.
				this.#leave();
			}

			if (this.#isEnded) {
				return undefined;
			}

			result = await this.#runner.run(prepared);
			return result;
		} finally {
			this.#attempts.close(prepared, result !== undefined && hasRun(result.outcome));
		}
	}

	#retryState(now: number): RetryState {
		const {parts, request: {route, deadline}} = this;
		const {runs, sends, receivedSends, unconnectedSends} = this.#runner.counts;
		const isQueued = this.#wait.mayWait;
		return {
			kind: route.kind,
			maxAttempts: parts.quarantine.allowsRetry(this.#subjects, now) ? this.#maxRuns : runs,
			runs,
			sends,
			receivedSends,
			unconnectedSends: isQueued ? unconnectedSends : 0,
			hasPatience: isQueued && this.#wait.hasPatience(now),
			waits: this.#wait.waits,
			timeLeftMs: deadline - now,
			isOtherRunning: this.#unsettled > 0,
			tryBudget: () => this.#attempts.takeToken(),
		};
	}

	#finish(streamHead: readonly string[] | undefined): void {
		this.#response.end(streamHead);
		this.#end({
			outcome: 'delivered', status: 200, sends: this.#runner.counts.sends, ...this.#response.timing,
		});
	}

	#deliver(response: BufferedResponse): void {
		const {parts, request} = this;
		this.#response.sendBuffered(response, () => {
			parts.logger.warn('response_dropped', {request: request.id, bytes: response.body.length, buffered: parts.buffers.totalBytes});
		});
		this.#end({outcome: 'answered', status: response.status, sends: this.#runner.counts.sends});
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
			outcome: 'failed', status: httpStatusOf(failed.code), sends: this.#runner.counts.sends, ...this.#response.timing, failure: failed,
		});
	}
}
