/**
 * Planned stops in turn. Now and then a sound runner falls silent for a second or so, here between the last piece of a stream and the end of
 * its answer, and goes on.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	BOUNDS, ClientConnection, Daemon, freePorts, hasTrouble, Ingress, runCase, Runner, Store,
} from '../support-2/platform.mjs';

const ZONES = {z1: 'r1', z2: 'r1', z3: 'r1'};
const KEY = 'key-of-tenant-a';
const CLIENTS = 45;
const DEADLINE_MS = 10_000;
const RUN_MS = 40_000;
const FIRST_STOP_MS = 5000;
const BETWEEN_STOPS_MS = 1500;
const GRACE_MS = BOUNDS['grace-s'] * 1000;
/** "A second or so"; the clients of the route leave after two. */
const SILENCE_MS = 1200;
/** One stream in so many meets the silence. */
const SILENT_EVERY = 4;
const PIECE_MS = 120;

const configuration = {
	version: 3,
	routes: [{
		name: 'chat', host: 'desk.example', 'path-prefix': '/chat/', kind: 'stream', resumable: true, service: 'lm', 'timeout-ms': 10_000, 'target-latency-ms': 300, 'gap-target-ms': 200, priority: 1, 'max-attempts': 2, sticky: true,
	}],
	services: [{name: 'lm', 'health-path': '/health'}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
	tenants: [{name: 'a', 'api-keys': [KEY]}],
};

let ids = 0;
const nextId = () => `a${String(++ids).padStart(7, '0')}`;

await runCase(import.meta.dirname, async ({record, folder, address, daemons, onClose}) => {
	const store = await Store.start(address());
	onClose(() => store.close());
	store.put('config', 'main', configuration);
	const runnerHost = address();
	/** Ids of the streams that a runner has begun to run. */
	const runs = new Set();
	for (const zone of Object.keys(ZONES)) {
		for (let index = 0; index < 2; index++) {
			await Runner.start({
				store, host: runnerHost, id: `lm-${zone}-${index}`, service: 'lm', zone, slots: 32, serve,
			});
		}
	}

	async function serve(req, res, _body, runner) {
		const id = req.headers['fireflyport-attempt-id'];
		const last = Number(req.headers['last-event-id'] ?? 0);
		const pieces = Number(req.headers['x-pieces']);
		runs.add(id);
		record.add('run', {
			runner: runner.id, id, after: last, pieces,
		});
		res.writeHead(200, {'content-type': 'text/event-stream', 'fireflyport-attempt-id': id, 'fireflyport-response-seal': `seal.${runner.id}.${id}`});
		res.flushHeaders();
		for (let piece = last + 1; piece <= pieces && !res.destroyed; piece++) {
			await sleep(PIECE_MS);
			res.write(`id: ${piece}\ndata: piece ${piece}\n\n`);
		}

		if (hasTrouble && last === 0 && Number(id.slice(1)) % SILENT_EVERY === 0) {
			await sleep(SILENCE_MS);
		}

		record.add('ends', {runner: runner.id, id, isCut: res.destroyed});
		res.end();
	}

	const zones = Object.keys(ZONES);
	const ips = zones.map(() => address());
	const ports = await freePorts(ips, 4);
	for (const [index, zone] of zones.entries()) {
		daemons.push(new Daemon({
			folder, name: `front-${zone}`, ip: ips[index], zone, zones: ZONES, ports, store: store.address, record,
		}));
	}

	for (const daemon of daemons) {
		daemon.start();
	}

	for (const daemon of daemons) {
		await daemon.waitReady();
	}

	const ingress = await Ingress.start(address(), daemons);
	onClose(() => ingress.close());
	const broken = [];
	/** Times of the latest SIGTERM. */
	const stoppedAt = new Map();
	const until = performance.now() + RUN_MS;
	let otherEnds = 0;

	/** Reads one stream on a connection of its own, to the daemon that the platform chooses. */
	async function readStream() {
		const id = nextId();
		const pieces = 8 + Math.floor(Math.random() * 12);
		const daemon = ingress.choose();
		const sentAt = performance.now();
		let received = '';
		record.add('sent', {id, pieces, daemon: daemon.name});
		const result = await new Promise(resolve => {
			const connection = new ClientConnection(daemon.front, {
				onEvent(text) {
					received += text;
				},
				onResponse(response) {
					connection.close();
					resolve({kind: 'response', ...response});
				},
				onEnd(reason) {
					resolve({kind: 'end', reason});
				},
			});
			connection.send({
				method: 'POST',
				target: '/chat/1',
				headers: {
					Host: 'desk.example', Connection: 'close', 'Fireflyport-Credential': KEY, 'Fireflyport-Attempt-Id': id, 'Fireflyport-Deadline-Ms': DEADLINE_MS, 'X-Pieces': pieces,
				},
				body: 'hello',
			});
		});
		const now = performance.now();
		const got = received.match(/^id:/gmv)?.length ?? 0;
		record.add('received', {
			id, kind: result.kind, status: result.status, pieces: got,
		});
		if (result.kind !== 'end' || !runs.has(id)) {
			return;
		}

		const sinceStopMs = now - (stoppedAt.get(daemon) ?? Infinity);
		if (sinceStopMs > 0 && sinceStopMs < (5 / 6) * GRACE_MS && now - sentAt < DEADLINE_MS) {
			broken.push(`stream ${id} at ${daemon.name}, ${Math.round(sinceStopMs)} ms after its SIGTERM and ${Math.round(now - sentAt)} ms after it was sent, was passed on, and its connection ended after ${got} of ${pieces} pieces without the end of the answer`);
		} else {
			otherEnds++;
		}
	}

	async function readStreams() {
		while (performance.now() < until) {
			await readStream();
			await sleep(100 + (Math.random() * 300));
		}
	}

	async function stopInTurn() {
		await sleep(FIRST_STOP_MS);
		for (const daemon of daemons) {
			stoppedAt.set(daemon, performance.now());
			await daemon.stop();
			daemon.start();
			await daemon.waitReady();
			await sleep(BETWEEN_STOPS_MS);
		}
	}

	await Promise.all([stopInTurn(), ...Array.from({length: CLIENTS}, async () => readStreams())]);
	record.add('counts', {streams: ids, broken: broken.length, otherEnds});
	if (ids < 200) {
		throw new Error(`only ${ids} streams were read`);
	}

	return broken;
});
