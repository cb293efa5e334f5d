/** One attempt to send a request to the chosen backend server: buffers a whole response or relays the events of a stream. */
import {EventSplitter, type RawEvent} from '../forwarding/event-splitter.js';
import {
	startExchange, type Exchange, type ExchangeEnd, type ExchangeHead,
} from '../forwarding/exchange.js';
import type {ReadPace} from '../http/read-pace.js';
import type {ResponseAccount, ResponseBuffers} from '../forwarding/response-buffers.js';
import {
	readRelayNote, relayNoteHeaders, type RelayNote,
} from '../relaying/relayed-response.js';
import type {Clock} from '../util/clock.js';
import {GrowingBuffer} from '../util/growing-buffer.js';
import {createExchangeRequest, type AttemptTarget} from './attempt-request.js';
import {
	notConnected, rejection, relayFailureOf, type AttemptResult,
} from './attempt-result.js';
import type {GatewayRequest} from './gateway-request.js';
import {SilenceWatch, type ReadyAttempt} from './silence-watch.js';
import type {ResponseMetadata, WireFormat} from './wire-format.js';

/** Time in ms to connect: round trips take a few ms, and a lost first packet is only retransmitted after a second. */
const CONNECT_TIMEOUT_MS = 400;
/** Largest response other than a stream. Such a response is buffered, so that a broken one can be retried. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
/**
 * Bytes of a stream after which a server without a new event counts as broken. Also limits the size of one event: an
 * event of a hundred tokens with log probabilities has about 50 kB.
 */
const MAX_STALLED_STREAM_BYTES = 262_144;

/** Receives the events of a stream. Used for all attempts of a request. */
export type EventSink = {
	/** Id of the last event that the client has received. */
	readonly lastEventId: number | undefined;
	/** Whether the client has received the head of a stream, so that nothing but its events can follow. */
	readonly hasBegun: boolean;
	/** Number of bytes that the client has not received yet. */
	readonly unsentBytes: number;
	/**
	 * Sends whole events up to `lastEventId`, which is undefined if none of them has an id, and `head` before the first ones; later heads are
	 * ignored. Returns false if the buffer is full.
	 */
	writeEvents(head: readonly string[], bytes: Uint8Array, lastEventId: number | undefined): boolean;
	/** Calls `callback` once the client reads again. */
	onceDrained(callback: () => void): void;
	/** Closes the connection of the client. */
	destroy(): void;
};

export type AttemptOptions = {
	readonly wire: WireFormat;
	readonly clock: Clock;
	readonly request: GatewayRequest;
	readonly target: AttemptTarget;
	readonly sink: EventSink;
	readonly buffers: ResponseBuffers;
	readonly readPace: ReadPace;
	/** Time in ms without a new event or response after which another attempt is started beside this one. */
	readonly silenceTimeoutMs: number;
	/** Prepares another attempt. Resolves with undefined if none is possible now; never rejects. */
	prepareAnother(): Promise<ReadyAttempt | undefined>;
	/** Called when a new event has arrived, before it is sent to the client. */
	onProgress(): void;
	/** Called when a connection has been opened. */
	onConnected(): void;
	/** Called with the metadata of the response head of a backend server, and with what a relaying host has added. */
	onMetadata(metadata: ResponseMetadata, relayNote: RelayNote | undefined): void;
	/** Called with the number of new events after each one. */
	onEvent(events: number): void;
	/** Called before the connection of a client is closed that reads too slowly to give up `bytes` bytes of memory. */
	onDropped(bytes: number): void;
	/** Called with an unexpected error, which ends the attempt. */
	onError(err: unknown): void;
};

type Phase =
	| {readonly kind: 'waiting'}
	| CollectingPhase
	| RelayingPhase;

type CollectingPhase = {
	readonly kind: 'collecting';
	readonly head: ExchangeHead;
	readonly body: GrowingBuffer;
	readonly account: ResponseAccount;
};

type RelayingPhase = {
	readonly kind: 'relaying';
	readonly head: readonly string[];
	/** The end of the response is part of it, not the end of the connection. */
	readonly isFramed: boolean;
	readonly splitter: EventSplitter;
	readonly account: ResponseAccount;
	/** Events without an id, such as comments, before the first new event. They are no sign that the request is being served. */
	preamble: GrowingBuffer;
	/** Bytes received since the last new event. */
	stalledBytes: number;
};

/** Neighbouring events that are handled together. */
type EventRun = {
	readonly isPreamble: boolean;
	hasNewEvent: boolean;
	readonly first: RawEvent;
	last: RawEvent;
};

/** `overtaken`: another attempt has shown more than this one. */
export type AbortReason = 'request_ended' | 'expired' | 'overtaken';

