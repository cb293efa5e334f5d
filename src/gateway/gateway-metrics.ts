/** Counters and latency histograms of a gateway, served in the Prometheus exposition format. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {ConnectionIntake, type ClosedForRoom} from '../http/connection-intake.js';
import type {ReturnAdvice} from '../scheduling/return-order.js';
import type {RetryDecision} from '../scheduling/service-retries.js';
import type {StoreCallResult, StoreOperation} from '../store/counted-store.js';
import type {WaitEnd} from './dispatcher.js';
import {EXPLAIN_PATH} from './explanation.js';
import type {FlowResult} from './flow-result.js';

/** Upper bounds in ms; the latency targets of both users lie between 193 ms and 15 s. */
const LATENCY_BUCKETS_MS = [25, 50, 100, 200, 300, 400, 600, 1000, 1500, 2500, 4000, 6000, 10_000, 15_000];
/** Requests wait at most some seconds, most of them some hundred ms. */
const WAIT_BUCKETS_MS = [10, 30, 100, 200, 300, 500, 800, 1200, 2000, 4000];
const DELAY_BUCKETS_MS = [5, 20, 50, 100, 250, 500, 1000, 3000];

/** Largest number of connections of a port for operators or the balancer, which need a few. */
export const MAX_OPERATOR_CONNECTIONS = 32;

/** A JSON response. */
export type JsonPage = {readonly status: number; readonly body: unknown};

/** Values that are read whenever the metrics are. */
export type GatewayMetricSources = {
	/** Number of servers in each phase of their pace; undefined if servers are not paced. */
	readonly pacedServers?: (() => Readonly<Record<string, number>>) | undefined;
	/** Number of log lines dropped so far. */
	droppedLines(): number;
	/** Number of quarantined prompt parts. */
	quarantinedParts(): number;
	/** Number of servers that name a limit. */
	limitedServers(): number;
	/** Whether this host has no path to the backend servers. */
	isServerPathLost(): boolean;
	/** Number of requests that wait for a place. */
	waitingRequests(): number;
};

export class GatewayMetrics {
	static create(sources: GatewayMetricSources): GatewayMetrics {
		return new GatewayMetrics(sources);
	}

