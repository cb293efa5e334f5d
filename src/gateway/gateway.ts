/** HTTP server that forwards requests unchanged to backend servers, according to the routes of the serving configuration. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {BodyReader} from '../http/body-reader.js';
import {sendFailure, httpStatusOf} from '../http/error-response.js';
import {RequestIdentity} from '../quarantine/request-identity.js';
import {failure, type Failure} from '../util/failure.js';
import {listen} from '../util/listen.js';
import {chooseWeighted} from '../util/weighted-choice.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {GatewayRequest} from './gateway-request.js';
import {RequestFlow, type FlowParts, type FlowResult} from './request-flow.js';
import type {RouteTable} from './route-table.js';

/** Retry advice while a daemon has no configuration yet or is draining. Another daemon can serve the request. */
const OTHER_DAEMON_RETRY_MS = 200;
/** Largest request head. Exceeds the limits of the configuration, which is unknown when the server is created. */
const MAX_HEADER_BYTES = 65_536;
/** Limit of request bodies until a configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/** Length of the accept queue: the number of connections that the clients of a failure domain may open at once. */
const ACCEPT_BACKLOG = 1024;

/** `serving`; `leaving`: serves, but closes each connection after the response; `refusing`: rejects new requests. */
export type GatewayPhase = 'serving' | 'leaving' | 'refusing';

export type GatewayParts = FlowParts & {
	readonly metrics: GatewayMetrics;
	/** Limit in bytes on all request bodies that are held at the same time. */
	readonly maxBufferedBodyBytes: number;
	/** The current configuration; undefined before the first one. */
	routeTable(): RouteTable | undefined;
};

export class Gateway {
	static async listen(address: string, parts: GatewayParts): Promise<Gateway> {
		const gateway = new Gateway(parts);
		await gateway.#listen(address);
		return gateway;
	}

	readonly #server: Server;
	readonly #bodies: BodyReader;
	#phase: GatewayPhase = 'serving';
	#openRequests = 0;

