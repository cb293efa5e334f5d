/** Counters and latency histograms of a gateway, served in the Prometheus exposition format. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {StoreCallResult, StoreOperation} from '../store/counted-store.js';
import type {FlowResult} from './request-flow.js';

/** Upper bounds in ms; the latency targets of both users lie between 193 ms and 15 s. */
const LATENCY_BUCKETS_MS = [25, 50, 100, 200, 300, 400, 600, 1000, 1500, 2500, 4000, 6000, 10_000, 15_000];

export class GatewayMetrics {
	/** `droppedLines` returns the number of log lines dropped so far. It is called whenever the metrics are read. */
	static create(droppedLines: () => number): GatewayMetrics {
		return new GatewayMetrics(droppedLines);
	}

	readonly #registry = new Registry();
	readonly #requests = new Counter({
		name: 'fireflyport_requests_total', help: 'Requests by service and outcome', labelNames: ['service', 'outcome'], registers: [this.#registry],
	});

	readonly #refusals = new Counter({
		name: 'fireflyport_refusals_total', help: 'Requests refused before a server was chosen, by code', labelNames: ['code'], registers: [this.#registry],
	});

	readonly #storeCalls = new Counter({
		name: 'fireflyport_store_calls_total', help: 'Calls of this daemon to the store', labelNames: ['kind', 'operation', 'result'], registers: [this.#registry],
	});

	readonly #latency = new Histogram({
		name: 'fireflyport_request_ms', help: 'Time from the arrival of a request to its end in ms', labelNames: ['service'], buckets: LATENCY_BUCKETS_MS, registers: [this.#registry],
	});

	#server: Server | undefined;

	private constructor(droppedLines: () => number) {
		// The registry keeps the gauge and collects its value when it is read.
		const dropped: Gauge = new Gauge({
			name: 'fireflyport_log_lines_dropped',
			help: 'Log lines dropped because output was slow',
			registers: [this.#registry],
			collect() {
				dropped.set(droppedLines());
			},
		});
	}

	observe(service: string, outcome: FlowResult['outcome'], ms: number): void {
		this.#requests.inc({service, outcome});
		this.#latency.observe({service}, ms);
	}

	countRefusal(code: string): void {
		this.#refusals.inc({code});
	}

	countStoreCall(kind: string, operation: StoreOperation, result: StoreCallResult): void {
		this.#storeCalls.inc({kind, operation, result});
	}

	async text(): Promise<string> {
		return this.#registry.metrics();
	}

	/** Serves the metrics on `host:port` under any path. */
	listen(host: string, port: number, onError: (err: Error) => void): void {
		this.#server = createServer((_req, res) => {
			void this.#respond(res);
		});
		this.#server.on('error', onError);
		this.#server.listen(port, host);
	}

	close(): void {
		this.#server?.close();
	}

	async #respond(res: ServerResponse): Promise<void> {
		const text = await this.text();
		res.writeHead(200, {'content-type': this.#registry.contentType});
		res.end(text);
	}
}
