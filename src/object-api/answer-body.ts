/** Reads the body of an answer within limits, and counts what has arrived of it. */
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';

/** Limits on the body of an answer. Once its head has arrived, they replace the time limit of the call. */
export type AnswerLimit = {
	/** Largest number of bytes that are read. */
	readonly maxBytes: number;
	/** Longest time in ms without a further byte. */
	readonly silenceMs: number;
	/** Longest time in ms for the whole body. */
	readonly maxMs: number;
};

/** The body of an answer exceeds its `maxBytes`. */
export class OversizedAnswerError extends Error {
	override readonly name = 'OversizedAnswerError';

	constructor(bytes: number, maxBytes: number) {
		super(`an answer of ${bytes} bytes or more exceeds the limit of ${maxBytes} bytes`);
	}
}

export class AnswerBody {
	static create(limit?: AnswerLimit): AnswerBody {
		return new AnswerBody(limit);
	}

	#isWhole = false;
	#receivedBytes = 0;
	#announcedBytes: number | undefined;
	#headAt: number | undefined;

	private constructor(private readonly limit: AnswerLimit | undefined) {}

	/** Whether the head has arrived and the body is not whole. */
	get isIncomplete(): boolean {
		return this.#headAt !== undefined && !this.#isWhole;
	}

	get receivedBytes(): number {
		return this.#receivedBytes;
	}

	/** Length of the body by its head; undefined for one without a length. */
	get announcedBytes(): number | undefined {
		return this.#announcedBytes;
	}

	/** Time in ms since the head arrived; 0 before. */
	ageMs(now: number): number {
		return this.#headAt === undefined ? 0 : now - this.#headAt;
	}

	/** Returns the body as text. Rejects if it breaks off or exceeds a limit. `restart` gives the call a further time in ms from now on. */
	async read({headers, body}: Dispatcher.ResponseData, restart: (timeoutMs: number) => void): Promise<string> {
		const length = headers['content-length'];
		this.#announcedBytes = typeof length === 'string' ? Number(length) : undefined;
		this.#headAt = performance.now();
		const chunks: Uint8Array[] = [];
		try {
			this.#continue(restart, this.#headAt);
			for await (const chunk of body as AsyncIterable<Uint8Array>) {
				chunks.push(chunk);
				this.#receivedBytes += chunk.length;
				this.#continue(restart, performance.now());
			}
		} catch (err) {
			// The error is the caller's; destroying the body only ends its connection.
			body.on('error', () => undefined).destroy();
			throw err;
		}

		this.#isWhole = true;
		return Buffer.concat(chunks).toString();
	}

	/** Throws if the body exceeds its bytes, by its head or by what has arrived. */
	#continue(restart: (timeoutMs: number) => void, now: number): void {
		if (!this.limit) {
			return;
		}

		const {maxBytes, silenceMs, maxMs} = this.limit;
		const bytes = Math.max(this.#announcedBytes ?? 0, this.#receivedBytes);
		if (bytes > maxBytes) {
			throw new OversizedAnswerError(bytes, maxBytes);
		}

		restart(Math.max(0, Math.min(silenceMs, maxMs - this.ageMs(now))));
	}
}
