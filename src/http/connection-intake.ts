/**
 * Bounds what the connections of a server take: requests are read no further ahead than they are answered, and there are only so many connections.
 *
 * Node.js parses all requests that arrive and keeps those whose turn has not come, some 10 kB each; it stops only for answers that their client
 * does not read, and a request that waits has none. Here a connection hands its bytes to the parser in small pieces, and none while enough of its
 * requests are open. The rest stays with the client.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Requests of one connection that may be open before no more are read from it. */
const MAX_OPEN_REQUESTS = 16;
/** Requests that all connections together may have open beyond the first of each. */
const MAX_REQUESTS_AHEAD = 256;
/** Bytes of a piece that may hold several requests: the smallest request has some 25. */
const PIECE_BYTES = 512;
/** The same while `MAX_REQUESTS_AHEAD` is reached. */
const SMALL_PIECE_BYTES = 32;
/** Bytes that are parsed after the last answer of a connection, so that the log names requests that cross its end. */
const MAX_BYTES_AFTER_END = 4096;
/** Largest piece of a body. */
const BODY_PIECE_BYTES = 16_384;

type Connection = {
	readonly socket: Socket;
	/** Requests whose response has not ended. */
	open: number;
	/** The latest request, and the bytes of its body that are still to come at least. */
	last: IncomingMessage | undefined;
	bodyBytesLeft: number;
	/** Bytes that may still be parsed once no answer can follow. */
	bytesAfterEnd: number;
	/** Node's HTTP server has asked to read no further. */
	isPaused: boolean;
	isReading: boolean;
};

export type ClosedForRoom = 'evicted' | 'refused';

export type ConnectionIntakeOptions = {
	/**
	 * Largest number of connections. A further one takes the place of one without an open request, first of those that have sent none; without
	 * such a connection it is closed.
	 */
	readonly maxConnections: number;
	/** A connection was closed for that. `evicted`: it had no open request. `refused`: it is the new one. */
	onClosed?(closed: ClosedForRoom): void;
};

export class ConnectionIntake {
	/** Takes over the reading of all connections of `server`. To be called before it listens. */
	static attach(server: Server, options: ConnectionIntakeOptions): ConnectionIntake {
		return new ConnectionIntake(server, options);
	}

	readonly #connections = new Map<Socket, Connection>();
	/** Connections that have sent no request yet, and those whose requests have ended, the latest last. */
	readonly #unused = new Set<Socket>();
	readonly #idle = new Set<Socket>();
	/** Requests that are open beyond the first of their connection. */
	#requestsAhead = 0;

	private constructor(server: Server, private readonly options: ConnectionIntakeOptions) {
		server.on('connection', socket => {
			this.#add(socket);
		});
		server.prependListener('request', (req, res) => {
			this.#addRequest(req, res);
		});
	}

	#add(socket: Socket): void {
		if (!this.#makeRoom()) {
			this.options.onClosed?.('refused');
			socket.destroy();
			return;
		}

		const connection: Connection = {
			socket, open: 0, last: undefined, bodyBytesLeft: 0, bytesAfterEnd: MAX_BYTES_AFTER_END, isPaused: false, isReading: false,
		};
		this.#connections.set(socket, connection);
		this.#unused.add(socket);
		// Node's HTTP server turns to reading by events with this listener, and parses what `read` returns.
		socket.on('readable', () => {
			this.#read(connection);
		});
		// It pauses and resumes a connection for the body of a request, and for answers that are not read.
		socket.pause = () => {
			connection.isPaused = true;
			return socket;
		};

		socket.resume = () => {
			connection.isPaused = false;
			this.#read(connection);
			return socket;
		};

		socket.once('close', () => {
			this.#remove(socket);
			this.#requestsAhead -= Math.max(0, connection.open - 1);
			connection.open = 0;
		});
	}

	/** Whether there is room for a further connection, after another one was closed if need be. */
	#makeRoom(): boolean {
		if (this.#connections.size < this.options.maxConnections) {
			return true;
		}

		const [evicted] = this.#unused.size > 0 ? this.#unused : this.#idle;
		if (!evicted) {
			return false;
		}

		this.options.onClosed?.('evicted');
		this.#remove(evicted);
		evicted.destroy();
		return true;
	}

	#remove(socket: Socket): void {
		this.#connections.delete(socket);
		this.#unused.delete(socket);
		this.#idle.delete(socket);
	}

	#addRequest(req: IncomingMessage, res: ServerResponse): void {
		const connection = this.#connections.get(req.socket);
		if (!connection) {
			return;
		}

		this.#unused.delete(req.socket);
		this.#idle.delete(req.socket);
		connection.open++;
		this.#requestsAhead += connection.open > 1 ? 1 : 0;
		connection.last = req;
		// The piece that ended the head may have held a part of the body.
		connection.bodyBytesLeft = Number(req.headers['content-length'] ?? 0) - PIECE_BYTES;
		res.once('close', () => {
			// The end of the connection has settled its requests.
			if (connection.open > 0) {
				this.#requestsAhead -= connection.open > 1 ? 1 : 0;
				connection.open--;
				if (connection.open === 0) {
					this.#idle.add(req.socket);
				}
			}

			this.#read(connection);
		});
	}

	#read(connection: Connection): void {
		const {socket} = connection;
		if (connection.isReading) {
			return;
		}

		connection.isReading = true;
		try {
			while (!connection.isPaused && !socket.destroyed) {
				if (socket.readableLength === 0) {
					// Reads on, or notices the end.
					socket.read();
					break;
				}

				const size = this.#pieceSize(connection);
				if (size === 0 && !socket.writableEnded) {
					break;
				}

				if (size === 0) {
					// No answer can follow: what the client still sends is discarded without being parsed.
					socket.removeAllListeners('data');
				}

				connection.bodyBytesLeft -= size;
				connection.bytesAfterEnd -= socket.writableEnded && connection.last?.complete !== false ? size : 0;
				socket.read(Math.min(size === 0 ? socket.readableLength : size, socket.readableLength));
			}
		} finally {
			connection.isReading = false;
		}
	}

	/** Number of bytes to parse next; 0 if the connection has to wait for its answers. */
	#pieceSize({
		socket, open, last, bodyBytesLeft, bytesAfterEnd,
	}: Connection): number {
		const isCrowded = this.#requestsAhead >= MAX_REQUESTS_AHEAD;
		const smallPiece = isCrowded ? SMALL_PIECE_BYTES : PIECE_BYTES;
		if (last?.complete === false) {
			return Math.max(smallPiece, Math.min(BODY_PIECE_BYTES, bodyBytesLeft));
		}

		if (socket.writableEnded && bytesAfterEnd <= 0) {
			return 0;
		}

		return open > 0 && (isCrowded || open >= MAX_OPEN_REQUESTS) ? 0 : smallPiece;
	}
}
