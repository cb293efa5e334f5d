/** Stand-ins of the platform for the cases 6 to 10: its store, its ingress, runners of a plain service and of streams, and the daemons as processes. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	appendFileSync, createWriteStream, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

export const ROOT = path.resolve(import.meta.dirname, '../..');
const HEARTBEAT_MS = 1200;
/** One way between clients and machines, as in the site sheets. */
const CLIENT_DELAY_MS = 3;

/** Bounds of the site sheets. */
export const BOUNDS = {
	'stable-window-ms': 3000,
	'ack-ms': 4000,
	'drain-ms': 2000,
	'grace-s': 8,
	'loss-slack-ms': 200,
	'config-propagation-ms': 2000,
	'retry-budget-ratio': 0.2,
	'budget-window-s': 10,
	'budget-slack': 106,
	'evacuate-ms': 5000,
	'free-ms': 4000,
	'idle-max-ms': 9000,
};

export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes what happens to `record.txt` in the folder of the case. */
export class Record {
	#startedAt = performance.now();

	constructor(folder) {
		this.file = path.join(folder, 'record.txt');
		writeFileSync(this.file, '');
	}

	add(event, fields = {}) {
		const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ');
		appendFileSync(this.file, `${((performance.now() - this.#startedAt) / 1000).toFixed(4)} ${event} ${text}\n`);
	}
}

