/** HTTP front that forwards requests unchanged to backend servers, by the routes of the serving configuration. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {sendFailure, statusOf} from '../http/error-response.js';
import {failure, type Failure} from '../util/failure.js';
import {listen} from '../util/listen.js';
import {chooseWeighted} from '../util/weighted-choice.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {GatewayRequest} from './gateway-request.js';
import {RequestFlow, type FlowParts, type FlowResult} from './request-flow.js';
import type {RouteTable} from './route-table.js';

/** Advice to clients that reach a daemon before its configuration, or while it leaves. Another daemon serves them. */
const OTHER_DAEMON_RETRY_MS = 200;
/** Largest request head. Above the limits of the configuration, which is not known when the server is created. */
const MAX_HEADER_BYTES = 65_536;
/** Body limit until a configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/** Connections that wait to be accepted: as many as a failure domain's clients may open at once. */
const BACKLOG = 1024;

/** `serving`; `leaving`: still serves, on connections that close after the response; `refusing`: takes nothing new. */
export type GatewayPhase = 'serving' | 'leaving' | 'refusing';

export type GatewayParts = FlowParts & {
	readonly metrics: GatewayMetrics;
	readonly seed: number;
	/** The newest configuration, or undefined before the first. */
	table(): RouteTable | undefined;
};

export class Gateway {
	static async listen(address: string, parts: GatewayParts): Promise<Gateway> {
		const gateway = new Gateway(parts);
		await gateway.#listen(address);
		return gateway;
	}

	readonly #server: Server;
	readonly #random;
	#phase: GatewayPhase = 'serving';
	#open = 0;

	private constructor(private readonly parts: GatewayParts) {
		this.#random = xoroshiro128plus(parts.seed);
		this.#server = createServer({maxHeaderSize: MAX_HEADER_BYTES, noDelay: true}, (req, res) => {
			void this.#handle(req, res);
		});
	}

	/** Requests that have no complete response. */
	get openRequests(): number {
		return this.#open;
	}

	/** Whether new connections should be sent here. */
	get isReady(): boolean {
		return this.#phase === 'serving' && this.parts.table() !== undefined;
	}

	/** Applies the client limits of a new configuration. */
	applyLimits(): void {
		const limits = this.parts.table()?.configuration.limits;
		if (limits) {
			this.#server.headersTimeout = limits.headerTimeoutMs;
			this.#server.keepAliveTimeout = limits.idleTimeoutMs;
		}
	}

	leave(): void {
		this.#phase = 'leaving';
	}

	refuse(): void {
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
		await listen(this.#server, {host, port: Number(port), backlog: BACKLOG});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {parts} = this;
		const arrivedAt = parts.clock();
		this.#open++;
		res.on('close', () => {
			this.#open--;
		});
		const body = await readBody(req, parts.table()?.configuration.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES);
		if (body === 'aborted') {
			return;
		}

		if (this.#phase !== 'serving') {
			res.setHeader('connection', 'close');
		}

		const request = body === 'too_large' ? bodyTooLarge() : this.#admit(req, res, body, arrivedAt);
		if ('code' in request) {
			sendFailure(res, request, parts.wire.formatRetryAfter);
			this.#noteRefusal(req, request);
			return;
		}

		try {
			this.#noteResult(request, await RequestFlow.create(parts, request).run());
		} catch (err) {
			parts.logger.error('unexpected_error', {request: request.id, message: err instanceof Error ? (err.stack ?? err.message) : String(err)});
			res.destroy();
		}
	}

	#admit(req: IncomingMessage, res: ServerResponse, body: Uint8Array, arrivedAt: number): GatewayRequest | Failure {
		const {parts} = this;
		const table = parts.table();
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
				code: 'unknown_service', message: `no route for ${path} in configuration ${table.version}`, ran: 'not_run', step: 'admit',
			});
		}

		const facts = parts.wire.readClient(req.headers);
		const access = table.access(route, facts.apiKey);
		if (access.kind === 'denied') {
			return failure({
				code: 'invalid_api_key', message: `unknown API key in configuration ${table.version}`, ran: 'not_run', step: 'authenticate',
			});
		}

		const service = table.service(chooseWeighted(route.services, ({weight}) => weight, uniformFloat64(this.#random))?.service ?? '');
		if (!service) {
			return failure({
				code: 'no_capacity', message: `route ${route.name} names an unknown service`, ran: 'not_run', step: 'admit', retryAfterMs: OTHER_DAEMON_RETRY_MS,
			});
		}

		return {
			req,
			res,
			id: facts.attemptId ?? 'none',
			facts,
			body,
			route,
			service,
			workspace: access.kind === 'workspace' ? access.workspace : undefined,
			arrivedAt,
			deadline: arrivedAt + Math.min(route.timeoutMs, facts.deadlineMs ?? route.timeoutMs),
		};
	}

	#noteRefusal(req: IncomingMessage, failed: Failure): void {
		const {parts} = this;
		const status = statusOf(failed.code);
		parts.metrics.countRefusal(failed.code);
		parts.logger.warn('request_refused', {
			request: parts.wire.readClient(req.headers).attemptId, status, code: failed.code, reason: failed.message, config: parts.table()?.version, phase: this.#phase,
		});
	}

	#noteResult(request: GatewayRequest, result: FlowResult): void {
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
			config: parts.table()?.version,
		});
	}
}

function bodyTooLarge(): Failure {
	return failure({
		code: 'request_too_large', message: 'the body exceeds the limit of the configuration', ran: 'not_run', step: 'parse',
	});
}

/** Reads a whole body. `aborted` when the client left before its end. */
async function readBody(req: IncomingMessage, maxBytes: number): Promise<Uint8Array | 'aborted' | 'too_large'> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size <= maxBytes) {
				chunks.push(chunk);
			}
		});
		req.on('end', () => {
			resolve(size > maxBytes ? 'too_large' : Buffer.concat(chunks));
		});
		// A client that leaves closes the request without its end; there is nobody to answer.
		req.on('error', () => {
			resolve('aborted');
		});
		req.on('close', () => {
			resolve('aborted');
		});
	});
}
