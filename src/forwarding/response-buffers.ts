/**
 * Bounds the memory that a daemon uses for responses of backend servers that have not been sent to their clients.
 *
 * When all responses together exceed the limit, the largest ones are dropped until the others fit. A backend server that
 * sends bytes without end thus loses its own response, and ordinary responses beside it are not affected.
 */

/** The memory of one response. `close` is called once its bytes are no longer held. */
export type ResponseAccount = {
	/** Records how many bytes the response holds. May drop responses, including this one. */
	record(bytes: number): void;
	/** Replaces the callback that makes the response give up its memory. */
	setDrop(drop: () => void): void;
	close(): void;
};

type Entry = {bytes: number; drop: () => void};

export class ResponseBuffers {
	static create(maxBytes: number): ResponseBuffers {
		return new ResponseBuffers(maxBytes);
	}

	readonly #entries = new Set<Entry>();
	#totalBytes = 0;

	private constructor(readonly maxBytes: number) {}

	get totalBytes(): number {
		return this.#totalBytes;
	}

	/** `drop` is called at most once, when the response has to give up its memory. */
	open(drop: () => void): ResponseAccount {
		const entry: Entry = {bytes: 0, drop};
		this.#entries.add(entry);
		return {
			record: bytes => {
				if (this.#entries.has(entry)) {
					this.#totalBytes += bytes - entry.bytes;
					entry.bytes = bytes;
					this.#enforceLimit();
				}
			},
			setDrop(drop) {
				entry.drop = drop;
			},
			close: () => {
				this.#close(entry);
			},
		};
	}

	#enforceLimit(): void {
		while (this.#totalBytes > this.maxBytes) {
			let [largest] = this.#entries;
			for (const entry of this.#entries) {
				largest = entry.bytes > largest!.bytes ? entry : largest;
			}

			this.#close(largest!);
			largest!.drop();
		}
	}

	#close(entry: Entry): void {
		if (this.#entries.delete(entry)) {
			this.#totalBytes -= entry.bytes;
		}
	}
}
