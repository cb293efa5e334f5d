/** Ends a response that cannot be completed. */
import type {ServerResponse} from 'node:http';

/** Closes the connection, so that the response can't be taken for complete. */
export function breakOff(res: ServerResponse): void {
	if (res.req.httpVersion === '1.0') {
		// A response without chunks ends with its connection, so only a reset shows that it is incomplete.
		res.socket?.resetAndDestroy();
	}

	res.destroy();
}
