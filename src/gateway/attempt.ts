/** One attempt to send a request to the chosen backend server: buffers a whole response or relays the events of a stream. */
import {Buffer} from 'node:buffer';
import {EventSplitter, type RawEvent} from '../forwarding/event-splitter.js';
import {
	startExchange, type Exchange, type ExchangeEnd, type ExchangeHead,
} from '../forwarding/exchange.js';
import type {Clock} from '../util/clock.js';
import type {GatewayRequest} from './gateway-request.js';
import type {MemoryReservation} from './memory-reservation.js';
import type {AttemptOutcome} from './retry-policy.js';
import type {ServerChoice} from './server-choice.js';
import type {ResponseMetadata, WireFormat} from './wire-format.js';

/** Time in ms to connect: round trips take a few ms, and a lost first packet is only retransmitted after a second. */
const CONNECT_TIMEOUT_MS = 400;

/** A complete response that has not been sent to the client. */
export type BufferedResponse = {
	readonly status: number;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};

export type AttemptResult = {
	readonly outcome: AttemptOutcome;
	/** Set if the outcome is `answered`. */
	readonly response?: BufferedResponse;
	/** Whether the backend server may have run the request. */
	readonly mayHaveRun: boolean;
	/** Nothing was sent to the server. */
	readonly isUnsent?: boolean;
	/** IP:PORT of the server that caused the failure, if it is not the chosen one. */
	readonly faultyAddress?: string;
	/** The address now belongs to another server (`moved`), or nothing listens on it (`refused`). */
	readonly lostReason?: 'moved' | 'refused';
};

/** Receives the events of a stream. Used for all attempts of a request. */
export type EventSink = {
	/** Id of the last event that the client has received. */
	readonly lastEventId: number | undefined;
	/** Sends an event, and `head` before the first one; later heads are ignored. Returns false if the buffer is full. */
	writeEvent(head: readonly string[], event: RawEvent): boolean;
	/** Calls `callback` once the client reads again. */
	onceDrained(callback: () => void): void;
};

export type AttemptOptions = {
	readonly wire: WireFormat;
	readonly clock: Clock;
	readonly request: GatewayRequest;
	readonly choice: ServerChoice;
	/** Memory reserved on helpers for the prompt. */
	readonly memory: MemoryReservation | undefined;
	readonly sink: EventSink;
	/** Time in ms without an event after which the attempt is aborted if `canRetry` allows it. */
	readonly silenceTimeoutMs: number;
	/** Aborted when the client disconnects. */
	readonly signal: AbortSignal;
	/** Whether another attempt is possible. */
	canRetry(): boolean;
	onFirstEvent(): void;
};

type Phase =
	| {readonly kind: 'waiting'}
	| {readonly kind: 'collecting'; readonly head: ExchangeHead; readonly chunks: Uint8Array[]}
	| {readonly kind: 'relaying'; readonly head: readonly string[]; readonly splitter: EventSplitter}
	| {readonly kind: 'refused'; readonly metadata: ResponseMetadata; readonly status: number};

const OK_STATUS = 200;

/** Runs one attempt until it ends. */
export async function runAttempt(options: AttemptOptions): Promise<AttemptResult> {
	return new Promise(resolve => {
		new Attempt(options, resolve).start();
	});
}

class Attempt {
	#phase: Phase = {kind: 'waiting'};
	#exchange!: Exchange;
	#silenceTimer: NodeJS.Timeout | undefined;
	#deadlineTimer: NodeJS.Timeout | undefined;
	#isFinished = false;
	#hasEvent = false;

	constructor(private readonly options: AttemptOptions, private readonly resolve: (result: AttemptResult) => void) {}

