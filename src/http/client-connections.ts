/**
 * The connections of clients. The requests of one connection are handled one after the other, so that none is passed on whose
 * response could no longer follow the one before it, and a connection is closed only when its responses have been sent.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {canAnswer} from './can-answer.js';
import {lingerOnClose} from './lingering-close.js';
import {ConnectionIntake, type ConnectionIntakeOptions} from './connection-intake.js';

type ClientConnection = {
	readonly socket: Socket;
	/** Requests whose response is not complete. */
	open: number;
	/** Starts the requests that wait for an earlier one of the connection, or drops them. */
	readonly waiting: Array<(turn: Turn) => void>;
	lastRequest: IncomingMessage | undefined;
	/** The response that has been told to close the connection. A further request prevents that until its head has been sent. */
	closing: ServerResponse | undefined;
	/** The response to `lastRequest` while that is open. */
	lastResponse: ServerResponse | undefined;
	/** Bytes received by the end of the last response. */
	bytesAtLastResponse: number | undefined;
	/** No further request is read from the connection, which closes after the last response. */
	isClosing: boolean;
};

/**
 * Only a `started` request may be passed on. `connection_closed`: the daemon has ended its side of the connection before its turn, or the
 * connection has closed. `close_announced`: it was read after a response had announced that the connection closes, behind which no request
 * may be processed (RFC 9112, section 9.6).
 */
export type Turn = 'started' | 'connection_closed' | 'close_announced';

/** Largest number of connections of a server whose descriptors and memory are not known. */
const DEFAULT_MAX_CONNECTIONS = 10_000;

const BAD_REQUEST_STATUS_LINE = '400 Bad Request';

const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Status lines for errors of Node's HTTP parser, which reports them before there is a request. */
const STATUS_LINES: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
	[HEAD_TIMEOUT]: '408 Request Timeout',
};

export type ClientConnectionsOptions = Partial<ConnectionIntakeOptions> & {
	/** JSON body of the response to bytes that are no request; by default there is none. */
	errorBody?(message: string): unknown;
};

export class ClientConnections {
	static create(server: Server, options: ClientConnectionsOptions = {}): ClientConnections {
		return new ClientConnections(server, options);
	}

	readonly #connections = new Map<Socket, ClientConnection>();

