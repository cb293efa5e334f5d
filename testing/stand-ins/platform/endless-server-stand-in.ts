/** Stand-in for a backend server in trouble: sends bytes until its caller closes the connection. */
import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {listen} from '../../../src/util/listen.js';

const BLOCK_BYTES = 65_536;
/** Nearly the 256 KiB after which a stream without an event is given up. */
const HELD_BLOCKS = 5;
const SHORT_EVENTS = 4000;
const LARGE_EVENT_BYTES = 100_000;
const ATTEMPT_ID = /fireflyport-attempt-id: (?<id>.+)\r\n/iv;

/** What the server sends without end after the beginning of a response. */
export type EndlessBytes =
	/** A body without a length that is signed like a real one. */
	| 'body'
	/** The body of a response that rejects the request as not executed. */
	| 'refusal body'
	/** One event of a stream. */
	| 'event'
	/** Comments of a stream. */
	| 'comments'
	/** New events of a stream, as short as they can be, and of 100 kB. */
	| 'short events'
	| 'large events'
	/** Comments of a stream, up to less than a daemon accepts without an event, and then nothing. */
	| 'held comments'
	/** Events of a stream that have been sent before. */
	| 'repeated events'
	/** Informational responses. */
	| 'informational heads'
	/** One head. */
	| 'head'
	/** The extension of one chunk. */
	| 'chunk extension'
	/** Chunks of one byte. */
	| 'tiny chunks'
	/** Bytes after a complete response. */
	| 'trailing bytes'
	/** Bytes that are not HTTP. */
	| 'garbage';

export class EndlessServerStandIn {
	static async create(instance: string, bytes: EndlessBytes): Promise<EndlessServerStandIn> {
		const standIn = new EndlessServerStandIn(instance, bytes);
		await listen(standIn.#server, {port: 0, host: '127.0.0.1'});
		return standIn;
	}

	/** Number of requests received. */
	requests = 0;
	sentBytes = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	private constructor(readonly instance: string, private readonly bytes: EndlessBytes) {
		this.#server = createServer(socket => {
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
			// The caller resets the connection; that is the expected end.
			socket.on('error', () => undefined);
			this.#serve(socket);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	get openConnections(): number {
		return this.#sockets.size;
	}

	async close(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#serve(socket: Socket): void {
		let received = '';
		socket.on('data', chunk => {
			const isBegun = received.includes('\r\n\r\n');
			received += chunk.toString('latin1');
			if (!isBegun && received.includes('\r\n\r\n')) {
				this.requests++;
				const [start, block] = this.#response(ATTEMPT_ID.exec(received)?.groups?.id ?? '');
				socket.write(start);
				const repeated = typeof block === 'string' ? repeat(block) : undefined;
				this.#flood(socket, () => repeated ?? Buffer.from((block as () => string)(), 'latin1'));
			}
		});
	}

	/** Writes one block a turn, so that other connections of this process are served meanwhile. */
	#flood(socket: Socket, nextBlock: () => Buffer): void {
		if (socket.destroyed) {
			return;
		}

		const block = nextBlock();
		if (block.length === 0) {
			return;
		}

		this.sentBytes += block.length;
		const next = (): void => {
			this.#flood(socket, nextBlock);
		};

		if (socket.write(block)) {
			setImmediate(next);
		} else {
			socket.once('drain', next);
		}
	}

	/** Returns the beginning of the response, and what is repeated or made after it. */
	#response(attemptId: string): readonly [start: string, block: string | (() => string)] {
		const head = (status: string, more = ''): string =>
			`HTTP/1.1 ${status}\r\nfireflyport-attempt-id: ${attemptId}\r\nfireflyport-response-seal: seal-${this.instance}\r\n${more}\r\n`;
		switch (this.bytes) {
			case 'body': {
				return [head('200 OK'), 'x'];
			}

			case 'refusal body': {
				return [`HTTP/1.1 503 Service Unavailable\r\nfireflyport-attempt-id: ${attemptId}\r\nfireflyport-not-executed: 1\r\n\r\n`, 'x'];
			}

			case 'event': {
				return [`${head('200 OK')}id: 1\ndata: `, 'x'];
			}

			case 'comments': {
				return [head('200 OK'), ':\n\n'];
			}

			case 'held comments': {
				let blocks = 0;
				return [head('200 OK'), () => blocks++ < HELD_BLOCKS ? ':\n\n'.repeat(BLOCK_BYTES / 4) : ''];
			}

			case 'short events': {
				return [head('200 OK'), eventBlocks('', SHORT_EVENTS)];
			}

			case 'large events': {
				return [head('200 OK'), eventBlocks('x'.repeat(LARGE_EVENT_BYTES), 1)];
			}

			case 'repeated events': {
				return [head('200 OK'), 'id: 1\ndata: 1\n\n'];
			}

			case 'informational heads': {
				return ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'];
			}

			case 'head': {
				return ['HTTP/1.1 200 OK\r\n', 'x-filler: x\r\n'];
			}

			case 'chunk extension': {
				return [`${head('200 OK', 'transfer-encoding: chunked\r\n')}1;a=`, 'x'];
			}

			case 'tiny chunks': {
				return [head('200 OK', 'transfer-encoding: chunked\r\n'), '1\r\nx\r\n'];
			}

			case 'trailing bytes': {
				return [`${head('200 OK', 'content-length: 5\r\n')}whole`, 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'];
			}

			case 'garbage': {
				return ['', '\u0000\u0001'];
			}
		}
	}
}

/** Makes blocks of `count` further events each. */
function eventBlocks(data: string, count: number): () => string {
	let id = 0;
	return () => Array.from({length: count}, () => `id:${++id}\ndata:${data}\n\n`).join('');
}

const repeat = (text: string): Buffer => Buffer.from(text.repeat(Math.ceil(BLOCK_BYTES / text.length)), 'latin1');
