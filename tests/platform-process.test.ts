import {Buffer} from 'node:buffer';
import {spawn, spawnSync, type ChildProcess} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {
	existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {request} from 'undici';
import {
	afterAll, afterEach, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import {peakMemoryBytes} from '../testing/bench/process-usage.js';
import {parseLogLine} from '../testing/processes.js';
import {buildPlatformProgram, platformNodeFlags} from '../testing/platform-program.js';
import {waitUntil} from './fixtures/http.js';
import {RawConnection, rawRequest} from './fixtures/raw-connection.js';
import {
	platformConfiguration, eventStreamBody, GatewayFixture, promptHeaders,
} from './fixtures/gateway-fixture.js';

const SMALL_HOST_MB = 250;
const FLOODED_REQUESTS = 300;
/** Clients of streams leave after this time without an event. */
const CLIENT_SILENCE_LIMIT_MS = 2000;

let folder: string;
let program: string;
let world: GatewayFixture;
let child: ChildProcess | undefined;

beforeAll(() => {
	folder = mkdtempSync(path.join(tmpdir(), 'fireflyport-'));
	program = buildPlatformProgram(folder);
});

afterAll(() => {
	rmSync(folder, {recursive: true});
});

beforeEach(async () => {
	world = await GatewayFixture.create();
	world.store.put('config', 'main', platformConfiguration(3));
});

afterEach(async () => {
	child?.kill('SIGKILL');
	await world.close();
});

function startProgram(settings: unknown, environment: Readonly<Record<string, string>> = {}): {readonly child: ChildProcess; readonly output: () => string} {
	const file = path.join(folder, 'local.json');
	writeFileSync(file, JSON.stringify(settings));
	const chunks: string[] = [];
	const recordOutput = (chunk: Uint8Array) => {
		chunks.push(String(chunk));
	};

	child = spawn(process.execPath, [...platformNodeFlags(), program], {env: {...process.env, ...environment, FIREFLYPORT_CONFIG: file}});
	child.stdout!.on('data', recordOutput);
	child.stderr!.on('data', recordOutput);
	return {child, output: () => chunks.join('')};
}

async function waitUntilReady(): Promise<void> {
	await waitUntil(async () => {
		try {
			return await world.isReady();
		} catch {
			// Not listening yet.
			return false;
		}
	}, 10_000);
}

describe('platform program', () => {
	it('should exit with code 2 and name the invalid field', async () => {
		const started = startProgram({...world.settingsFile(), ip: 'here'});
		const [code] = await once(started.child, 'close') as [number];
		expect(code).toBe(2);
		expect(started.output()).toContain('ip is "here"');
	});

	it('should exit with code 2 and name the accepted values of an invalid environment variable', async () => {
		const started = startProgram(world.settingsFile(), {FIREFLYPORT_SERVER_PACE: 'fast'});
		const [code] = await once(started.child, 'close') as [number];
		expect(code).toBe(2);
		expect(started.output()).toContain('FIREFLYPORT_SERVER_PACE is "fast": expected one of off, adaptive');
	});

	it('should not start from the code cache of an earlier build', async () => {
		const other = mkdtempSync(path.join(tmpdir(), 'fireflyport-'));
		const bundle = path.join(other, 'fireflyportd-bundle.cjs');
		const cache = path.join(other, 'fireflyportd-bundle.cache');
		buildPlatformProgram(other);
		// A bundle of the same length, and the cache that belongs to it, as an earlier build could have left them.
		writeFileSync(bundle, readFileSync(bundle, 'latin1').replaceAll('FIREFLYPORT_CONFIG is not set', 'FIREFLYPORT_CONFIG is missing'), 'latin1');
		rmSync(cache);
		spawnSync(process.execPath, [...platformNodeFlags(), path.join(other, 'fireflyportd.cjs'), '--write-code-cache'], {env: {}});
		expect(existsSync(cache)).toBe(true);
		const started = spawnSync(process.execPath, [...platformNodeFlags(), buildPlatformProgram(other)], {env: {}});
		expect(String(started.stderr)).toContain('FIREFLYPORT_CONFIG is not set');
		expect(String(started.stderr)).not.toContain('rejected');
		rmSync(other, {recursive: true});
	});

	it('should register, serve requests and metrics, and complete a stream after SIGTERM before it exits with code 0', async () => {
		const server = await world.addServer('model', {instance: 'e-1', events: 15, paceMs: 100});
		const started = startProgram(world.settingsFile());
		await waitUntilReady();
		expect(world.store.names('fireflyport-daemons')).toEqual(['127.0.0.1']);
		const stream = world.send('/chat/x', {headers: promptHeaders(1000)});
		await waitUntil(() => server.arrivals.length === 1);
		const exited = once(started.child, 'close');
		started.child.kill('SIGTERM');
		expect(await stream).toMatchObject({body: eventStreamBody(1, 15), isBroken: false});
		const {body} = await request(`http://127.0.0.1:${world.ports.metricsPort}/metrics`);
		const metrics = await body.text();
		expect(metrics).toContain('fireflyport_requests_total{service="model",outcome="delivered"} 1');
		expect(metrics).toContain('fireflyport_log_lines_dropped 0');
		expect(metrics).toContain('fireflyport_store_calls_total{kind="servers",operation="list",result="listed"} 1');
		expect(metrics).toContain('fireflyport_store_calls_total{kind="fireflyport-daemons",operation="create",result="created"} 1');
		expect(await exited).toEqual([0, null]);
		expect(started.output()).toContain('event=drained');
	});

	it('should answer requests and exit with code 0 when SIGTERM comes before its start is complete, and again after it', async () => {
		world.store.setMode('silent');
		const started = startProgram(world.settingsFile());
		const exited = once(started.child, 'close');
		let connection: RawConnection | undefined;
		await waitUntil(async () => {
			try {
				connection = await RawConnection.open(world.ports.port);
			} catch {
				// Not listening yet.
			}

			return connection !== undefined;
		}, 10_000);
		started.child.kill('SIGTERM');
		await delay(300);
		started.child.kill('SIGTERM');
		connection!.write(rawRequest('/look/x', 'early'));
		await waitUntil(() => connection!.statuses.length === 1 || connection!.isClosed);
		expect(connection!.statuses).toEqual([503]);
		expect(await exited).toEqual([0, null]);
		expect(started.output()).toContain('event=drained');
	});

	it('should stay within the memory of a small host and serve other requests in time while hundreds of servers send without end', async () => {
		const kinds = ['body', 'tiny chunks', 'chunk extension', 'refusal body', 'informational heads'] as const;
		await Promise.all(kinds.map(async bytes => world.addEndlessServer('desk', {instance: `endless-${bytes.replaceAll(' ', '-')}`, bytes})));
		await world.addServer('model', {instance: 'e-1', events: 4});
		const settings = world.settingsFile();
		const started = startProgram({...settings, limits: {...settings.limits as object, 'memory-mb': SMALL_HOST_MB}});
		await waitUntilReady();
		await waitUntil(() => started.output().includes('server=e-1'));
		const flooded = Array.from({length: FLOODED_REQUESTS}, async () => world.send('/book/order'));
		for (let sent = 0; sent < 10; sent++) {
			expect(await world.bodyOf('/chat/x', {headers: promptHeaders(1000)})).toBe(eventStreamBody(1, 4));
		}

		const responses = await Promise.all(flooded);
		expect(responses.filter(({status}) => ![502, 503, 504].includes(status))).toEqual([]);
		await waitUntil(() => world.endlessServers.every(({openConnections}) => openConnections === 0));
		expect(peakMemoryBytes(started.child.pid!)).toBeLessThan(SMALL_HOST_MB * 1024 * 1024);
		const firstEvents = () => started.output().split('\n').map(line => parseLogLine(line)).filter(({event, route}) => event === 'request_done' && route === 'chat');
		await waitUntil(() => firstEvents().length === 10);
		expect(Math.max(...firstEvents().map(({first_event_ms: ms}) => Number(ms)))).toBeLessThan(CLIENT_SILENCE_LIMIT_MS);
	});

	it('should keep serving after malformed messages on each of its ports and from the store', async () => {
		await world.addServer('desk', {instance: 'i-1'});
		const started = startProgram(world.settingsFile());
		await waitUntilReady();
		await waitUntil(() => started.output().includes('server=i-1'));
		const random = fc.sample(fc.oneof(malformedDatagram, fc.uint8Array({maxLength: 400}).map(bytes => Buffer.from(bytes))), 1000);
		await sendDatagrams(world.ports.peerPort, random);
		const {port, readyPort, peerPort, metricsPort} = world.ports;
		const requests = [
			'\u0000\u0001\u0002',
			'GET / HTTP/9.9\r\n\r\n',
			'POST /list HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n',
			`GET /list?input=${'%7B'.repeat(3000)} HTTP/1.1\r\nHost: x\r\n\r\n`,
		];
		for (const target of [port, readyPort, peerPort, metricsPort]) {
			for (const text of requests) {
				await sendText(target, text);
			}
		}

		for (const value of [null, [], 'text', 7, {routes: {}}, {version: 'x', routes: [{}]}, JSON.parse('['.repeat(2000) + ']'.repeat(2000))]) {
			world.store.put('config', 'main', value);
			world.store.put('servers', 'i-broken', value);
			world.store.put('evacuations', 'nowhere', value);
			world.store.put('fireflyport-daemons', '10.0.0.1', value);
		}

		await waitUntil(() => started.output().includes('event=server_unreadable'));
		expect(await world.statusOf('/look/x')).toBe(200);
		expect(started.child.exitCode).toBeNull();
		expect(started.output()).not.toContain('event=unexpected_error');
	});
});

/** Datagrams with the structure of messages between daemons and values of any type. */
const malformedDatagram = fc.record({
	as: fc.constantFrom('follower', 'relay', 'peer', 'probe'),
	failureDomain: fc.oneof(fc.string(), fc.constant('braga')),
	cores: fc.oneof(fc.double(), fc.anything()),
	messages: fc.array(fc.record({
		kind: fc.constantFrom('opened', 'started', 'closed', 'lost', 'alive', 'missing', 'beat'),
		daemon: fc.string(),
		domain: fc.string(),
		server: fc.string(),
		id: fc.string(),
		ids: fc.array(fc.string()),
		forMs: fc.double(),
		open: fc.array(fc.record({id: fc.string(), startedAgeMs: fc.oneof(fc.double(), fc.anything())})),
		placement: fc.anything(),
		storeAgeMs: fc.double(),
		revisions: fc.dictionary(fc.string(), fc.double()),
		eras: fc.dictionary(fc.string(), fc.double()),
		wantsReply: fc.boolean(),
	}), {maxLength: 4}),
}).map(datagram => Buffer.from(JSON.stringify(datagram, (_key, value: unknown) => typeof value === 'bigint' ? String(value) : value)));

async function sendDatagrams(port: number, datagrams: readonly Uint8Array[]): Promise<void> {
	const socket = createSocket('udp4');
	for (const datagram of datagrams) {
		await new Promise<void>(resolve => {
			socket.send(datagram, port, '127.0.0.1', () => {
				resolve();
			});
		});
	}

	socket.close();
}

/** Sends `text` on a new connection and waits until the peer closes it or for a short time. */
async function sendText(port: number, text: string): Promise<void> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.on('data', () => undefined);
	socket.write(text);
	await Promise.race([once(socket, 'close'), delay(200)]);
	socket.destroy();
}

