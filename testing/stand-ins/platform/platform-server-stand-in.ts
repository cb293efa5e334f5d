/** Stand-in for a backend server of the platform: answers calls and streams, with faults that can be set for the next requests. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {monotonicMs} from '../../../src/util/clock.js';
import {listen} from '../../../src/util/listen.js';
import {freePort} from '../../free-port.js';
import {pause} from '../../../src/util/pause.js';
import {readBytes} from '../stand-in-server.js';

const RESET_DELAY_MS = 20;

/** Fault to apply to one request. Requests without a fault are served normally. */
export type InjectedFault =
	/** Rejects the request as not executed; `helper` is the address of a helper that did not respond. */
	| {readonly kind: 'reject'; readonly status: 503 | 421; readonly helper?: string; readonly retryAfter?: string}
	/** Is silent for `ms` before the response to a call, or after `events` events of a stream, and goes on. */
	| {readonly kind: 'pause'; readonly ms: number; readonly events?: number}
	/** Is silent until `until` resolves before the response to a call or the first event of a stream, and goes on. */
	| {readonly kind: 'hold'; readonly until: Promise<void>}
	/** Answers a call with a body of `bytes` bytes. */
	| {readonly kind: 'large'; readonly bytes: number}
	/** Runs the request, sends a response that is written byte for byte, and closes or resets the connection. */
	| RawResponse
	/** Runs the request and closes the connection, for streams after `events` events and `bytes` bytes of the next event. */
	| {readonly kind: 'break'; readonly events?: number; readonly bytes?: number}
	/** Runs the request, sends part of a response without a length or in chunked encoding, and resets the connection. */
	| {readonly kind: 'reset'; readonly isChunked: boolean}
	/** Runs the request and never responds, for streams after `events` events. */
	| {readonly kind: 'mute'; readonly events?: number}
	/** Runs the request and responds with an error status. */
	| {readonly kind: 'error'; readonly status: number}
	/** Responds with the id of another request. */
	| {readonly kind: 'foreign'}
	/** Responds without a signature. */
	| {readonly kind: 'unsigned'};

export type RawResponse = {
	readonly kind: 'raw';
	/** Replaces the status line `HTTP/1.1 200 OK`. */
	readonly statusLine?: string;
	/** Further header lines, each ending with CRLF, in Latin-1. */
	readonly fields?: string;
	readonly framing: 'length' | 'chunks' | 'close';
	/** Number of bytes after which the connection ends; all of them by default. */
	readonly bytes?: number;
	readonly isReset: boolean;
};

/** Header of a request that names the time in ms that its run takes in addition. */
export const WORK_HEADER = 'stand-in-work-ms';

/** A request as received. */
export type ReceivedRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingMessage['headers'];
	readonly body: string;
	readonly hasRun: boolean;
	readonly fault: InjectedFault | undefined;
	/** Time of arrival on the monotonic clock, in ms. */
	readonly at: number;
};

/** An order to reserve or release memory. */
export type MemoryOrder = {readonly op: 'reserve' | 'release'; readonly id: string; readonly tokens?: number; readonly 'hold-ms'?: number};

export type PlatformServerOptions = {
	readonly instance: string;
	/** Number of events of each stream. When undefined, requests are calls that get a single body. */
	readonly events?: number;
	/** Delay in ms before the response to a call and after each event. */
	readonly paceMs?: number;
	/** Size of the body of a call in bytes. When undefined, the body is a short text. */
	readonly bodyBytes?: number;
	/** Requests per second that the server names in its responses. */
	readonly limitPerSecond?: number;
	/** Ids of prompt parts on which the server crashes when it begins to write: it closes all connections without a response. */
	readonly crashingParts?: readonly string[];
	/** Bodies of requests on which the server crashes when it begins to run them. */
	readonly crashingBodies?: readonly string[];
	/** Called after a crash. The server accepts requests again at once, but loses all that run. */
	readonly onCrash?: () => void;
};

