/** An undici connector that distinguishes connection failures, after which nothing has been sent, from other errors. */
import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

const CONNECT_TIMEOUT_MS = 1000;

/** No usable connection was opened, so no byte of the request has been sent. */
export class NotConnectedError extends Error {
	override readonly name = 'NotConnectedError';

	/** `isRefused`: the host refused the connection, so no process listens on the address. */
	constructor(message: string | undefined, readonly isRefused = false) {
		super(message);
	}
}

/** A connector of undici in the form of a function. */
export type ConnectionOpener = buildConnector.connector;

/** Returns the reason why an open connection may not be used, or undefined if it may. */
export type ConnectionCheck = () => string | undefined;

export type ConnectorOptions = {
	readonly timeoutMs?: number;
	/** Called with an open connection before undici uses it. */
	readonly onOpen?: (socket: Socket) => void;
};

/**
 * Creates a connector that fails with {@link NotConnectedError}. `check` can refuse an open connection before its first
 * use.
 */
export function createCheckedConnector(check: ConnectionCheck, {timeoutMs = CONNECT_TIMEOUT_MS, onOpen}: ConnectorOptions = {}): ConnectionOpener {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...[err, socket]) => {
			const refusal = err ? err.message : check();
			if (err === null && refusal === undefined) {
				onOpen?.(socket);
				callback(null, socket);
				return;
			}

			socket?.destroy();
			callback(new NotConnectedError(refusal, err !== null && 'code' in err && err.code === 'ECONNREFUSED'), null);
		});
	};
}
