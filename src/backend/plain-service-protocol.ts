/**
 * HTTP protocol that fireflyport expects of plain services.
 *
 * Requests are forwarded with `x-request-id`, and with `x-operation-id` for a non-idempotent operation. Answers carry
 * `x-backend-boot` and `x-backend-warm` (`true` or `false`); without them the server counts as warm, with an empty boot id.
 * `GET /health` answers `{boot, warm}`. `GET /load` answers `{boot, warm, ageMs, runningRequests}`, delayed.
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

/** Header of a 503 answer by which the service guarantees that it has not run the request. */
export const NOT_RUN_HEADER = 'x-not-run';

/** A request to one instance of a plain service. `address` is IP:PORT. */
export type PlainServiceRequest = {
	readonly address: string;
	readonly method: string;
	/** Path and query string. */
	readonly path: string;
	readonly headers: PlainHeaders;
	readonly body: Uint8Array;
	/** Time limit for the whole answer. */
	readonly timeoutMs: number;
};

export type PlainHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Status and headers of an answer. */
export type PlainResponseHead = {
	readonly status: number;
	readonly headers: PlainHeaders;
};

/**
 * Outcome of a request that may be sent more than once.
 * - `not_sent`: no connection was opened, so nothing was sent
 * - `answered`: status, headers and the body as a stream, which fails if the answer is incomplete
 * - `unknown`: the request may have run
 */
export type PlainSendOutcome =
	| {readonly kind: 'not_sent'; readonly message: string}
	| PlainResponseHead & {readonly kind: 'answered'; readonly body: Readable}
	| {readonly kind: 'unknown'; readonly message: string};

/**
 * Outcome of a request that is sent at most once.
 * - `not_sent`: no connection was opened, or `mayStillSend` returned a reason not to send; nothing was sent
 * - `answered`: status, headers and the complete body
 * - `broken`: answered, but the body was incomplete or too large
 * - `unknown`: the request may have run or may still run
 */
export type SentOnceOutcome =
	| {readonly kind: 'not_sent'; readonly message: string}
	| PlainResponseHead & {readonly kind: 'answered'; readonly body: Buffer}
	| PlainResponseHead & {readonly kind: 'broken'; readonly message: string}
	| {readonly kind: 'unknown'; readonly message: string};

/** Client of plain services. Methods do not throw when the service fails; they return the failure. */
export type PlainServiceClient = {
	send(request: PlainServiceRequest, signal: AbortSignal): Promise<PlainSendOutcome>;
	/**
	 * `mayStillSend` is called with the connection open, right before the first byte is sent. A returned text is the reason
	 * not to send.
	 */
	sendOnce(request: PlainServiceRequest, mayStillSend: () => string | undefined): Promise<SentOnceOutcome>;
	close(): Promise<void>;
};