	private constructor(private readonly parts: GatewayParts) {
		this.#bodies = BodyReader.create({
			maxBodyBytes: () => parts.routeTable()?.configuration.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
			maxBufferedBytes: parts.maxBufferedBodyBytes,
		});
		this.#server = createServer({maxHeaderSize: MAX_HEADER_BYTES, noDelay: true}, (req, res) => {
			void this.#handle(req, res);
		});
	}

	/** Number of requests without a complete response. */
	get openRequests(): number {
		return this.#openRequests;
	}

	/** Whether the balancer should send new connections to this daemon. */
	get isReady(): boolean {
		return this.#phase === 'serving' && this.parts.routeTable() !== undefined;
	}

	/** Applies the client limits of a new configuration. */
	applyLimits(): void {
		const limits = this.parts.routeTable()?.configuration.limits;
		if (limits) {
			this.#server.headersTimeout = limits.headerTimeoutMs;
			this.#server.keepAliveTimeout = limits.idleTimeoutMs;
		}
	}

	startDraining(): void {
		this.#phase = 'leaving';
	}

	stopAccepting(): void {
		this.#phase = 'refusing';
	}

	closeIdleConnections(): void {
		this.#server.closeIdleConnections();
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #listen(address: string): Promise<void> {
		const [host, port] = address.split(':');
		await listen(this.#server, {host, port: Number(port), backlog: ACCEPT_BACKLOG});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {parts} = this;
		const arrivedAt = parts.clock();
		this.#openRequests++;
		res.on('close', () => {
			this.#openRequests--;
		});
		const body = await this.#bodies.read(req);
		if (body.kind === 'failure') {
			if (body.code !== 'caller_left') {
				// The rest of the body is not read, so the connection cannot be used again.
				res.setHeader('connection', 'close');
				this.#refuse(req, res, body);
			}

			return;
		}

		res.on('close', () => {
			body.release();
		});
		if (this.#phase !== 'serving') {
			res.setHeader('connection', 'close');
		}

		const request = this.#admit(req, res, body.bytes, arrivedAt);
		if ('code' in request) {
			this.#refuse(req, res, request);
			return;
		}

		try {
			this.#recordResult(request, await RequestFlow.create(parts, request).run());
		} catch (err) {
			parts.logger.error('unexpected_error', {request: request.id, message: err instanceof Error ? (err.stack ?? err.message) : String(err)});
			res.destroy();
		}
	}

	#admit(req: IncomingMessage, res: ServerResponse, body: Uint8Array, arrivedAt: number): GatewayRequest | Failure {
		const {parts} = this;
		const table = parts.routeTable();
		if (!table || this.#phase === 'refusing') {
			return failure({
				code: table ? 'draining' : 'not_ready',
				message: table ? 'this daemon is shutting down' : 'this daemon has no configuration yet',
				ran: 'not_run',
				step: 'admit',
				retryAfterMs: OTHER_DAEMON_RETRY_MS,
			});
		}

		const [path = ''] = req.url!.split('?');
		const route = table.match(req.headers.host ?? '', path);
		if (!route) {
			return failure({
				code: 'unknown_service', message: `no route matches ${path} in configuration version ${table.version}`, ran: 'not_run', step: 'admit',
			});
		}

		const metadata = parts.wire.readClientMetadata(req.headers);
		const access = table.checkAccess(route, metadata.apiKey);
		if (access.kind === 'denied') {
			return failure({
				code: 'invalid_api_key', message: `unknown API key in configuration version ${table.version}`, ran: 'not_run', step: 'authenticate',
			});
		}

		const service = table.service(chooseWeighted(route.services, ({weight}) => weight, parts.random())?.service ?? '');
		if (!service) {
			return failure({
				code: 'no_capacity', message: `route ${route.name} refers to an unknown service`, ran: 'not_run', step: 'admit', retryAfterMs: OTHER_DAEMON_RETRY_MS,
			});
		}

		const workspace = access.kind === 'workspace' ? access.workspace : undefined;
		return {
			req,
			res,
			id: metadata.attemptId ?? 'none',
			metadata,
			identity: RequestIdentity.create({
				route: route.name, method: req.method!, path: req.url!, workspace: workspace?.name, body,
			}),
			body,
			route,
			service,
			workspace,
			arrivedAt,
			deadline: arrivedAt + Math.min(route.timeoutMs, metadata.deadlineMs ?? route.timeoutMs),
		};
	}

	#refuse(req: IncomingMessage, res: ServerResponse, failed: Failure): void {
		const {parts} = this;
		sendFailure(res, failed, parts.wire.formatRetryAfter);
		const status = httpStatusOf(failed.code);
		parts.metrics.countRefusal(failed.code);
		parts.logger.warn('request_refused', {
			request: parts.wire.readClientMetadata(req.headers).attemptId, status, code: failed.code, reason: failed.message, config: parts.routeTable()?.version, phase: this.#phase,
		});
	}

	#recordResult(request: GatewayRequest, result: FlowResult): void {
		const {parts} = this;
		const ms = parts.clock() - request.arrivedAt;
		parts.metrics.observe(request.service.name, result.outcome, ms);
		parts.logger.info('request_done', {
			request: request.id,
			route: request.route.name,
			outcome: result.outcome,
			status: result.status,
			ms: Math.round(ms),
			sends: result.sends,
			first_event_ms: result.firstEventMs === undefined ? undefined : Math.round(result.firstEventMs),
			longest_gap_ms: result.firstEventMs === undefined ? undefined : Math.round(result.longestGapMs ?? 0),
			target_ms: request.route.targetLatencyMs,
			ran: result.failure?.ran,
			code: result.failure?.code,
			reason: result.failure?.message,
			config: parts.routeTable()?.version,
		});
	}
}
