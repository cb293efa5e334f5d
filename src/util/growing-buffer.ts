/** Bytes that arrive in chunks of any size. The space grows by doubling, so that many tiny chunks take linear time and memory. */
import {Buffer} from 'node:buffer';

const MIN_CAPACITY_BYTES = 1024;

export class GrowingBuffer {
	/** `expectedBytes`: space beyond them is only allocated once more have arrived. */
	static create(expectedBytes = Infinity): GrowingBuffer {
		return new GrowingBuffer(expectedBytes);
	}

	#storage: Buffer = Buffer.alloc(0);
	#length = 0;

	private constructor(private readonly expectedBytes: number) {}

	get length(): number {
		return this.#length;
	}

	/** Number of bytes allocated. */
	get capacity(): number {
		return this.#storage.length;
	}

	/** A view of the bytes, which later calls of `append` may leave behind but never overwrite. */
	get bytes(): Buffer {
		return this.#storage.subarray(0, this.#length);
	}

	/** Frees the space. */
	clear(): void {
		this.#storage = Buffer.alloc(0);
		this.#length = 0;
	}

	append(chunk: Uint8Array): void {
		const length = this.#length + chunk.length;
		if (length > this.#storage.length) {
			const storage = Buffer.allocUnsafeSlow(Math.max(length, Math.min(this.expectedBytes, Math.max(MIN_CAPACITY_BYTES, 2 * this.#storage.length))));
			storage.set(this.bytes);
			this.#storage = storage;
		}

		this.#storage.set(chunk, this.#length);
		this.#length = length;
	}
}
