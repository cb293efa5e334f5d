/** Reads request bodies with limits on size, time and memory, and validates JSON bodies. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {z} from 'zod';
import {failure, type Failure} from '../util/failure.js';
import {pause} from '../util/pause.js';

/** Timeout for receiving a body, because a slow one occupies memory while it arrives. */
const BODY_TIMEOUT_MS = 30_000;
/** Limit on the total size of all bodies that one daemon holds in memory at the same time. */
const MAX_BUFFERED_BYTES = 256 * 1024 * 1024;
const RETRY_AFTER_MS = 1000;

const invalidRequest = (message: string, param?: string): Failure => failure({
	code: 'invalid_request', message, ran: 'not_run', step: 'parse', ...(param === undefined ? {} : {param}),
});

/** A body that counts towards the memory limit until `release` is called. */
export type RequestBody = {
	readonly kind: 'body';
	readonly bytes: Buffer;
	release(): void;
};

/** Reads request bodies and tracks their total size for one daemon. */
export class BodyReader {
	static create(maxBodyBytes: number, timeoutMs = BODY_TIMEOUT_MS): BodyReader {
		return new BodyReader(maxBodyBytes, timeoutMs);
	}

	#bufferedBytes = 0;

	private constructor(private readonly maxBodyBytes: number, private readonly timeoutMs: number) {}

	/** Reads a whole body. Returns a failure when it is too large, not received in time, or incomplete. */
	async read(req: IncomingMessage): Promise<RequestBody | Failure> {
		if (Number(req.headers['content-length'] ?? 0) > this.maxBodyBytes) {
			return this.#createTooLargeFailure();
		}

		const timeoutController = new AbortController();
		const readController = new AbortController();
		const failAfterTimeout = async (): Promise<Failure> => {
			await pause(this.timeoutMs, timeoutController.signal);
			if (!timeoutController.signal.aborted) {
				readController.abort();
			}

			return failure({
				code: 'deadline_exceeded', message: `the body was not received within ${this.timeoutMs} ms`, ran: 'not_run', step: 'parse',
			});
		};

		try {
			return await Promise.race([this.#readAll(req, readController.signal), failAfterTimeout()]);
		} finally {
			timeoutController.abort();
		}
	}

	/** Reads until the end of the body or until `stop` is aborted; the result is unused in the latter case. */
	async #readAll(req: IncomingMessage, stop: AbortSignal): Promise<RequestBody | Failure> {
		const chunks: Buffer[] = [];
		let size = 0;
		const release = (): void => {
			this.#bufferedBytes -= size;
			size = 0;
		};

		stop.addEventListener('abort', release);
		try {
			for await (const chunk of req.iterator({destroyOnReturn: false}) as AsyncIterable<Buffer>) {
				if (stop.aborted) {
					break;
				}

				size += chunk.length;
				this.#bufferedBytes += chunk.length;
				const refusal = this.#findRefusal(size);
				if (refusal) {
					release();
					return refusal;
				}

				chunks.push(chunk);
			}

			return {kind: 'body', bytes: Buffer.concat(chunks), release};
		} catch {
			release();
			return failure({
				code: 'caller_left', message: 'the client closed the connection before the body was complete', ran: 'not_run', step: 'parse',
			});
		}
	}

	#findRefusal(size: number): Failure | undefined {
		if (size > this.maxBodyBytes) {
			return this.#createTooLargeFailure();
		}

		return this.#bufferedBytes > MAX_BUFFERED_BYTES
			? failure({
				code: 'overloaded', message: 'this daemon is processing too many large request bodies', ran: 'not_run', step: 'parse', retryAfterMs: RETRY_AFTER_MS,
			})
			: undefined;
	}

	#createTooLargeFailure(): Failure {
		return failure({
			code: 'request_too_large', message: `the body exceeds ${this.maxBodyBytes} bytes`, ran: 'not_run', step: 'parse',
		});
	}
}

/** Parses and validates a JSON body. The failure names the first invalid field. */
export function parseBody<T>(bytes: Buffer, schema: z.ZodType<T>): {readonly kind: 'parsed'; readonly value: T} | Failure {
	let json: unknown;
	try {
		json = JSON.parse(bytes.toString('utf8'));
	} catch (err) {
		return invalidRequest(`the body is not valid JSON: ${(err as Error).message}`);
	}

	const checked = schema.safeParse(json);
	if (checked.success) {
		return {kind: 'parsed', value: checked.data};
	}

	const issue = checked.error.issues[0]!;
	const path = [...issue.path, ...(issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [])].join('.');
	return invalidRequest(path === '' ? issue.message : `${path}: ${issue.message}`, path === '' ? undefined : path);
}
