/** Reservations of backend server capacity, as the execution of a request sees them. */
import type {
	Acknowledge, GrantedServer, PoolSummary, Release, Reserve, ReserveAnswer,
} from '../peer/protocol.js';

/** What is asked of a pool. `id` is unique over all daemons and becomes the stream id at the engine. */
export type ReservationRequest = Omit<Reserve, 'sender'>;

/** Reasons for which a coordinator refuses. */
export type RefusalReason = Extract<ReserveAnswer, {readonly kind: 'refused'}>['reason'];

/** How a reservation ended, see {@link Release}. */
export type ReleaseOutcome = Release['outcome'];

/** Answer to the wish to use a further server of a split prompt. `validUntil` as in {@link Grant}. */
export type Activation =
	| {readonly kind: 'activated'; readonly validUntil: number}
	| {readonly kind: 'refused'; readonly message: string};

/** Capacity held for one request until `release` is called, which the holder does exactly once. */
export type Grant = {
	readonly kind: 'granted';
	readonly id: string;
	readonly pool: string;
	readonly epoch: number;
	/** More than one for a split prompt; the last one decodes. */
	readonly servers: readonly GrantedServer[];
	readonly enginePriority: number;
	/** Estimated time in ms from the grant to the first token; undefined when it is not known. */
	readonly firstTokenMs?: number | undefined;
	/** Monotonic ms of this process from which on nothing may be sent under this grant. */
	readonly validUntil: number;
	readonly summary: PoolSummary;
	/** Reports that a backend server answered with headers. */
	acknowledge(accepted: Pick<Acknowledge, 'server' | 'boot' | 'warm'>): void;
	/** Reports the first token, or a finished segment, of a backend server. */
	prefilled(server: string): void;
	/** Waits for the turn of a further server of a split prompt; nothing may be sent there before. Does not throw. */
	activate(server: string, signal: AbortSignal): Promise<Activation>;
	/** Returns the capacity. `firstTokenMs` is the time from sending to the first token. */
	release(outcome: ReleaseOutcome, firstTokenMs?: number): void;
};

/** The coordinator refused: the request did not run. */
export type Refused = {
	readonly kind: 'refused';
	readonly reason: RefusalReason;
	readonly message: string;
	readonly retryAfterMs?: number;
	readonly summary?: PoolSummary;
	/** The coordinator that refused. */
	readonly peer?: string;
};

/** No coordinator is known for the pool, or it did not answer. A grant that arrives later is released by the client. */
export type Unreachable = {
	readonly kind: 'unreachable';
	readonly message: string;
	readonly peer?: string;
};

export type ReservationOutcome = Grant | Refused | Unreachable;

export type ReserveOptions = {
	/** Cancels the reservation, also while it waits in the coordinator's queue. */
	readonly signal: AbortSignal;
	/** Monotonic ms at which the reservation is asked for. */
	readonly now: number;
};

/** Asks coordinators for capacity. `reserve` does not throw; after an abort it resolves with `unreachable`. */
export type PoolClient = {
	reserve(request: ReservationRequest, options: ReserveOptions): Promise<ReservationOutcome>;
	/** Whether the coordinator of `pool` answers within `timeoutMs`. Does not reject. */
	isAlive(pool: string, timeoutMs: number): Promise<boolean>;
};
