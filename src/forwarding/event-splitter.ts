/** Splits the bytes of an event stream (`text/event-stream`) into complete, unmodified events. */

import {Buffer} from 'node:buffer';
import {GrowingBuffer} from '../util/growing-buffer.js';

const LINE_FEED = 0x0A;
const CARRIAGE_RETURN = 0x0D;
/** Bytes at the end of incomplete data that can begin a separator: a line feed and a carriage return. */
const SEPARATOR_START_BYTES = 2;
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

	#pending = GrowingBuffer.create();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Number of buffered bytes of an incomplete event. */
	get pendingBytes(): number {
		return this.#pending.length;
	}

	/** Adds bytes and returns the events that they complete. Takes time proportional to the chunk, not to the pending event. */
	push(chunk: Uint8Array): readonly RawEvent[] {
		let searchFrom = Math.max(0, this.#pending.length - SEPARATOR_START_BYTES);
		this.#pending.append(chunk);
		const data = this.#pending.bytes;
		const events: RawEvent[] = [];
		let start = 0;
		for (let end = findEventEnd(data, searchFrom); end !== -1; end = findEventEnd(data, searchFrom)) {
			const bytes = data.subarray(start, end);
			events.push({id: parseEventId(bytes), bytes});
			start = end;
			searchFrom = end;
		}

		if (start > 0) {
			// The events are views of the old buffer.
			this.#pending = GrowingBuffer.create();
			this.#pending.append(data.subarray(start));
		}

		return events;
	}
}

/** Offset after the first blank line at or after `searchFrom`, or -1. */
function findEventEnd(data: Uint8Array, searchFrom: number): number {
	for (let lineFeed = data.indexOf(LINE_FEED, searchFrom); lineFeed !== -1; lineFeed = data.indexOf(LINE_FEED, lineFeed + 1)) {
		const lineStart = data[lineFeed + 1] === CARRIAGE_RETURN ? lineFeed + 2 : lineFeed + 1;
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