const OK_STATUS = 200;

/** One running attempt. It has no deadline of its own: the request aborts it. */
export class Attempt {
	static start(options: AttemptOptions): Attempt {
		const attempt = new Attempt(options);
		attempt.#guard(() => {
			attempt.#start();
		})();
		return attempt;
	}

	/** Resolves when the attempt has ended. */
	readonly result: Promise<AttemptResult>;
	#resolve!: (result: AttemptResult) => void;
	#phase: Phase = {kind: 'waiting'};
	#exchange: Exchange | undefined;
	readonly #silence: SilenceWatch;
	#finished: AttemptResult | undefined;
	#events = 0;
	#isPaused = false;
	/** Another attempt has been started since the last new event. */
	#isSilent = false;

	private constructor(private readonly options: AttemptOptions) {
		this.result = new Promise(resolve => {
			this.#resolve = resolve;
		});
		this.#silence = SilenceWatch.create({
			timeoutMs: options.silenceTimeoutMs,
			prepareAnother: async () => options.prepareAnother(),
			onReady: this.#guard((another, isSilent) => {
				if (isSilent) {
					this.#isSilent = true;
					another.start();
				} else {
					another.discard();
				}
			}),
		});
	}

	/** Whether the backend server may have run the request, as far as is known now. */
	get mayHaveRun(): boolean {
		return this.#finished?.mayHaveRun ?? this.#exchange?.isConnected ?? false;
	}

	/** Ends the attempt because its request has ended, or another attempt goes on. Does nothing if the attempt has ended. */
	abort(reason: AbortReason): void {
		const {mayHaveRun} = this;
		const end = {mayHaveRun, isUnsent: !mayHaveRun};
		switch (reason) {
			case 'expired': {
				this.#abort({...end, outcome: {kind: 'expired', wasSent: mayHaveRun}});
				break;
			}

			case 'request_ended': {
				this.#abort({...end, outcome: {kind: 'aborted'}});
				break;
			}

			case 'overtaken': {
				this.#abort(this.#isSilent
					? {...end, outcome: {kind: 'broken', reason: `no new event or response within ${this.options.silenceTimeoutMs} ms`}, isGivenUp: true}
					: {...end, outcome: {kind: 'aborted'}});
				break;
			}
		}
	}

	/** Has a silent attempt look again for another one, after the one beside it has failed. */
	lookAgain(): void {
		if (this.#isSilent) {
			this.#silence.lookAgain();
		}
	}

	#start(): void {
		const {request, clock} = this.options;
		const timeLeftMs = request.deadline - clock();
		if (timeLeftMs <= 0) {
			this.#finish({
				outcome: {kind: 'expired', wasSent: false}, mayHaveRun: false, isUnsent: true, isBlameless: true,
			});
			return;
		}

		this.#exchange = startExchange(createExchangeRequest(this.options, timeLeftMs), {
			onConnected: this.#guard(() => {
				this.options.onConnected();
			}),
			onHead: this.#guard(head => {
				this.#onHead(head);
			}),
			onData: this.#guard(chunk => {
				this.#onData(chunk);
			}),
			onEnd: this.#guard(end => {
				this.#finish(this.#resultOf(end));
			}),
		}, {connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, timeLeftMs), pace: this.options.readPace});
		this.#restartSilence();
	}

	#onHead(head: ExchangeHead): void {
		const {wire, request, target} = this.options;
		const metadata = wire.readResponseMetadata(head.status, head.headers);
		const relayFailure = target.kind === 'host' ? relayFailureOf(head.status, metadata.isSigned) : undefined;
		if (relayFailure) {
			this.#abort(relayFailure);
			return;
		}

		// A server may repeat the response to an earlier request, whose refusal says nothing about this one.
		if (metadata.attemptId !== request.metadata.attemptId) {
			this.#abortBroken(`response with status ${head.status} names the request ${metadata.attemptId ?? 'none'}`);
			return;
		}

		this.options.onMetadata(metadata, target.kind === 'host' ? readRelayNote(head.headers) : undefined);
		if (metadata.isNotExecuted) {
			// The head decides; the body may never end.
			this.#abort(rejection(metadata, head.status));
		} else if (!metadata.isSigned) {
			this.#abortBroken(`response with status ${head.status} lacks a signature`);
		} else if (request.route.kind.kind === 'stream' && head.status === OK_STATUS) {
			this.#phase = {
				kind: 'relaying',
				head: this.#clientHeaders(head),
				isFramed: isFramed(head),
				splitter: EventSplitter.create(),
				account: this.#openAccount(),
				preamble: GrowingBuffer.create(),
				stalledBytes: 0,
			};
		} else if (this.options.sink.hasBegun) {
			this.#abortBroken(`response with status ${head.status} instead of the rest of the stream`);
		} else {
			this.#collect(head);
		}
	}

	#collect(head: ExchangeHead): void {
		const length = Number(head.headers['content-length'] ?? 0);
		if (length > MAX_RESPONSE_BYTES) {
			this.#abortBroken(`a response of ${length} bytes exceeds the limit of ${MAX_RESPONSE_BYTES} bytes`);
			return;
		}

		this.#phase = {
			kind: 'collecting', head, body: GrowingBuffer.create(), account: this.#openAccount(),
		};
	}

	/** A host that relays its request learns which server responded, as it acts on what the response says about that. */
	#clientHeaders(head: ExchangeHead): readonly string[] {
		const {wire, request, target} = this.options;
		const headers = wire.clientHeaders(head.headers);
		return request.isRelayed && target.kind === 'server' ? [...headers, ...relayNoteHeaders(target.choice.server.id, request.configuration)] : headers;
	}

	#openAccount(): ResponseAccount {
		const {buffers, sink, onDropped} = this.options;
		return buffers.open(this.#guard(() => {
			if (this.#isPaused) {
				// The client is slow, not the server.
				onDropped(sink.unsentBytes);
				sink.destroy();
			} else {
				this.#abortBroken(`this response is the largest of the buffered ones, which exceed ${buffers.maxBytes} bytes in total`);
			}
		}));
	}

	#onData(chunk: Uint8Array): void {
		const phase = this.#phase;
		if (this.#finished) {
			return;
		}

		if (phase.kind === 'collecting') {
			phase.body.append(chunk);
			if (phase.body.length > MAX_RESPONSE_BYTES) {
				this.#abortBroken(`the response exceeds the limit of ${MAX_RESPONSE_BYTES} bytes`);
			} else {
				phase.account.record(phase.body.capacity);
			}
		} else if (phase.kind === 'relaying') {
			this.#relay(phase, chunk);
		}
	}

	#relay(phase: RelayingPhase, chunk: Uint8Array): void {
		phase.stalledBytes += chunk.length;
		this.#relayEvents(phase, phase.splitter.push(chunk));
		if (this.#finished) {
			return;
		}

		if (phase.stalledBytes > MAX_STALLED_STREAM_BYTES) {
			this.#abortBroken(`received ${phase.stalledBytes} bytes without a new event`);
		} else {
			this.#recordMemory(phase);
		}
	}

	/** Handles neighbouring events together: a server may send thousands of short ones at once. */
	#relayEvents(phase: RelayingPhase, events: readonly RawEvent[]): void {
		let {lastEventId} = this.options.sink;
		let run: EventRun | undefined;
		const endRun = (): void => {
			if (run) {
				this.#relayRun(phase, run, lastEventId);
			}

			run = undefined;
		};

		for (const event of events) {
			const place = this.#placeOf(event, lastEventId);
			if (place === 'gap' || place === 'repeated') {
				endRun();
				if (place === 'gap') {
					this.#abortBroken(`received event ${event.id} after event ${lastEventId}`);
					return;
				}

				continue;
			}

			if (run?.isPreamble !== (place === 'preamble')) {
				endRun();
			}

			run ??= {
				isPreamble: place === 'preamble', hasNewEvent: false, first: event, last: event,
			};
			run.last = event;
			if (place === 'new') {
				run.hasNewEvent = true;
				lastEventId = event.id;
				this.#events++;
				this.options.onEvent(this.#events);
			}
		}

		endRun();
	}

	#relayRun(phase: RelayingPhase, {isPreamble, hasNewEvent, first, last}: EventRun, lastEventId: number | undefined): void {
		const bytes = first.bytesTo(last);
		if (isPreamble) {
			phase.preamble.append(bytes);
			return;
		}

		if (hasNewEvent) {
			this.#recordProgress(phase);
		}

		this.#write(phase, bytes, lastEventId);
	}

	/** Where an event stands in the stream of the client; `beside` has no id. */
	#placeOf({id}: RawEvent, lastEventId: number | undefined): 'preamble' | 'beside' | 'repeated' | 'new' | 'gap' {
		if (id === undefined) {
			return this.#events > 0 ? 'beside' : 'preamble';
		}

		if (lastEventId === undefined || id === lastEventId + 1) {
			return 'new';
		}

		return id > lastEventId ? 'gap' : 'repeated';
	}

	/** Records new events before they are sent, and sends what came before the first of them. */
	#recordProgress(phase: RelayingPhase): void {
		phase.stalledBytes = phase.splitter.pendingBytes;
		this.#isSilent = false;
		this.#restartSilence();
		this.options.onProgress();
		if (phase.preamble.length > 0) {
			this.options.sink.writeEvents(phase.head, phase.preamble.bytes, undefined);
			phase.preamble = GrowingBuffer.create();
		}
	}

	/** Sends events to the client, and stops reading from the server while the client does not read. */
	#write(phase: RelayingPhase, bytes: Uint8Array, lastEventId: number | undefined): void {
		const {sink} = this.options;
		if (sink.writeEvents(phase.head, bytes, lastEventId) || this.#isPaused) {
			return;
		}

		this.#isPaused = true;
		this.#exchange?.pause();
		// The client is slow, not the server.
		this.#silence.stop();
		sink.onceDrained(this.#guard(() => {
			this.#isPaused = false;
			if (!this.#finished) {
				this.#recordMemory(phase);
				this.#exchange?.resume();
				this.#restartSilence();
			}
		}));
	}

	#recordMemory({splitter, preamble, account}: RelayingPhase): void {
		account.record(splitter.capacity + preamble.capacity + this.options.sink.unsentBytes);
	}

	#resultOf(end: ExchangeEnd): AttemptResult {
		switch (end.kind) {
			case 'complete': {
				return this.#resultOfComplete(end.isDisconnected);
			}

			case 'not_connected': {
				return notConnected(end);
			}

			case 'broken': {
				return {outcome: {kind: 'broken', reason: end.message}, mayHaveRun: true, isDisconnected: end.isDisconnected};
			}

			case 'aborted': {
				return {outcome: {kind: 'aborted'}, mayHaveRun: true};
			}
		}
	}

	#resultOfComplete(isDisconnected: boolean): AttemptResult {
		const phase = this.#phase;
		switch (phase.kind) {
			case 'waiting': {
				return {outcome: {kind: 'broken', reason: 'connection closed without a response'}, mayHaveRun: true, isDisconnected};
			}

			case 'relaying': {
				if (phase.splitter.pendingBytes === 0 && this.#events > 0) {
					return {outcome: {kind: 'delivered'}, mayHaveRun: true};
				}

				return this.#isEmptyRest(phase)
					? {outcome: {kind: 'nothing_left'}, mayHaveRun: true, streamHead: phase.head}
					: {outcome: {kind: 'broken', reason: 'the stream ended before a complete event'}, mayHaveRun: true, isDisconnected};
			}

			case 'collecting': {
				const {head, body, account} = phase;
				const response = {
					status: head.status, headers: this.#clientHeaders(head), body: body.bytes, account,
				};
				return {outcome: {kind: 'answered', status: head.status}, mayHaveRun: true, response};
			}
		}
	}

	/**
	 * Whether an empty stream is the answer to a client that asks for what follows the last event of an earlier response. A stream that this
	 * daemon has begun to pass on is not ended by it: a faulty server sends the same, and the server of the stream, if it is only silent, knows better.
	 */
	#isEmptyRest({stalledBytes, isFramed}: RelayingPhase): boolean {
		const {request: {route: {kind}}, sink} = this.options;
		return stalledBytes === 0 && isFramed && !sink.hasBegun && sink.lastEventId !== undefined && kind.kind === 'stream' && kind.resumable;
	}

	#restartSilence(): void {
		if (!this.#isPaused && !this.#finished) {
			this.#silence.restart();
		}
	}

	/**
	 * Wraps a callback so that an exception in it ends the attempt. All calls from connections, timers and clients go through it; there
	 * an exception would otherwise leave the request without an end.
	 */
	#guard<A extends readonly unknown[]>(callback: (...args: A) => void): (...args: A) => void {
		return (...args) => {
			try {
				callback(...args);
			} catch (err) {
				this.options.onError(err);
				const reason = `unexpected error: ${String(err)}`;
				this.#abort(this.mayHaveRun
					? {outcome: {kind: 'broken', reason}, mayHaveRun: true}
					: {outcome: {kind: 'rejected', reason}, mayHaveRun: false, isUnsent: true});
			}
		};
	}

	#abortBroken(reason: string): void {
		this.#abort({outcome: {kind: 'broken', reason}, mayHaveRun: true});
	}

	#abort(result: AttemptResult): void {
		this.#finish(result);
		this.#exchange?.abort();
	}

	#finish(result: AttemptResult): void {
		if (this.#finished) {
			return;
		}

		this.#finished = {...result, events: this.#events};
		this.#silence.stop();
		if (this.#phase.kind !== 'waiting' && !result.response) {
			this.#phase.account.close();
		}

		this.#resolve(this.#finished);
	}
}

const isFramed = ({headers}: ExchangeHead): boolean => headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
