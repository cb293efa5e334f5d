/** Splits the bytes of an event stream (`text/event-stream`) into complete, unmodified events. */

import {Buffer} from 'node:buffer';

const LINE_FEED = 0x0A;
const idPattern = /^id:[ ]?(?<id>\d+)\s*$/mv;

/** One event with the bytes that the backend server sent, including the separator. */
export type RawEvent = {
	/** Numeric value of its `id` field; undefined if it has none. */
	readonly id: number | undefined;
	readonly bytes: Uint8Array;
};

export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	#buffered: Uint8Array = Buffer.alloc(0);

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Number of buffered bytes of an incomplete event. */
	get pendingBytes(): number {
		return this.#buffered.length;
	}

	/** Adds bytes and returns the events that they complete. */
	push(chunk: Uint8Array): readonly RawEvent[] {
		const data = this.#buffered.length === 0 ? chunk : Buffer.concat([this.#buffered, chunk]);
		const events: RawEvent[] = [];
		let start = 0;
		for (let end = findEventEnd(data, start); end !== -1; end = findEventEnd(data, start)) {
			const bytes = data.subarray(start, end);
			events.push({id: parseEventId(bytes), bytes});
			start = end;
		}

		this.#buffered = data.subarray(start);
		return events;
	}
}

/** Offset after the blank line that ends the event at `start`, or -1. */
function findEventEnd(data: Uint8Array, start: number): number {
	for (let lineFeed = data.indexOf(LINE_FEED, start); lineFeed !== -1; lineFeed = data.indexOf(LINE_FEED, lineFeed + 1)) {
		const lineStart = data[lineFeed + 1] === 0x0D ? lineFeed + 2 : lineFeed + 1;
		if (data[lineStart] === LINE_FEED) {
			return lineStart + 1;
		}
	}

	return -1;
}

function parseEventId(bytes: Uint8Array): number | undefined {
	const id = idPattern.exec(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1'))?.groups?.id;
	return id === undefined ? undefined : Number(id);
}
