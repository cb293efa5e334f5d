/** Sends bookings and lookups to daemons and returns their outcomes. */
import {Agent, request} from 'undici';
import {z} from 'zod';
import {parseOperationKey} from '../../src/operations/operation-key.js';
import type {Daemon} from '../deployment.js';
import type {PlainCallOutcome} from '../invariants.js';
import {uuidV7} from '../uuid-v7.js';

const errorSchema = z.object({error: z.object({code: z.string(), ran: z.enum(['not_run', 'ran', 'unknown']), message: z.string()})});

/** A booking of one workspace. `key` is its idempotency key, `operation` the operation id at the service that is derived from it. */
export type Booking = {readonly key: string; readonly operation: string; readonly body: string};

/** Creates a booking of a workspace at a service. `unixNowMs` is Unix time in ms. */
export function createBooking(workspace: string, service: string, number: number, unixNowMs: number): Booking {
	const key = uuidV7(unixNowMs);
	const identity = parseOperationKey(key, {workspace, service, retentionMs: Number.POSITIVE_INFINITY}, unixNowMs);
	if (identity.kind === 'failure') {
		throw new Error(identity.message);
	}

	return {key, operation: identity.operation, body: JSON.stringify({order: number, sacks: 100})};
}

/** A call to a plain service. */
export type PlainCallRequest = {
	readonly daemon: Daemon;
	readonly method: 'GET' | 'POST';
	/** URL path at the daemon. */
	readonly path: string;
	readonly apiKey: string;
	readonly booking?: Booking;
};

/** HTTP client for plain services with a connection pool. */
export class PlainClient {
	static create(): PlainClient {
		return new PlainClient();
	}

	readonly #agent = new Agent({connections: 256, headersTimeout: 0, bodyTimeout: 0});

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Sends a call and resolves with its outcome; never rejects. */
	async send({daemon, method, path, apiKey, booking}: PlainCallRequest, signal: AbortSignal): Promise<PlainCallOutcome> {
		try {
			const res = await request(`${daemon.process.url}${path}`, {
				method,
				dispatcher: this.#agent,
				headers: {authorization: `Bearer ${apiKey}`, 'content-type': 'application/json', ...(booking ? {'idempotency-key': booking.key} : {})},
				body: booking?.body,
				signal,
			});
			return toPlainOutcome(res.statusCode, res.headers['x-fireflyport-repeated'] === 'true', await res.body.text());
		} catch (err) {
			return {kind: 'cut', message: String(err)};
		}
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}

function toPlainOutcome(status: number, repeated: boolean, body: string): PlainCallOutcome {
	const failed = status >= 400 ? errorSchema.safeParse(parseJson(body)).data : undefined;
	return failed
		? {kind: 'refused', ...failed.error}
		: {
			kind: 'answered', status, repeated, body,
		};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
