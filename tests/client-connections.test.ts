import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {GatewayFixture, platformConfiguration, promptHeaders} from './fixtures/gateway-fixture.js';
import {waitUntil} from './fixtures/http.js';
import {RawConnection, rawRequest} from './fixtures/raw-connection.js';

/** More than the buffers of a loopback connection hold, so that a client that does not read stops the response midway. */
const LARGE_RESPONSE_BYTES = 4_000_000;
/** Time in ms after the start of a drain at which new requests are refused and idle connections are closed. */
const DRAIN_LAG_MS = 2800;

let fixture: GatewayFixture;
const connections: RawConnection[] = [];

beforeEach(async () => {
	fixture = await GatewayFixture.create();
	fixture.store.put('config', 'main', platformConfiguration(3));
	await fixture.start();
	await fixture.waitForLog('event=configuration');
});

afterEach(async () => {
	for (const connection of connections.splice(0)) {
		connection.close();
	}

	await fixture.close();
});

async function openConnection(): Promise<RawConnection> {
	const connection = await RawConnection.open(fixture.ports.port);
	connections.push(connection);
	return connection;
}

describe('connections of clients', () => {
	it('should deliver a response that a slow client is still reading when idle connections are closed', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1', bodyBytes: LARGE_RESPONSE_BYTES});
		const slow = await fixture.addServer('model', {instance: 'e-1', events: 80, paceMs: 40});
		await fixture.waitForLog('server=i-1');
		await fixture.waitForLog('server=e-1');
		const connection = await openConnection();
		connection.write(rawRequest('/book/x', 'large'));
		await waitUntil(() => server.arrivals.length === 1);
		connection.socket.pause();
		const drained = fixture.daemon.drain();
		await delay(DRAIN_LAG_MS - 1500);
		void fixture.send('/once/x');
		await waitUntil(() => slow.arrivals.length === 1);
		await delay(1500 + 300);
		connection.socket.resume();
		await connection.waitForClose();
		await drained;
		expect(connection.text.length).toBeGreaterThan(LARGE_RESPONSE_BYTES);
	});

	it('should answer pipelined requests during a planned stop before the connection closes', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1', paceMs: 300});
		await fixture.waitForLog('server=i-1');
		const connection = await openConnection();
		const drained = fixture.daemon.drain();
		connection.write(rawRequest('/book/x', 'first') + rawRequest('/book/x', 'second'));
		await connection.waitForClose();
		await drained;
		const arrived = server.arrivals.map(({headers}) => headers['fireflyport-attempt-id']);
		expect(arrived).toEqual(['first', 'second']);
		expect(connection.statuses).toEqual([200, 200]);
		expect(fixture.logs.filter(line => line.includes('event=request_unanswered'))).toEqual([]);
	});

	it('should not pass on a request that is read after a response has announced the close, and say so in the log', async () => {
		const engine = await fixture.addServer('model', {instance: 'e-1', events: 6, paceMs: 100});
		const desk = await fixture.addServer('desk', {instance: 'i-1'});
		await fixture.waitForLog('server=i-1');
		const connection = await openConnection();
		const drained = fixture.daemon.drain();
		connection.write(rawRequest('/once/x', 'first', {headers: promptHeaders(500)}));
		await waitUntil(() => /connection: close/iv.test(connection.text));
		connection.write(rawRequest('/book/x', 'second', {body: 'order'}));
		await connection.waitForClose();
		await drained;
		expect(connection.statuses).toEqual([200]);
		expect(connection.text.endsWith('0\r\n\r\n')).toBe(true);
		expect(engine.arrivals).toHaveLength(1);
		expect(desk.arrivals).toEqual([]);
		expect(fixture.logs.find(line => line.includes('event=request_unanswered'))).toMatch(/request=second phase=reading sent=false age_ms=\d+ reason=close_announced/v);
	});

	it('should name in the log a request behind a stream that is broken off, and not pass it on', async () => {
		const engine = await fixture.addServer('model', {instance: 'e-1', events: 4, paceMs: 30});
		const desk = await fixture.addServer('desk', {instance: 'i-1'});
		await fixture.waitForLog('server=i-1');
		engine.injectFaults({kind: 'break', events: 1});
		const connection = await openConnection();
		connection.write(rawRequest('/once/x', 'first', {headers: promptHeaders(500)}) + rawRequest('/book/x', 'second'));
		await connection.waitForClose();
		await fixture.waitForLog('event=request_unanswered');
		expect(connection.statuses).toEqual([200]);
		expect(desk.arrivals).toEqual([]);
		expect(fixture.logs.find(line => line.includes('event=request_unanswered'))).toMatch(/request=second phase=reading sent=false age_ms=\d+ reason=connection_closed/v);
	});

	it('should end a pipelined request when its client leaves', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1', paceMs: 1000});
		await fixture.waitForLog('server=i-1');
		const connection = await openConnection();
		connection.write(rawRequest('/look/x', 'first') + rawRequest('/look/x', 'second'));
		await waitUntil(() => server.arrivals.length > 0);
		await delay(100);
		connection.close();
		await delay(500);
		expect(server.abortedRequests).toBe(server.arrivals.length);
	});

	it('should name in the log a request whose client leaves before its body is complete', async () => {
		const connection = await openConnection();
		connection.write(rawRequest('/book/x', 'partial', {headers: {'content-length': '10'}, body: 'half'}));
		await delay(100);
		connection.close();
		await fixture.waitForLog('event=request_unanswered');
		expect(fixture.logs.find(line => line.includes('event=request_unanswered'))).toMatch(/request=partial phase=reading sent=false age_ms=\d+ reason=client_left/v);
	});

	it('should name in the log a response that its client has not read when the process exits', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1', bodyBytes: LARGE_RESPONSE_BYTES});
		await fixture.waitForLog('server=i-1');
		const connection = await openConnection();
		connection.write(rawRequest('/book/x', 'unread'));
		await waitUntil(() => server.arrivals.length === 1);
		connection.socket.pause();
		await fixture.waitForLog('event=request_done');
		await fixture.daemon.drain();
		expect(fixture.logs.find(line => line.includes('event=request_unanswered'))).toMatch(/request=unread phase=answered sent=true server=i-1 age_ms=\d+ reason=process_exits/v);
	});

	it('should answer pipelined requests in order on a kept connection', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1', paceMs: 30});
		await fixture.waitForLog('server=i-1');
		const connection = await openConnection();
		connection.write(['one', 'two', 'three'].map(id => rawRequest('/book/x', id, {body: `body of ${id}`})).join(''));
		await waitUntil(() => connection.statuses.length === 3);
		await connection.waitForText('fireflyport-attempt-id: three');
		expect(connection.statuses).toEqual([200, 200, 200]);
		expect([...connection.text.matchAll(/attempt-id: (\w+)/gv)].map(([, id]) => id)).toEqual(['one', 'two', 'three']);
		expect(server.arrivals.map(({body}) => body)).toEqual(['body of one', 'body of two', 'body of three']);
	});

	it('should not answer a request that is being run with the error of the bytes that follow it', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1', paceMs: 300});
		await fixture.waitForLog('server=i-1');
		const connection = await openConnection();
		connection.write(rawRequest('/book/x', 'whole'));
		await waitUntil(() => server.arrivals.length === 1);
		connection.write('NOT HTTP\r\n\r\n');
		await connection.waitForClose();
		expect(connection.statuses).toEqual([200]);
	});

	it('should answer all whole pipelined requests before bytes that are no request', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1', paceMs: 300});
		await fixture.waitForLog('server=i-1');
		const connection = await openConnection();
		connection.write(rawRequest('/book/x', 'first') + rawRequest('/book/x', 'second'));
		await waitUntil(() => server.arrivals.length === 1);
		connection.write('NOT HTTP\r\n\r\n');
		await connection.waitForClose();
		expect(connection.statuses).toEqual([200, 200]);
	});

	it('should answer a CONNECT request', async () => {
		const connection = await openConnection();
		connection.write(rawRequest('desk.example:443', 'tunnel', {method: 'CONNECT'}));
		await connection.waitForClose();
		expect(connection.statuses).toEqual([400]);
	});

	it('should forward a request that offers an upgrade, without it', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1'});
		await fixture.waitForLog('server=i-1');
		const connection = await openConnection();
		connection.write(rawRequest('/book/x', 'upgrading', {headers: {connection: 'upgrade', upgrade: 'websocket'}}));
		await connection.waitForText('i-1 answered');
		expect(connection.statuses).toEqual([200]);
		expect(server.arrivals[0]!.headers.upgrade).toBeUndefined();
	});

	it('should read a body that waits for 100 Continue', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1'});
		await fixture.waitForLog('server=i-1');
		const connection = await openConnection();
		connection.write(rawRequest('/book/x', 'expecting', {headers: {expect: '100-continue', 'content-length': '4'}}));
		await connection.waitForText('100 Continue');
		connection.write('body');
		await connection.waitForText('i-1 answered');
		expect(server.arrivals[0]!.body).toBe('body');
	});
});

