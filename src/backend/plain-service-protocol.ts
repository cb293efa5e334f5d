/**
 * What fireflyport expects of a plain service.
 *
 * Requests are passed through with `x-request-id`, and `x-operation-id` for a non-idempotent operation. Answers carry
 * `x-backend-boot` and `x-backend-warm` (`true` or `false`); an answer without them counts as warm with an empty boot.
 * `GET /health` answers `{boot, warm}`; `GET /load` answers `{boot, warm, ageMs, runningRequests}`, lagging.
 */
import type {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {z} from 'zod';

export const plainServiceHealthSchema = z.object({boot: z.string(), warm: z.boolean()}).readonly();

export const plainServiceLoadSchema = z.object({
	boot: z.string(),
	warm: z.boolean(),
	ageMs: z.number(),
	runningRequests: z.number().int(),
}).readonly();

export type PlainServiceLoad = z.infer<typeof plainServiceLoadSchema>;

/** Header of a 503 answer of which the service guarantees that it did not run the request. */
export const NOT_RUN_HEADER = 'x-not-run';

/** A request to one instance of a plain service. `address` is IP:PORT. */
export type PlainServiceRequest = {
	readonly address: string;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers: PlainHeaders;
	readonly body: Uint8Array;
	/** Time in which the whole answer has to be here. */
	readonly timeoutMs: number;
};

export type PlainHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** The head of an answer. */
export type PlainHead = {
	readonly status: number;
	readonly headers: PlainHeaders;
};

/**
 * Outcome of a request that may be sent again.
 * - `not_sent`: no connection was opened, so no byte left
 * - `answered`: head and body as a stream, which fails when the answer breaks off
 * - `unknown`: it may have run
 */
export type PlainOutcome =
	| {readonly kind: 'not_sent'; readonly message: string}
	| PlainHead & {readonly kind: 'answered'; readonly body: Readable}
	| {readonly kind: 'unknown'; readonly message: string};

/**
 * Outcome of a request that is sent at most once.
 * - `not_sent`: no connection was opened, or `mayStillSend` forbade it; no byte left
 * - `answered`: head and whole body
 * - `broken`: answered, but the body broke off or was too large
 * - `unknown`: it may have run or may still run
 */
export type SentOnceOutcome =
	| {readonly kind: 'not_sent'; readonly message: string}
	| PlainHead & {readonly kind: 'answered'; readonly body: Buffer}
	| PlainHead & {readonly kind: 'broken'; readonly message: string}
	| {readonly kind: 'unknown'; readonly message: string};

/** Client of plain services. Methods do not throw for failures of the service; they return them. */
export type PlainServiceClient = {
	send(request: PlainServiceRequest, signal: AbortSignal): Promise<PlainOutcome>;
	/** `mayStillSend` is asked with the connection open, directly before the first byte; undefined allows it, a text says why not. */
	sendOnce(request: PlainServiceRequest, mayStillSend: () => string | undefined): Promise<SentOnceOutcome>;
	close(): Promise<void>;
};
