/** Runs the attempts of one request, at most two at the same time, and counts them. */
import {
	Attempt, type AbortReason, type AttemptOptions, type EventSink,
} from './attempt.js';
import type {AttemptTarget} from './attempt-request.js';
import type {AttemptResult} from './attempt-result.js';
import type {AttemptRecords} from './attempt-records.js';
import type {DestinationChoice} from './destination-choice.js';
import type {FlowParts} from './flow-parts.js';
import {clientSilenceLimitMs, type GatewayRequest} from './gateway-request.js';
import type {PreparedAttempt, ServerAttempt} from './prepared-attempt.js';
import type {ReadyAttempt} from './silence-watch.js';

/** A retryable request without a stream is also sent to another server after this multiple of its target latency. */
const NON_STREAM_SILENCE_TARGETS = 2;
/** A resumable stream is also asked for at another server after this share of the client's silence limit without an event. */
const STREAM_SILENCE_SHARE = 0.5;
/** No other engine is asked beside a silent one before this multiple of the expected time to the first event. */
const EXPECTED_TIME_FACTOR = 2;
/** Another host is asked beside a silent one after this multiple of the time after which that asks another server itself. */
const RELAY_SILENCE_FACTOR = 2;

/** A silent attempt and one beside it. */
const MAX_RUNNING = 2;

/** Numbers of attempts of one request. */
export type AttemptCounts = {
	/** Attempts that may have run. */
	readonly runs: number;
	/** All attempts at servers. */
	readonly sends: number;
	/** Attempts that reached a backend server, whether or not it ran them. */
	readonly receivedSends: number;
	/** Attempts that could not connect to their server. */
	readonly unconnectedSends: number;
};

export const noAttempts: AttemptCounts = {
	runs: 0, sends: 0, receivedSends: 0, unconnectedSends: 0,
};

export type AttemptRunnerOptions = {
	readonly parts: FlowParts;
	readonly request: GatewayRequest;
	readonly records: AttemptRecords;
	readonly destinations: DestinationChoice;
	readonly sink: EventSink;
	/** Prepares another attempt beside those that run. */
	prepareBeside(): Promise<ReadyAttempt | undefined>;
};

export class AttemptRunner {
	static create(options: AttemptRunnerOptions, earlier: AttemptCounts): AttemptRunner {
		return new AttemptRunner(options, earlier);
	}

	/** The attempts that run, with the id of their server unless they go through another host; the oldest first. */
	readonly #running = new Map<Attempt, string | undefined>();
	#server: string | undefined;
	#counts: AttemptCounts;

	private constructor(private readonly options: AttemptRunnerOptions, earlier: AttemptCounts) {
		this.#counts = earlier;
	}

	get counts(): AttemptCounts {
		return this.#counts;
	}

	/** The last server or host chosen, for logs. */
	get server(): string | undefined {
		return this.#server;
	}

	/** Whether a backend server may have run the request, or may do so from what was sent. */
	get mayHaveRun(): boolean {
		return this.#counts.runs > 0 || [...this.#running.keys()].some(({mayHaveRun}) => mayHaveRun);
	}

	/** Attempts that may have run, and those that are running. */
	get possibleRuns(): number {
		return this.#counts.runs + this.#running.size;
	}