// Guards against a reset by unread bytes, which takes the refusal from the client, and against a close that never ends.
describe('a client that is refused while it sends its body', () => {
	/** More than the buffers of a loopback connection hold. */
	const BODY_BYTES = 8_000_000;
	const PIECE = 'x'.repeat(400_000);

	/** Sends the head and the first piece of a body, and waits for the refusal without reading it. */
	const sendRefused = async (): Promise<RawConnection> => {
		fixture.store.put('config', 'main', platformConfiguration(4, {
			limits: {'max-body-bytes': 300, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000},
		}));
		await fixture.waitForLog('event=configuration version=4');
		const connection = await openConnection();
		connection.socket.pause();
		connection.write(rawRequest('/book/x', 'long', {headers: {'content-length': String(BODY_BYTES)}}));
		connection.write(PIECE);
		await fixture.waitForLog('code=request_too_large');
		return connection;
	};

	it('should get the refusal after it has sent the rest', async () => {
		const connection = await sendRefused();
		for (let bytes = PIECE.length; bytes < BODY_BYTES; bytes += PIECE.length) {
			connection.write(PIECE);
			await delay(10);
		}

		connection.socket.resume();
		await connection.waitForClose();
		expect(connection.statuses).toEqual([413]);
	});

	it('should get the refusal at the end of a planned stop', async () => {
		const connection = await openConnection();
		connection.socket.pause();
		connection.write(rawRequest('/book/x', 'late', {headers: {'content-length': '1000000'}}));
		await delay(100);
		const drained = fixture.daemon.drain();
		await waitUntil(() => fixture.logs.some(line => line.includes('event=request_ended_by_stop')), 8000);
		for (let piece = 0; piece < 4; piece++) {
			connection.write(PIECE.slice(0, 200_000));
			await delay(40);
		}

		connection.socket.resume();
		await connection.waitForClose();
		expect(connection.statuses).toEqual([503]);
		await drained;
	}, 15_000);

	it('should not have a request passed on that follows the rest', async () => {
		const desk = await fixture.addServer('desk', {instance: 'i-1'});
		await fixture.waitForLog('server=i-1');
		const connection = await sendRefused();
		connection.write('x'.repeat(BODY_BYTES - PIECE.length) + rawRequest('/book/x', 'second'));
		await fixture.waitForLog('event=request_unanswered');
		connection.socket.resume();
		await connection.waitForClose();
		expect(connection.statuses).toEqual([413]);
		expect(desk.arrivals).toEqual([]);
		expect(fixture.logs.find(line => line.includes('event=request_unanswered'))).toMatch(/request=second .*reason=close_announced/v);
	});

	it('should lose its connection when it sends without end', async () => {
		const connection = await sendRefused();
		const startedAt = performance.now();
		while (!connection.isClosed && connection.socket.bytesWritten < 10 * BODY_BYTES) {
			connection.write(PIECE);
			await delay(5);
		}

		expect(connection.isClosed).toBe(true);
		expect(performance.now() - startedAt).toBeLessThan(1500);
	});

	it('should lose its connection when it neither sends nor closes', async () => {
		const connection = await sendRefused();
		const hasClosed = (): boolean => {
			connection.write('x');
			return connection.isClosed;
		};

		await delay(1000);
		expect(hasClosed()).toBe(false);
		await waitUntil(hasClosed, 2000);
	});
});

