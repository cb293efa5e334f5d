/** Detects connection resets, which undici would mistake for the end of a response without a length. */
import type {Socket} from 'node:net';

/** Code of a reset in place of `ECONNRESET`. */
export const RESET_CODE = 'ERR_CONNECTION_RESET';

/**
 * Calls `onReset` before other listeners of the socket. A reset is reported either as an error or as a plain end of the
 * stream. In the second case the remote address of the socket is no longer available, whereas it still is after the peer
 * has closed the connection. `remoteAddress` must not be read earlier, since Node caches its first value.
 *
 * The code of the error is replaced: on `ECONNRESET`, undici ends a response without a length as a whole one, and throws an
 * uncaught exception if reading it is paused.
 */
export function watchReset(socket: Socket, onReset: (err: Error) => void): void {
	socket.prependListener('error', (err: NodeJS.ErrnoException) => {
		if (err.code === 'ECONNRESET') {
			err.code = RESET_CODE;
		}

		onReset(err);
	});
	socket.prependListener('end', () => {
		if (socket.remoteAddress === undefined) {
			onReset(new Error('the connection was reset'));
		}
	});
}
