/** One send of a request to the chosen backend server: collects a call's response, or relays the events of a stream. */
import {Buffer} from 'node:buffer';
import {EventSplitter, type RawEvent} from '../forwarding/event-splitter.js';
import {
	startExchange, type Exchange, type ExchangeEnd, type ExchangeHead,
} from '../forwarding/exchange.js';
import type {Clock} from '../util/clock.js';
import type {GatewayRequest} from './gateway-request.js';
import type {MemoryReservation} from './memory-reservation.js';
import type {AttemptOutcome} from './repeat-policy.js';
import type {Choice} from './server-choice.js';
import type {ResponseFacts, WireFormat} from './wire-format.js';

/** Time in ms to open a connection: round trips take a few ms, and a lost first packet is sent again after a second. */
const CONNECT_TIMEOUT_MS = 400;

/** A whole response that has not been delivered. */
export type Answer = {
	readonly status: number;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};

export type AttemptResult = {
	readonly outcome: AttemptOutcome;
	/** Set with `answered`. */
	readonly answer?: Answer;
	/** Whether it may have run. */
	readonly mayHaveRun: boolean;
	/** Nothing reached the server. */
	readonly isUnsent?: boolean;
	/** IP:PORT of the server at fault, where it is not the chosen one. */
	readonly faultyAddress?: string;
	/** The address does not belong to the server any more, or nothing listens there. */
	readonly lost?: 'moved' | 'refused';
};

/** Where the events of a stream go. Lasts over the attempts of a request. */
export type EventSink = {
	/** Id of the last event that the client has. */
	readonly lastEventId: number | undefined;
	/** Sends the head with the first event; later heads are not sent. */
	event(head: readonly string[], event: RawEvent): boolean;
	/** Calls back once the client reads again. */
	onceWritable(callback: () => void): void;
};

export type AttemptOptions = {
	readonly wire: WireFormat;
	readonly clock: Clock;
	readonly request: GatewayRequest;
	readonly choice: Choice;
	/** Memory that helpers hold for the prompt. */
	readonly memory: MemoryReservation | undefined;
	readonly sink: EventSink;
	/** Longest silence in ms before `mayGiveUp` is asked. */
	readonly silenceMs: number;
	/** Aborted when the client leaves. */
	readonly signal: AbortSignal;
	/** Whether another attempt is possible. */
	mayGiveUp(): boolean;
	onFirstEvent(): void;
};

type Phase =
	| {readonly kind: 'waiting'}
	| {readonly kind: 'collecting'; readonly head: ExchangeHead; readonly chunks: Uint8Array[]}
	| {readonly kind: 'relaying'; readonly head: readonly string[]; readonly splitter: EventSplitter}
	| {readonly kind: 'refused'; readonly facts: ResponseFacts; readonly status: number};

const OK_STATUS = 200;

/** Runs one attempt to its end. */
export async function runAttempt(options: AttemptOptions): Promise<AttemptResult> {
	return new Promise(resolve => {
		new Attempt(options, resolve).start();
	});
}

class Attempt {
	#phase: Phase = {kind: 'waiting'};
	#exchange!: Exchange;
	#silence: NodeJS.Timeout | undefined;
	#expiry: NodeJS.Timeout | undefined;
	#isOver = false;
	#hasEvent = false;

	constructor(private readonly options: AttemptOptions, private readonly resolve: (result: AttemptResult) => void) {}