describe('limits of a new configuration', () => {
	const putLimits = async (version: number, limits: Record<string, number>): Promise<void> => {
		fixture.store.put('config', 'main', platformConfiguration(version, {
			limits: {
				'max-body-bytes': 1_000_000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000, ...limits,
			},
		}));
		await fixture.waitForLog(`event=configuration version=${version}`);
	};

	it('should keep a connection open for the time that the response announced, also when a configuration shortens it meanwhile', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1', paceMs: 600});
		await fixture.waitForLog('server=i-1');
		const connection = await openConnection();
		connection.write(rawRequest('/book/x', 'first'));
		await waitUntil(() => server.arrivals.length === 1);
		await putLimits(4, {'idle-timeout-ms': 100});
		await connection.waitForText('i-1 answered');
		expect(connection.text).toContain('timeout=15');
		await delay(2000);
		expect(connection.isClosed).toBe(false);
	});

	it.each([
		['idle-timeout-ms', 0.25], ['idle-timeout-ms', 1e300], ['header-timeout-ms', 0.25], ['header-timeout-ms', 1e300], ['header-timeout-ms', 4_294_967_296],
	])('should serve with %s out of range: %d', async (limit, value) => {
		await fixture.addServer('desk', {instance: 'i-1', paceMs: 10});
		await fixture.waitForLog('server=i-1');
		await putLimits(4, {[limit]: value});
		const connection = await openConnection();
		connection.write(rawRequest('/book/x', 'one'));
		await connection.waitForText('i-1 answered');
		expect(connection.statuses).toEqual([200]);
	});
});
