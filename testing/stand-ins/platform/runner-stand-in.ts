/** Stand-in of a back end of the platform: answers calls and streams, with disturbances for the next requests. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {monotonicMs} from '../../../src/util/clock.js';
import {listen} from '../../../src/util/listen.js';
import {pause} from '../../../src/util/pause.js';
import {readBytes} from '../stand-in-server.js';

const RESET_DELAY_MS = 20;

/** How the next request is handled; requests without an entry are served well. */
export type Disturbance =
	/** Rejects it as not executed; `helper` is the address of a helper that did not answer. */
	| {readonly kind: 'reject'; readonly status: 503 | 421; readonly helper?: string}
	/** Runs it and closes the connection, for streams after `events` events and `bytes` more bytes of the next one. */
	| {readonly kind: 'break'; readonly events?: number; readonly bytes?: number}
	/** Runs it, sends part of an answer without a length, or in chunks, and resets the connection. */
	| {readonly kind: 'reset'; readonly isChunked: boolean}
	/** Runs it and says nothing, for streams after `events` events. */
	| {readonly kind: 'mute'; readonly events?: number}
	/** Answers with a failure of its own. */
	| {readonly kind: 'error'; readonly status: number}
	/** Answers with another request's id. */
	| {readonly kind: 'foreign'}
	/** Answers without a signature. */
	| {readonly kind: 'unsigned'};

/** A request as it arrived. */
export type Arrival = {
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingMessage['headers'];
	readonly body: string;
	readonly hasRun: boolean;
	/** On the monotonic clock, in ms. */
	readonly at: number;
};

/** An order about memory. */
export type Order = {readonly op: 'reserve' | 'release'; readonly id: string; readonly tokens?: number; readonly 'hold-ms'?: number};

export type RunnerOptions = {
	readonly instance: string;
	/** Events of a stream; undefined answers calls with one body. */
	readonly events?: number;
	/** Time in ms before a call's answer and between events. */
	readonly paceMs?: number;
};

export class RunnerStandIn {
	static async create(options: RunnerOptions): Promise<RunnerStandIn> {
		const standIn = new RunnerStandIn(options);
		await listen(standIn.#server, {port: 0, host: '127.0.0.1'});
		return standIn;
	}

	readonly arrivals: Arrival[] = [];
	/** Requests whose connection closed before the answer was complete. */
	left = 0;
	readonly orders: Order[] = [];
	/** Addresses of helpers that do not answer this server. */
	unreachable: ReadonlySet<string> = new Set();
	/** Tokens set aside, by reservation. */
	readonly reserved = new Map<string, number>();
	readonly #leases = new Map<string, NodeJS.Timeout>();
	readonly #next: Disturbance[] = [];
	readonly #server: Server;

	private constructor(private readonly options: RunnerOptions) {
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	get instance(): string {
		return this.options.instance;
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	get runs(): number {
		return this.arrivals.filter(({hasRun}) => hasRun).length;
	}

	disturb(...disturbances: readonly Disturbance[]): void {
		this.#next.push(...disturbances);
	}

	async close(): Promise<void> {
		for (const lease of this.#leases.values()) {
			clearTimeout(lease);
		}

		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await readBytes(req);
		if (req.url === '/-/order') {
			this.#order(res, JSON.parse(body.toString()) as Order);
			return;
		}

		const disturbance = this.#disturbanceOf(req);
		this.arrivals.push({
			method: req.method!, path: req.url!, headers: req.headers, body: body.toString(), hasRun: disturbance?.kind !== 'reject', at: monotonicMs(),
		});
		res.on('close', () => {
			this.left += res.writableFinished ? 0 : 1;
		});
		if (disturbance?.kind === 'reject') {
			res.writeHead(disturbance.status, {
				...(disturbance.status === 421 ? {} : {'fireflyport-not-executed': '1'}),
				...('helper' in disturbance ? {'at-server': disturbance.helper} : {}),
			}).end();
		} else if (this.options.events === undefined) {
			await this.#answerCall(req, res, disturbance);
		} else {
			await this.#answerStream(req, res, disturbance);
		}
	}

	#disturbanceOf({headers}: IncomingMessage): Disturbance | undefined {
		if (headers['fireflyport-target-instance'] !== this.instance) {
			return {kind: 'reject', status: 421};
		}

		const helpers = String(headers['fireflyport-helpers'] ?? '').split(',');
		const helper = helpers.find(address => this.unreachable.has(address));
		return helper === undefined ? this.#next.shift() : {kind: 'reject', status: 503, helper};
	}

	#order(res: ServerResponse, order: Order): void {
		this.orders.push(order);
		clearTimeout(this.#leases.get(order.id));
		this.#leases.delete(order.id);
		if (order.op === 'reserve') {
			this.reserved.set(order.id, order.tokens ?? 0);
			this.#leases.set(order.id, setTimeout(() => {
				this.reserved.delete(order.id);
			}, order['hold-ms'] ?? 0));
		} else {
			this.reserved.delete(order.id);
		}

		res.writeHead(200, {'content-type': 'application/json'}).end('{"available":0}');
	}

	async #answerCall(req: IncomingMessage, res: ServerResponse, disturbance: Disturbance | undefined): Promise<void> {
		if (disturbance?.kind === 'mute') {
			return;
		}

		if (disturbance?.kind === 'break') {
			res.writeHead(200, {...this.#headers(req), 'content-length': 100});
			res.write('half');
			await this.#pace();
			res.destroy();
			return;
		}

		if (disturbance?.kind === 'reset') {
			const head = Object.entries(this.#headers(req)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			const body = disturbance.isChunked ? 'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n' : '\r\nhalf';
			res.socket!.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n${head}${body}`, () => {
				// The bytes arrive before the reset.
				setTimeout(() => res.socket?.resetAndDestroy(), RESET_DELAY_MS);
			});
			return;
		}

		await this.#pace();
		const status = disturbance?.kind === 'error' ? disturbance.status : 200;
		const headers = {...this.#headers(req)};
		if (disturbance?.kind === 'foreign') {
			headers['fireflyport-attempt-id'] = 'another';
		}

		if (disturbance?.kind === 'unsigned') {
			delete headers['fireflyport-response-seal'];
		}

		res.writeHead(status, headers).end(`${this.instance} answered`);
	}

	async #answerStream(req: IncomingMessage, res: ServerResponse, disturbance: Disturbance | undefined): Promise<void> {
		if (disturbance?.kind === 'error') {
			res.writeHead(disturbance.status, this.#headers(req)).end('failed');
			return;
		}

		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		res.writeHead(200, {...this.#headers(req), 'content-type': 'text/event-stream'});
		res.flushHeaders();
		for (let id = first; id <= this.options.events!; id++) {
			const event = `id: ${id}\ndata: event ${id} \n\n`;
			const limit = disturbance?.kind === 'break' || disturbance?.kind === 'mute' ? disturbance.events ?? 0 : Infinity;
			if (id - first >= limit) {
				if (disturbance?.kind === 'break') {
					res.write(event.slice(0, disturbance.bytes ?? 0), () => {
						res.destroy();
					});
				}

				return;
			}

			res.write(event);
			await this.#pace();
		}

		res.end();
	}

	#headers(req: IncomingMessage): Record<string, string> {
		return {
			'fireflyport-attempt-id': String(req.headers['fireflyport-attempt-id']),
			'fireflyport-response-seal': `seal-${this.instance}`,
		};
	}

	async #pace(): Promise<void> {
		await pause(this.options.paceMs ?? 0);
	}
}
