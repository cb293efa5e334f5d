/** HTTP server for clients: routing, request ids, errors, request logs and graceful shutdown. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '../util/clock.js';
import {failure, type Failure} from '../util/failure.js';
import {listen} from '../util/listen.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import {stackOf} from '../util/stack-of.js';
import {breakOff} from '../http/break-off.js';
import {ClientConnections} from '../http/client-connections.js';
import {errorBody, sendFailure, httpStatusOf} from '../http/error-response.js';
import {createRequestContext, type RequestContext, type RequestHandler} from './request-context.js';
import type {Lifecycle} from './lifecycle.js';
import {formatEndpoint, type Endpoint} from './settings.js';

const HEADERS_TIMEOUT_MS = 10_000;
/** Timeout for headers and body together; the body has a separate, shorter timeout. */
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;
const MAX_OPEN_REQUESTS = 2000;
const RETRY_AFTER_MS = 1000;

/** A handler with the method and path that it serves. */
export type Route = {
	readonly method?: 'GET' | 'POST';
	/** An exact path, or a path prefix when it ends with `/`. */
	readonly path: string;
	readonly handle: RequestHandler;
	/** Whether the route is served in every phase and exempt from the limit on open requests. */
	readonly isOperational?: boolean;
};

export type HttpServerOptions = {
	readonly routes: readonly Route[];
	readonly lifecycle: Lifecycle;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Timeout for receiving the headers of a request. */
	readonly headersTimeoutMs?: number;
};

/** Serves client requests at one address. */
export class HttpServer {
	/** Starts listening. Rejects when the address cannot be used. */
	static async listen(endpoint: Endpoint, options: HttpServerOptions): Promise<HttpServer> {
		const nodeServer = createServer({
			headersTimeout: options.headersTimeoutMs ?? HEADERS_TIMEOUT_MS,
			requestTimeout: REQUEST_TIMEOUT_MS,
			keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
			connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
		});
		const httpServer = new HttpServer(nodeServer, options);
		await listen(nodeServer, endpoint);
		return httpServer;
	}

	/** Returns the address that the server listens on, as IP:PORT. */
	readonly address: () => string;
	readonly #connections: ClientConnections;
	readonly #openRequests = new Set<RequestContext>();
	readonly #idleListeners: Array<() => void> = [];

	private constructor(private readonly server: Server, private readonly options: HttpServerOptions) {
		this.address = () => {
			const {address, port} = server.address() as AddressInfo;
			return formatEndpoint({host: address, port});
		};

		server.on('request', (req: IncomingMessage, res: ServerResponse) => {
			void this.#serve(req, res);
		});
		this.#connections = ClientConnections.create(server, {
			errorBody: message => errorBody(failure({
				code: 'invalid_request', message: `the request could not be read: ${message}`, ran: 'not_run', step: 'parse',
			})),
		});
	}

	/** Number of client requests whose response is not complete. */
	get openRequests(): number {
		return this.#openRequests.size;
	}

	/** Stops listening and closes idle connections. Open requests continue. */
	stopListening(): void {
		if (this.server.listening) {
			this.server.close();
		}

		this.server.closeIdleConnections();
	}

	/** Resolves when there are no open requests, or after `timeoutMs`. */
	async waitUntilIdle(timeoutMs: number): Promise<void> {
		if (this.#openRequests.size === 0) {
			return;
		}

		const allClosed = new AbortController();
		this.#idleListeners.push(() => {
			allClosed.abort();
		});
		await pause(timeoutMs, allClosed.signal);
	}

	/** Stops listening and closes all connections. */
	close(): void {
		this.stopListening();
		this.server.closeAllConnections();
	}

	async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, lifecycle, logger} = this.options;
		const context = createRequestContext(req, res, clock());
		const turn = await this.#connections.startRequest(req, res);
		if (turn !== 'started') {
			logger.warn('request_unanswered', {request: context.requestId, path: context.path, reason: turn});
			return;
		}

		const route = this.options.routes.find(candidate => matches(candidate, context));
		if (lifecycle.phase !== 'serving') {
			// Otherwise the client would send further requests on the kept-alive connection.
			this.#connections.closeAfter(req, res);
		}

		const failed = await this.#respond(context, route);
		if (failed && !res.headersSent && !res.destroyed) {
			res.shouldKeepAlive &&= req.complete;
			res.once('close', () => {
				// A body that was refused midway is paused; the rest of it is discarded.
				req.resume();
			});
			sendFailure(res, failed);
		}

		if (!route?.isOperational) {
			logger.info('request', {
				request: context.requestId,
				method: context.method,
				path: context.path,
				status: failed ? httpStatusOf(failed.code) : res.statusCode,
				...context.logFields,
				code: failed?.code ?? context.logFields.code,
				ran: failed?.ran,
				ms: Math.round(clock() - context.arrivedAt),
			});
		}
	}

	async #respond(context: RequestContext, route: Route | undefined): Promise<Failure | undefined> {
		if (!route) {
			const isKnownPath = this.options.routes.some(candidate => matches({...candidate, method: undefined}, context));
			return failure({
				code: isKnownPath ? 'invalid_request' : 'unknown_service', message: `no route for ${context.method} ${context.path}`, ran: 'not_run', step: 'parse',
			});
		}

		if (route.isOperational) {
			return route.handle(context);
		}

		const refusal = this.#findRefusal();
		if (refusal) {
			return refusal;
		}

		this.#openRequests.add(context);
		context.res.on('close', () => {
			this.#removeOpenRequest(context);
		});
		try {
			return await route.handle(context);
		} catch (err) {
			return this.#handleUnexpectedError(context, err);
		}
	}

	#removeOpenRequest(context: RequestContext): void {
		this.#openRequests.delete(context);
		if (this.#openRequests.size === 0) {
			for (const notify of this.#idleListeners.splice(0)) {
				notify();
			}
		}
	}

	#findRefusal(): Failure | undefined {
		if (this.options.lifecycle.phase === 'refusing') {
			return failure({
				code: 'draining', message: 'this daemon is shutting down', ran: 'not_run', step: 'admit', retryAfterMs: RETRY_AFTER_MS,
			});
		}

		return this.#openRequests.size >= MAX_OPEN_REQUESTS
			? failure({
				code: 'overloaded', message: `this daemon has ${MAX_OPEN_REQUESTS} open requests`, ran: 'not_run', step: 'admit', retryAfterMs: RETRY_AFTER_MS,
			})
			: undefined;
	}

	#handleUnexpectedError(context: RequestContext, err: unknown): Failure {
		const message = stackOf(err);
		this.options.logger.error('unexpected_error', {request: context.requestId, message});
		if (context.res.headersSent) {
			breakOff(context.res);
		}

		return failure({
			code: 'internal', message: 'unexpected error in the daemon; see its log entry for this request id', ran: 'unknown', step: 'admit',
		});
	}
}

function matches({method, path}: Route, context: RequestContext): boolean {
	const isPathMatch = path.endsWith('/') ? context.path.startsWith(path) : context.path === path;
	return isPathMatch && (method === undefined || method === context.method);
}
