/** Types of reservations of backend server capacity, as used by request execution. */
import type {
	Acknowledge, GrantedServer, PoolSummary, Release, Reserve, ReserveAnswer,
} from '../peer/protocol.js';

/** A reservation request to a pool. `id` is unique across all daemons and becomes the stream id at the engine. */
export type ReservationRequest = Omit<Reserve, 'sender'>;

/** Reasons for which a coordinator refuses a reservation. */
export type RefusalReason = Extract<ReserveAnswer, {readonly kind: 'refused'}>['reason'];

/** How a reservation ended; see {@link Release}. */
export type ReleaseOutcome = Release['outcome'];

/** Answer to the request to activate a further server of a split prompt. `validUntil` as in {@link Grant}. */
export type Activation =
	| {readonly kind: 'activated'; readonly validUntil: number}
	| {readonly kind: 'refused'; readonly message: string};

/** Capacity reserved for one request until `release` is called. The holder must call it exactly once. */
export type Grant = {
	readonly kind: 'granted';
	readonly id: string;
	readonly pool: string;
	readonly epoch: number;
	/** Several servers for a split prompt; the last one decodes. */
	readonly servers: readonly GrantedServer[];
	readonly enginePriority: number;
	/** Estimated time in ms from the grant to the first token, if known. */
	readonly firstTokenMs?: number | undefined;
	/** Monotonic ms of this process from which nothing may be sent under this grant any more. */
	readonly validUntil: number;
	readonly summary: PoolSummary;
	/** Reports that a backend server accepted the request, with the facts from its response headers. */
	acknowledge(accepted: Pick<Acknowledge, 'server' | 'boot' | 'warm'>): void;
	/** Reports that a backend server produced the first token or finished its segment. */
	prefilled(server: string): void;
	/** Waits until a further server of a split prompt is activated; nothing may be sent to it before. Does not throw. */
	activate(server: string, signal: AbortSignal): Promise<Activation>;
	/** Releases the capacity. `firstTokenMs` is the time from sending the request to the first token. */
	release(outcome: ReleaseOutcome, firstTokenMs?: number): void;
};

/** The coordinator refused the reservation, so the request did not run. */
export type Refused = {
	readonly kind: 'refused';
	readonly reason: RefusalReason;
	readonly message: string;
	readonly retryAfterMs?: number;
	readonly summary?: PoolSummary;
	/** The daemon that refused. */
	readonly peer?: string;
};

/** The pool has no known coordinator, or the coordinator did not answer. The client releases a grant that arrives later. */
export type Unreachable = {
	readonly kind: 'unreachable';
	readonly message: string;
	readonly peer?: string;
};

export type ReservationOutcome = Grant | Refused | Unreachable;

export type ReserveOptions = {
	/** Cancels the reservation request, also while it waits in the coordinator's queue. */
	readonly signal: AbortSignal;
	/** Monotonic ms at which the reservation is requested. */
	readonly now: number;
};

/** Requests capacity from coordinators. `reserve` does not throw; after an abort it resolves with `unreachable`. */
export type PoolClient = {
	reserve(request: ReservationRequest, options: ReserveOptions): Promise<ReservationOutcome>;
	/** Resolves to whether the coordinator of `pool` answers within `timeoutMs`. Does not reject. */
	isAlive(pool: string, timeoutMs: number): Promise<boolean>;
};
