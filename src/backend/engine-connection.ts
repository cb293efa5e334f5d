/** One connection to a backend server for one request, so that a stalled connection disturbs no other request. */
import {Client, type Dispatcher} from 'undici';
import type {EngineCallOptions} from '../streams/engine-streams.js';
import {LimitedSignal} from '../util/limited-signal.js';
import {createConnector} from './checked-connector.js';

/** A request to send. `body` is sent as JSON. */
export type ConnectionRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
};

/**
 * `not_sent`: no connection was established. `withheld`: `maySend` refused, so nothing was sent.
 * `unknown`: the request may have arrived.
 */
export type Opened =
	| {readonly kind: 'response'; readonly response: Dispatcher.ResponseData; close(): void}
	| {readonly kind: 'not_sent'; readonly message: string}
	| {readonly kind: 'withheld'; readonly message: string}
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
	{timeoutMs, signal, maySend}: EngineCallOptions,
): Promise<Opened> {
	const attempt: {connected: boolean; withheld?: string} = {connected: false};
	const connect = createConnector(() => {
		attempt.withheld = maySend?.();
		attempt.connected ||= attempt.withheld === undefined;
		return attempt.withheld;
	});
	const client = new Client(`http://${address}`, {connect, headersTimeout: 0, bodyTimeout: 0});
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
		if (attempt.connected) {
			return {kind: 'unknown', message: messageOf(err)};
		}

		return attempt.withheld === undefined ? {kind: 'not_sent', message: messageOf(err)} : {kind: 'withheld', message: attempt.withheld};
	} finally {
		limit.stopTimer();
	}
}
