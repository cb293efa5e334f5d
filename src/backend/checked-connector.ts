/** Connections whose failures prove that nothing was sent. */
import {buildConnector} from 'undici';

const CONNECT_TIMEOUT_MS = 1000;

/** No connection was opened: no byte of the request left this host. */
export class NotConnectedError extends Error {
	override readonly name = 'NotConnectedError';
}

/** Returns why an open connection may not be used, or undefined. */
export type ConnectionCheck = () => string | undefined;

export type ConnectorOptions = {
	readonly timeoutMs?: number;
	/**
	 * Told of an error on an open connection before undici is. undici takes a response without a length for complete when its
	 * connection is reset.
	 */
	readonly onError?: (err: Error) => void;
};

/** A connector whose failures are {@link NotConnectedError}; `check` can refuse an open connection before its use. */
export function createConnector(check: ConnectionCheck, {timeoutMs = CONNECT_TIMEOUT_MS, onError}: ConnectorOptions = {}): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...[err, socket]) => {
			const refusal = err ? err.message : check();
			if (err === null && refusal === undefined) {
				if (onError) {
					socket.prependListener('error', onError);
				}

				callback(null, socket);
				return;
			}

			socket?.destroy();
			callback(new NotConnectedError(refusal), null);
		});
	};
}
