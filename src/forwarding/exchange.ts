/**
 * One request to a backend server on a new connection.
 *
 * A reused connection may be stale, may still deliver a late second response to an earlier request, or may have stopped
 * responding. A new one costs a millisecond and guarantees that no bytes of one request reach another.
 */
import {Buffer} from 'node:buffer';
import type {Client, Dispatcher} from 'undici';
import {CheckedClient} from '../backend/checked-client.js';
import {createCheckedConnector, NotConnectedError} from '../backend/checked-connector.js';
import {paceReads} from '../http/paced-reads.js';
import type {ReadPace} from '../http/read-pace.js';

/** Largest response head that is read, the default of Node.js. The parser keeps two objects for each field of a head. */
const MAX_HEADER_BYTES = 16_384;
/**
 * Limit on received bytes that are not part of the body, such as informational responses and chunk extensions, which
 * undici reads without end: what its read buffer and one head may hold, and as much as the body, since short chunks
 * have several bytes of framing.
 */
const MAX_FRAMING_BYTES = 262_144;

export type ExchangeRequest = {
	/** IP:PORT. */
	readonly address: string;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	/** Names and values alternate. */
	readonly headers: readonly string[];
	readonly body: Uint8Array | undefined;
};

export type ExchangeHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
};

/**
 * Why an exchange ended. `not_connected` guarantees that nothing was sent; with `isInvalid`, the request can't be sent to any
 * server. `isDisconnected`: the server closed or reset the connection.
 */
export type ExchangeEnd =
	| {readonly kind: 'complete'; readonly isDisconnected: boolean}
	| {readonly kind: 'not_connected'; readonly message: string; readonly isRefused: boolean; readonly isInvalid: boolean}
	| {readonly kind: 'broken'; readonly message: string; readonly isDisconnected: boolean}
	| {readonly kind: 'aborted'};

export type ExchangeHandler = {
	/** Called when a connection has been opened. */
	onConnected(): void;
	onHead(head: ExchangeHead): void;
	onData(chunk: Uint8Array): void;
	onEnd(end: ExchangeEnd): void;
};

export type ExchangeOptions = {
	readonly connectTimeoutMs: number;
	/** Shared by all exchanges of this daemon whose bodies are read. */
	readonly pace?: ReadPace;
};

/** A running exchange. `abort` closes its connection; the handler is then called with `aborted`, once. */
export type Exchange = {
	/** Whether a connection was opened, so that the backend server may have received the request. */
	readonly isConnected: boolean;
	abort(): void;
	/** Pauses and resumes reading from the backend server. */
	pause(): void;
	resume(): void;
};

/** Starts an exchange. The handler's `onEnd` is called exactly once, and not before this function has returned. */
export function startExchange(req: ExchangeRequest, handler: ExchangeHandler, {connectTimeoutMs, pace}: ExchangeOptions): Exchange {
	let isEnded = false;
	let isStarting = true;
	let isConnected = false;
	let isDisconnected = false;
	let hasHead = false;
	let bodyBytes = 0;
	let client: Client | undefined;
	const openClient = (): Client => new CheckedClient(`http://${req.address}`, {
		connect: createCheckedConnector(() => undefined, {
			timeoutMs: connectTimeoutMs,
			onOpen(socket) {
				isConnected = true;
				handler.onConnected();
				// Runs before undici reports the end as an error.
				const onDisconnected = (): void => {
					isDisconnected = true;
				};

				socket.prependListener('error', onDisconnected);
				socket.prependListener('end', onDisconnected);
				if (pace) {
					paceReads(socket, pace, {
						maxHeadBytes: MAX_HEADER_BYTES,
						progress: () => ({hasHead, bodyBytes}),
						onOversizedHead() {
							end({kind: 'broken', message: `received a head of more than ${MAX_HEADER_BYTES} bytes`, isDisconnected});
						},
					});
				}

				socket.on('readable', () => {
					if (socket.bytesRead > MAX_FRAMING_BYTES + (2 * bodyBytes)) {
						end({kind: 'broken', message: `received ${socket.bytesRead} bytes with only ${bodyBytes} bytes of a body`, isDisconnected});
					}
				});
			},
		}),
		// The caller applies its own timeout for missing data.
		headersTimeout: 0,
		bodyTimeout: 0,
		maxHeaderSize: 2 * MAX_HEADER_BYTES,
	});
	let controller: Dispatcher.DispatchController | undefined;
	const end = (result: ExchangeEnd): void => {
		if (!isEnded) {
			isEnded = true;
			client?.destroy(new Error('exchange ended'), () => undefined);
			handler.onEnd(result);
		}
	};

	const fail = (err: Error, isInvalid: boolean): void => {
		end(isConnected
			? {kind: 'broken', message: err.message, isDisconnected}
			: {
				kind: 'not_connected', message: err.message, isRefused: err instanceof NotConnectedError && err.isRefused, isInvalid,
			});
	};

	/** Reports an error after this function has returned. */
	const failLater = (err: Error, isInvalid: boolean): void => {
		queueMicrotask(() => {
			fail(err, isInvalid);
		});
	};

	const dispatch = (): void => {
		client = openClient();
		client.dispatch({
			path: req.path,
			method: req.method,
			headers: [...req.headers],
			body: req.body === undefined || req.body.length === 0 ? null : Buffer.from(req.body),
			reset: true,
		}, {
			onRequestStart(started) {
				controller = started;
			},
			onResponseStart(_controller, status, headers) {
				hasHead = status >= 200;
				if (!isEnded && hasHead) {
					handler.onHead({status, headers});
				}
			},
			onResponseData(_controller, chunk) {
				bodyBytes += chunk.length;
				if (!isEnded) {
					handler.onData(chunk);
				}
			},
			onResponseEnd() {
				end({kind: 'complete', isDisconnected});
			},
			onResponseError(_controller, err) {
				if (isStarting) {
					failLater(err, true);
				} else {
					fail(err, false);
				}
			},
		});
	};

	try {
		dispatch();
	} catch (err) {
		// The address is invalid.
		failLater(err as Error, false);
	}

	isStarting = false;
	return {
		get isConnected() {
			return isConnected;
		},
		abort() {
			end({kind: 'aborted'});
		},
		pause() {
			controller?.pause();
		},
		resume() {
			controller?.resume();
		},
	};
}
