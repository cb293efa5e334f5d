/** The connections of clients, each of which is closed only when its responses have been sent. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';

type ClientConnection = {
	readonly socket: Socket;
	/** Requests whose response is not complete. */
	open: number;
	/** Bytes received by the end of the last response. */
	bytesAtLastResponse: number | undefined;
};

export class ClientConnections {
	static create(server: Server): ClientConnections {
		return new ClientConnections(server);
	}

	readonly #connections = new Map<Socket, ClientConnection>();

	private constructor(private readonly server: Server) {
		server.on('connection', socket => {
			this.#add(socket);
		});
	}

	/** To be called once for each request. */
	startRequest(req: IncomingMessage, res: ServerResponse): void {
		const connection = this.#connections.get(req.socket);
		if (connection) {
			connection.open++;
			res.once('close', () => {
				connection.open--;
				connection.bytesAtLastResponse = req.socket.bytesRead;
			});
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

	#add(socket: Socket): void {
		const connection: ClientConnection = {
			socket, open: 0, bytesAtLastResponse: undefined,
		};
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
	}
}
