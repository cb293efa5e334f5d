import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {UndiciPlainServiceClient} from '../src/backend/plain-service-client.js';
import {startExchange} from '../src/forwarding/exchange.js';
import {ReadPace} from '../src/http/read-pace.js';
import {RawServer, sendAndEnd, type RawEnding} from './fixtures/raw-server.js';

const cleanups: Array<() => unknown> = [];

afterEach(async () => {
	await Promise.all(cleanups.splice(0).map(async close => close()));
});

async function startServer(reply: (socket: Socket) => unknown): Promise<RawServer> {
	const server = await RawServer.create(reply);
	cleanups.push(() => {
		server.close();
	});
	return server;
}

/** More than the buffers of both ends of a connection hold. */
const LARGE_UPLOAD = Buffer.alloc(64 * 1024 * 1024, 'x');
/** More than a client buffers before it stops reading from the connection. */
const LARGE_PART = 'x'.repeat(200_000);

type Result = {readonly status?: number; readonly body: string; readonly isWhole: boolean};

type AskOptions = {
	readonly upload?: Uint8Array;
	/** Reading stops after the head until this promise resolves. */
	readonly resumed?: Promise<unknown>;
	readonly onHead?: () => void;
};

type Ask = (address: string, options?: AskOptions) => Promise<Result>;

const forward: Ask = async (address, {upload = Buffer.from('question'), resumed, onHead} = {}) => new Promise(resolve => {
	let status: number | undefined;
	let body = '';
	const resume = async (): Promise<void> => {
		await resumed;
		exchange.resume();
	};

	const exchange = startExchange({
		address, method: 'POST', path: '/x', headers: [], body: upload,
	}, {
		onConnected() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onHead(head) {
			status = head.status;
			if (resumed) {
				exchange.pause();
				void resume();
			}

			onHead?.();
		},
		onData(chunk) {
			body += Buffer.from(chunk).toString();
		},
		onEnd({kind}) {
			resolve({status, body, isWhole: kind === 'complete'});
		},
	}, {connectTimeoutMs: 1000, pace: ReadPace.create()});
});

function createPlainClient(): UndiciPlainServiceClient {
	const client = UndiciPlainServiceClient.create();
	cleanups.push(async () => client.close());
	return client;
}

const plainRequest = (address: string, body: Uint8Array) => ({
	address, method: 'POST', path: '/x', headers: {}, body, timeoutMs: 5000,
});

const callIdempotently: Ask = async (address, {upload = Buffer.from('question'), resumed, onHead} = {}) => {
	const outcome = await createPlainClient().send(plainRequest(address, upload), new AbortController().signal);
	if (outcome.kind !== 'answered') {
		return {body: '', isWhole: false};
	}

	onHead?.();
	let body = '';
	try {
		await resumed;
		for await (const chunk of outcome.body) {
			body += String(chunk);
		}
	} catch {
		return {status: outcome.status, body, isWhole: false};
	}

	return {status: outcome.status, body, isWhole: true};
};

const callOnce: Ask = async (address, {upload = Buffer.from('question')} = {}) => {
	const outcome = await createPlainClient().sendOnce(plainRequest(address, upload), () => undefined);
	return outcome.kind === 'answered'
		? {status: outcome.status, body: outcome.body.toString(), isWhole: true}
		: {body: '', isWhole: false};
};

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = 'transfer-encoding: chunked\r\n';

const CUT_ANSWERS: ReadonlyArray<readonly [string, string, RawEnding]> = [
	['no length, a reset', `${OK}\r\npart`, 'reset'],
	['a closing connection, a reset', `${OK}connection: close\r\n\r\npart`, 'reset'],
	['no body, a reset', `${OK}\r\n`, 'reset'],
	['an event stream without a length, a reset', `${OK}content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n`, 'reset'],
	['a length, a reset', `${OK}content-length: 9\r\n\r\npart`, 'reset'],
	['a length, an orderly end', `${OK}content-length: 9\r\n\r\npart`, 'close'],
	['a length and a closing connection, an orderly end', `${OK}connection: close\r\ncontent-length: 9\r\n\r\npart`, 'close'],
	['chunks, a reset', `${OK}${CHUNKED}\r\n4\r\npart\r\n`, 'reset'],
	['chunks, an orderly end before the last chunk', `${OK}${CHUNKED}\r\n4\r\npart\r\n`, 'close'],
	['chunks and a closing connection, an orderly end before the last chunk', `${OK}connection: close\r\n${CHUNKED}\r\n4\r\npart\r\n`, 'close'],
	['chunks, an orderly end within the last chunk', `${OK}${CHUNKED}\r\n4\r\npart\r\n0`, 'close'],
	['chunks, an orderly end within the trailers', `${OK}${CHUNKED}\r\n4\r\npart\r\n0\r\nx-sum: 1\r\n`, 'close'],
	['chunks, an orderly end within a chunk', `${OK}${CHUNKED}\r\n9\r\npart`, 'close'],
];

/** Beginnings of answers, whose body is `part` or not complete. */
const FRAMINGS: ReadonlyArray<readonly [string, (part: string) => string]> = [
	['no length', part => `${OK}\r\n${part}`],
	['a length', part => `${OK}content-length: ${part.length + 1}\r\n\r\n${part}`],
	['chunks', part => `${OK}${CHUNKED}\r\n${part.length.toString(16)}\r\n${part}\r\n`],
	['a length and a closing connection', part => `${OK}connection: close\r\ncontent-length: ${part.length + 1}\r\n\r\n${part}`],
	['chunks and a closing connection', part => `${OK}connection: close\r\n${CHUNKED}\r\n${part.length.toString(16)}\r\n${part}\r\n`],
];