	private constructor(private readonly server: Server, private readonly options: ClientConnectionsOptions) {
		ConnectionIntake.attach(server, {maxConnections: DEFAULT_MAX_CONNECTIONS, ...options});
		server.on('connection', socket => {
			this.#add(socket);
		});
		server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
			// A head that waits for earlier requests of its connection has not been read whole for that reason.
			if (err.code === HEAD_TIMEOUT && (this.#connections.get(socket as Socket)?.open ?? 0) > 0) {
				return;
			}

			this.#refuseBytes(socket as Socket, STATUS_LINES[err.code ?? ''] ?? BAD_REQUEST_STATUS_LINE, err.message);
		});
		server.on('connect', (_req, socket) => {
			this.#refuseBytes(socket as Socket, BAD_REQUEST_STATUS_LINE, 'tunnels are not offered');
		});
	}

	/** Resolves when the earlier requests of the connection have their responses. To be called once for each request. */
	async startRequest(req: IncomingMessage, res: ServerResponse): Promise<Turn> {
		const turn = await this.#awaitTurn(req, res);
		if (turn !== 'started') {
			// Its body is read and discarded, since unread bytes would reset the connection and the response before with it.
			req.resume();
		}

		return turn;
	}

	/** Closes the connection after a response, unless that has begun or a further request waits for it, whose response then does. */
	closeAfter(req: IncomingMessage, res: ServerResponse): void {
		const connection = this.#connections.get(req.socket);
		// Bytes behind the request that have not been parsed are a further one.
		const isFollowed = (connection?.waiting.length ?? 0) > 0 || (req.complete && req.socket.readableLength > 0);
		if (res.headersSent || isFollowed) {
			return;
		}

		res.setHeader('connection', 'close');
		if (connection) {
			connection.closing = res;
		}
	}

	/** Closes connections that wait for a further request. New ones, whose first request is on its way, stay open. */
	async closeIdle(): Promise<void> {
		// Runs after the bytes that have arrived are read.
		await setImmediate();
		for (const {socket, open, bytesAtLastResponse} of this.#connections.values()) {
			if (open === 0 && bytesAtLastResponse === socket.bytesRead) {
				socket.destroySoon();
			}
		}
	}

	/** Whether a client still sends the rest of a body that was refused, and may not have read the refusal yet. */
	get isDiscarding(): boolean {
		return [...this.#connections.values()].some(({socket, lastRequest}) => lastRequest?.complete === false && socket.writableEnded && !socket.destroyed);
	}

	/** Accepts no new connections. `close` of an HTTP server would also cut responses that are still being sent. */
	stopListening(): void {
		NetServer.prototype.close.call(this.server);
	}

	/** Closes the server and all connections at once. */
	close(): void {
		this.server.close();
		for (const socket of this.#connections.keys()) {
			socket.destroy();
		}
	}

	async #awaitTurn(req: IncomingMessage, res: ServerResponse): Promise<Turn> {
		const connection = this.#connections.get(req.socket);
		if (connection?.closing?.headersSent) {
			return 'close_announced';
		}

		if (!connection || !canAnswer(req)) {
			return 'connection_closed';
		}

		if (connection.closing) {
			// This request has been read before its client was told that the connection closes.
			connection.closing.removeHeader('connection');
		}

		connection.closing = undefined;
		this.#keepOpenAsAnnounced(connection, res);
		connection.lastRequest = req;
		connection.lastResponse = res;
		connection.open++;
		res.once('close', () => {
			if (connection.lastResponse === res) {
				connection.lastResponse = undefined;
			}

			// A body that was refused midway is paused; the rest of it is discarded.
			req.resume();
			this.#endRequest(connection);
		});
		return connection.open === 1
			? 'started'
			: new Promise(resolve => {
				connection.waiting.push(resolve);
			});
	}

	#add(socket: Socket): void {
		const connection: ClientConnection = {
			socket, open: 0, waiting: [], lastRequest: undefined, closing: undefined, lastResponse: undefined, bytesAtLastResponse: undefined, isClosing: false,
		};
		this.#connections.set(socket, connection);
		lingerOnClose(socket);
		socket.once('close', () => {
			this.#connections.delete(socket);
			for (const drop of connection.waiting.splice(0)) {
				drop('connection_closed');
			}
		});
	}

	#endRequest(connection: ClientConnection): void {
		const {socket, waiting} = connection;
		connection.open--;
		connection.bytesAtLastResponse = socket.bytesRead;
		const wholeRequests = waiting.length - (connection.lastRequest?.complete === false ? 1 : 0);
		if (connection.isClosing && wholeRequests <= 0) {
			socket.destroySoon();
		}

		// The socket is no longer writable if the response announced that the connection closes.
		waiting.shift()?.(socket.writable ? 'started' : 'connection_closed');
	}

	/** Answers bytes that are no request, unless the client would take the answer for the one to an open request. */
	#refuseBytes(socket: Socket, statusLine: string, message: string): void {
		const connection = this.#connections.get(socket);
		const isWithinBody = connection?.lastRequest?.complete === false;
		if (socket.readableEnded) {
			socket.destroy();
		} else if (connection && connection.open > (isWithinBody ? 1 : 0)) {
			connection.isClosing = true;
		} else if (socket.writable && !connection?.lastResponse?.headersSent) {
			const {errorBody} = this.options;
			const body = errorBody ? JSON.stringify(errorBody(message)) : '';
			const type = errorBody ? 'Content-Type: application/json\r\n' : '';
			socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n${type}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
			socket.destroySoon();
		}
	}

	/** A new configuration may shorten the idle timeout after a response has announced a longer one. */
	#keepOpenAsAnnounced(connection: ClientConnection, res: ServerResponse): void {
		const announcedMs = this.server.keepAliveTimeout;
		res.once('finish', () => {
			if (this.server.keepAliveTimeout < announcedMs && connection.open === 1) {
				connection.socket.setTimeout(announcedMs);
			}
		});
	}
}
