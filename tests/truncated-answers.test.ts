import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {startExchange} from '../src/forwarding/exchange.js';
import {RawServer} from './fixtures/raw-server.js';

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
	}, 1000);
});

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = 'transfer-encoding: chunked\r\n';

/** Beginnings of answers, whose body is `part` or not complete. */
const FRAMINGS: ReadonlyArray<readonly [string, (part: string) => string]> = [
	['no length', part => `${OK}\r\n${part}`],
	['a length', part => `${OK}content-length: ${part.length + 1}\r\n\r\n${part}`],
	['chunks', part => `${OK}${CHUNKED}\r\n${part.length.toString(16)}\r\n${part}\r\n`],
	['a length and a closing connection', part => `${OK}connection: close\r\ncontent-length: ${part.length + 1}\r\n\r\n${part}`],
	['chunks and a closing connection', part => `${OK}connection: close\r\n${CHUNKED}\r\n${part.length.toString(16)}\r\n${part}\r\n`],
];

describe.each([
	['forwarded request', forward],
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