const NO_ANSWERS: ReadonlyArray<readonly [string, string]> = [
	...['000', '001', '099', '100', '101', '150', '199', '600', '700', '999'].map(status => [`status ${status}`, `HTTP/1.1 ${status} Odd\r\ncontent-length: 4\r\n\r\nbody`] as const),
	...['000', '099', '101'].map(status => [`status ${status} without a length`, `HTTP/1.1 ${status} Odd\r\n\r\nbody`] as const),
	...['', '2', '20', '2000', '02000', '-20', '2x0', '+200', ' 200'].map(status => [`status "${status}"`, `HTTP/1.1 ${status} Odd\r\ncontent-length: 4\r\n\r\nbody`] as const),
	['an upgrade that nobody asked for', 'HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody'],
	['another protocol', 'SSH-2.0-x\r\n\r\nbody'],
	['no status line', 'body'],
	['two lengths', `${OK}content-length: 4\r\ncontent-length: 9\r\n\r\nbodypart2`],
	['a length and chunks', `${OK}content-length: 4\r\n${CHUNKED}\r\n4\r\nbody\r\n0\r\n\r\n`],
	['a length that is no number', `${OK}content-length: 4x\r\n\r\nbody`],
	['a chunk size that is no number', `${OK}${CHUNKED}\r\nxx\r\nbody\r\n0\r\n\r\n`],
	['a body with status 204', 'HTTP/1.1 204 None\r\ncontent-length: 4\r\n\r\nbody'],
];

describe.each([
	['forwarded request', forward],
	['idempotent call', callIdempotently],
	['non-idempotent call', callOnce],
] as const)('answer to a %s', (_name, ask) => {
	it.each(CUT_ANSWERS)('should not be taken for whole when it ends early (%s)', async (_, bytes, ending) => {
		const server = await startServer(socket => {
			sendAndEnd(socket, bytes, ending);
		});
		await expect(ask(server.address)).resolves.toMatchObject({isWhole: false});
	});

	it.each(FRAMINGS)('should not be taken for whole when a reset meets the upload (%s)', async (_, head) => {
		const server = await startServer(socket => {
			sendAndEnd(socket, head('part'), 'reset');
		});
		await expect(ask(server.address, {upload: LARGE_UPLOAD})).resolves.toMatchObject({isWhole: false});
	});

	it('should not be taken for whole as a success without a length whose server closes before the request is written', async () => {
		const server = await startServer(socket => {
			socket.end(`${OK}\r\npart`);
		});
		await expect(ask(server.address, {upload: LARGE_UPLOAD})).resolves.toMatchObject({isWhole: false});
	});

	it.each([
		['without a length', `${OK}\r\nbody`],
		['with a length', `${OK}content-length: 4\r\n\r\nbody`],
		['in chunks', `${OK}${CHUNKED}\r\n4\r\nbody\r\n0\r\n\r\n`],
		['after informational responses', `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n${OK}content-length: 4\r\n\r\nbody`],
	])('should arrive %s when its server ends the connection orderly', async (_, bytes) => {
		const server = await startServer(socket => {
			sendAndEnd(socket, bytes, 'close');
		});
		await expect(ask(server.address)).resolves.toEqual({status: 200, body: 'body', isWhole: true});
	});

	it.each([
		['a success with a length', `${OK}content-length: 4\r\n\r\nbody`, 200],
		['an error with a length', 'HTTP/1.1 413 Too Large\r\ncontent-length: 4\r\n\r\nbody', 413],
		['an error without a length', 'HTTP/1.1 413 Too Large\r\n\r\nbody', 413],
	])('should arrive although the upload is unfinished (%s)', async (_, bytes, status) => {
		const server = await startServer(socket => {
			socket.end(bytes);
		});
		await expect(ask(server.address, {upload: LARGE_UPLOAD})).resolves.toEqual({status, body: 'body', isWhole: true});
	});

	it.each([204, 304])('should have no body with status %s, whatever bytes follow', async status => {
		const server = await startServer(socket => {
			sendAndEnd(socket, `HTTP/1.1 ${status} Odd\r\n\r\nbody`, 'close');
		});
		await expect(ask(server.address)).resolves.toEqual({status, body: '', isWhole: true});
	});

	it.each(NO_ANSWERS)('should not be made of bytes that are no answer (%s)', async (_, bytes) => {
		for (const ending of ['close', 'reset'] as const) {
			const server = await startServer(socket => {
				sendAndEnd(socket, bytes, ending);
			});
			await expect(ask(server.address), ending).resolves.toMatchObject({isWhole: false});
		}
	});
});

describe.each([
	['forwarded request', forward],
	['idempotent call', callIdempotently],
] as const)('answer to a %s that is read slowly', (_name, ask) => {
	// Unless the connection could be kept open, undici threw an exception that no caller could catch.
	it.each(FRAMINGS)('should not be taken for whole, nor end the process, when a reset comes before it is read (%s)', async (_, head) => {
		const events = new EventTarget();
		const server = await startServer(async socket => {
			socket.once('close', () => {
				events.dispatchEvent(new Event('reset'));
			});
			socket.write(head(LARGE_PART));
			await once(events, 'head');
			socket.resetAndDestroy();
		});
		const readAfterReset = async (): Promise<void> => {
			await once(events, 'reset');
			// The reset is reported in the next turn of the event loop.
			await setImmediate();
			await setImmediate();
		};

		const onHead = () => events.dispatchEvent(new Event('head'));
		await expect(ask(server.address, {upload: LARGE_UPLOAD, resumed: readAfterReset(), onHead})).resolves.toMatchObject({status: 200, isWhole: false});
	}, 5000);
});
