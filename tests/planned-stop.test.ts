import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {GatewayFixture, platformConfiguration, promptHeaders} from './fixtures/gateway-fixture.js';
import {waitUntil} from './fixtures/http.js';
import {RawConnection, rawRequest} from './fixtures/raw-connection.js';

const CLIENTS = 12;
/** Time in ms under load before the stop begins. */
const LOAD_BEFORE_STOP_MS = 300;
/** Time in ms between SIGTERM and SIGKILL in the fixture. */
const GRACE_MS = 5000;
/** A request that crosses the end of the connection is not lost. */
const LOSS_SLACK_MS = 200;

let fixture: GatewayFixture;

beforeEach(async () => {
	fixture = await GatewayFixture.create();
	fixture.store.put('config', 'main', platformConfiguration(3));
	await fixture.start();
	await fixture.waitForLog('event=configuration');
});

afterEach(async () => {
	await fixture.close();
});

describe('planned stop under load', () => {
	it('should answer every request that it has accepted, and refuse truthfully what it no longer accepts', async () => {
		const desk = await fixture.addServer('desk', {instance: 'i-1', paceMs: 30});
		const engine = await fixture.addServer('model', {instance: 'e-1', events: 8, paceMs: 40});
		await fixture.waitForLog('server=i-1');
		await fixture.waitForLog('server=e-1');
		const outcomes = new Map<string, {readonly status: number; readonly isComplete: boolean}>();
		const unanswered: string[] = [];
		const stop = new AbortController();
		const runClient = async (client: number): Promise<void> => {
			for (let sent = 0; !stop.signal.aborted; sent++) {
				const id = `client-${client}-${sent}`;
				const isStream = client % 2 === 0;
				const headers = {'fireflyport-attempt-id': id, ...(isStream ? promptHeaders(1000) : {})};
				try {
					const {status, isBroken} = await fixture.send(isStream ? '/once/x' : '/book/x', {headers});
					outcomes.set(id, {status, isComplete: !isBroken});
				} catch {
					// The connection was refused, or closed before the daemon had read the request.
					unanswered.push(id);
					await delay(20);
				}
			}
		};

		const clients = Array.from({length: CLIENTS}, async (_, client) => runClient(client));
		await delay(LOAD_BEFORE_STOP_MS);
		await fixture.daemon.drain();
		stop.abort();
		await Promise.all(clients);

		const arrived = [...desk.arrivals, ...engine.arrivals].map(({headers}) => String(headers['fireflyport-attempt-id']));
		expect(arrived.length).toBeGreaterThan(CLIENTS * 5);
		expect(new Set(arrived).size).toBe(arrived.length);
		expect(arrived.filter(id => outcomes.get(id)?.status !== 200 || !outcomes.get(id)!.isComplete)).toEqual([]);
		const refused = [...outcomes].filter(([, {status}]) => status !== 200);
		expect(refused.filter(([id, {status}]) => status !== 503 || arrived.includes(id))).toEqual([]);
		expect(unanswered.filter(id => arrived.includes(id))).toEqual([]);
	});
});

