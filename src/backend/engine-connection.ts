/** Opens a separate connection for each request to a backend server, so that a stalled connection affects no other request. */
import type {Dispatcher} from 'undici';
import type {EngineCallOptions} from '../streams/engine-streams.js';
import {LimitedSignal} from '../util/limited-signal.js';
import {CheckedClient} from './checked-client.js';
import {createCheckedConnector} from './checked-connector.js';

/** The request to send. `body` is sent as JSON. */
export type EngineRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
};

/**
 * - `not_sent`: no connection was established
 * - `withheld`: `maySend` returned a reason not to send, so nothing was sent
 * - `unknown`: the request may have arrived
 */
export type ConnectionOutcome =
	| {readonly kind: 'response'; readonly response: Dispatcher.ResponseData; close(): void}
	| {readonly kind: 'not_sent'; readonly message: string}
	| {readonly kind: 'withheld'; readonly message: string}
	| {readonly kind: 'unknown'; readonly message: string};

/** Message of an error, or its code if the message is empty. */
export function messageOf(err: unknown): string {
	if (!(err instanceof Error)) {
		return String(err);
	}

	const {code, message, name} = err as NodeJS.ErrnoException;
	return message === '' ? code ?? name : message;
}

/**
 * Opens a connection, sends one request and waits up to `timeoutMs` for the response headers. `signal` aborts at any time,
 * including while the body is being read.
 */
export async function openConnection(
	address: string,
	request: EngineRequest,
	{timeoutMs, signal, maySend}: EngineCallOptions,
): Promise<ConnectionOutcome> {
	const attempt: {connected: boolean; withheld?: string} = {connected: false};
	const connect = createCheckedConnector(() => {
		attempt.withheld = maySend?.();
		attempt.connected ||= attempt.withheld === undefined;
		return attempt.withheld;
	});
	const client = new CheckedClient(`http://${address}`, {connect, headersTimeout: 0, bodyTimeout: 0});
	const limit = LimitedSignal.create(timeoutMs, signal);
	try {
		const response = await client.request({
			method: request.method,
			path: request.path,
			signal: limit.signal,
			...(request.body === undefined ? {} : {body: JSON.stringify(request.body), headers: {'content-type': 'application/json'}}),
		});
		// Destroying the body emits an error, which would be an uncaught exception without a listener.
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
