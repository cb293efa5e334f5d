/** HTTP server shared by the stand-ins: routing, JSON bodies, control routes and connection resets. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {z} from 'zod';
import {listen} from '../../src/util/listen.js';

const KEEP_ALIVE_TIMEOUT_MS = 120_000;

/** One request with its response. `groups` are the named groups of the route's pattern, decoded. */
export type Exchange = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly url: URL;
	readonly groups: Readonly<Record<string, string>>;
};

/** A route. The first one whose method (`*` for any) and pattern match handles the request. */
export type Route = {
	readonly method: string;
	readonly pattern: RegExp;
	readonly handle: (exchange: Exchange) => void | Promise<void>;
};

/** Reads a whole request body. */
export async function readBytes(req: IncomingMessage): Promise<Buffer> {
	const chunks: Buffer[] = [];
	for await (const chunk of req) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
}

/** Reads and validates a JSON body; throws a SyntaxError or ZodError, to which the server responds with 400. */
export async function readJson<T>(req: IncomingMessage, schema: z.ZodType<T>): Promise<T> {
	const bytes = await readBytes(req);
	return schema.parse(JSON.parse(bytes.toString('utf8')));
}

/** Sends a JSON response; does nothing when the connection is closed or headers were already sent. */
export function sendJson(res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
	if (!res.destroyed && !res.headersSent) {
		res.writeHead(status, {'content-type': 'application/json', ...headers}).end(JSON.stringify(body));
	}
}

/** Closes the connection of a request without sending a response. */
export const closeConnection = (res: ServerResponse): void => {
	res.req.socket.destroy();
};

/** Resolves after `ms` milliseconds, immediately for 0. */
export async function delay(ms: number): Promise<void> {
	if (ms > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, ms);
		});
	}
}

/** The control routes of every stand-in: `GET /faults`, `PUT /faults` (replaces all faults) and `GET /counts`. */
export function controlRoutes<T>(control: {
	readonly schema: z.ZodType<T>;
	readonly faults: () => T;
	readonly setFaults: (faults: T, exchange: Exchange) => void;
	readonly counts: () => unknown;
}): readonly Route[] {
	return [
		{
			method: 'GET', pattern: /^\/faults$/v, handle({res}) {
				sendJson(res, 200, control.faults());
			},
		},
		{
			method: 'PUT', pattern: /^\/faults$/v, async handle(exchange) {
				control.setFaults(await readJson(exchange.req, control.schema), exchange);
				sendJson(exchange.res, 200, control.faults());
			},
		},
		{
			method: 'GET', pattern: /^\/counts$/v, handle({res}) {
				sendJson(res, 200, control.counts());
			},
		},
	];
}

const isInvalidInput = (err: unknown): boolean => err instanceof SyntaxError || err instanceof z.ZodError;

/** HTTP server on 127.0.0.1 with a fixed list of routes. */
export class StandInServer {
	/** Listens on `port` (0: chosen by the operating system). Rejects when the port is in use. */
	static async create(port: number, routes: readonly Route[]): Promise<StandInServer> {
		const standIn = new StandInServer(routes);
		await listen(standIn.#server, {port, host: '127.0.0.1'});
		return standIn;
	}

	readonly #server: Server;
	readonly #routes: readonly Route[];
	readonly #sockets = new Set<Socket>();

	private constructor(routes: readonly Route[]) {
		this.#routes = routes;
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
		// Longer than any client keeps an idle connection, so that the server never closes one while a client reuses it.
		this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
		});
	}

	/** Address as IP:PORT. */
	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Resets all open connections except `except`, as the termination of the process would. */
	resetConnections(except?: Socket): void {
		for (const socket of this.#sockets) {
			if (socket !== except) {
				socket.resetAndDestroy();
			}
		}
	}

	async close(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://127.0.0.1');
		try {
			await this.#route(req, res, url);
		} catch (err) {
			if (!res.destroyed && !req.destroyed) {
				sendJson(res, isInvalidInput(err) ? 400 : 500, {error: String(err)});
			}
		}
	}

	async #route(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		for (const route of this.#routes) {
			const match = route.method === '*' || route.method === req.method ? route.pattern.exec(url.pathname) : null;
			if (match) {
				const groups = Object.fromEntries(Object.entries(match.groups ?? {}).map(([key, value]) => [key, decodeURIComponent(value)]));
				await route.handle({
					req, res, url, groups,
				});
				return;
			}
		}

		sendJson(res, 404, {error: `no route for ${req.method} ${url.pathname}`});
	}
}
