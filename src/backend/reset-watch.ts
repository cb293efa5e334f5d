/** Tells of a connection that was reset, where undici would take its end for the end of a response without a length. */
import type {Socket} from 'node:net';

/**
 * Calls `onReset` before other listeners see the end. Besides an error, a reset can show as a plain end of the stream: the
 * peer of a socket that was reset is no longer known, while that of a socket that the peer closed still is. Nothing may ask
 * for the peer's address before, since Node keeps the first answer.
 */
export function watchReset(socket: Socket, onReset: (err: Error) => void): void {
	socket.prependListener('error', onReset);
	socket.prependListener('end', () => {
		if (socket.remoteAddress === undefined) {
			onReset(new Error('the connection was reset'));
		}
	});
}
