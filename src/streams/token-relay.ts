/** Relays the tokens of one stream from its engine to a sink, each exactly once and in order. */
import type {DoneEvent, FailedEvent} from '../backend/engine-protocol.js';
import type {Clock} from '../util/clock.js';
import {pause} from '../util/pause.js';
import type {EngineEvent, EngineEvents, EngineStreams} from './engine-streams.js';
import {type SilenceLimits, SilenceWatch} from './silence-watch.js';

export type {SilenceLimits} from './silence-watch.js';

/** Faults in a row, without a token in between, after which the stream counts as lost. */
const MAX_FAULTS_IN_A_ROW = 4;
const RESUME_TIMEOUT_MS = 1000;
const RESUME_BACKOFF_MS = 50;

/** Receives the text of tokens. `write` resolves when the sink can take more, or `signal` is aborted. */
export type TokenSink = {
	write(text: string, signal: AbortSignal): Promise<void>;
};

export type RelayedStream = {
	readonly id: string;
	/** Engine as IP:PORT. */
	readonly address: string;
	/** Events of the connection on which the stream was started. */
	readonly events: EngineEvents;
};

export type RelayOptions = {
	readonly engine: Pick<EngineStreams, 'resume'>;
	readonly sink: TokenSink;
	readonly limits: SilenceLimits;
	/** Aborted when the caller has left or the deadline has passed. */
	readonly signal: AbortSignal;
	readonly clock: Clock;
	readonly onFirstToken?: () => void;
	/** Told of each connection that was given up. */
	readonly onFault?: (message: string, nextIndex: number) => void;
};

export type RelayProgress = {
	/** Tokens handed to the sink. */
	readonly tokens: number;
	/** Monotonic ms of the first token. */
	readonly firstTokenAt: number | undefined;
};

/**
 * `finished`: all tokens were handed over. `failed`: the engine gave up. `lost`: the engine or the stream is gone.
 * `stopped`: the signal was aborted. The stream still has to be cancelled at the engine in each case.
 */
export type RelayOutcome = RelayProgress & (
	| {readonly kind: 'finished'; readonly done: DoneEvent}
	| {readonly kind: 'failed'; readonly event: FailedEvent}
	| {readonly kind: 'lost'; readonly message: string; readonly silent: boolean}
	| {readonly kind: 'stopped'}
);

/** What one event means for the relay. */
type Step =
	| {readonly kind: 'continue'}
	| {readonly kind: 'end'; readonly done: DoneEvent}
	| {readonly kind: 'give_up'; readonly event: FailedEvent}
	| {readonly kind: 'fault'; readonly message: string; readonly silent: boolean};

const CONTINUE: Step = {kind: 'continue'};
const fault = (message: string, silent = false): Step => ({kind: 'fault', message, silent});

/** Relays one stream until it ends. Does not throw. */
export async function relayTokens(stream: RelayedStream, options: RelayOptions): Promise<RelayOutcome> {
	return new TokenRelay(stream, options).run();
}

class TokenRelay {
	readonly #stream: RelayedStream;
	readonly #options: RelayOptions;
	#events: EngineEvents;
	#next = 0;
	#firstTokenAt: number | undefined;
	#faults = 0;
	readonly #silence: SilenceWatch;

	constructor(stream: RelayedStream, options: RelayOptions) {
		this.#stream = stream;
		this.#options = options;
		this.#events = stream.events;
		this.#silence = SilenceWatch.create(options.limits, options.clock());
	}

	async run(): Promise<RelayOutcome> {
		const {signal} = this.#options;
		const stop = (): void => {
			this.#events.close();
		};

		signal.addEventListener('abort', stop, {once: true});
		try {
			return {...await this.#relay(), tokens: this.#next, firstTokenAt: this.#firstTokenAt};
		} finally {
			signal.removeEventListener('abort', stop);
			this.#events.close();
		}
	}

	async #relay() {
		const {signal, clock} = this.#options;
		for (;;) {
			const event = await this.#events.next(this.#silence.limitMs(clock()));
			if (signal.aborted) {
				return {kind: 'stopped'} as const;
			}

			const step = await this.#take(event);
			switch (step.kind) {
				case 'continue': {
					break;
				}

				case 'end': {
					return {kind: 'finished', done: step.done} as const;
				}

				case 'give_up': {
					return {kind: 'failed', event: step.event} as const;
				}

				case 'fault': {
					const lost = await this.#reconnect(step.message, step.silent);
					if (lost) {
						return lost;
					}

					break;
				}
			}
		}
	}

	async #take(event: EngineEvent): Promise<Step> {
		switch (event.kind) {
			case 'silent': {
				this.#silence.silent();
				return fault('no event within the expected time', true);
			}

			case 'closed': {
				return fault(event.message);
			}

			case 'token': {
				return this.#takeToken(event.event.id, event.event.index, event.event.text);
			}

			case 'done': {
				return this.#takeDone(event.event);
			}

			case 'failed': {
				return event.event.id === this.#stream.id ? {kind: 'give_up', event: event.event} : fault(`event of stream ${event.event.id}`);
			}
		}
	}

	async #takeToken(id: string, index: number, text: string): Promise<Step> {
		if (id !== this.#stream.id) {
			return fault(`token of stream ${id}`);
		}

		if (index > this.#next) {
			return fault(`token ${index} instead of ${this.#next}`);
		}

		if (index < this.#next) {
			return CONTINUE;
		}

		this.#next++;
		this.#faults = 0;
		const now = this.#options.clock();
		this.#silence.token(now);
		if (this.#firstTokenAt === undefined) {
			this.#firstTokenAt = now;
			this.#options.onFirstToken?.();
		}

		await this.#options.sink.write(text, this.#options.signal);
		return CONTINUE;
	}

	#takeDone(done: DoneEvent): Step {
		if (done.id !== this.#stream.id) {
			return fault(`end of stream ${done.id}`);
		}

		return done.completionTokens === this.#next ? {kind: 'end', done} : fault(`end after ${done.completionTokens} tokens, ${this.#next} received`);
	}

	/** Continues on a new connection at the next index. Returns an outcome when the stream is lost or stopped. */
	async #reconnect(message: string, silent: boolean) {
		const {engine, signal, clock, onFault} = this.#options;
		const {address, id} = this.#stream;
		this.#events.close();
		let cause = message;
		let timedOut = silent;
		// Silence alone is no sign of a lost stream as long as new connections show that the engine still has it.
		this.#faults += silent ? 0 : 1;
		for (;;) {
			onFault?.(cause, this.#next);
			if (this.#faults >= MAX_FAULTS_IN_A_ROW || (silent && this.#silence.isLost(clock()))) {
				return {kind: 'lost', message: cause, silent: timedOut} as const;
			}

			const backoffMs = this.#faults === 0 ? 0 : RESUME_BACKOFF_MS * (2 ** (this.#faults - 1));
			await pause(backoffMs, signal);
			const resumed = signal.aborted ? undefined : await engine.resume(address, id, this.#next, {timeoutMs: RESUME_TIMEOUT_MS, signal});
			if (!resumed || signal.aborted) {
				if (resumed?.kind === 'accepted') {
					resumed.events.close();
				}

				return {kind: 'stopped'} as const;
			}

			if (resumed.kind === 'accepted') {
				this.#events = resumed.events;
				this.#silence.connected(clock());
				return undefined;
			}

			if (resumed.kind === 'gone') {
				return {kind: 'lost', message: `${cause}; then ${resumed.message}`, silent: false} as const;
			}

			this.#faults++;
			cause = resumed.message;
			timedOut = silent;
		}
	}
}
