/** A call to a plain service as the HTTP front hands it over, and what becomes of it. */
import type {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import type {PlainRoute, PlainService, Workspace} from '../configuration/schema.js';
import type {PlainHead, PlainHeaders, PlainServiceClient} from '../backend/plain-service-protocol.js';
import type {Clock} from '../util/clock.js';
import type {Failure, Ran} from '../util/failure.js';

/** An authenticated call. */
export type PlainCall = {
	readonly requestId: string;
	readonly workspace: Workspace;
	readonly service: PlainService;
	readonly method: string;
	/** Path and query behind `/services/<name>`, starting with `/`. */
	readonly path: string;
	readonly headers: PlainHeaders;
	readonly body: Uint8Array;
	/** Monotonic ms by which the call has to end. */
	readonly deadline: number;
	/** Aborted when the caller leaves. */
	readonly signal: AbortSignal;
};

/** A call with the route that decides how it is executed. */
export type RoutedCall = PlainCall & {readonly route: PlainRoute};

/** The answer of a plain service; a stream body fails when the answer breaks off. */
export type PlainAnswer = PlainHead & {readonly kind: 'answered'; readonly body: Buffer | Readable};

/** Result of a call. */
export type PlainResult = PlainAnswer | Failure;

/** Capacity that is asked of the pools of a plain service. */
export type PlainReservationRequest = {
	readonly requestId: string;
	readonly workspace: Workspace;
	readonly service: PlainService;
	/** Monotonic ms after which a grant is of no use. */
	readonly deadline: number;
	/** Ids of backend servers that already failed this call. */
	readonly exclude: readonly string[];
};

/** A granted reservation. `release` is called exactly once. */
export type PlainReservation = {
	readonly kind: 'granted';
	readonly servers: ReadonlyArray<{readonly id: string; readonly address: string}>;
	/** Monotonic ms after which nothing may be sent under this grant. */
	readonly validUntil: number;
	acknowledge(answer: {readonly server: string; readonly boot: string; readonly warm: boolean}): void;
	release(outcome: 'finished' | 'cancelled' | 'not_sent' | 'failed' | 'silent'): void;
};

/** Source of reservations, served by `src/routing`. */
export type PlainReservations = {
	reserve(request: PlainReservationRequest, context: {readonly signal: AbortSignal; readonly now: number}): Promise<PlainReservation | Failure>;
};

/** What sending to plain services needs. */
export type SenderOptions = {
	readonly reservations: PlainReservations;
	readonly client: PlainServiceClient;
	readonly clock: Clock;
};

/** Returns `failed` with another statement about execution. */
export const withRan = (failed: Failure, ran: Ran): Failure => ({...failed, ran});
