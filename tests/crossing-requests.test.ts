import {once} from 'node:events';
import {createServer, type Server, type ServerOptions} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {ClientConnections, type Turn} from '../src/http/client-connections.js';
import {GatewayFixture, platformConfiguration, promptHeaders} from './fixtures/gateway-fixture.js';
import {FlowFixture, signedHeaders} from './fixtures/flow-fixture.js';
import {HttpDaemonFixture} from './fixtures/http-daemon-fixture.js';
import {waitUntil} from './fixtures/http.js';
import {RawConnection, rawRequest} from './fixtures/raw-connection.js';

/** Time in ms for which a request counts as crossing: longer than the way of a packet, shorter than the lingering close. */
const CROSSING_MS = 300;

// Guards against a request that is passed on although the daemon has ended its side of the connection, so that its answer is lost.
describe('a request that crosses the close of its connection', () => {
	let fixture: GatewayFixture;
	const connections: RawConnection[] = [];

	beforeEach(async () => {
		fixture = await GatewayFixture.serve();
	});

	afterEach(async () => {
		for (const connection of connections.splice(0)) {
			connection.close();
		}

		await fixture.close();
	});

	const openConnection = async (): Promise<RawConnection> => {
		const connection = await RawConnection.open(fixture.ports.port, {allowHalfOpen: true});
		connections.push(connection);
		return connection;
	};

	it('should not be passed on in a planned stop, when it follows a stream or a call on a kept connection', async () => {
		const desk = await fixture.addServer('desk', {instance: 'i-1'});
		const engine = await fixture.addServer('model', {instance: 'e-1', events: 30, paceMs: 80});
		await fixture.waitForLog('server=i-1');
		await fixture.waitForLog('server=e-1');
		const afterStream = await openConnection();
		const afterCall = await openConnection();
		const longer = await openConnection();
		afterStream.write(rawRequest('/once/x', 'stream', {headers: promptHeaders(500)}));
		afterCall.write(rawRequest('/book/x', 'call'));
		await waitUntil(() => engine.arrivals.length === 1 && afterCall.text.includes('i-1 answered'));
		const drained = fixture.daemon.drain();
		await delay(1200);
		// Keeps the daemon running until the connections before it have been closed.
		longer.write(rawRequest('/once/x', 'longer', {headers: promptHeaders(500)}));
		const sendCrossing = async (connection: RawConnection, id: string): Promise<void> => {
			await waitUntil(() => connection.hasEnded, 8000);
			connection.write(rawRequest('/book/x', id, {body: 'one sack'}));
		};

		await Promise.all([sendCrossing(afterStream, 'crossing-stream'), sendCrossing(afterCall, 'crossing-call')]);
		await delay(CROSSING_MS);
		await drained;
		expect(desk.arrivals.map(({headers}) => headers['fireflyport-attempt-id'])).toEqual(['call']);
		expect(afterStream.text.endsWith('0\r\n\r\n')).toBe(true);
		expect(longer.text.endsWith('0\r\n\r\n')).toBe(true);
		const unanswered = fixture.logs.filter(line => line.includes('event=request_unanswered') && line.includes('sent=false') && line.includes('reason=connection_closed'));
		expect(unanswered).toHaveLength(2);
		expect(unanswered.join('\n')).toMatch(/request=crossing-call .*request=crossing-stream |request=crossing-stream .*request=crossing-call /sv);
	}, 15_000);

	it('should be answered whenever the idle timeout closes connections at about the time at which requests come', async () => {
		const IDLE_TIMEOUT_MS = 150;
		fixture.store.put('config', 'main', platformConfiguration(4, {
			limits: {'max-body-bytes': 1_000_000, 'header-timeout-ms': 3000, 'idle-timeout-ms': IDLE_TIMEOUT_MS},
		}));
		await fixture.waitForLog('event=configuration version=4');
		const desk = await fixture.addServer('desk', {instance: 'i-1'});
		await fixture.waitForLog('server=i-1');
		await Promise.all(Array.from({length: 80}, async (_, client) => {
			const connection = await openConnection();
			connection.write(rawRequest('/book/x', `first-${client}`));
			await waitUntil(() => connection.statuses.length === 1);
			// Half of them come within 10 ms of the timeout, the others within 120 ms.
			await delay(IDLE_TIMEOUT_MS + (client % 2 === 0 ? (client / 4) - 10 : (client * 3) - 120));
			connection.write(rawRequest('/book/x', `second-${client}`));
			await waitUntil(() => connection.statuses.length === 2 || connection.isClosed || connection.hasEnded);
			if (connection.statuses.length < 2) {
				await delay(CROSSING_MS);
				expect(desk.arrivals.map(({headers}) => headers['fireflyport-attempt-id'])).not.toContain(`second-${client}`);
			}
		}));
	});
});