describe('end of a planned stop', () => {
	it('should answer each call that it has read whole, under load from new and kept connections up to its end', async () => {
		const paces = [20, 300, 1200, 2700];
		const servers = await Promise.all(paces.map(async paceMs => fixture.addServer('desk', {instance: `i-${paceMs}`, paceMs})));
		await Promise.all(servers.map(async ({instance}) => fixture.waitForLog(`server=${instance}`)));
		const stop = new AbortController();
		const calls: Array<{readonly id: string; readonly sentAt: number; status: number | undefined}> = [];
		let closedAt = Infinity;
		const runClient = async (client: number): Promise<void> => {
			let connection: RawConnection | undefined;
			while (!stop.signal.aborted) {
				try {
					connection ??= await RawConnection.open(fixture.ports.port);
				} catch {
					// The daemon has stopped listening.
					return;
				}

				const call = {id: `client-${client}-${calls.length}`, sentAt: performance.now(), status: undefined as number | undefined};
				calls.push(call);
				const {socket, statuses: before} = connection;
				const current = connection;
				connection.write(rawRequest(client % 2 === 0 ? '/book/x' : '/look/x', call.id));
				await waitUntil(() => current.statuses.length > before.length || current.isClosed, 10_000);
				call.status = current.statuses[before.length];
				if (socket.destroyed || client % 3 === 0 || current.text.includes('connection: close')) {
					current.close();
					connection = undefined;
				}

				await delay(client * 3);
			}

			connection?.close();
		};

		const clients = Array.from({length: 24}, async (_, client) => runClient(client));
		await delay(LOAD_BEFORE_STOP_MS);
		await fixture.daemon.drain();
		closedAt = performance.now();
		stop.abort();
		await Promise.all(clients);

		const arrivals = servers.flatMap(server => server.arrivals.map(({headers, path}) => ({id: String(headers['fireflyport-attempt-id']), path})));
		const arrived = new Set(arrivals.map(({id}) => id));
		const unsafe = arrivals.filter(({path}) => path.startsWith('/book/')).map(({id}) => id);
		expect(calls.length).toBeGreaterThan(200);
		expect(new Set(unsafe).size).toBe(unsafe.length);
		expect(calls.filter(({id, status}) => arrived.has(id) && status === undefined)).toEqual([]);
		expect(calls.filter(({sentAt, status}) => sentAt < closedAt - LOSS_SLACK_MS && status === undefined)).toEqual([]);
		expect(calls.filter(({id, status}) => status === 503 && unsafe.includes(id))).toEqual([]);
		expect(calls.filter(({status}) => ![undefined, 200, 502, 503, 504].includes(status))).toEqual([]);
	});

	it('should answer a call that is still running', async () => {
		const desk = await fixture.addServer('desk', {instance: 'i-1', paceMs: 2800});
		await fixture.waitForLog('server=i-1');
		const drained = fixture.daemon.drain();
		await delay(2500);
		const response = await fixture.send('/book/x', {headers: {'fireflyport-attempt-id': 'late'}});
		await drained;
		expect(desk.runs).toBe(1);
		expect(response).toMatchObject({status: 502, isBroken: false});
		expect(JSON.parse(response.body)).toMatchObject({error: {code: 'backend_failed', message: 'this daemon is shutting down', ran: 'unknown'}});
		expect(Number(desk.arrivals[0]!.headers['fireflyport-deadline-ms'])).toBeLessThan(GRACE_MS - 2500);
		expect(fixture.logs.filter(line => line.includes('event=request_ended_by_stop'))).toEqual([expect.stringContaining('request=late phase=running sent=true server=i-1')]);
	});

	it('should answer a call that began before the stop, and name it in the log', async () => {
		const startedAt = performance.now();
		fixture.store.put('config', 'main', platformConfiguration(4, {
			routes: [{
				name: 'book', host: 'desk.example', 'path-prefix': '/book/', kind: 'unsafe', 'timeout-ms': 20_000, 'target-latency-ms': 200, service: 'desk',
			}],
		}));
		await fixture.waitForLog('event=configuration version=4');
		const desk = await fixture.addServer('desk', {instance: 'i-1', paceMs: 10_000});
		await fixture.waitForLog('server=i-1');
		const response = fixture.send('/book/x', {headers: {'fireflyport-attempt-id': 'long', 'fireflyport-deadline-ms': '20000'}});
		await waitUntil(() => desk.arrivals.length === 1);
		await fixture.daemon.drain();
		const {status, headers, body} = await response;
		expect(status).toBe(502);
		expect(headers.connection).toBe('close');
		expect(JSON.parse(body)).toMatchObject({error: {ran: 'unknown'}});
		expect(performance.now() - startedAt).toBeLessThan(GRACE_MS + 1000);
		const line = fixture.logs.find(text => text.includes('event=request_ended_by_stop'));
		expect(line).toMatch(/request=long phase=running sent=true server=i-1 age_ms=\d+/v);
		expect(await fixture.daemon.metrics.text()).toContain('fireflyport_requests_ended_by_stop_total{phase="running",sent="true"} 1');
	});

	it('should refuse a request whose body is still being read', async () => {
		const desk = await fixture.addServer('desk', {instance: 'i-1'});
		await fixture.waitForLog('server=i-1');
		const connection = await RawConnection.open(fixture.ports.port);
		connection.write(rawRequest('/book/x', 'slow', {headers: {'content-length': '10'}, body: 'half'}));
		await fixture.daemon.drain();
		await connection.waitForClose();
		expect(connection.statuses).toEqual([503]);
		expect(connection.text).toContain('"ran":"not_run"');
		expect(desk.arrivals).toEqual([]);
	});

	it('should break off a stream that is still running, so that it does not look complete', async () => {
		const engine = await fixture.addServer('model', {instance: 'e-1', events: 200, paceMs: 40});
		await fixture.waitForLog('server=e-1');
		const drained = fixture.daemon.drain();
		await delay(2500);
		const {status, isBroken} = await fixture.send('/once/x', {headers: promptHeaders(1000)});
		await drained;
		expect({status, isBroken, runs: engine.runs}).toEqual({status: 200, isBroken: true, runs: 1});
		expect(fixture.logs.filter(line => line.includes('event=request_ended_by_stop'))).toEqual([expect.stringContaining('phase=running sent=true server=e-1')]);
	});

	it('should serve late calls that fit into the time left, and refuse late streams', async () => {
		const desk = await fixture.addServer('desk', {instance: 'i-1', paceMs: 30});
		const engine = await fixture.addServer('model', {instance: 'e-1', events: 200, paceMs: 40});
		await fixture.waitForLog('server=i-1');
		await fixture.waitForLog('server=e-1');
		const keptOpen = await RawConnection.open(fixture.ports.port);
		keptOpen.write(rawRequest('/book/x', 'unfinished', {headers: {'content-length': '10'}}));
		const drained = fixture.daemon.drain();
		await delay(3200);
		const [call, stream] = await Promise.all([fixture.send('/book/x'), fixture.send('/once/x')]);
		await drained;
		expect(call.status).toBe(200);
		expect(call.headers.connection).toBe('close');
		expect(stream.status).toBe(503);
		expect(stream.headers['retry-after']).toBeDefined();
		expect({calls: desk.runs, streams: engine.runs}).toEqual({calls: 1, streams: 0});
	});

	it('should exit within the grace while the store does not answer', async () => {
		fixture.store.setMode('silent');
		const startedAt = performance.now();
		await fixture.daemon.drain();
		expect(performance.now() - startedAt).toBeLessThan(GRACE_MS);
	});
});
