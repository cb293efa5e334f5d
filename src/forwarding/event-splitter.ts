/** Splits the bytes of an event stream (`text/event-stream`) into whole events, unchanged. */

import {Buffer} from 'node:buffer';

const LINE_FEED = 0x0A;
const idPattern = /^id:[ ]?(?<id>\d+)\s*$/mv;

/** One event with the bytes that the backend server sent, separator included. */
export type RawEvent = {
	/** Number in its `id` field; undefined when it has none. */
	readonly id: number | undefined;
	readonly bytes: Uint8Array;
};

export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	#rest: Uint8Array = Buffer.alloc(0);

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Bytes of an event whose end has not arrived. */
	get pendingBytes(): number {
		return this.#rest.length;
	}

	/** Adds bytes and returns the events that they complete. */
	push(chunk: Uint8Array): readonly RawEvent[] {
		const data = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
		const events: RawEvent[] = [];
		let start = 0;
		for (let end = endOfEvent(data, start); end !== -1; end = endOfEvent(data, start)) {
			const bytes = data.subarray(start, end);
			events.push({id: idOf(bytes), bytes});
			start = end;
		}

		this.#rest = data.subarray(start);
		return events;
	}
}

/** Offset behind the blank line that ends the event at `start`, or -1. */
function endOfEvent(data: Uint8Array, start: number): number {
	for (let at = data.indexOf(LINE_FEED, start); at !== -1; at = data.indexOf(LINE_FEED, at + 1)) {
		const next = data[at + 1] === 0x0D ? at + 2 : at + 1;
		if (data[next] === LINE_FEED) {
			return next + 1;
		}
	}

	return -1;
}

function idOf(bytes: Uint8Array): number | undefined {
	const id = idPattern.exec(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1'))?.groups?.id;
	return id === undefined ? undefined : Number(id);
}
