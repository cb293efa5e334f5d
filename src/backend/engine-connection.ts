/** One connection to a backend server for one request, so that a stalled connection disturbs no other request. */
import {Client, type Dispatcher} from 'undici';
import {LimitedSignal} from '../util/limited-signal.js';

const CONNECT_TIMEOUT_MS = 1000;

/** A request to send. `body` is sent as JSON. */
export type ConnectionRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
};

/** `not_sent`: no connection was established. `unknown`: the request may have arrived. */
export type Opened =
	| {readonly kind: 'response'; readonly response: Dispatcher.ResponseData; close(): void}
	| {readonly kind: 'not_sent'; readonly message: string}
	| {readonly kind: 'unknown'; readonly message: string};

/** Text of an error, with its code where the message alone is empty. */
export function messageOf(err: unknown): string {
	if (!(err instanceof Error)) {
		return String(err);
	}

	const {code, message, name} = err as NodeJS.ErrnoException;
	return message === '' ? code ?? name : message;
}

/**
 * Opens a connection, sends one request and waits at most `timeoutMs` for its response headers. `signal` ends the
 * connection at any time, also while the body is read.
 */
export async function openConnection(
	address: string,
	request: ConnectionRequest,
	{timeoutMs, signal}: {readonly timeoutMs: number; readonly signal?: AbortSignal},
): Promise<Opened> {
	const client = new Client(`http://${address}`, {connect: {timeout: CONNECT_TIMEOUT_MS}, headersTimeout: 0, bodyTimeout: 0});
	let connected = false;
	client.once('connect', () => {
		connected = true;
	});
	const limit = LimitedSignal.create(timeoutMs, signal);
	try {
		const response = await client.request({
			method: request.method,
			path: request.path,
			signal: limit.signal,
			...(request.body === undefined ? {} : {body: JSON.stringify(request.body), headers: {'content-type': 'application/json'}}),
		});
		// A destroyed body reports an error that nobody waits for.
		response.body.on('error', () => undefined);
		return {
			kind: 'response',
			response,
			close() {
				limit.close();
				response.body.destroy();
				void client.destroy();
			},
		};
	} catch (err) {
		limit.close();
		void client.destroy();
		return {kind: connected ? 'unknown' : 'not_sent', message: messageOf(err)};
	} finally {
		limit.stopTimer();
	}
}
