/**
 * Bounds the memory that a daemon uses for responses of backend servers that have not been sent to their clients.
 *
 * When all responses together exceed the limit, the largest ones are dropped until the others fit. A backend server that
 * sends bytes without end thus loses its own response, and ordinary responses beside it are not affected. Responses that
 * are being sent go last, since their clients can't be answered otherwise, unless slow clients hold most of the memory.
 */

/** Share of the limit up to which no response that is being sent is dropped. */
const MAX_SENDING_SHARE = 0.5;

/** The memory of one response. `close` is called once its bytes are no longer held. */
export type ResponseAccount = {
	/** Records how many bytes the response holds. May drop responses, including this one. */
	record(bytes: number): void;
	/** Records that the response is complete and being sent. `drop` replaces the callback that makes it give up its memory. */
	startSending(drop: () => void): void;
	close(): void;
};

type Entry = {bytes: number; isSending: boolean; drop: () => void};

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
		const entry: Entry = {bytes: 0, isSending: false, drop};
		this.#entries.add(entry);
		return {
			record: bytes => {
				if (this.#entries.has(entry)) {
					this.#totalBytes += bytes - entry.bytes;
					entry.bytes = bytes;
					this.#enforceLimit();
				}
			},
			startSending(drop) {
				entry.isSending = true;
				entry.drop = drop;
			},
			close: () => {
				this.#close(entry);
			},
		};
	}

	#enforceLimit(): void {
		while (this.#totalBytes > this.maxBytes) {
			const sending = [...this.#entries].filter(({isSending}) => isSending);
			const isMostlySending = sending.reduce((sum, {bytes}) => sum + bytes, 0) > MAX_SENDING_SHARE * this.maxBytes;
			const candidates = isMostlySending ? sending : [...this.#entries].filter(({isSending}) => !isSending);
			let [largest] = candidates;
			for (const entry of candidates) {
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