	readonly #registry = new Registry();
	readonly #requests = new Counter({
		name: 'fireflyport_requests_total', help: 'Requests by service and outcome', labelNames: ['service', 'outcome'], registers: [this.#registry],
	});

	readonly #refusals = new Counter({
		name: 'fireflyport_refusals_total', help: 'Requests refused before a server was chosen, by code', labelNames: ['code'], registers: [this.#registry],
	});

	readonly #endedByStop = new Counter({
		name: 'fireflyport_requests_ended_by_stop_total', help: 'Requests without a response at the end of a planned stop', labelNames: ['phase', 'sent'], registers: [this.#registry],
	});

	readonly #withoutOwner = new Counter({
		name: 'fireflyport_requests_without_owner_total', help: 'Requests that were ended past their deadline without an answer of their owner', labelNames: ['phase'], registers: [this.#registry],
	});

	readonly #relayed = new Counter({
		name: 'fireflyport_relayed_requests_total', help: 'Requests sent on to another host, or by one, for want of a path to the servers', labelNames: ['direction'], registers: [this.#registry],
	});

	readonly #retries = new Counter({
		name: 'fireflyport_retries_total', help: 'Decisions about further attempts of requests, by service', labelNames: ['service', 'decision'], registers: [this.#registry],
	});

	readonly #storeCalls = new Counter({
		name: 'fireflyport_store_calls_total', help: 'Calls of this daemon to the store', labelNames: ['kind', 'operation', 'result'], registers: [this.#registry],
	});

	readonly #closedConnections = new Counter({
		name: 'fireflyport_connections_closed_total', help: 'Connections of clients that were closed for want of room', labelNames: ['closed'], registers: [this.#registry],
	});

	readonly #latency = new Histogram({
		name: 'fireflyport_request_ms', help: 'Time from the arrival of a request to its end in ms', labelNames: ['service'], buckets: LATENCY_BUCKETS_MS, registers: [this.#registry],
	});

	readonly #eventLoopDelay = new Histogram({
		name: 'fireflyport_event_loop_delay_ms', help: 'Delay of a timer of 100 ms in ms, for which everything else has waited too', buckets: DELAY_BUCKETS_MS, registers: [this.#registry],
	});

	readonly #waits = new Histogram({
		name: 'fireflyport_wait_ms', help: 'Time in ms for which a request waited for a place, by how its wait ended', labelNames: ['end'], buckets: WAIT_BUCKETS_MS, registers: [this.#registry],
	});

	readonly #waitEnds = new Counter({
		name: 'fireflyport_wait_ends_total',
		help: 'Ends of waits for a place by kind; full_requests and full_bytes did not begin, since the queue was full',
		labelNames: ['end'],
		registers: [this.#registry],
	});

	readonly #inversions = new Counter({
		name: 'fireflyport_rank_inversions_total', help: 'Requests that this daemon placed while a more urgent one waited that could have used the place', registers: [this.#registry],
	});

	readonly #returnAdvice = new Counter({
		name: 'fireflyport_return_advice_total', help: 'Clients that were rejected for want of room, by what their time to come back follows from', labelNames: ['kind'], registers: [this.#registry],
	});

	readonly #shareYields = new Counter({
		name: 'fireflyport_share_yields_total',
		help: 'Requests that left scarce room to other workspaces, as theirs had had more than its share of the service',
		labelNames: ['service'],
		registers: [this.#registry],
	});

	#server: Server | undefined;

	private constructor({
		droppedLines, quarantinedParts, limitedServers, isServerPathLost, waitingRequests, pacedServers,
	}: GatewayMetricSources) {
		this.#addGauge('fireflyport_waiting_requests', 'Requests that wait for a place', waitingRequests);
		this.#addGauge('fireflyport_log_lines_dropped', 'Log lines dropped because output was slow', droppedLines);
		this.#addGauge('fireflyport_quarantined_parts', 'Prompt parts whose requests are refused because engines crash on them', quarantinedParts);
		this.#addGauge('fireflyport_limited_servers', 'Servers that name a limit on their requests per second', limitedServers);
		this.#addGauge('fireflyport_server_path_lost', '1 while this host has no path to the backend servers and other hosts relay its requests', () => Number(isServerPathLost()));
		if (pacedServers) {
			this.#addPhaseGauge(pacedServers);
		}
	}

	observe(service: string, outcome: FlowResult['outcome'], ms: number): void {
		this.#requests.inc({service, outcome});
		this.#latency.observe({service}, ms);
	}

	observeEventLoopDelay(ms: number): void {
		this.#eventLoopDelay.observe(ms);
	}

	countRefusal(code: string): void {
		this.#refusals.inc({code});
	}

	/** `to_host`: a request of a client that was sent on to another host; `for_host`: a request that another host sent on to this one. */
	countRelayed(direction: 'to_host' | 'for_host'): void {
		this.#relayed.inc({direction});
	}

	countRetry(service: string, decision: RetryDecision): void {
		this.#retries.inc({service, decision});
	}

	countEndedByStop(phase: string, isSent: boolean): void {
		this.#endedByStop.inc({phase, sent: String(isSent)});
	}

	countWithoutOwner(phase: string): void {
		this.#withoutOwner.inc({phase});
	}

	observeWait(end: WaitEnd, ms: number): void {
		this.#waits.observe({end}, ms);
		this.#waitEnds.inc({end});
	}

	/** The queue of waiting requests was full. */
	countRefusedWait(end: 'full_requests' | 'full_bytes'): void {
		this.#waitEnds.inc({end});
	}

	countInversion(): void {
		this.#inversions.inc();
	}

	/** `cause`: too little is known of the room for an order. */
	countReturnAdvice(kind: ReturnAdvice['kind'] | 'cause'): void {
		this.#returnAdvice.inc({kind});
	}

	countShareYield(service: string): void {
		this.#shareYields.inc({service});
	}

	countClosedConnection(closed: ClosedForRoom): void {
		this.#closedConnections.inc({closed});
	}

	countStoreCall(kind: string, operation: StoreOperation, result: StoreCallResult): void {
		this.#storeCalls.inc({kind, operation, result});
	}

	async text(): Promise<string> {
		return this.#registry.metrics();
	}

	/** Serves `explain` on `host:port` under its path, and the metrics under any other. */
	listen(host: string, port: number, onError: (err: Error) => void, explain: (params: URLSearchParams) => JsonPage): void {
		this.#server = createServer((req, res) => {
			void this.#respond(req, res, explain);
		});
		ConnectionIntake.attach(this.#server, {maxConnections: MAX_OPERATOR_CONNECTIONS});
		this.#server.on('error', onError);
		this.#server.listen(port, host);
	}

	close(): void {
		this.#server?.close();
	}

	/** The registry keeps the gauge and collects its value when it is read. */
	#addGauge(name: string, help: string, read: () => number): void {
		const gauge: Gauge = new Gauge({
			name,
			help,
			registers: [this.#registry],
			collect() {
				gauge.set(read());
			},
		});
	}

	#addPhaseGauge(read: () => Readonly<Record<string, number>>): void {
		const gauge: Gauge = new Gauge({
			name: 'fireflyport_server_pace',
			help: 'Servers by phase of their pace',
			labelNames: ['phase'],
			registers: [this.#registry],
			collect() {
				for (const [phase, servers] of Object.entries(read())) {
					gauge.set({phase}, servers);
				}
			},
		});
	}

	async #respond(req: IncomingMessage, res: ServerResponse, explain: (params: URLSearchParams) => JsonPage): Promise<void> {
		const [path, query = ''] = req.url!.split('?', 2);
		if (path === EXPLAIN_PATH) {
			const {status, body} = explain(new URLSearchParams(query));
			res.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
			return;
		}

		const text = await this.text();
		res.writeHead(200, {'content-type': this.#registry.contentType});
		res.end(text);
	}
}