// Guards against a request that is read in the lingering close behind an answer that the daemon gave by itself.
describe('the connections of clients', () => {
	let server: Server;
	let turns: Turn[];

	afterEach(() => {
		server.closeAllConnections();
		server.close();
	});

	const listen = async (options: ServerOptions): Promise<number> => {
		turns = [];
		server = createServer({connectionsCheckingInterval: 20, ...options});
		const connections = ClientConnections.create(server);
		server.on('request', async (req, res) => {
			const turn = await connections.startRequest(req, res);
			turns.push(turn);
			if (turn === 'started') {
				res.end('answered');
			}
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return (server.address() as AddressInfo).port;
	};

	it('should not start a request that crosses the answer 408 to a connection that sent nothing in time', async () => {
		const connection = await RawConnection.open(await listen({headersTimeout: 100, requestTimeout: 100}), {allowHalfOpen: true});
		await waitUntil(() => connection.hasEnded);
		expect(connection.statuses).toEqual([408]);
		connection.write(rawRequest('/book/x', 'crossing', {body: 'order'}));
		await waitUntil(() => turns.length > 0);
		connection.close();
		expect(turns).toEqual(['connection_closed']);
	});

	it('should start a request that arrives before the answer 408', async () => {
		const connection = await RawConnection.open(await listen({headersTimeout: 100, requestTimeout: 100}), {allowHalfOpen: true});
		connection.write(rawRequest('/book/x', 'early'));
		await connection.waitForText('answered');
		expect(turns).toEqual(['started']);
		connection.close();
	});
});

// Guards against an attempt that is made although the connection of its client has been ended since the request was read.
describe('a request whose connection is ended while it is handled', () => {
	it('should not be sent to another server between two attempts', async () => {
		const fixture = await FlowFixture.create();
		let arrivals = 0;
		for (const instance of ['i-1', 'i-2']) {
			// eslint-disable-next-line @typescript-eslint/no-loop-func
			await fixture.addServer(instance, (_req, res) => {
				arrivals++;
				if (arrivals === 1) {
					fixture.requests[0]!.socket.end();
					res.destroy();
				} else {
					res.writeHead(200, signedHeaders()).end();
				}
			});
		}

		const connection = await RawConnection.open(fixture.port, {allowHalfOpen: true});
		connection.write(rawRequest('/', 'attempt-1'));
		await waitUntil(() => fixture.results.length > 0);
		expect(arrivals).toBe(1);
		expect(fixture.results).toMatchObject([{outcome: 'left', sends: 1}]);
		expect(fixture.openPlacements).toBe(0);
		connection.close();
		await fixture.close();
	});
});

// Guards against the same losses at the other entry, whose requests were handled side by side.
describe('a request behind another one on a connection that a stopping daemon closes', () => {
	const completion = JSON.stringify({model: 'fio-lm', prompt: 'p', max_tokens: 20});
	const textOf = (path: string): string =>
		`POST ${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-mills\r\ncontent-type: application/json\r\ncontent-length: ${completion.length}\r\n\r\n${completion}`;

	it('should be answered if it was read before the close was announced, and not run otherwise', async () => {
		const fixture = await HttpDaemonFixture.start({engines: [{decodeTokensPerSecond: 100}], settings: {drainLagMs: 1500}});
		const connection = await RawConnection.open(Number(fixture.daemon.address.split(':')[1]), {allowHalfOpen: true});
		const drained = fixture.daemon.drain();
		connection.write(textOf('/v1/completions') + textOf('/v1/completions'));
		await waitUntil(() => connection.hasEnded);
		const before = fixture.observations.length;
		connection.write(textOf('/v1/completions'));
		await delay(CROSSING_MS);
		expect(connection.statuses).toEqual([200, 200]);
		expect(fixture.observations.length).toBe(before);
		connection.close();
		await drained;
		await fixture.close();
	});
});
