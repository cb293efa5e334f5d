/** Makes the HTTP client read from a connection in turn with others. */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {ReadPace} from './read-pace.js';

/** Largest number of bytes that are handled at once. */
const MAX_READ_BYTES = 16_384;
/** Bytes that are read without waiting for a turn: an ordinary answer never waits for those without end. */
const FREE_BYTES = 4096;
/** Work for each byte outside of a body: heads, chunk sizes and bytes that are no answer cost the parser a call every few bytes. */
const FRAMING_WORK = 8;

export type PacedReadsOptions = {
	readonly pace: ReadPace;
	/** Largest number of bytes up to the end of the head, informational responses included. */
	readonly maxHeadBytes: number;
	/** What the parser has found so far. */
	progress(): {readonly hasHead: boolean; readonly bodyBytes: number};
	/** Called in place of the read that would exceed `maxHeadBytes`. The parser's own limit costs it an error for each further field. */
	onOversizedHead(): void;
};

/** A head that has begun to arrive is read first: the parser keeps an object for each part of it. */
export function paceReads(socket: Socket, {
	pace, maxHeadBytes, progress, onOversizedHead,
}: PacedReadsOptions): void {
	const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
	let unrecordedBytes = 0;
	let recordedBodyBytes = 0;
	let isWaiting = false;
	let readBytes = 0;
	const recordLast = (): void => {
		const body = progress().bodyBytes - recordedBodyBytes;
		recordedBodyBytes += body;
		pace.record(body + (FRAMING_WORK * Math.max(0, unrecordedBytes - body)));
		unrecordedBytes = 0;
	};

	// Undici reads until it gets null, and again at the next `readable` event.
	socket.read = () => {
		recordLast();
		if (isWaiting || socket.readableLength === 0) {
			return isWaiting ? null : read();
		}

		const {hasHead} = progress();
		if (!hasHead && readBytes >= maxHeadBytes) {
			onOversizedHead();
			return null;
		}

		const freeBytes = FREE_BYTES - readBytes;
		isWaiting = freeBytes <= 0 && !pace.mayRead(() => {
			isWaiting = false;
			if (!socket.destroyed) {
				socket.emit('readable');
			}
		}, !hasHead);
		const chunk = isWaiting ? null : read(Math.min(freeBytes > 0 ? freeBytes : MAX_READ_BYTES, hasHead ? Infinity : maxHeadBytes - readBytes, socket.readableLength));
		unrecordedBytes = chunk?.length ?? 0;
		readBytes += unrecordedBytes;
		return chunk;
	};
}
