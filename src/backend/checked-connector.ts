/** Connections whose failures prove that nothing was sent. */
import {buildConnector} from 'undici';
import {watchReset} from './reset-watch.js';

const CONNECT_TIMEOUT_MS = 1000;

/** No connection was opened: no byte of the request left this host. */
export class NotConnectedError extends Error {
	override readonly name = 'NotConnectedError';

	/** `isRefused`: the host answered that nothing listens there. */
	constructor(message: string | undefined, readonly isRefused = false) {
		super(message);
	}
}

/** Returns why an open connection may not be used, or undefined. */
export type ConnectionCheck = () => string | undefined;

export type ConnectorOptions = {
	readonly timeoutMs?: number;
	/** Told of a reset of an open connection before undici is. */
	readonly onReset?: (err: Error) => void;
};

/** A connector whose failures are {@link NotConnectedError}; `check` can refuse an open connection before its use. */
export function createConnector(check: ConnectionCheck, {timeoutMs = CONNECT_TIMEOUT_MS, onReset}: ConnectorOptions = {}): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...[err, socket]) => {
			const refusal = err ? err.message : check();
			if (err === null && refusal === undefined) {
				if (onReset) {
					watchReset(socket, onReset);
				}

				callback(null, socket);
				return;
			}

			socket?.destroy();
			callback(new NotConnectedError(refusal, err !== null && 'code' in err && err.code === 'ECONNREFUSED'), null);
		});
	};
}
