/** Relays the tokens of one stream from its engine to a sink, in order and each exactly once. */
import type {DoneEvent, FailedEvent} from '../backend/engine-protocol.js';
import type {Clock} from '../util/clock.js';
import {pause} from '../util/pause.js';
import type {EngineEvent, EngineEvents, EngineStreams} from './engine-streams.js';
import {type SilenceLimits, SilenceDetector} from './silence-detector.js';

export type {SilenceLimits} from './silence-detector.js';

/** Number of faults without a token in between after which the stream is lost. */
const MAX_CONSECUTIVE_FAULTS = 4;
const RESUME_TIMEOUT_MS = 1000;
const RESUME_BACKOFF_MS = 50;

/** Receives the text of tokens. `write` resolves when the sink accepts more or `signal` is aborted. */
export type TokenSink = {
	write(text: string, signal: AbortSignal): Promise<void>;
};

export type RelayedStream = {
	readonly id: string;
	/** IP:PORT of the engine. */
	readonly address: string;
	/** Events of the connection on which the stream was started. */
	readonly events: EngineEvents;
};

export type RelayOptions = {
	readonly engine: Pick<EngineStreams, 'resume'>;
	readonly sink: TokenSink;
	readonly limits: SilenceLimits;
	/** Aborted when the caller has disconnected or the deadline has passed. */
	readonly signal: AbortSignal;
	readonly clock: Clock;
	readonly onFirstToken?: () => void;
	/** Called for each connection that is abandoned. */
	readonly onFault?: (message: string, nextIndex: number) => void;
};

export type RelayProgress = {
	/** Number of tokens passed to the sink. */
	readonly tokens: number;
	/** Monotonic time of the first token in ms. */
	readonly firstTokenAt: number | undefined;
};

/**
 * - `finished`: all tokens were relayed
 * - `failed`: the engine reported a failure
 * - `lost`: the engine no longer has the stream or does not deliver it
 * - `stopped`: the signal was aborted
 *
 * In each case the stream still has to be cancelled at the engine.
 */
export type RelayOutcome = RelayProgress & (
	| {readonly kind: 'finished'; readonly done: DoneEvent}
	| {readonly kind: 'failed'; readonly event: FailedEvent}
	| {readonly kind: 'lost'; readonly message: string; readonly silent: boolean}
	| {readonly kind: 'stopped'}
);

/** How the relay proceeds after an event. */
type NextAction =
	| {readonly kind: 'continue'}
	| {readonly kind: 'end'; readonly done: DoneEvent}
	| {readonly kind: 'give_up'; readonly event: FailedEvent}
	| {readonly kind: 'fault'; readonly message: string; readonly silent: boolean};

const CONTINUE: NextAction = {kind: 'continue'};
const faultAction = (message: string, silent = false): NextAction => ({kind: 'fault', message, silent});

/** Relays one stream until it ends. Does not throw. */
export async function relayTokens(stream: RelayedStream, options: RelayOptions): Promise<RelayOutcome> {
	return new TokenRelay(stream, options).run();
}

class TokenRelay {
	readonly #stream: RelayedStream;
	readonly #options: RelayOptions;
	#events: EngineEvents;
	#nextIndex = 0;
	#firstTokenAt: number | undefined;
	#consecutiveFaults = 0;
	readonly #silenceDetector: SilenceDetector;

	constructor(stream: RelayedStream, options: RelayOptions) {
		this.#stream = stream;
		this.#options = options;
		this.#events = stream.events;
		this.#silenceDetector = SilenceDetector.create(options.limits, options.clock());
	}