	start(): void {
		const {request, signal, clock} = this.options;
		const timeLeftMs = request.deadline - clock();
		if (signal.aborted || timeLeftMs <= 0) {
			this.#finish({outcome: signal.aborted ? {kind: 'left'} : {kind: 'expired', wasSent: false}, mayHaveRun: false});
			return;
		}

		this.#exchange = startExchange(this.#createRequest(timeLeftMs), {
			onHead: head => {
				this.#onHead(head);
			},
			onData: chunk => {
				this.#onData(chunk);
			},
			onEnd: end => {
				this.#finish(this.#resultOf(end));
			},
		}, Math.min(CONNECT_TIMEOUT_MS, timeLeftMs));
		signal.addEventListener('abort', this.#onDisconnect);
		this.#deadlineTimer = setTimeout(() => {
			this.#abort({outcome: {kind: 'expired', wasSent: true}, mayHaveRun: true});
		}, timeLeftMs);
		this.#restartSilenceTimer();
	}

	#createRequest(timeLeftMs: number) {
		const {
			request, choice, memory, wire, sink,
		} = this.options;
		const {req, workspace, body} = request;
		return {
			address: choice.server.address,
			method: req.method!,
			path: req.url!,
			headers: wire.backendHeaders(req.rawHeaders, {
				instanceId: choice.server.instanceId,
				deadlineMs: Math.floor(timeLeftMs),
				workspace: workspace?.name,
				lastEventId: sink.lastEventId,
				helpers: choice.helpers.map(helper => ({address: helper.address, reservation: memory?.idAt(helper)})),
				urgency: undefined,
			}),
			body,
		};
	}

	#onHead(head: ExchangeHead): void {
		const {wire, request} = this.options;
		const metadata = wire.readResponseMetadata(head.status, head.headers);
		if (metadata.isNotExecuted) {
			this.#phase = {kind: 'refused', metadata, status: head.status};
		} else if (metadata.attemptId !== request.metadata.attemptId || !metadata.isSigned) {
			this.#abort({outcome: {kind: 'broken', reason: `response with status ${head.status} lacks a signature or the request id`}, mayHaveRun: true});
		} else if (request.route.kind.kind === 'stream' && head.status === OK_STATUS) {
			this.#phase = {kind: 'relaying', head: wire.clientHeaders(head.headers), splitter: EventSplitter.create()};
		} else {
			this.#phase = {kind: 'collecting', head, chunks: []};
		}
	}

	#onData(chunk: Uint8Array): void {
		const phase = this.#phase;
		if (phase.kind === 'collecting') {
			phase.chunks.push(chunk);
		} else if (phase.kind === 'relaying') {
			for (const event of phase.splitter.push(chunk)) {
				if (!this.#relayEvent(phase.head, event)) {
					return;
				}
			}
		}
	}

	/** Relays an event. Returns false if it is not the expected one, which ends the attempt. */
	#relayEvent(head: readonly string[], event: RawEvent): boolean {
		const {sink} = this.options;
		const {lastEventId} = sink;
		if (event.id !== undefined && lastEventId !== undefined && event.id !== lastEventId + 1) {
			if (event.id <= lastEventId) {
				return true;
			}

			this.#abort({outcome: {kind: 'broken', reason: `received event ${event.id} after event ${lastEventId}`}, mayHaveRun: true});
			return false;
		}

		if (!this.#hasEvent) {
			this.#hasEvent = true;
			this.options.onFirstEvent();
		}

		this.#restartSilenceTimer();
		if (!sink.writeEvent(head, event)) {
			this.#exchange.pause();
			sink.onceDrained(() => {
				this.#exchange.resume();
			});
		}

		return true;
	}

	#resultOf(end: ExchangeEnd): AttemptResult {
		switch (end.kind) {
			case 'complete': {
				return this.#resultOfComplete();
			}

			case 'not_connected': {
				return {
					outcome: {kind: 'rejected', reason: `no connection: ${end.message}`}, mayHaveRun: false, isUnsent: true, lostReason: end.isRefused ? 'refused' : undefined,
				};
			}

			case 'broken': {
				return {outcome: {kind: 'broken', reason: end.message}, mayHaveRun: true};
			}

			case 'aborted': {
				return {outcome: {kind: 'left'}, mayHaveRun: true};
			}
		}
	}

	#resultOfComplete(): AttemptResult {
		const phase = this.#phase;
		switch (phase.kind) {
			case 'waiting': {
				return {outcome: {kind: 'broken', reason: 'connection closed without a response'}, mayHaveRun: true};
			}

			case 'refused': {
				const {isMisdirected, faultyAddress} = phase.metadata;
				const reason = isMisdirected ? 'the address now belongs to another server' : `rejected with status ${phase.status}`;
				return {
					outcome: {kind: 'rejected', reason}, mayHaveRun: false, faultyAddress, lostReason: isMisdirected ? 'moved' : undefined,
				};
			}

			case 'relaying': {
				return phase.splitter.pendingBytes > 0 || !this.#hasEvent
					? {outcome: {kind: 'broken', reason: 'the stream ended before a complete event'}, mayHaveRun: true}
					: {outcome: {kind: 'delivered'}, mayHaveRun: true};
			}

			case 'collecting': {
				const {head, chunks} = phase;
				const response = {status: head.status, headers: this.options.wire.clientHeaders(head.headers), body: Buffer.concat(chunks)};
				return {outcome: {kind: 'answered', status: head.status}, mayHaveRun: true, response};
			}
		}
	}

	#restartSilenceTimer(): void {
		clearTimeout(this.#silenceTimer);
		this.#silenceTimer = setTimeout(() => {
			if (this.options.canRetry()) {
				this.#abort({outcome: {kind: 'broken', reason: `no event or response within ${this.options.silenceTimeoutMs} ms`}, mayHaveRun: true});
			}
		}, this.options.silenceTimeoutMs);
	}

	readonly #onDisconnect = (): void => {
		this.#abort({outcome: {kind: 'left'}, mayHaveRun: true});
	};

	#abort(result: AttemptResult): void {
		this.#finish(result);
		this.#exchange.abort();
	}

	#finish(result: AttemptResult): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			clearTimeout(this.#silenceTimer);
			clearTimeout(this.#deadlineTimer);
			this.options.signal.removeEventListener('abort', this.#onDisconnect);
			this.resolve(result);
		}
	}
}