/** A subnet of loopback addresses of this run. */
export function createAddresses() {
	const subnet = `127.${10 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;
	let next = 1;
	return () => `${subnet}.${++next}`;
}

const listen = async (server, host, port = 0) => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen({host, port, backlog: 1024}, () => {
		resolve(`${host}:${server.address().port}`);
	});
});

/** Returns `count` ports that are free on all `hosts`. */
export async function freePorts(hosts, count) {
	const ports = [];
	while (ports.length < count) {
		const port = 20_000 + Math.floor(Math.random() * 12_000);
		let isFree = !ports.includes(port);
		for (const host of hosts) {
			const server = net.createServer();
			try {
				await listen(server, host, port);
			} catch {
				isFree = false;
			}

			server.close();
		}

		if (isFree) {
			ports.push(port);
		}
	}

	return ports;
}

/** The platform's store, as far as the daemons call it: lists, watches and creations. */
export class Store {
	#objects = new Map();
	#history = [];
	#revision = 100;
	#watches = new Set();
	/** The daemon that calls on a connection. */
	#callers = new Map();
	/** Decides how a call of a daemon is treated: `serve`, `busy` (503) or `silent`. */
	treat = () => 'serve';
	calls = 0;

	static async start(host) {
		const store = new Store();
		store.server = http.createServer(async (req, res) => store.#handle(req, res));
		store.server.keepAliveTimeout = 60_000;
		store.address = await listen(store.server, host);
		return store;
	}

	put(kind, name, spec) {
		const key = `${kind}/${name}`;
		const known = this.#objects.get(key);
		const revision = ++this.#revision;
		const object = {
			metadata: {
				name, revision, 'created-rev': known?.metadata['created-rev'] ?? revision, finalizers: [], deleting: false,
			}, spec, status: {},
		};
		this.#objects.set(key, object);
		this.#add({kind, revision, event: {object, deleted: false}});
	}

	delete(kind, name) {
		const key = `${kind}/${name}`;
		const object = this.#objects.get(key);
		if (object) {
			this.#objects.delete(key);
			this.#add({kind, revision: ++this.#revision, event: {object, deleted: true}});
		}
	}

	has(kind, name) {
		return this.#objects.has(`${kind}/${name}`);
	}

	/** Cuts the open connections of one daemon, also that of a watch that waits. */
	cut(daemon) {
		for (const [socket, caller] of this.#callers) {
			if (caller === daemon) {
				socket.destroy();
			}
		}
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	#add(change) {
		this.#history.push(change);
		for (const check of this.#watches) {
			check();
		}
	}

	async #handle(req, res) {
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		if (!this.#callers.has(req.socket)) {
			req.socket.once('close', () => {
				this.#callers.delete(req.socket);
			});
		}

		this.#callers.set(req.socket, req.headers['x-caller']);
		this.calls++;
		const treatment = this.treat(req);
		if (treatment === 'silent') {
			return;
		}

		const send = (status, body) => {
			if (!res.writableEnded) {
				res.writeHead(status, {'content-type': 'application/json'});
				res.end(JSON.stringify(body));
			}
		};

		if (treatment === 'busy') {
			send(503, {});
			return;
		}

		const url = new URL(req.url, 'http://store');
		const [kind, name] = url.pathname.split('/').slice(3);
		await sleep(4);
		if (req.method === 'POST') {
			const {metadata, spec} = JSON.parse(String(Buffer.concat(chunks)));
			const isNew = !this.has(kind, metadata.name);
			if (isNew) {
				this.put(kind, metadata.name, spec);
			}

			send(isNew ? 201 : 409, this.#objects.get(`${kind}/${metadata.name}`));
		} else if (req.method === 'GET' && url.searchParams.has('watch')) {
			this.#watch({kind, since: Number(url.searchParams.get('watch')), waitMs: Number(url.searchParams.get('wait-ms') ?? 0)}, res, send);
		} else if (req.method === 'GET' && name === undefined) {
			const entries = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object);
			send(200, {entries, 'has-more': false, 'as-of': this.#revision});
		} else if (req.method === 'GET' && this.has(kind, name)) {
			send(200, this.#objects.get(`${kind}/${name}`));
		} else {
			send(404, {});
		}
	}

	#watch({kind, since, waitMs}, res, send) {
		const finish = () => {
			this.#watches.delete(check);
			clearTimeout(timer);
			send(200, {events: this.#history.filter(change => change.kind === kind && change.revision > since).map(({event}) => event), 'as-of': this.#revision});
		};

		const check = () => {
			if (this.#history.some(change => change.kind === kind && change.revision > since)) {
				finish();
			}
		};

		const timer = setTimeout(finish, waitMs);
		this.#watches.add(check);
		res.once('close', () => {
			this.#watches.delete(check);
			clearTimeout(timer);
		});
		check();
	}
}

/** A runner. `serve(req, res, body)` handles requests that are meant for it. */
export class Runner {
	static async start({
		store, host, id, service, zone = 'z1', slots = 64, serve,
	}) {
		const runner = new Runner();
		Object.assign(runner, {
			store, id, service, zone, slots, state: 'ready', sequence: 0, born: Date.now(),
		});
		runner.server = http.createServer(async (req, res) => runner.#handle(req, res, serve));
		runner.server.keepAliveTimeout = 30_000;
		runner.address = await listen(runner.server, host);
		runner.beat();
		runner.timer = setInterval(() => {
			runner.beat();
		}, HEARTBEAT_MS);
		return runner;
	}

	beat() {
		this.store.put('servers', this.id, {
			service: this.service, address: this.address, zone: this.zone, version: '1', slots: this.slots, state: this.state, 'cold-remaining-ms': 0, sequence: ++this.sequence, born: this.born,
		});
	}

	close() {
		clearInterval(this.timer);
		this.server.close();
		this.server.closeAllConnections();
	}

	async #handle(req, res, serve) {
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		if (req.url === '/health') {
			res.writeHead(200, {'fireflyport-instance-id': this.id, 'content-length': 0}).end();
			return;
		}

		const target = req.headers['fireflyport-target-instance'];
		if (target !== undefined && target !== this.id) {
			res.writeHead(421, {'fireflyport-attempt-id': req.headers['fireflyport-attempt-id'] ?? '', 'content-length': 0}).end();
			return;
		}

		await serve(req, res, Buffer.concat(chunks), this);
	}
}

/** A daemon, started by the `run` line of the deploy file. */
export class Daemon {
	/** Set at the end of a case, from which on no process is started. */
	static isEnding = false;

	static #command() {
		const deploy = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
		return /^run = "(?<run>.*)"$/mv.exec(deploy).groups.run.split(' ');
	}

	constructor({
		folder, name, ip, zone = 'z1', zones, ports, store, bounds = BOUNDS, record,
	}) {
		Object.assign(this, {
			name, ip, ports, record, exits: [],
		});
		this.front = `${ip}:${ports[0]}`;
		this.settings = path.join(folder, `${name}.json`);
		this.log = path.join(folder, `${name}.log`);
		writeFileSync(this.settings, JSON.stringify({
			node: name,
			role: 'gateway',
			'machine-class': 'front',
			serves: ['front'],
			ip,
			zone,
			region: 'r1',
			zones,
			listen: {front: this.front, ready: `${ip}:${ports[1]}`},
			'internal-port-range': [ports[2], ports[3]],
			seeds: [],
			bootstrap: true,
			limits: {
				'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'fd-limit': 4100, 'link-mbps': 1000, 'disk-mb': 0,
			},
			'data-dir': null,
			discovery: 'platform',
			entry: 'vip',
			'heartbeat-ms': HEARTBEAT_MS,
			bounds,
			platform: {address: store},
		}));
	}

	start() {
		if (Daemon.isEnding) {
			return;
		}

		const [program, ...args] = Daemon.#command();
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: ROOT, env: {PATH: process.env.PATH, HOME: process.env.HOME, FIREFLYPORT_CONFIG: this.settings}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(this.log, {flags: 'a'});
		child.stdout.pipe(log);
		child.stderr.pipe(log, {end: false});
		this.child = child;
		this.exited = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				this.record?.add('exit', {daemon: this.name, code, signal});
				this.exits.push({code, signal});
				this.child = undefined;
				resolve();
			});
		});
		this.record?.add('start', {daemon: this.name, pid: child.pid});
	}

	signal(name) {
		this.record?.add('signal', {daemon: this.name, name});
		this.child?.kill(name);
	}

	async isReady() {
		return new Promise(resolve => {
			const req = http.get({
				host: this.ip, port: this.ports[1], path: '/-/ready', timeout: 900, agent: false,
			}, res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.on('error', () => {
				resolve(false);
			});
			req.on('timeout', () => {
				req.destroy();
				resolve(false);
			});
		});
	}

	async waitReady(timeoutMs = 15_000) {
		const until = performance.now() + timeoutMs;
		while (performance.now() < until) {
			if (await this.isReady()) {
				return;
			}

			await sleep(100);
		}

		throw new Error(`${this.name} did not become ready`);
	}

	/** SIGTERM, and SIGKILL after the grace, as the platform does. */
	async stop() {
		const {exited} = this;
		this.signal('SIGTERM');
		const timer = setTimeout(() => {
			this.child?.kill('SIGKILL');
		}, BOUNDS['grace-s'] * 1000);
		await exited;
		clearTimeout(timer);
	}
}

/**
 * The platform's ingress: asks each daemon once a second whether it is ready, and forwards new connections to one that is in rotation.
 * All bytes and closes arrive after the one-way delay between clients and machines. An open connection stays with its daemon.
 */
export class Ingress {
	static async start(host, daemons) {
		const ingress = new Ingress();
		ingress.states = daemons.map(daemon => ({daemon, misses: 2}));
		ingress.server = net.createServer({allowHalfOpen: true, noDelay: true}, client => {
			ingress.#forward(client);
		});
		ingress.address = await listen(ingress.server, host);
		await ingress.#check();
		ingress.timer = setInterval(async () => ingress.#check(), 1000);
		return ingress;
	}

	#next = 0;

	close() {
		clearInterval(this.timer);
		this.server.close();
	}

	async #check() {
		await Promise.all(this.states.map(async state => {
			state.misses = await state.daemon.isReady() ? 0 : state.misses + 1;
		}));
	}

	/** The daemon for the next connection. */
	choose() {
		const inRotation = this.states.filter(({misses}) => misses < 2);
		const candidates = inRotation.length * 2 >= this.states.length ? inRotation : this.states;
		return candidates[this.#next++ % candidates.length].daemon;
	}

	#forward(client) {
		const daemon = this.choose();
		const server = net.connect({
			host: daemon.ip, port: daemon.ports[0], allowHalfOpen: true, noDelay: true,
		});
		pipeLater(client, server);
		pipeLater(server, client);
	}
}

function pipeLater(from, to) {
	from.on('data', chunk => {
		setTimeout(() => {
			if (!to.destroyed && to.writable) {
				to.write(chunk);
			}
		}, CLIENT_DELAY_MS);
	});
	from.on('end', () => {
		setTimeout(() => {
			to.end();
		}, CLIENT_DELAY_MS);
	});
	from.on('error', () => {
		setTimeout(() => {
			to.resetAndDestroy();
		}, CLIENT_DELAY_MS);
	});
	from.on('close', () => {
		setTimeout(() => {
			if (to.writableEnded && to.readableEnded) {
				to.destroy();
			}
		}, CLIENT_DELAY_MS);
	});
}

/** Reads the responses on one connection of a client. Calls `onResponse` for each complete one, `onEnd` when the connection ends. */
export class ClientConnection {
	#buffer = '';
	#state = {kind: 'head'};
	isEnded = false;

	constructor(address, {onResponse, onEvent = () => {}, onEnd}) {
		const [host, port] = address.split(':');
		Object.assign(this, {onResponse, onEvent, onEnd});
		this.socket = net.connect({host, port: Number(port), noDelay: true});
		this.socket.setEncoding('latin1');
		this.socket.on('data', text => {
			this.#buffer += text;
			this.#parse();
		});
		const end = reason => {
			if (!this.isEnded) {
				this.isEnded = true;
				if (this.#state.kind === 'until_end') {
					this.#finish();
				}

				onEnd(reason);
			}
		};

		this.socket.on('end', () => {
			end('closed');
		});
		this.socket.on('error', err => {
			end(err.code);
		});
		this.socket.on('close', () => {
			end('closed');
		});
	}

	send({method = 'GET', target, headers, body = ''}) {
		const lines = Object.entries({...headers, ...(method === 'POST' ? {'Content-Length': Buffer.byteLength(body)} : {})}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		this.socket.write(`${method} ${target} HTTP/1.1\r\n${lines}\r\n${body}`);
	}

	close() {
		this.isEnded = true;
		this.socket.destroy();
	}

	#finish() {
		const {head, body} = this.#state;
		this.#state = {kind: 'head'};
		this.onResponse({...head, body});
	}

	#parse() {
		while (this.#step()) {
			// Continues until more bytes are needed.
		}
	}

	#step() {
		const state = this.#state;
		switch (state.kind) {
			case 'head': {
				return this.#readHead();
			}

			case 'length': {
				if (this.#buffer.length < state.length) {
					return false;
				}

				state.body = this.#buffer.slice(0, state.length);
				this.#buffer = this.#buffer.slice(state.length);
				this.#finish();
				return true;
			}

			case 'chunks': {
				return this.#readChunk(state);
			}

			default: {
				state.body += this.#buffer;
				this.#buffer = '';
				return false;
			}
		}
	}

	#readHead() {
		const end = this.#buffer.indexOf('\r\n\r\n');
		if (end === -1) {
			return false;
		}

		const [statusLine, ...lines] = this.#buffer.slice(0, end).split('\r\n');
		this.#buffer = this.#buffer.slice(end + 4);
		const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		const head = {status: Number(statusLine.split(' ')[1]), headers};
		if (headers['transfer-encoding'] === 'chunked') {
			this.#state = {kind: 'chunks', head, body: ''};
		} else if (headers['content-length'] === undefined) {
			this.#state = {kind: 'until_end', head, body: ''};
		} else {
			this.#state = {
				kind: 'length', length: Number(headers['content-length']), head, body: '',
			};
		}

		return true;
	}

	#readChunk(state) {
		const lineEnd = this.#buffer.indexOf('\r\n');
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(this.#buffer.slice(0, lineEnd), 16);
		if (lineEnd === -1 || this.#buffer.length < lineEnd + 2 + size + 2) {
			return false;
		}

		const chunk = this.#buffer.slice(lineEnd + 2, lineEnd + 2 + size);
		this.#buffer = this.#buffer.slice(lineEnd + 2 + size + 2);
		if (size === 0) {
			this.#finish();
		} else {
			state.body += chunk;
			this.onEvent(chunk, state.head);
		}

		return true;
	}
}

/** Runs a case, and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase(folder, run) {
	const closers = [];
	const temporary = mkdtempSync(path.join(os.tmpdir(), 'fireflyport-case-'));
	const record = new Record(folder);
	const daemons = [];
	let code = 2;
	const timer = setTimeout(() => {
		record.add('case_timed_out');
		void finish(); // eslint-disable-line no-void
	}, 115_000);
	/** Ends all processes of the case, and waits until each of them has ended, so that none is left without a parent. */
	const finish = async () => {
		clearTimeout(timer);
		if (Daemon.isEnding) {
			return;
		}

		Daemon.isEnding = true;
		await Promise.all(daemons.map(async daemon => {
			daemon.child?.kill('SIGKILL');
			await daemon.exited;
		}));
		if (process.env.KEEP_LOGS === '1') {
			console.log(`logs in ${temporary}`);
		} else {
			rmSync(temporary, {recursive: true, force: true});
		}

		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	process.once('SIGTERM', finish);
	process.once('SIGINT', finish);
	try {
		if (!existsSync(path.join(ROOT, 'target/fireflyportd.cjs'))) {
			throw new Error('the build of the deploy file has not run');
		}

		const broken = await run({
			record, folder: temporary, address: createAddresses(), daemons, onClose: closer => closers.push(closer),
		});
		code = broken.length > 0 ? 1 : 0;
		record.add('verdict', {broken: broken.length, trouble: hasTrouble});
		for (const text of broken) {
			record.add('broken', {why: JSON.stringify(text)});
		}

		console.log(`${code === 0 ? 'held' : 'broken'}: ${broken.length} ${broken[0] ?? ''}`);
	} catch (err) {
		record.add('could_not_run', {why: JSON.stringify(String(err.stack))});
		console.log(`could not run: ${err.stack}`);
	}

	await finish();
}

/** A proxy before the store or a runner. Open connections can go silent without a reset, and new ones can be refused. */
export class FaultProxy {
	#pairs = new Set();
	isRefusing = false;

	static async start(host, targetAddress) {
		const proxy = new FaultProxy();
		const [targetHost, targetPort] = targetAddress.split(':');
		proxy.server = net.createServer({noDelay: true}, client => {
			if (proxy.isRefusing) {
				client.resetAndDestroy();
				return;
			}

			proxy.#join(client, net.connect({host: targetHost, port: Number(targetPort), noDelay: true}));
		});
		proxy.address = await listen(proxy.server, host);
		return proxy;
	}

	/** Nothing passes on the connections that are open now, for good. */
	silence() {
		for (const {client, server} of this.#pairs) {
			client.unpipe();
			server.unpipe();
			client.pause();
			server.pause();
		}

		this.#pairs.clear();
	}

	/** Resets the connections that are open now. */
	reset() {
		for (const {client, server} of this.#pairs) {
			client.resetAndDestroy();
			server.resetAndDestroy();
		}

		this.#pairs.clear();
	}

	close() {
		this.server.close();
		this.reset();
	}

	#join(client, server) {
		const pair = {client, server};
		this.#pairs.add(pair);
		client.pipe(server);
		server.pipe(client);
		for (const [socket, other] of [[client, server], [server, client]]) {
			socket.on('error', () => {
				other.resetAndDestroy();
			});
			socket.on('close', () => {
				if (this.#pairs.delete(pair)) {
					other.destroy();
				}
			});
		}
	}
}