export class PlatformServerStandIn {
	static async create(options: PlatformServerOptions): Promise<PlatformServerStandIn> {
		const standIn = new PlatformServerStandIn(options);
		// Tests expect connections to be refused once it is closed.
		await listen(standIn.#server, {port: await freePort(), host: '127.0.0.1'});
		return standIn;
	}

	readonly arrivals: ReceivedRequest[] = [];
	/** Number of requests whose connection closed before the response was complete. */
	abortedRequests = 0;
	readonly orders: MemoryOrder[] = [];
	/** Addresses of helpers that this server cannot reach. */
	unreachableHelpers: ReadonlySet<string> = new Set();
	/** Whether responses say that the server leaves. */
	isLeaving = false;
	/** Value of `Retry-After` in rejections. */
	retryAfter: string | undefined;
	/** Reserved tokens by reservation id. */
	readonly reserved = new Map<string, number>();
	readonly #reservationTimers = new Map<string, NodeJS.Timeout>();
	readonly #pendingFaults: InjectedFault[] = [];
	readonly #server: Server;

	private constructor(private readonly options: PlatformServerOptions) {
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

	injectFaults(...faults: readonly InjectedFault[]): void {
		this.#pendingFaults.push(...faults);
	}

	/** Cancels the faults that no request has met yet. */
	clearFaults(): void {
		this.#pendingFaults.length = 0;
	}

	async close(): Promise<void> {
		for (const timer of this.#reservationTimers.values()) {
			clearTimeout(timer);
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
			this.#order(res, JSON.parse(body.toString()) as MemoryOrder);
			return;
		}

		const fault = this.#takeFault(req);
		this.arrivals.push({
			method: req.method!, path: req.url!, headers: req.headers, body: body.toString(), hasRun: fault?.kind !== 'reject', fault, at: monotonicMs(),
		});
		res.on('close', () => {
			this.abortedRequests += res.writableFinished ? 0 : 1;
		});
		if (fault?.kind === 'reject') {
			this.#reject(req, res, fault);
			return;
		}

		if (req.headers[WORK_HEADER] !== undefined) {
			await pause(Number(req.headers[WORK_HEADER]));
		}

		if (this.#crashesOn(req, body.toString())) {
			this.#server.closeAllConnections();
			this.options.onCrash?.();
		} else if (fault?.kind === 'raw') {
			this.#answerRaw(req, res, fault);
		} else if (this.options.events === undefined) {
			await this.#answerCall(req, res, fault);
		} else {
			await this.#answerStream(req, res, fault);
		}
	}

	#crashesOn(req: IncomingMessage, body: string): boolean {
		const {crashingParts = [], crashingBodies = []} = this.options;
		return hasPart(req, crashingParts) || crashingBodies.includes(body);
	}

	#reject(req: IncomingMessage, res: ServerResponse, fault: Extract<InjectedFault, {kind: 'reject'}>): void {
		const retryAfter = fault.retryAfter ?? this.retryAfter;
		res.writeHead(fault.status, {
			'fireflyport-attempt-id': String(req.headers['fireflyport-attempt-id']),
			...(fault.status === 421 ? {} : {'fireflyport-not-executed': '1'}),
			...this.#stateHeaders(),
			...(retryAfter === undefined ? {} : {'retry-after': retryAfter}),
			...('helper' in fault ? {'at-server': fault.helper} : {}),
		}).end();
	}

	#answerRaw(req: IncomingMessage, res: ServerResponse, {statusLine, fields, framing, bytes, isReset}: RawResponse): void {
		const firstId = Number(req.headers['last-event-id'] ?? 0) + 1;
		let body = `${this.instance} answered`;
		if (this.options.events !== undefined) {
			body = Array.from({length: this.options.events - firstId + 1}, (_, index) => eventText(firstId + index)).join('');
		}

