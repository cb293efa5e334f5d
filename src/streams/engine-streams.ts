/** Streams of model engines, as the relay and the execution of a request see them. */
import type {
	DoneEvent, FailedEvent, SegmentRequest, StreamRequest, TokenEvent,
} from '../backend/engine-protocol.js';

/** Time limit and cancellation of one call to an engine. */
export type EngineCallOptions = {
	/** Limit for the response headers, or for the whole answer where it is not a stream. */
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
	/** Asked when the connection is open, right before the first byte is sent; a text says why it may not be sent. */
	readonly maySend?: () => string | undefined;
};

/** One event of a stream. `silent`: none arrived within the limit. `closed`: the connection ended or broke the protocol. */
export type EngineEvent =
	| {readonly kind: 'token'; readonly event: TokenEvent}
	| {readonly kind: 'done'; readonly event: DoneEvent}
	| {readonly kind: 'failed'; readonly event: FailedEvent}
	| {readonly kind: 'silent'}
	| {readonly kind: 'closed'; readonly message: string};

/** Events of one connection, read one at a time so that a slow reader holds back the connection. */
export type EngineEvents = {
	/** Waits at most `limitMs` for the next event. Does not throw. */
	next(limitMs: number): Promise<EngineEvent>;
	/** Drops the connection. The stream stays at the engine until it is cancelled or its time is over. */
	close(): void;
};

/** Facts about the engine process from its response headers. */
export type EngineFacts = {readonly boot: string; readonly warm: boolean};

/**
 * Outcome of sending work. `not_sent`: nothing reached the engine. `withheld`: `maySend` refused. `not_accepted`: the engine refused, it did not run.
 * `unknown`: the engine may run it, now or later.
 */
export type NotStarted =
	| {readonly kind: 'not_sent'; readonly message: string}
	| {readonly kind: 'withheld'; readonly message: string}
	| {readonly kind: 'not_accepted'; readonly message: string}
	| {readonly kind: 'unknown'; readonly message: string};

export type StartOutcome = ({readonly kind: 'accepted'; readonly events: EngineEvents} & EngineFacts) | NotStarted;

/** `gone`: the engine does not know the stream. */
export type ResumeOutcome =
	| ({readonly kind: 'accepted'; readonly events: EngineEvents} & EngineFacts)
	| {readonly kind: 'gone'; readonly message: string}
	| {readonly kind: 'unreachable'; readonly message: string};

/** A segment that was accepted. `finished` waits at most `limitMs` for its prefill. */
export type AcceptedSegment = {
	readonly kind: 'accepted';
	finished(limitMs: number): Promise<{readonly kind: 'kept'; readonly tokens: number} | {readonly kind: 'failed'; readonly message: string}>;
} & EngineFacts;

export type SegmentOutcome = AcceptedSegment | NotStarted;

/** `refused`: no process listens, so nothing is held there. */
export type CancelOutcome =
	| {readonly kind: 'cancelled'}
	| {readonly kind: 'refused'; readonly message: string}
	| {readonly kind: 'unreachable'; readonly message: string};

/** Calls to engines. `address` is IP:PORT. Methods do not throw. */
export type EngineStreams = {
	start(address: string, request: StreamRequest, options: EngineCallOptions): Promise<StartOutcome>;
	/** Continues with the token of index `from`, on a connection of its own. */
	resume(address: string, id: string, from: number, options: EngineCallOptions): Promise<ResumeOutcome>;
	prefillSegment(address: string, request: SegmentRequest, options: EngineCallOptions): Promise<SegmentOutcome>;
	cancelStream(address: string, id: string, options: EngineCallOptions): Promise<CancelOutcome>;
	freeSegment(address: string, id: string, options: EngineCallOptions): Promise<CancelOutcome>;
};