	start(): void {
		const {request, signal, clock} = this.options;
		const timeLeftMs = request.deadline - clock();
		if (signal.aborted || timeLeftMs <= 0) {
			this.#finish({outcome: signal.aborted ? {kind: 'left'} : {kind: 'expired', wasSent: false}, mayHaveRun: false});
			return;
		}

		this.#exchange = startExchange(this.#message(timeLeftMs), {
			onHead: head => {
				this.#onHead(head);
			},
			onData: chunk => {
				this.#onData(chunk);
			},
			onEnd: end => {
				this.#finish(this.#ended(end));
			},
		}, Math.min(CONNECT_TIMEOUT_MS, timeLeftMs));
		signal.addEventListener('abort', this.#onLeft);
		this.#expiry = setTimeout(() => {
			this.#stop({outcome: {kind: 'expired', wasSent: true}, mayHaveRun: true});
		}, timeLeftMs);
		this.#watchSilence();
	}

	#message(timeLeftMs: number) {
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
		const facts = wire.readResponse(head.status, head.headers);
		if (facts.isNotExecuted) {
			this.#phase = {kind: 'refused', facts, status: head.status};
		} else if (facts.attemptId !== request.facts.attemptId || !facts.isSigned) {
			this.#stop({outcome: {kind: 'broken', reason: `status ${head.status} without the signature and id of the request`}, mayHaveRun: true});
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
				if (!this.#relay(phase.head, event)) {
					return;
				}
			}
		}
	}

	/** Passes an event on; false when the stream is not the expected one. */
	#relay(head: readonly string[], event: RawEvent): boolean {
		const {sink} = this.options;
		const {lastEventId} = sink;
		if (event.id !== undefined && lastEventId !== undefined && event.id !== lastEventId + 1) {
			if (event.id <= lastEventId) {
				return true;
			}

			this.#stop({outcome: {kind: 'broken', reason: `event ${event.id} after event ${lastEventId}`}, mayHaveRun: true});
			return false;
		}

		if (!this.#hasEvent) {
			this.#hasEvent = true;
			this.options.onFirstEvent();
		}

		this.#watchSilence();
		if (!sink.event(head, event)) {
			this.#exchange.pause();
			sink.onceWritable(() => {
				this.#exchange.resume();
			});
		}

		return true;
	}

	#ended(end: ExchangeEnd): AttemptResult {
		switch (end.kind) {
			case 'complete': {
				return this.#completed();
			}

			case 'not_connected': {
				return {
					outcome: {kind: 'rejected', reason: `no connection: ${end.message}`}, mayHaveRun: false, isUnsent: true, lost: end.isRefused ? 'refused' : undefined,
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

	#completed(): AttemptResult {
		const phase = this.#phase;
		switch (phase.kind) {
			case 'waiting': {
				return {outcome: {kind: 'broken', reason: 'closed without a response'}, mayHaveRun: true};
			}

			case 'refused': {
				const {isMisdirected, faultyAddress} = phase.facts;
				const reason = isMisdirected ? 'the address belongs to another server' : `rejected with status ${phase.status}`;
				return {
					outcome: {kind: 'rejected', reason}, mayHaveRun: false, faultyAddress, lost: isMisdirected ? 'moved' : undefined,
				};
			}

			case 'relaying': {
				return phase.splitter.pendingBytes > 0 || !this.#hasEvent
					? {outcome: {kind: 'broken', reason: 'the stream ended within an event'}, mayHaveRun: true}
					: {outcome: {kind: 'delivered'}, mayHaveRun: true};
			}

			case 'collecting': {
				const {head, chunks} = phase;
				const answer = {status: head.status, headers: this.options.wire.clientHeaders(head.headers), body: Buffer.concat(chunks)};
				return {outcome: {kind: 'answered', status: head.status}, mayHaveRun: true, answer};
			}
		}
	}

	#watchSilence(): void {
		clearTimeout(this.#silence);
		this.#silence = setTimeout(() => {
			if (this.options.mayGiveUp()) {
				this.#stop({outcome: {kind: 'broken', reason: `silent for ${this.options.silenceMs} ms`}, mayHaveRun: true});
			}
		}, this.options.silenceMs);
	}

	readonly #onLeft = (): void => {
		this.#stop({outcome: {kind: 'left'}, mayHaveRun: true});
	};

	#stop(result: AttemptResult): void {
		this.#finish(result);
		this.#exchange.abort();
	}

	#finish(result: AttemptResult): void {
		if (!this.#isOver) {
			this.#isOver = true;
			clearTimeout(this.#silence);
			clearTimeout(this.#expiry);
			this.options.signal.removeEventListener('abort', this.#onLeft);
			this.resolve(result);
		}
	}
}