		const head = Object.entries(this.#headers(req)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		const framings = {
			length: `content-length: ${body.length}\r\n\r\n${body}`,
			chunks: `transfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
			close: `connection: close\r\n\r\n${body}`,
		};
		const text = `${statusLine ?? 'HTTP/1.1 200 OK'}\r\n${head}${fields ?? ''}${framings[framing]}`;
		const {socket} = res;
		socket?.write(text.slice(0, bytes), 'latin1', () => {
			// The delay lets the bytes arrive before the reset.
			setTimeout(() => {
				if (isReset) {
					socket.resetAndDestroy();
				} else {
					socket.end();
				}
			}, RESET_DELAY_MS);
		});
	}

	#takeFault({headers}: IncomingMessage): InjectedFault | undefined {
		if (headers['fireflyport-target-instance'] !== this.instance) {
			return {kind: 'reject', status: 421};
		}

		const helpers = String(headers['fireflyport-helpers'] ?? '').split(',');
		const helper = helpers.find(address => this.unreachableHelpers.has(address));
		return helper === undefined ? this.#pendingFaults.shift() : {kind: 'reject', status: 503, helper};
	}

	#order(res: ServerResponse, order: MemoryOrder): void {
		this.orders.push(order);
		clearTimeout(this.#reservationTimers.get(order.id));
		this.#reservationTimers.delete(order.id);
		if (order.op === 'reserve') {
			this.reserved.set(order.id, order.tokens ?? 0);
			this.#reservationTimers.set(order.id, setTimeout(() => {
				this.reserved.delete(order.id);
			}, order['hold-ms'] ?? 0));
		} else {
			this.reserved.delete(order.id);
		}

		res.writeHead(200, {'content-type': 'application/json'}).end('{"available":0}');
	}

	async #answerCall(req: IncomingMessage, res: ServerResponse, fault: InjectedFault | undefined): Promise<void> {
		if (fault?.kind === 'mute') {
			return;
		}

		if (fault?.kind === 'break') {
			res.writeHead(200, {...this.#headers(req), 'content-length': 100});
			res.write('half');
			await this.#waitPace();
			res.destroy();
			return;
		}

		if (fault?.kind === 'reset') {
			const head = Object.entries(this.#headers(req)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			const body = fault.isChunked ? 'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n' : '\r\nhalf';
			res.socket!.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n${head}${body}`, () => {
				// The delay lets the bytes arrive before the reset.
				setTimeout(() => res.socket?.resetAndDestroy(), RESET_DELAY_MS);
			});
			return;
		}

		await this.#waitPace();
		if (fault?.kind === 'pause') {
			await pause(fault.ms);
		} else if (fault?.kind === 'hold') {
			await fault.until;
		}

		if (fault?.kind === 'large') {
			res.writeHead(200, this.#headers(req)).end('x'.repeat(fault.bytes));
			return;
		}

		const status = fault?.kind === 'error' ? fault.status : 200;
		const headers = {...this.#headers(req)};
		if (fault?.kind === 'foreign') {
			headers['fireflyport-attempt-id'] = 'another';
		}

		if (fault?.kind === 'unsigned') {
			delete headers['fireflyport-response-seal'];
		}

		res.writeHead(status, headers).end(this.options.bodyBytes === undefined ? `${this.instance} answered` : 'x'.repeat(this.options.bodyBytes));
	}

	async #answerStream(req: IncomingMessage, res: ServerResponse, fault: InjectedFault | undefined): Promise<void> {
		if (fault?.kind === 'error') {
			res.writeHead(fault.status, this.#headers(req)).end('failed');
			return;
		}

		const firstId = Number(req.headers['last-event-id'] ?? 0) + 1;
		res.writeHead(200, {...this.#headers(req), 'content-type': 'text/event-stream'});
		res.flushHeaders();
		for (let id = firstId; id <= this.options.events!; id++) {
			const event = eventText(id);
			await pauseBefore(id - firstId, fault);
			const eventLimit = fault?.kind === 'break' || fault?.kind === 'mute' ? fault.events ?? 0 : Infinity;
			if (id - firstId >= eventLimit) {
				if (fault?.kind === 'break') {
					res.write(event.slice(0, fault.bytes ?? 0), () => {
						res.destroy();
					});
				}

				return;
			}

			res.write(event);
			await this.#waitPace();
		}

		res.end();
	}

	#headers(req: IncomingMessage): Record<string, string> {
		return {
			'fireflyport-attempt-id': String(req.headers['fireflyport-attempt-id']),
			'fireflyport-response-seal': `seal-${this.instance}`,
			...this.#stateHeaders(),
			...(this.options.limitPerSecond === undefined ? {} : {'server-limit': String(this.options.limitPerSecond)}),
		};
	}

	#stateHeaders(): Record<string, string> {
		return this.isLeaving ? {'server-leaving': '1'} : {};
	}

	async #waitPace(): Promise<void> {
		await pause(this.options.paceMs ?? 0);
	}
}

const eventText = (id: number): string => `id: ${id}\ndata: event ${id} \n\n`;

async function pauseBefore(event: number, fault: InjectedFault | undefined): Promise<void> {
	if (fault?.kind === 'pause' && event === (fault.events ?? 0)) {
		await pause(fault.ms);
	} else if (fault?.kind === 'hold' && event === 0) {
		await fault.until;
	}
}

function hasPart({headers}: IncomingMessage, parts: readonly string[]): boolean {
	const entries = String(headers['fireflyport-prompt-prefix'] ?? '').split(',');
	return entries.some(entry => parts.includes(entry.split(':')[0]!));
}