	/** Servers of the attempts that run. */
	get runningServers(): readonly string[] {
		return [...this.#running.values()].filter(server => server !== undefined);
	}

	/** Counts an attempt that was given up before anything was sent. */
	countUnsent(): void {
		this.#add({sends: 1});
	}

	async run(prepared: PreparedAttempt): Promise<AttemptResult> {
		return prepared.kind === 'server' ? this.#send(prepared) : this.#relay(prepared.address);
	}

	/** Returns a function that ends the attempts that run now. */
	abortLater(): (reason: AbortReason) => void {
		const running = [...this.#running.keys()];
		return reason => {
			for (const attempt of running) {
				attempt.abort(reason);
			}
		};
	}

	/** Ends the oldest attempt if no further one may run beside those that do. */
	makeRoom(): void {
		const [oldest] = this.#running.keys();
		if (this.#running.size >= MAX_RUNNING) {
			oldest?.abort('overtaken');
		}
	}

	/** Has the attempts that are silent look for another one again. */
	lookAgain(): void {
		for (const attempt of this.#running.keys()) {
			attempt.lookAgain();
		}
	}

	async #send({choice, memory, placedAt}: ServerAttempt): Promise<AttemptResult> {
		const {parts, request, records} = this.options;
		this.#add({sends: 1});
		this.#server = choice.server.instanceId;
		parts.logger.info('placed', {
			request: request.id,
			server: choice.server.instanceId,
			helpers: choice.helpers.length,
			prompt_tokens: request.metadata.promptTokens,
			reserved_tokens: choice.reserved.reduce((sum, {tokens}) => sum + tokens, 0),
			expected_ms: Math.round(choice.expectedMs),
			considered: choice.considered,
			send: this.#counts.sends,
			rank: request.urgency === undefined ? undefined : request.rank,
		});
		const result = await this.#run({kind: 'server', choice, memory}, {
			silenceTimeoutMs: this.#silenceTimeoutMs(choice.expectedMs),
			onConnected() {
				parts.relay.recordConnected(parts.clock());
			},
			onMetadata(metadata) {
				records.recordMetadata(choice.server, metadata, placedAt);
			},
			onEvent(events) {
				records.recordEvents(choice, events);
			},
		});
		this.#add({receivedSends: result.isUnsent ? 0 : 1, unconnectedSends: result.isNotConnected ? 1 : 0});
		records.guard(() => {
			records.recordEnd(choice, result, parts.turnClock());
		});
		return result;
	}

	async #relay(address: string): Promise<AttemptResult> {
		const {parts, request, records, destinations} = this.options;
		destinations.recordRelay(address);
		this.#server = address;
		parts.logger.info('relayed', {request: request.id, host: address, try: destinations.relayTries});
		return this.#run({kind: 'host', address, requiredConfiguration: parts.relay.requiredConfiguration(request.configuration)}, {
			silenceTimeoutMs: RELAY_SILENCE_FACTOR * this.#silenceTimeoutMs(0),
			onConnected: ignore,
			onMetadata(metadata, relayNote) {
				records.recordRelayedMetadata(metadata, relayNote);
			},
			onEvent: ignore,
		});
	}

	/** Runs an attempt. The callbacks are for records that the answer does not depend on. */
	async #run(target: AttemptTarget, {
		silenceTimeoutMs, onConnected, onMetadata, onEvent,
	}: Pick<AttemptOptions, 'silenceTimeoutMs' | 'onConnected' | 'onMetadata' | 'onEvent'>): Promise<AttemptResult> {
		const {
			parts, request, records, sink, prepareBeside,
		} = this.options;
		const attempt = Attempt.start({
			wire: parts.wire,
			clock: parts.clock,
			request,
			target,
			sink,
			buffers: parts.buffers,
			readPace: parts.readPace,
			onDropped(bytes) {
				parts.logger.warn('response_dropped', {request: request.id, bytes, buffered: parts.buffers.totalBytes});
			},
			silenceTimeoutMs,
			prepareAnother: async () => prepareBeside(),
			onProgress: () => {
				this.#abortOthers(attempt);
			},
			onConnected() {
				records.guard(onConnected);
			},
			onMetadata(...metadata) {
				records.guard(() => {
					onMetadata(...metadata);
				});
			},
			onEvent(events) {
				records.guard(() => {
					onEvent(events);
				});
			},
			onError(err) {
				records.logError(err);
			},
		});
		this.#running.set(attempt, target.kind === 'server' ? target.choice.server.id : undefined);
		const result = await attempt.result;
		this.#running.delete(attempt);
		this.#add({runs: result.mayHaveRun ? 1 : 0});
		return result;
	}

	/** What the client gets next comes from one attempt. */
	#abortOthers(attempt: Attempt): void {
		for (const other of this.#running.keys()) {
			if (other !== attempt) {
				other.abort('overtaken');
			}
		}
	}

	#silenceTimeoutMs(expectedMs: number): number {
		const {route} = this.options.request;
		return route.kind.kind === 'stream'
			? Math.max(STREAM_SILENCE_SHARE * clientSilenceLimitMs(route), EXPECTED_TIME_FACTOR * expectedMs)
			: NON_STREAM_SILENCE_TARGETS * route.targetLatencyMs;
	}

	#add({runs = 0, sends = 0, receivedSends = 0, unconnectedSends = 0}: Partial<AttemptCounts>): void {
		const counts = this.#counts;
		this.#counts = {
			runs: counts.runs + runs,
			sends: counts.sends + sends,
			receivedSends: counts.receivedSends + receivedSends,
			unconnectedSends: counts.unconnectedSends + unconnectedSends,
		};
	}
}

function ignore(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
