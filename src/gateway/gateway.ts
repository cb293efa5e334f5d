/** HTTP server that forwards requests unchanged to backend servers, according to the routes of the serving configuration. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {BODY_TIMEOUT_MS, BodyReader} from '../http/body-reader.js';
import {breakOff} from '../http/break-off.js';
import {MAX_HEADER_BYTES} from '../http/connection-headers.js';
import {sendFailure, httpStatusOf} from '../http/error-response.js';
import {RequestIdentity} from '../quarantine/request-identity.js';
import {readRelayedConfiguration} from '../relaying/relayed-response.js';
import {failure, type Failure} from '../util/failure.js';
import {listen} from '../util/listen.js';
import {processorMs} from '../util/clock.js';
import {stackOf} from '../util/stack-of.js';
import {timerDelay} from '../util/timer-delay.js';
import {TurnMonitor} from '../util/turn-monitor.js';
import {ClientConnections} from '../http/client-connections.js';
import type {ClosedForRoom} from '../http/connection-intake.js';
import type {ExplainError, ExplainQuery, Explanation} from './explanation.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {GatewayRequest} from './gateway-request.js';
import {describeOpenRequest, requestId, type OpenRequest} from './open-request.js';
import type {FlowParts} from './flow-parts.js';
import type {EarlierHandling, FlowResult} from './flow-result.js';
import {
	admitToRoute, findRoute, noConfigurationFailure, outdatedFailure,
} from './request-admission.js';
import {explainQuery} from './request-explanation.js';
import {RequestFlow} from './request-flow.js';
import {OTHER_DAEMON_RETRY_MS} from './retry-advice.js';
import {RouteDurations} from './route-durations.js';
import type {RouteTable} from './route-table.js';
import type {Route} from './serving-configuration.js';
import {isTakenDuringStop, type StopPlan} from './stop-policy.js';
import type {ClientMetadata} from './wire-format.js';

/**
 * Largest number of requests of other hosts that are relayed at the same time, several times what a host has open under full load.
 * Their bodies count towards the limit of this daemon's own.
 */
const MAX_RELAYED_REQUESTS = 200;
/** Limit of request bodies until a configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/** Length of the accept queue: the number of connections that the clients of a failure domain may open at once. */
const ACCEPT_BACKLOG = 1024;

/**
 * Interval in ms at which requests are checked that their owner has left open. One ends at the second check past its deadline, since
 * after a pause of the process the first one may come before the owner's own timer.
 */
const OWNER_CHECK_MS = 100;
/** Time in ms after the deadline in which the owner may still answer. */
const OWNER_MARGIN_MS = 100;

/** Time in ms without a connection closed for want of room after which the next one is logged. */
const CLOSED_CONNECTION_LOG_MS = 10_000;

/** The nearest time that Node's HTTP server accepts: 0 would turn its timeout off. */
const toTimerMs = (ms: number): number => timerDelay(Math.max(1, Math.ceil(ms)));

/** `stopping`: serves what fits into the time left, and closes each connection after the response; `stopped`: rejects new requests. */
type GatewayPhase =
	| {readonly kind: 'serving'}
	| {readonly kind: 'stopping'; readonly plan: StopPlan}
	| {readonly kind: 'stopped'};

