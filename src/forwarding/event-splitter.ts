/** Splits the bytes of an event stream (`text/event-stream`) into complete, unmodified events. */
import type {Buffer} from 'node:buffer';
import {GrowingBuffer} from '../util/growing-buffer.js';

const LINE_FEED = 0x0A;
const CARRIAGE_RETURN = 0x0D;
const SPACE = 0x20;
const TAB = 0x09;
const DIGIT_ZERO = 0x30;
const ID_FIELD = [0x69, 0x64, 0x3A];

/** One event with the bytes that the backend server sent, including the separator. */
export class RawEvent {
	/** The events of one chunk are parts of the same `data`. */
	static create(id: number | undefined, data: Buffer, start: number, end: number): RawEvent {
		return new RawEvent(id, data, start, end);
	}

	/** `id`: numeric value of its `id` field; undefined if it has none. */
	private constructor(readonly id: number | undefined, private readonly data: Buffer, private readonly start: number, private readonly end: number) {}

	get bytes(): Uint8Array {
		return this.data.subarray(this.start, this.end);
	}

	/** The bytes from this event to the end of a later one of the same chunk. */
	bytesTo(last: RawEvent): Uint8Array {
		return this.data.subarray(this.start, last.end);
	}
}

export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	#pending = GrowingBuffer.create();
	/** Offset in the pending bytes of the line that is incomplete, and the id that an earlier line of the event has. */
	#lineStart = 0;
	#id: number | undefined;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Number of buffered bytes of an incomplete event. */
	get pendingBytes(): number {
		return this.#pending.length;
	}

	/** Bytes allocated for them. */
	get capacity(): number {
		return this.#pending.capacity;
	}

	/** Adds bytes and returns the events that they complete. Takes time proportional to the chunk, not to the pending event. */
	push(chunk: Uint8Array): readonly RawEvent[] {
		const searchFrom = this.#pending.length;
		this.#pending.append(chunk);
		const data = this.#pending.bytes;
		const events: RawEvent[] = [];
		let start = 0;
		for (let lineEnd = data.indexOf(LINE_FEED, searchFrom); lineEnd !== -1; lineEnd = data.indexOf(LINE_FEED, this.#lineStart)) {
			// A blank line ends an event, unless it is the first line of one.
			if (this.#lineStart > start && isBlank(data, this.#lineStart, lineEnd)) {
				events.push(RawEvent.create(this.#id, data, start, lineEnd + 1));
				start = lineEnd + 1;
				this.#id = undefined;
			} else {
				this.#id ??= parseId(data, this.#lineStart, lineEnd);
			}

			this.#lineStart = lineEnd + 1;
		}

		if (start > 0) {
			// The events are views of the old buffer.
			this.#pending = GrowingBuffer.create();
			this.#pending.append(data.subarray(start));
			this.#lineStart -= start;
		}

		return events;
	}
}

const isBlank = (data: Buffer, start: number, end: number): boolean => start === end || (start + 1 === end && data[start] === CARRIAGE_RETURN);

/** The number in a line `id: NUMBER`; undefined in any other line. */
function parseId(data: Buffer, start: number, end: number): number | undefined {
	if (ID_FIELD.some((byte, index) => data[start + index] !== byte)) {
		return undefined;
	}

	const firstDigit = start + ID_FIELD.length + (data[start + ID_FIELD.length] === SPACE ? 1 : 0);
	let position = firstDigit;
	let id = 0;
	for (; position < end && isDigit(data[position]!); position++) {
		id = (id * 10) + (data[position]! - DIGIT_ZERO);
	}

	while (position < end && [SPACE, TAB, CARRIAGE_RETURN].includes(data[position]!)) {
		position++;
	}

	return position === end && position > firstDigit && isDigit(data[firstDigit]!) ? id : undefined;
}

const isDigit = (byte: number): boolean => byte >= DIGIT_ZERO && byte <= DIGIT_ZERO + 9;
