/** Types of calls to plain services, their results and their dependencies. */
import type {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import type {PlainRoute, PlainService, Workspace} from '../configuration/schema.js';
import type {PlainResponseHead, PlainHeaders, PlainServiceClient} from '../backend/plain-service-protocol.js';
import type {Clock} from '../util/clock.js';
import type {Failure, RunState} from '../util/failure.js';

/** An authenticated call to a plain service. */
export type PlainCall = {
	readonly requestId: string;
	readonly workspace: Workspace;
	readonly service: PlainService;
	readonly method: string;
	/** Path and query after `/services/<name>`, starting with `/`. */
	readonly path: string;
	readonly headers: PlainHeaders;
	readonly body: Uint8Array;
	/** Monotonic ms by which the call must finish. */
	readonly deadline: number;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** A call with the matching route, which determines how it is executed. */
export type RoutedCall = PlainCall & {readonly route: PlainRoute};

/** Response of a plain service. A body stream fails if the response is incomplete. */
export type PlainAnswer = PlainResponseHead & {readonly kind: 'answered'; readonly body: Buffer | Readable};

export type PlainResult = PlainAnswer | Failure;

/** Request for capacity in the pools of a plain service. */
export type PlainReservationRequest = {
	readonly requestId: string;
	readonly workspace: Workspace;
	readonly service: PlainService;
	/** Monotonic ms after which a grant can no longer be used. */
	readonly deadline: number;
	/** Ids of backend servers that already failed this call. */
	readonly exclude: readonly string[];
};

/** A granted reservation. The holder must call `release` exactly once. */
export type PlainReservation = {
	readonly kind: 'granted';
	readonly servers: ReadonlyArray<{readonly id: string; readonly address: string}>;
	/** Monotonic ms from which nothing may be sent under this grant any more. */
	readonly validUntil: number;
	acknowledge(answer: {readonly server: string; readonly boot: string; readonly warm: boolean}): void;
	release(outcome: 'finished' | 'cancelled' | 'not_sent' | 'failed' | 'silent'): void;
};

/** Source of reservations, implemented on top of `src/routing`. */
export type PlainReservations = {
	reserve(request: PlainReservationRequest, context: {readonly signal: AbortSignal; readonly now: number}): Promise<PlainReservation | Failure>;
};

/** Dependencies for sending to plain services. */
export type SenderOptions = {
	readonly reservations: PlainReservations;
	readonly client: PlainServiceClient;
	readonly clock: Clock;
};

/** Returns `failed` with `ran` replaced. */
export const withRan = (failed: Failure, ran: RunState): Failure => ({...failed, ran});
