/**
 * Planned stops in turn, under clients that go on with their kept connections: each reads a stream and then sends an order on the same
 * connection, after a pause of at most 60 ms.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	BOUNDS, ClientConnection, Daemon, freePorts, hasTrouble, Ingress, runCase, Runner, Store,
} from '../support-2/platform.mjs';

const ZONES = {z1: 'r1', z2: 'r1', z3: 'r1'};
const CLIENTS = 180;
const STREAM_DEADLINE_MS = 15_000;
const ORDER_DEADLINE_MS = 3000;
const KEY = 'key-of-tenant-a';
const RUN_MS = 46_000;
const FIRST_STOP_MS = 6000;
const BETWEEN_STOPS_MS = 2000;

const configuration = {
	version: 3,
	routes: [
		{
			name: 'chat', host: 'desk.example', 'path-prefix': '/chat/', kind: 'stream', resumable: true, service: 'lm', 'timeout-ms': 15_000, 'target-latency-ms': 1500, 'gap-target-ms': 500, priority: 1, 'max-attempts': 2, sticky: true,
		},
		{
			name: 'order', host: 'desk.example', 'path-prefix': '/order/', kind: 'unsafe', service: 'desk', 'timeout-ms': 1500, 'target-latency-ms': 300, priority: 2, 'max-attempts': 1,
		},
	],
	services: [{name: 'lm', 'health-path': '/health'}, {name: 'desk', 'health-path': '/health'}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 5000, 'idle-timeout-ms': 10_000,
	},
	tenants: [{name: 'a', 'api-keys': [KEY]}],
};

let ids = 0;
const nextId = () => `a${String(++ids).padStart(7, '0')}`;

await runCase(import.meta.dirname, async ({record, folder, address, daemons, onClose}) => {
	const store = await Store.start(address());
	onClose(() => store.close());
	store.put('config', 'main', configuration);
	/** Ids of the requests that runners have begun to run. */
	const runs = new Set();
	const answered = new Set();
	const runnerHost = address();
	for (const zone of Object.keys(ZONES)) {
		for (let index = 0; index < 2; index++) {
			await Runner.start({
				store, host: runnerHost, id: `lm-${zone}-${index}`, service: 'lm', zone, slots: 32, serve: serveStream,
			});
		}

		await Runner.start({
			store, host: runnerHost, id: `desk-${zone}`, service: 'desk', zone, slots: 16, serve: serveOrder,
		});
	}

	async function serveStream(req, res, _body, runner) {
		const id = req.headers['fireflyport-attempt-id'];
		record.add('run', {runner: runner.id, id});
		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		res.writeHead(200, {'content-type': 'text/event-stream', 'fireflyport-attempt-id': id, 'fireflyport-response-seal': `seal.${runner.id}.${id}`});
		const pieces = Number(req.headers['x-pieces']);
		for (let piece = first; piece <= pieces && !res.destroyed; piece++) {
			await sleep(200);
			res.write(`id: ${piece}\ndata: piece ${piece}\n\n`);
		}

		res.end();
	}

	async function serveOrder(req, res, _body, runner) {
		const id = req.headers['fireflyport-attempt-id'];
		runs.add(id);
		record.add('run', {runner: runner.id, id});
		await sleep(60);
		if (!res.destroyed) {
			const body = `booked by ${runner.id}`;
			res.writeHead(200, {'content-length': body.length, 'fireflyport-attempt-id': id, 'fireflyport-response-seal': `seal.${runner.id}.${id}`});
			res.end(body);
			answered.add(id);
			record.add('answered', {runner: runner.id, id});
		}
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
	const until = performance.now() + RUN_MS;
	let orders = 0;

	/** Uses one connection for as long as it stays open. */
	async function useConnection() {
		let finish;
		const connection = new ClientConnection(ingress.address, {
			onResponse(response) {
				finish?.({kind: 'response', ...response});
			},
			onEnd(reason) {
				finish?.({kind: 'end', reason});
			},
		});
		const exchange = async (req, timeoutMs) => {
			const result = await new Promise(resolve => {
				finish = resolve;
				connection.send(req);
				setTimeout(resolve, timeoutMs, {kind: 'timeout'});
			});
			finish = undefined;
			return result;
		};

		const common = {Host: 'desk.example', 'Fireflyport-Credential': KEY};
		while (performance.now() < until && !connection.isEnded) {
			const streamId = nextId();
			const pieces = 8 + Math.floor(Math.random() * 24);
			record.add('sent', {id: streamId, kind: 'chat'});
			const stream = await exchange({
				method: 'POST', target: '/chat/1', headers: {
					...common, 'Fireflyport-Attempt-Id': streamId, 'Fireflyport-Deadline-Ms': STREAM_DEADLINE_MS, 'X-Pieces': pieces,
				}, body: 'hello',
			}, STREAM_DEADLINE_MS);
			record.add('received', {id: streamId, kind: stream.kind, status: stream.status});
			if (stream.kind !== 'response' || stream.headers.connection === 'close') {
				break;
			}

			await sleep(Math.random() * 60);
			if (connection.isEnded) {
				break;
			}

			const orderId = nextId();
			orders++;
			record.add('sent', {id: orderId, kind: 'order'});
			const order = await exchange({
				method: 'POST', target: '/order/1', headers: {...common, 'Fireflyport-Attempt-Id': orderId, 'Fireflyport-Deadline-Ms': ORDER_DEADLINE_MS}, body: 'one sack',
			}, ORDER_DEADLINE_MS);
			record.add('received', {
				id: orderId, kind: order.kind, status: order.status, reason: order.reason,
			});
			if (order.kind === 'end') {
				// Gives a request time to arrive that the daemon has passed on.
				await sleep(500);
				if (runs.has(orderId)) {
					broken.push(`order ${orderId} was passed on to a runner, and its connection ended without an answer (${order.reason})`);
				}
			}

			if (order.kind !== 'response' || order.headers.connection === 'close') {
				break;
			}

			await sleep(200 + (Math.random() * 300));
		}

		connection.close();
	}

	async function useConnections() {
		while (performance.now() < until) {
			await useConnection();
			await sleep(50);
		}
	}

	async function stopInTurn() {
		await sleep(FIRST_STOP_MS);
		for (const daemon of daemons) {
			await daemon.stop();
			daemon.start();
			await daemon.waitReady();
			await sleep(BETWEEN_STOPS_MS);
		}
	}

	const clients = Array.from({length: CLIENTS}, async () => useConnections());
	await Promise.all([...clients, ...(hasTrouble ? [stopInTurn()] : [])]);
	record.add('counts', {orders, runs: runs.size, graceS: BOUNDS['grace-s']});
	if (orders < 50) {
		throw new Error(`only ${orders} orders were sent`);
	}

	return broken;
});
