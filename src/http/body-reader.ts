/** Reads request bodies with limits on size, time and memory. */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {failure, type Failure} from '../util/failure.js';
import {GrowingBuffer} from '../util/growing-buffer.js';

/** Timeout for receiving a body, because a slow one occupies memory while it arrives. */
export const BODY_TIMEOUT_MS = 30_000;
const RETRY_AFTER_MS = 1000;

export type BodyReaderOptions = {
	/** Limit in bytes on the space that all bodies together take that one daemon holds in memory at the same time. */
	readonly maxBufferedBytes: number;
	/** Time in ms in which a body has to arrive. */
	readonly timeoutMs?: number;
	/** Largest body in bytes; may change with the configuration. */
	maxBodyBytes(): number;
};

/** A body that counts towards the memory limit until `release` is called. */
export type RequestBody = {
	readonly kind: 'body';
	readonly bytes: Buffer;
	release(): void;
};

/** Reads request bodies and tracks their total size for one daemon. */
export class BodyReader {
	static create(options: BodyReaderOptions): BodyReader {
		return new BodyReader(options);
	}

	readonly #timeoutMs: number;
	#bufferedBytes = 0;

	private constructor(private readonly options: BodyReaderOptions) {
		this.#timeoutMs = options.timeoutMs ?? BODY_TIMEOUT_MS;
	}

	/**
	 * Reads a whole body. Returns a failure when it is too large, not received in time, or incomplete; the connection then
	 * has to be closed after the response, as the rest of the body is not read. Rejects when reading throws. `onStart` gets a function that ends reading
	 * with a failure.
	 */
	async read(req: IncomingMessage, onStart?: (cancel: (failed: Failure) => void) => void): Promise<RequestBody | Failure> {
		if (Number(req.headers['content-length'] ?? 0) > this.options.maxBodyBytes()) {
			return this.#createTooLargeFailure();
		}

		return new Promise((resolve, reject) => {
			const buffer = GrowingBuffer.create(Number(req.headers['content-length'] ?? Infinity));
			const release = this.#createRelease(buffer);
			const stop = (): void => {
				release();
				// The listeners of the request keep the buffer for as long as its connection is open.
				buffer.clear();
				clearTimeout(timer);
				req.off('data', onData);
				req.pause();
			};

			const fail = (failed: Failure): void => {
				stop();
				resolve(failed);
			};

			const onData = (chunk: Uint8Array): void => {
				try {
					this.#bufferedBytes -= buffer.capacity;
					buffer.append(chunk);
					this.#bufferedBytes += buffer.capacity;
					const refusal = this.#findRefusal(buffer.length);
					if (refusal) {
						fail(refusal);
					}
				} catch (err) {
					stop();
					reject(err); // eslint-disable-line @typescript-eslint/prefer-promise-reject-errors
				}
			};

			const timer = setTimeout(() => {
				fail(failure({
					code: 'deadline_exceeded', message: `the body was not received within ${this.#timeoutMs} ms`, ran: 'not_run', step: 'parse',
				}));
			}, this.#timeoutMs);
			const onDisconnect = (): void => {
				fail(failure({
					code: 'caller_left', message: 'the client closed the connection before the body was complete', ran: 'not_run', step: 'parse',
				}));
			};

			req.on('data', onData);
			req.once('error', onDisconnect);
			req.once('close', onDisconnect);
			req.once('end', () => {
				clearTimeout(timer);
				req.off('close', onDisconnect);
				resolve({kind: 'body', bytes: buffer.bytes, release});
			});
			onStart?.(fail);
		});
	}

	/** Returns a function that subtracts a body from the total, once. */
	#createRelease(buffer: GrowingBuffer): () => void {
		let isReleased = false;
		return () => {
			this.#bufferedBytes -= isReleased ? 0 : buffer.capacity;
			isReleased = true;
		};
	}

	#findRefusal(size: number): Failure | undefined {
		if (size > this.options.maxBodyBytes()) {
			return this.#createTooLargeFailure();
		}

		return this.#bufferedBytes > this.options.maxBufferedBytes
			? failure({
				code: 'overloaded', message: 'this daemon is processing too many large request bodies', ran: 'not_run', step: 'parse', retryAfterMs: RETRY_AFTER_MS,
			})
			: undefined;
	}

	#createTooLargeFailure(): Failure {
		return failure({
			code: 'request_too_large', message: `the body exceeds ${this.options.maxBodyBytes()} bytes`, ran: 'not_run', step: 'parse',
		});
	}
}