export type GatewayParts = FlowParts & {
	readonly metrics: GatewayMetrics;
	/** Limit in bytes on all request bodies that are held at the same time. */
	readonly maxBufferedBodyBytes: number;
	/** Largest number of connections of clients. */
	readonly maxConnections: number;
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
	readonly #connections: ClientConnections;
	readonly #bodies: BodyReader;
	readonly #ownerTimer: NodeJS.Timeout;
	readonly #turns: TurnMonitor;
	readonly #openRequests = new Set<OpenRequest>();
	readonly #durations = RouteDurations.create();
	#phase: GatewayPhase = {kind: 'serving'};
	/** Time at which a connection was last closed for want of room. */
	#connectionClosedAt = -Infinity;

	private constructor(private readonly parts: GatewayParts) {
		this.#bodies = BodyReader.create({
			maxBodyBytes: () => parts.routeTable()?.configuration.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
			maxBufferedBytes: parts.maxBufferedBodyBytes,
		});
		this.#server = createServer({maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, requireHostHeader: false}, (req, res) => {
			void this.#own(req, res, false);
		});
		this.#connections = ClientConnections.create(this.#server, {
			maxConnections: parts.maxConnections,
			onClosed: closed => {
				this.#recordClosedConnection(closed);
			},
		});
		parts.readPace.watch(this.#server);
		this.#turns = TurnMonitor.create(OWNER_CHECK_MS, {at: parts.clock(), cpuMs: processorMs()});
		this.#ownerTimer = setInterval(() => {
			const now = parts.clock();
			this.#recordTurn(now);
			this.#endOverdue(now);
		}, OWNER_CHECK_MS);
	}

	/** Number of requests without a complete response. */
	get openRequests(): number {
		return this.#openRequests.size;
	}

	/** Whether a response may still be lost if all connections are closed now. */
	get isSending(): boolean {
		return this.openRequests > 0 || this.#connections.isDiscarding;
	}

	/** Whether the balancer should send new connections to this daemon. */
	get isReady(): boolean {
		return this.#phase.kind === 'serving' && this.parts.routeTable() !== undefined;
	}

	/** Applies the client limits of a new configuration, and handles the requests that wait for a place by it. */
	applyConfiguration(): void {
		const configuration = this.parts.routeTable()?.configuration;
		this.parts.dispatcher.supersede();
		if (configuration) {
			this.#server.headersTimeout = toTimerMs(configuration.limits.headerTimeoutMs);
			this.#server.keepAliveTimeout = toTimerMs(configuration.limits.idleTimeoutMs);
			this.#durations.keepOnly(new Set(configuration.routes.map(({name}) => name)));
		}
	}

	/** Handles a request that a host without a path to the backend servers sends on, on a connection of its own. */
	handleRelayed(req: IncomingMessage, res: ServerResponse): void {
		void this.#own(req, res, true);
	}

	/** Explains where a request would go now, without sending it. */
	explain(query: ExplainQuery): Explanation | ExplainError {
		const {parts} = this;
		return explainQuery({
			...parts, limitDeadline: (route, deadline) => this.#limitDeadline(route, deadline) ?? this.#stoppingFailure(),
		}, query, parts.clock());
	}

	startStopping(plan: StopPlan): void {
		this.#phase = {kind: 'stopping', plan};
	}

	async closeIdleConnections(): Promise<void> {
		await this.#connections.closeIdle();
	}

	/** Takes no further request, and gives each open one its final response. They remain open until it has been sent. */
	async endRequests(): Promise<void> {
		this.#phase = {kind: 'stopped'};
		this.#connections.stopListening();
		await this.#connections.closeIdle();
		for (const open of this.#openRequests) {
			try {
				this.#endByStop(open);
			} catch (err) {
				this.#failUnexpectedly(open, err);
			}
		}
	}

	/** Closes all connections at once. */
	close(): void {
		for (const open of this.#openRequests) {
			this.#logUnanswered(open, 'process_exits');
		}

		clearInterval(this.#ownerTimer);
		this.#connections.close();
	}

	async #listen(address: string): Promise<void> {
		const [host, port] = address.split(':');
		await listen(this.#server, {host, port: Number(port), backlog: ACCEPT_BACKLOG});
	}

	/** Handles a request and owns its response: whatever throws, the request gets one. */
	async #own(req: IncomingMessage, res: ServerResponse, isRelayed: boolean): Promise<void> {
		const arrivedAt = this.parts.clock();
		const open: OpenRequest = {
			req,
			res,
			arrivedAt,
			isRelayed,
			metadata: undefined,
			deadline: arrivedAt + BODY_TIMEOUT_MS,
			isOverdue: false,
			state: {kind: 'reading', cancel() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
		};
		try {
			await this.#handle(open);
		} catch (err) {
			this.#failUnexpectedly(open, err);
		}
	}

	async #handle(open: OpenRequest): Promise<void> {
		const {req, res} = open;
		open.metadata = this.parts.wire.readClientMetadata(req.headers);
		// Another host opens a connection for each request.
		const turn = open.isRelayed ? 'started' : await this.#connections.startRequest(req, res);
		if (turn !== 'started') {
			this.#logUnanswered(open, turn);
			return;
		}

		this.#openRequests.add(open);
		res.on('close', () => {
			this.#openRequests.delete(open);
		});
		const body = await this.#bodies.read(req, cancel => {
			open.state = {kind: 'reading', cancel};
		});
		if (body.kind === 'failure') {
			if (body.code === 'caller_left') {
				this.#logUnanswered(open, 'client_left');
			} else {
				// The rest of the body is not read, so the connection cannot be used again.
				this.#connections.closeAfter(req, res);
				this.#refuse(open, body);
			}

			return;
		}

		res.on('close', () => {
			body.release();
		});
		if (this.#phase.kind !== 'serving') {
			this.#connections.closeAfter(req, res);
		}

		await this.#run(open, open.metadata, body.bytes);
	}

	/** Handles a request by the configuration in force, again for each one that comes into force while it waits for a place. */
	async #run(open: OpenRequest, metadata: ClientMetadata, body: Uint8Array): Promise<void> {
		let earlier: EarlierHandling | undefined;
		for (;;) {
			const request = this.#admit(open, metadata, body);
			if ('code' in request) {
				this.#refuse(open, request);
				return;
			}

			const flow = RequestFlow.create(this.parts, request, earlier);
			open.state = {kind: 'running', flow};
			open.deadline = request.deadline;
			const result = await flow.run();
			if (result.outcome !== 'superseded') {
				this.#recordResult(request, result);
				if (result.stoppedBy === 'shutdown') {
					this.#recordEndByStop({...describeOpenRequest(open, this.parts.clock()), phase: 'running'});
				}

				return;
			}

			earlier = flow.handling;
		}
	}

	#endByStop(open: OpenRequest): void {
		const now = this.parts.clock();
		const description = describeOpenRequest(open, now);
		if (description.phase === 'answered' || open.res.destroyed) {
			return;
		}

		switch (open.state.kind) {
			case 'reading': {
				open.state.cancel(this.#stoppingFailure());
				this.#recordEndByStop(description);
				break;
			}

			case 'running': {
				open.state.flow.stop({kind: 'shutdown'}, now);
				break;
			}
		}
	}

	#recordEndByStop(description: ReturnType<typeof describeOpenRequest>): void {
		const {logger, metrics} = this.parts;
		logger.warn('request_ended_by_stop', description);
		metrics.countEndedByStop(description.phase, description.sent);
	}

	/** Logs the first connection that is closed for want of room after a while without one. */
	#recordClosedConnection(closed: ClosedForRoom): void {
		const {clock, logger, metrics, maxConnections} = this.parts;
		const now = clock();
		metrics.countClosedConnection(closed);
		if (now - this.#connectionClosedAt > CLOSED_CONNECTION_LOG_MS) {
			logger.warn('connection_closed', {closed, max_connections: maxConnections});
		}

		this.#connectionClosedAt = now;
	}

	#recordTurn(now: number): void {
		const {logger, metrics} = this.parts;
		const {delayMs, cpuMs, isLong} = this.#turns.record({at: now, cpuMs: processorMs()});
		metrics.observeEventLoopDelay(delayMs);
		if (isLong) {
			logger.warn('event_loop_blocked', {ms: Math.round(delayMs), cpu_ms: Math.round(cpuMs), open_requests: this.openRequests});
		}
	}

	/** Ends requests whose owner has left them without a response at their deadline. */
	#endOverdue(now: number): void {
		for (const open of this.#openRequests) {
			const {res, isOverdue} = open;
			open.isOverdue = now > open.deadline + OWNER_MARGIN_MS && !res.writableEnded && !res.destroyed;
			if (isOverdue && open.isOverdue) {
				this.#endWithoutOwner(open, now);
			}
		}
	}

	#endWithoutOwner(open: OpenRequest, now: number): void {
		const {logger, metrics} = this.parts;
		const {res, state} = open;
		const description = describeOpenRequest(open, now);
		logger.error('request_without_owner', description);
		metrics.countWithoutOwner(description.phase);
		if (state.kind === 'running') {
			try {
				state.flow.stop({kind: 'overdue'}, now);
			} catch (err) {
				logger.error('unexpected_error', {request: description.request, message: stackOf(err)});
			}
		}

		this.#answer(res, failure({
			code: 'deadline_exceeded', message: 'the deadline of the request has passed', ran: description.sent ? 'unknown' : 'not_run', step: state.kind === 'running' ? 'send' : 'parse',
		}));
	}

	/** Answers a request whose handling has thrown, before anything else that might throw again. */
	#failUnexpectedly(open: OpenRequest, err: unknown): void {
		const {clock, logger} = this.parts;
		const description = describeOpenRequest(open, clock());
		const result = this.#answer(open.res, failure({
			code: 'internal', message: 'an unexpected error ended the request', ran: description.sent ? 'unknown' : 'not_run', step: 'admit',
		}));
		logger.error('unexpected_error', {...description, result, message: stackOf(err)});
	}

	/** Sends a response unless there is one, and breaks the connection off if that is no longer possible. */
	#answer(res: ServerResponse, failed: Failure): 'answered' | 'answered_before' | 'broken_off' {
		if (res.writableEnded || res.destroyed) {
			return 'answered_before';
		}

		if (!res.headersSent) {
			try {
				res.setHeader('connection', 'close');
				sendFailure(res, failed, this.parts.wire.formatRetryAfter);
				return 'answered';
			} catch (err) {
				this.parts.logger.error('unexpected_error', {message: stackOf(err)});
			}
		}

		breakOff(res);
		return 'broken_off';
	}

	#admit(open: OpenRequest, metadata: ClientMetadata, body: Uint8Array): GatewayRequest | Failure {
		const {parts} = this;
		const {
			req, res, arrivedAt, isRelayed,
		} = open;
		if (isRelayed && [...this.#openRequests].filter(other => other.isRelayed).length > MAX_RELAYED_REQUESTS) {
			return failure({
				code: 'overloaded', message: `this daemon relays ${MAX_RELAYED_REQUESTS} requests of other hosts already`, ran: 'not_run', step: 'admit', retryAfterMs: OTHER_DAEMON_RETRY_MS,
			});
		}

		// Node.js would answer it at once, ahead of its turn, and read on.
		if (req.headers.host === undefined) {
			this.#connections.closeAfter(req, res);
			return failure({
				code: 'invalid_request', message: 'the request has no Host', ran: 'not_run', step: 'parse',
			});
		}

		const table = parts.routeTable();
		if (!table) {
			return noConfigurationFailure();
		}

		const required = isRelayed ? readRelayedConfiguration(req.headers) : undefined;
		if (required !== undefined && table.version < required) {
			return outdatedFailure(table.version, required);
		}

		const [path = ''] = req.url!.split('?');
		const route = findRoute(table, req.headers.host, path);
		if ('code' in route) {
			return this.#unlessOutdated(route, table);
		}

		const admitted = admitToRoute(table, route, table.checkAccess(route, metadata.apiKey), () => parts.random());
		if ('code' in admitted) {
			return this.#unlessOutdated(admitted, table);
		}

		const ownDeadline = arrivedAt + Math.min(route.timeoutMs, metadata.deadlineMs ?? route.timeoutMs);
		const deadline = this.#limitDeadline(route, ownDeadline);
		if (deadline === undefined) {
			return this.#stoppingFailure();
		}

		return {
			...admitted,
			req,
			res,
			id: metadata.attemptId ?? 'none',
			metadata,
			identity: RequestIdentity.create({
				host: req.headers.host, method: req.method!, path: req.url!, workspace: admitted.workspace?.name, body,
			}),
			body,
			isRelayed,
			configuration: table.version,
			arrivedAt,
			deadline,
			isShortened: deadline < ownDeadline,
			closeConnection: () => {
				this.#connections.closeAfter(req, res);
			},
		};
	}

	/** Why a request is refused. A newer configuration, which another host has, may allow what that in force here does not. */
	#unlessOutdated(refused: Failure, {version}: RouteTable): Failure {
		const newest = this.parts.relay.requiredConfiguration(version);
		return newest > version ? outdatedFailure(version, newest) : refused;
	}

	/** Limits the deadline of a request to the time that this daemon has left; undefined if the request is not taken. */
	#limitDeadline(route: Route, deadline: number): number | undefined {
		const phase = this.#phase;
		switch (phase.kind) {
			case 'serving': {
				return deadline;
			}

			case 'stopping': {
				const now = this.parts.clock();
				const isTaken = isTakenDuringStop({
					kind: route.kind, timeoutMs: deadline - now, targetLatencyMs: route.targetLatencyMs, usualMs: this.#durations.longestMs(route.name),
				}, phase.plan, now);
				return isTaken ? Math.min(deadline, phase.plan.answersAt) : undefined;
			}

			case 'stopped': {
				return undefined;
			}
		}
	}

	#stoppingFailure(): Failure {
		return failure({
			code: 'draining', message: 'this daemon is shutting down', ran: 'not_run', step: 'admit', retryAfterMs: OTHER_DAEMON_RETRY_MS,
		});
	}

	#refuse(open: OpenRequest, failed: Failure): void {
		const {parts} = this;
		sendFailure(open.res, failed, parts.wire.formatRetryAfter);
		parts.metrics.countRefusal(failed.code);
		parts.logger.warn('request_refused', {
			request: requestId(open), status: httpStatusOf(failed.code), code: failed.code, reason: failed.message, config: parts.routeTable()?.version, phase: this.#phase.kind,
		});
	}

	#logUnanswered(open: OpenRequest, reason: 'client_left' | 'connection_closed' | 'close_announced' | 'process_exits'): void {
		const {clock, logger} = this.parts;
		logger.warn('request_unanswered', {...describeOpenRequest(open, clock()), reason});
	}

	#recordResult(request: GatewayRequest, result: FlowResult): void {
		const {parts} = this;
		const ms = parts.clock() - request.arrivedAt;
		parts.metrics.observe(request.service.name, result.outcome, ms);
		if (request.isRelayed || result.hosts !== undefined) {
			parts.metrics.countRelayed(request.isRelayed ? 'for_host' : 'to_host');
		}

		if (result.sends > 0 && result.outcome !== 'left') {
			this.#durations.record(request.route.name, ms);
		}

		parts.logger.info('request_done', {
			request: request.id,
			route: request.route.name,
			relayed: request.isRelayed || undefined,
			outcome: result.outcome,
			status: result.status,
			ms: Math.round(ms),
			sends: result.sends,
			hosts: result.hosts,
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
