/** Interface to the streams and segments of model engines, used by the token relay and by request execution. */
import type {
	DoneEvent, FailedEvent, SegmentRequest, StreamRequest, TokenEvent,
} from '../backend/engine-protocol.js';

/** Time limit and cancellation of one call to an engine. */
export type EngineCallOptions = {
	/** Time limit in ms for the response headers, or for the whole response if it is not a stream. */
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
	/** Called with the connection open, right before the first byte is sent. A returned text is the reason not to send. */
	readonly maySend?: () => string | undefined;
};

/**
 * One event of a stream. `silent`: no event arrived within the limit. `closed`: the connection ended or violated the
 * protocol.
 */
export type EngineEvent =
	| {readonly kind: 'token'; readonly event: TokenEvent}
	| {readonly kind: 'done'; readonly event: DoneEvent}
	| {readonly kind: 'failed'; readonly event: FailedEvent}
	| {readonly kind: 'silent'}
	| {readonly kind: 'closed'; readonly message: string};

/** Events of one connection, read one at a time, so that a slow reader applies backpressure to the connection. */
export type EngineEvents = {
	/** Waits up to `limitMs` for the next event. Does not throw. */
	next(limitMs: number): Promise<EngineEvent>;
	/** Closes the connection. The engine keeps the stream until it is cancelled or its time is over. */
	close(): void;
};

/** State of the engine process, from its response headers. */
export type EngineProcessState = {readonly boot: string; readonly warm: boolean};

/**
 * A request that was not started, as far as is known.
 * - `not_sent`: nothing reached the engine
 * - `withheld`: `maySend` returned a reason not to send
 * - `not_accepted`: the engine refused the request and has not run it
 * - `unknown`: the engine may be running it, or may still do so later
 */
export type NotStarted =
	| {readonly kind: 'not_sent'; readonly message: string}
	| {readonly kind: 'withheld'; readonly message: string}
	| {readonly kind: 'not_accepted'; readonly message: string}
	| {readonly kind: 'unknown'; readonly message: string};

export type StartOutcome = ({readonly kind: 'accepted'; readonly events: EngineEvents} & EngineProcessState) | NotStarted;

/** `gone`: the engine does not know the stream. */
export type ResumeOutcome =
	| ({readonly kind: 'accepted'; readonly events: EngineEvents} & EngineProcessState)
	| {readonly kind: 'gone'; readonly message: string}
	| {readonly kind: 'unreachable'; readonly message: string};

/** An accepted segment. `finished` waits up to `limitMs` for its prefill. */
export type AcceptedSegment = {
	readonly kind: 'accepted';
	finished(limitMs: number): Promise<{readonly kind: 'kept'; readonly tokens: number} | {readonly kind: 'failed'; readonly message: string}>;
} & EngineProcessState;

export type SegmentOutcome = AcceptedSegment | NotStarted;

/** `refused`: no process listens on the address, so nothing is held there. */
export type CancelOutcome =
	| {readonly kind: 'cancelled'}
	| {readonly kind: 'refused'; readonly message: string}
	| {readonly kind: 'unreachable'; readonly message: string};

/** Calls to engines. `address` is IP:PORT. Methods do not throw. */
export type EngineStreams = {
	start(address: string, request: StreamRequest, options: EngineCallOptions): Promise<StartOutcome>;
	/** Continues with the token at index `from`, on a new connection. */
	resume(address: string, id: string, from: number, options: EngineCallOptions): Promise<ResumeOutcome>;
	prefillSegment(address: string, request: SegmentRequest, options: EngineCallOptions): Promise<SegmentOutcome>;
	cancelStream(address: string, id: string, options: EngineCallOptions): Promise<CancelOutcome>;
	freeSegment(address: string, id: string, options: EngineCallOptions): Promise<CancelOutcome>;
};