	async run(): Promise<RelayOutcome> {
		const {signal} = this.#options;
		const stop = (): void => {
			this.#events.close();
		};

		signal.addEventListener('abort', stop, {once: true});
		try {
			return {...await this.#relay(), tokens: this.#nextIndex, firstTokenAt: this.#firstTokenAt};
		} finally {
			signal.removeEventListener('abort', stop);
			this.#events.close();
		}
	}

	async #relay() {
		const {signal, clock} = this.#options;
		for (;;) {
			const event = await this.#events.next(this.#silenceDetector.limitMs(clock()));
			if (signal.aborted) {
				return {kind: 'stopped'} as const;
			}

			const action = await this.#handleEvent(event);
			switch (action.kind) {
				case 'continue': {
					break;
				}

				case 'end': {
					return {kind: 'finished', done: action.done} as const;
				}

				case 'give_up': {
					return {kind: 'failed', event: action.event} as const;
				}

				case 'fault': {
					const lost = await this.#reconnect(action.message, action.silent);
					if (lost) {
						return lost;
					}

					break;
				}
			}
		}
	}

	async #handleEvent(event: EngineEvent): Promise<NextAction> {
		switch (event.kind) {
			case 'silent': {
				this.#silenceDetector.recordSilence();
				return faultAction('no event within the time limit', true);
			}

			case 'closed': {
				return faultAction(event.message);
			}

			case 'token': {
				return this.#handleToken(event.event.id, event.event.index, event.event.text);
			}

			case 'done': {
				return this.#handleDone(event.event);
			}

			case 'failed': {
				return event.event.id === this.#stream.id ? {kind: 'give_up', event: event.event} : faultAction(`event for stream ${event.event.id}`);
			}
		}
	}

	async #handleToken(id: string, index: number, text: string): Promise<NextAction> {
		if (id !== this.#stream.id) {
			return faultAction(`token for stream ${id}`);
		}

		if (index > this.#nextIndex) {
			return faultAction(`token ${index} received, expected ${this.#nextIndex}`);
		}

		if (index < this.#nextIndex) {
			return CONTINUE;
		}

		this.#nextIndex++;
		this.#consecutiveFaults = 0;
		const now = this.#options.clock();
		this.#silenceDetector.recordToken(now);
		if (this.#firstTokenAt === undefined) {
			this.#firstTokenAt = now;
			this.#options.onFirstToken?.();
		}

		await this.#options.sink.write(text, this.#options.signal);
		return CONTINUE;
	}

	#handleDone(done: DoneEvent): NextAction {
		if (done.id !== this.#stream.id) {
			return faultAction(`end event for stream ${done.id}`);
		}

		return done.completionTokens === this.#nextIndex ? {kind: 'end', done} : faultAction(`the engine reports ${done.completionTokens} tokens, ${this.#nextIndex} received`);
	}

	/** Resumes the stream at the next index on a new connection. Returns an outcome if the stream is lost or the relay stopped. */
	async #reconnect(message: string, silent: boolean) {
		const {engine, signal, clock, onFault} = this.#options;
		const {address, id} = this.#stream;
		this.#events.close();
		let cause = message;
		let timedOut = silent;
		// A wait without events does not count as a fault, since the stream is not lost as long as the engine accepts resumes of it.
		this.#consecutiveFaults += silent ? 0 : 1;
		for (;;) {
			onFault?.(cause, this.#nextIndex);
			if (this.#consecutiveFaults >= MAX_CONSECUTIVE_FAULTS || (silent && this.#silenceDetector.isLost(clock()))) {
				return {kind: 'lost', message: cause, silent: timedOut} as const;
			}

			const backoffMs = this.#consecutiveFaults === 0 ? 0 : RESUME_BACKOFF_MS * (2 ** (this.#consecutiveFaults - 1));
			await pause(backoffMs, signal);
			const resumed = signal.aborted ? undefined : await engine.resume(address, id, this.#nextIndex, {timeoutMs: RESUME_TIMEOUT_MS, signal});
			if (!resumed || signal.aborted) {
				if (resumed?.kind === 'accepted') {
					resumed.events.close();
				}

				return {kind: 'stopped'} as const;
			}

			if (resumed.kind === 'accepted') {
				this.#events = resumed.events;
				this.#silenceDetector.recordConnection(clock());
				return undefined;
			}

			if (resumed.kind === 'gone') {
				return {kind: 'lost', message: `${cause}; resuming failed: ${resumed.message}`, silent: false} as const;
			}

			this.#consecutiveFaults++;
			cause = resumed.message;
			timedOut = silent;
		}
	}
}
