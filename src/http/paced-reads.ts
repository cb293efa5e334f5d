/** Makes the HTTP client read from a connection in turn with others. */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {buildConnector} from 'undici';
import type {ReadPace} from './read-pace.js';

/** Largest number of bytes that are handled at once. */
const MAX_READ_BYTES = 16_384;
/** The same where the head is not limited by `maxHeadBytes`: past its own limit, the parser makes an error for each further field that it has read. */
const MAX_PLAIN_READ_BYTES = 4096;
/** Bytes of a response that are read without waiting for a turn: an ordinary answer never waits for those without end. */
const FREE_BYTES = 4096;
/** Work for each byte outside of a body: heads, chunk sizes and bytes that are no answer cost the parser a call every few bytes. */
const FRAMING_WORK = 8;

/** The only response on a connection. */
export type PacedResponse = {
	/** Largest number of bytes up to the end of the head, informational responses included. */
	readonly maxHeadBytes: number;
	/** What the parser has found so far. */
	progress(): {readonly hasHead: boolean; readonly bodyBytes: number};
	/** Called in place of the read that would exceed `maxHeadBytes`. */
	onOversizedHead(): void;
};

/**
 * `response` is undefined for a connection that has several responses, of which all bytes count alike. A head that has begun to arrive is read
 * first: the parser keeps an object for each part of it.
 */
export function paceReads(socket: Socket, pace: ReadPace, response?: PacedResponse): void {
	const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
	let unrecordedBytes = 0;
	let recordedBodyBytes = 0;
	let isWaiting = false;
	let readBytes = 0;
	const recordLast = (): void => {
		const body = response ? response.progress().bodyBytes - recordedBodyBytes : unrecordedBytes;
		recordedBodyBytes += body;
		pace.record(body + (FRAMING_WORK * Math.max(0, unrecordedBytes - body)));
		unrecordedBytes = 0;
	};

	/** Number of bytes that may be read now; undefined if the response is over its limit. */
	const findReadSize = (hasHead: boolean): number | undefined => {
		if (!response) {
			return MAX_PLAIN_READ_BYTES;
		}

		const size = readBytes < FREE_BYTES ? FREE_BYTES - readBytes : MAX_READ_BYTES;
		const headBytesLeft = response.maxHeadBytes - readBytes;
		return hasHead ? size : (headBytesLeft > 0 ? Math.min(size, headBytesLeft) : undefined);
	};

	// Undici reads until it gets null, and again at the next `readable` event.
	socket.read = () => {
		recordLast();
		if (isWaiting || socket.destroyed) {
			return null;
		}

		if (socket.readableLength === 0) {
			return read();
		}

		const hasHead = response?.progress().hasHead ?? true;
		const size = findReadSize(hasHead);
		if (size === undefined) {
			response?.onOversizedHead();
			return null;
		}

		const isFree = response !== undefined && readBytes < FREE_BYTES;
		isWaiting = !isFree && !pace.mayRead(() => {
			isWaiting = false;
			if (!socket.destroyed) {
				socket.emit('readable');
			}
		}, !hasHead);
		const chunk = isWaiting ? null : read(Math.min(size, socket.readableLength));
		unrecordedBytes = chunk?.length ?? 0;
		readBytes += unrecordedBytes;
		return chunk;
	};
}

/** Wraps a connector of undici so that its connections, which may have several responses each, are read in turn. */
export const createPacedConnector = (connect: buildConnector.connector, pace: ReadPace): buildConnector.connector =>
	(target, callback) => {
		connect(target, (...result) => {
			if (result[1]) {
				paceReads(result[1], pace);
			}

			callback(...result);
		});
	};
