/** Stand-in for a runner of the platform: runs calls, and registers itself in the store. */
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {listenOn} from './ports.mjs';

const HEARTBEAT_MS = 1200;
const SLOTS = 16;
const PLACES = 48;

export class Runner {
	/** `record` writes lines to the record of the case. */
	static async create(options) {
		const runner = new Runner(options);
		runner.address = await listenOn(runner.#server, options.address);
		return runner;
	}

	/** Arrivals of requests that were not turned away with 421, and what became of them. */
	arrivals = [];
	state = 'ready';
	isLeaving = false;
	/** Called with each arrival. */
	onArrival;
	/** Writes a heartbeat; replaced where a case has the store lose writes. */
	write;
	#coldUntil = 0;
	#server;
	#sockets = new Set();
	#timer;
	#active = 0;

	/** `stream`: answers with `events` events, the first after `firstMs`, the others `gapMs` apart. Otherwise requests are calls. */
	constructor({
		id, service, zone, store, record, workMs = 20, born = Date.now(), stream, slots = SLOTS,
	}) {
		Object.assign(this, {
			id, service, zone, store, record, workMs, born, stream, slots,
		});
		this.write = spec => {
			store.put('servers', id, spec);
		};

		this.#server = createServer((req, res) => {
			this.#handle(req, res);
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	get coldRemainingMs() {
		return Math.max(0, Math.round(this.#coldUntil - performance.now()));
	}

	/** Begins to write heartbeats, cold for `coldMs`. */
	register(coldMs = 0) {
		this.#coldUntil = performance.now() + coldMs;
		this.restartHeartbeats();
	}

	/** Writes a heartbeat at once, and further ones at the usual interval. */
	restartHeartbeats() {
		clearInterval(this.#timer);
		this.beat();
		this.#timer = setInterval(() => {
			this.beat();
		}, HEARTBEAT_MS);
	}

	get spec() {
		return {
			service: this.service,
			address: this.address,
			zone: this.zone,
			version: 'v1',
			slots: this.slots,
			state: this.state,
			'cold-remaining-ms': this.coldRemainingMs,
			sequence: 0,
			born: this.born,
		};
	}

	beat() {
		this.write(this.spec);
	}

	/** Ends as a process that exits: requests in progress are cut off. */
	exit() {
		clearInterval(this.#timer);
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	async #handle(req, res) {
		const {headers} = req;
		const attempt = headers['fireflyport-attempt-id'];
		res.on('error', () => undefined);
		let body = '';
		try {
			for await (const chunk of req) {
				body += chunk;
			}
		} catch {
			return;
		}

		if (headers['fireflyport-target-instance'] !== this.id) {
			res.writeHead(421, {'fireflyport-attempt-id': attempt, 'fireflyport-instance-id': this.id, 'content-length': 0}).end();
			return;
		}

		const arrival = {
			attempt, at: performance.now(), outcome: 'cut off', body, remotePort: req.socket.remotePort,
		};
		this.arrivals.push(arrival);
		this.record('arrived', {
			request: attempt, runner: this.id, 'cold-ms': this.coldRemainingMs, leaving: this.isLeaving,
		});
		this.onArrival?.(arrival);
		const state = {'fireflyport-attempt-id': attempt, ...(this.isLeaving ? {'server-leaving': '1'} : {})};
		if (this.#active >= PLACES) {
			arrival.outcome = 'rejected';
			res.writeHead(503, {...state, 'fireflyport-not-executed': '1', 'content-length': 0}).end();
			return;
		}

		this.#active++;
		await (this.stream ? this.#writeStream(req, res, arrival, state) : this.#answerCall(res, arrival, state));
		this.#active--;
	}

	async #answerCall(res, arrival, state) {
		const {attempt} = arrival;
		await delay(this.workMs);
		if (!res.destroyed) {
			arrival.outcome = 'ran';
			this.record('ran', {request: attempt, runner: this.id});
			const text = `${this.id} ran ${attempt}`;
			res.writeHead(200, {...state, 'fireflyport-response-seal': `seal-${this.id}`, 'content-length': text.length}).end(text);
		}
	}

	async #writeStream({headers}, res, arrival, state) {
		const {firstMs, gapMs, events} = this.stream;
		const first = Number(headers['last-event-id'] ?? 0) + 1;
		await delay(firstMs);
		for (let id = first; id <= events && !res.destroyed; id++) {
			if (id === first) {
				res.writeHead(200, {...state, 'fireflyport-response-seal': `seal-${this.id}`, 'content-type': 'text/event-stream'});
			} else {
				await delay(gapMs);
			}

			res.write(`id: ${id}\ndata: event ${id}\n\n`);
		}

		if (!res.destroyed) {
			arrival.outcome = 'ran';
			this.record('ran', {request: arrival.attempt, runner: this.id});
			res.end();
		}
	}
}
