/** Lingering close of server connections (RFC 9112, section 9.6). */
import type {Socket} from 'node:net';

/** Time in ms for which a client may go on sending after the last response: the largest prompt, 4 MB, takes it at 16 Mbit/s. */
const LINGER_MS = 2000;
/** Bytes that are discarded after the last response: twice the largest prompt. A client that sends more has its connection reset. */
const MAX_LINGER_BYTES = 8_388_608;
/** Interval in ms at which the bytes are checked. A `data` listener would stop Node's HTTP parser from reading a refused body. */
const CHECK_MS = 50;

/**
 * Makes `destroySoon`, with which Node's HTTP server ends a connection after its last response, close the connection in two steps: it
 * sends FIN, and what the client still sends is read and discarded until the client closes or a limit is reached. A socket that is closed
 * with unread bytes sends a reset, which can destroy the last response before the client has read it. The caller has to resume a
 * request whose body is not read.
 */
export function lingerOnClose(socket: Socket): void {
	let isLingering = false;
	socket.destroySoon = () => {
		if (isLingering || socket.destroyed) {
			return;
		}

		isLingering = true;
		const timeout = setTimeout(() => {
			socket.destroy();
		}, LINGER_MS);
		const maxBytesRead = socket.bytesRead + MAX_LINGER_BYTES;
		const check = setInterval(() => {
			if (socket.bytesRead > maxBytesRead) {
				socket.destroy();
			}
		}, CHECK_MS);
		socket.once('close', () => {
			clearTimeout(timeout);
			clearInterval(check);
		});
		socket.end();
		socket.resume();
	};
}
