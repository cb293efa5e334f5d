import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {waitUntil} from './fixtures/http.js';
import {
	platformConfiguration, eventStreamBody, GatewayFixture, promptHeaders,
} from './fixtures/gateway-fixture.js';

let fixture: GatewayFixture;

beforeEach(async () => {
	fixture = await GatewayFixture.create();
	fixture.store.put('config', 'main', platformConfiguration(3));
	await fixture.start();
});

afterEach(async () => {
	await fixture.close();
});

async function waitUntilReady(): Promise<void> {
	await fixture.waitForLog('event=configuration');
	for (const {instance} of fixture.servers) {
		await fixture.waitForLog(`server=${instance}`);
	}
}

describe('forwarding', () => {
	it('should forward method, path, body and headers unchanged, without the API key', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1'});
		await waitUntilReady();
		const response = await fixture.send('/book/order?x=1', {body: '{"sacks":3}', headers: {'x-note': 'kept', 'fireflyport-tenant': 'forged'}});
		expect(response).toMatchObject({status: 200, body: 'i-1 answered'});
		expect(response.headers['fireflyport-response-seal']).toBe('seal-i-1');
		const [arrival] = server.arrivals;
		expect(arrival).toMatchObject({method: 'POST', path: '/book/order?x=1', body: '{"sacks":3}'});
		expect(arrival!.headers).toMatchObject({'x-note': 'kept', 'fireflyport-tenant': 'quintas', 'fireflyport-target-instance': 'i-1'});
		expect(arrival!.headers['fireflyport-credential']).toBeUndefined();
		expect(Number(arrival!.headers['fireflyport-deadline-ms'])).toBeLessThanOrEqual(3000);
	});

	it('should respond with 404 without a route, 401 with an unknown key and 503 before the first configuration', async () => {
		await waitUntilReady();
		expect(await fixture.statusOf('/nowhere/')).toBe(404);
		expect(await fixture.statusOf('/look/x', {headers: {'fireflyport-credential': 'stolen'}})).toBe(401);
		const unconfigured = await GatewayFixture.create();
		await unconfigured.start();
		const response = await unconfigured.send('/look/x');
		expect(response.status).toBe(503);
		expect(response.headers['retry-after']).toBeDefined();
		expect(await unconfigured.isReady()).toBe(false);
		await unconfigured.close();
	});

	it('should refuse immediately with not_run when no server is registered', async () => {
		await waitUntilReady();
		const startedAt = performance.now();
		const response = await fixture.send('/look/x');
		expect(response.status).toBe(503);
		expect(JSON.parse(response.body)).toMatchObject({error: {ran: 'not_run', code: 'no_capacity'}});
		expect(performance.now() - startedAt).toBeLessThan(500);
	});
});

describe('plain requests', () => {
	it('should retry an idempotent request after a server error, an incomplete response, a response to another request and an unsigned response', async () => {
		for (const fault of [{kind: 'error', status: 500}, {kind: 'break'}, {kind: 'foreign'}, {kind: 'unsigned'}] as const) {
			const faulty = await fixture.addServer('desk', {instance: `bad-${fault.kind}`});
			const healthy = await fixture.addServer('desk', {instance: `good-${fault.kind}`});
			await waitUntilReady();
			faulty.injectFaults(fault);
			healthy.injectFaults();
			const responses = [await fixture.send('/look/x'), await fixture.send('/look/x')];
			expect(responses.map(({status}) => status)).toEqual([200, 200]);
			fixture.store.remove('servers', faulty.instance);
			fixture.store.remove('servers', healthy.instance);
			await fixture.waitForLog(`event=server_gone server=${healthy.instance}`);
		}
	});

	it('should try another server when an idempotent request gets no response', async () => {
		const servers = [await fixture.addServer('desk', {instance: 'i-1'}), await fixture.addServer('desk', {instance: 'i-2'})];
		await waitUntilReady();
		for (const server of servers) {
			server.injectFaults({kind: 'mute'});
		}

		servers[1]!.injectFaults();
		// Both servers leave their first request unanswered, so the first call uses up its attempts and the second one succeeds.
		expect(await fixture.statusOf('/look/x')).not.toBe(200);
		expect(await fixture.statusOf('/look/x')).toBe(200);
	});

	it('should run a non-idempotent request once and report unknown when its response is lost', async () => {
		const servers = [await fixture.addServer('desk', {instance: 'i-1'}), await fixture.addServer('desk', {instance: 'i-2'})];
		await waitUntilReady();
		for (const server of servers) {
			server.injectFaults({kind: 'break'});
		}

		const response = await fixture.send('/book/order', {body: 'x'});
		expect(response.status).toBe(502);
		expect(JSON.parse(response.body)).toMatchObject({error: {ran: 'unknown'}});
		expect(servers[0]!.runs + servers[1]!.runs).toBe(1);
	});

	it('should send a non-idempotent request to another server after a rejection and when another server has taken over the address', async () => {
		const rejecting = await fixture.addServer('desk', {instance: 'i-1'});
		const replaced = await fixture.addServer('desk', {instance: 'i-2'});
		const healthy = await fixture.addServer('desk', {instance: 'i-3', zone: 'famalicao'});
		await waitUntilReady();
		rejecting.injectFaults({kind: 'reject', status: 503});
		replaced.injectFaults({kind: 'reject', status: 421});
		expect(await fixture.send('/book/order')).toMatchObject({status: 200, body: 'i-3 answered'});
		expect([rejecting.runs, replaced.runs, healthy.runs]).toEqual([0, 0, 1]);
	});

	it('should send only one request to an address that now belongs to another server', async () => {
		const replaced = await fixture.addServer('desk', {instance: 'i-1'});
		await fixture.addServer('desk', {instance: 'i-2', zone: 'famalicao'});
		await waitUntilReady();
		replaced.injectFaults({kind: 'reject', status: 421}, {kind: 'reject', status: 421});
		expect(await fixture.statusOf('/look/a')).toBe(200);
		expect(await fixture.statusOf('/look/a')).toBe(200);
		expect(replaced.arrivals).toHaveLength(1);
	});

	it('should not treat a response as complete when its connection was reset', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1'});
		await waitUntilReady();
		server.injectFaults({kind: 'reset', isChunked: false}, {kind: 'reset', isChunked: true});
		expect(await fixture.statusOf('/book/order')).toBe(502);
		expect(await fixture.statusOf('/book/order')).toBe(502);
	});

	it('should respond with 503 and not_run when all attempts were rejected, and with 504 when the deadline has passed', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1'});
		await waitUntilReady();
		server.injectFaults({kind: 'reject', status: 503}, {kind: 'mute'});
		const rejectedResponse = await fixture.send('/book/order');
		expect(rejectedResponse.status).toBe(503);
		expect(Number(rejectedResponse.headers['retry-after'])).toBeGreaterThan(0);
		expect(server.runs).toBe(0);
		expect(await fixture.statusOf('/book/order', {headers: {'fireflyport-deadline-ms': '300'}})).toBe(504);
	});

	it('should count the retries of a service by what allowed them', async () => {
		// Guards against a daemon whose operator cannot tell requests without a retry from those without a server.
		const servers = [await fixture.addServer('desk', {instance: 'i-1'}), await fixture.addServer('desk', {instance: 'i-2'})];
		await waitUntilReady();
		for (const server of servers) {
			server.injectFaults({kind: 'reject', status: 503});
		}

		await fixture.send('/book/order');
		expect(await fixture.daemon.metrics.text()).toMatch(/fireflyport_retries_total\{service="desk",decision="own"\} [1-9]/v);
	});

	it('should deliver an error response of the server with its signature', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1'});
		await waitUntilReady();
		server.injectFaults({kind: 'error', status: 500});
		const response = await fixture.send('/book/order');
		expect(response).toMatchObject({status: 500, body: 'i-1 answered'});
		expect(response.headers['fireflyport-response-seal']).toBe('seal-i-1');
	});

	it('should close the connection to the server when the client disconnects', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1'});
		await waitUntilReady();
		server.injectFaults({kind: 'mute'});
		const controller = new AbortController();
		const response = fixture.send('/book/order', {signal: controller.signal});
		await waitUntil(() => server.arrivals.length === 1);
		controller.abort();
		await expect(response).rejects.toThrow();
		await waitUntil(() => server.abortedRequests === 1, 1000);
	});
});

describe('streams', () => {
	const headers = promptHeaders(1000);

	it('should forward events unchanged', async () => {
		const server = await fixture.addServer('model', {instance: 'e-1', events: 5});
		await waitUntilReady();
		const response = await fixture.send('/chat/x', {headers});
		expect(response).toMatchObject({status: 200, body: eventStreamBody(1, 5), isBroken: false});
		expect(server.arrivals[0]!.headers['fireflyport-token-counts']).toBe('1000,200');
	});

	it('should resume a broken stream on another server, within the same response and without duplicate events', async () => {
		const servers = [await fixture.addServer('model', {instance: 'e-1', events: 6}), await fixture.addServer('model', {instance: 'e-2', events: 6})];
		await waitUntilReady();
		for (const server of servers) {
			// Only the first request of each server fails.
			server.injectFaults({kind: 'break', events: 3, bytes: 10});
		}

		const [first] = [await fixture.send('/chat/x', {headers})];
		const resumingServer = servers.find(server => server.arrivals[0]?.headers['last-event-id'] === '3');
		expect(resumingServer).toBeDefined();
		expect(first.body.startsWith(eventStreamBody(1, 3))).toBe(true);
		expect(await fixture.bodyOf('/chat/x', {headers})).toBe(eventStreamBody(1, 6));
	});

	it('should resume a stream that stalls', async () => {
		const servers = [await fixture.addServer('model', {instance: 'e-1', events: 6}), await fixture.addServer('model', {instance: 'e-2', events: 6})];
		await waitUntilReady();
		servers[0]!.injectFaults({kind: 'mute', events: 2});
		servers[1]!.injectFaults({kind: 'mute', events: 2});
		// Both servers stall after two events, so the second run ends at event 4 and the stream is cut at the client's deadline.
		const response = await fixture.send('/chat/x', {headers});
		expect(response).toMatchObject({body: eventStreamBody(1, 4), isBroken: true});
		expect(await fixture.bodyOf('/chat/x', {headers})).toBe(eventStreamBody(1, 6));
	});

	it('should cut a broken stream that is not resumable, and never run it twice', async () => {
		const servers = [await fixture.addServer('model', {instance: 'e-1', events: 6}), await fixture.addServer('model', {instance: 'e-2', events: 6})];
		await waitUntilReady();
		servers[0]!.injectFaults({kind: 'break', events: 3, bytes: 10});
		servers[1]!.injectFaults({kind: 'break', events: 3, bytes: 10});
		expect(await fixture.send('/once/x', {headers})).toMatchObject({body: eventStreamBody(1, 3), isBroken: true});
		expect(servers[0]!.runs + servers[1]!.runs).toBe(1);
	});

	it('should assign helpers to a long prompt, excluding the server that responds', async () => {
		const servers = await Promise.all(['e-1', 'e-2', 'e-3', 'e-4'].map(async instance => fixture.addServer('model', {instance, events: 2})));
		await waitUntilReady();
		await fixture.send('/chat/x', {headers: promptHeaders(200_000)});
		const server = servers.find(({arrivals}) => arrivals.length === 1)!;
		const helpers = String(server.arrivals[0]!.headers['fireflyport-helpers']).split(',');
		expect(helpers).toHaveLength(3);
		expect(helpers).not.toContain(server.address);
	});

	it('should reserve memory on a helper for a prompt that exceeds one engine, and release it when the stream ends', async () => {
		const servers = await Promise.all(['e-1', 'e-2', 'e-3'].map(async instance => fixture.addServer('model', {instance, events: 2})));
		await waitUntilReady();
		expect(await fixture.statusOf('/chat/x', {headers: {...promptHeaders(600_000), 'fireflyport-deadline-ms': '3000'}})).toBe(503);
		expect(servers.flatMap(({orders}) => orders)).toEqual([]);
		fixture.store.put('config', 'main', platformConfiguration(4, {routes: platformConfiguration(4).routes.map(route => ({...route, 'target-latency-ms': 20_000, 'timeout-ms': 30_000}))}));
		await fixture.waitForLog('version=4');
		expect(await fixture.bodyOf('/chat/x', {headers: {...promptHeaders(600_000), 'fireflyport-deadline-ms': '30000'}})).toBe(eventStreamBody(1, 2));
		const server = servers.find(({runs}) => runs === 1)!;
		const memoryHolder = servers.find(({orders}) => orders.length > 0)!;
		const {id, tokens} = memoryHolder.orders[0]!;
		expect(600_200 - tokens!).toBeLessThanOrEqual(450_000);
		expect(String(server.arrivals[0]!.headers['fireflyport-helpers']).split(',')).toContain(`${memoryHolder.address}/${id}`);
		await waitUntil(() => memoryHolder.reserved.size === 0, 1000);
	});

	it('should not split prompts across failure domains whose engines cannot reach each other', async () => {
		const add = async (instance: string, zone: string) => fixture.addServer('model', {instance, zone, events: 2});
		const bragaEngines = await Promise.all(['e-1', 'e-2', 'e-3'].map(async instance => add(instance, 'braga')));
		const famalicaoEngines = await Promise.all(['e-4', 'e-5', 'e-6'].map(async instance => add(instance, 'famalicao')));
		for (const server of bragaEngines) {
			server.unreachableHelpers = new Set(famalicaoEngines.map(({address}) => address));
		}

		for (const server of famalicaoEngines) {
			server.unreachableHelpers = new Set(bragaEngines.map(({address}) => address));
		}

		await waitUntilReady();
		expect(await fixture.statusOf('/chat/x', {headers: promptHeaders(200_000)})).toBe(200);
		expect(await fixture.statusOf('/chat/x', {headers: promptHeaders(200_000)})).toBe(200);
		const arrivals = [...bragaEngines, ...famalicaoEngines].flatMap(server => server.arrivals);
		expect(arrivals.filter(({hasRun}) => !hasRun)).toHaveLength(1);
		expect(arrivals).toHaveLength(3);
	});

	it('should close the placement of a stream when it ends', async () => {
		await fixture.addServer('model', {instance: 'e-1', events: 3});
		await waitUntilReady();
		await fixture.send('/chat/x', {headers});
		await waitUntil(() => fixture.daemon.openPlacements === 0, 1000);
	});
});

describe('server eligibility', () => {
	it('should stop sending to a server that is draining, is no longer registered or whose failure domain is out of service', async () => {
		const draining = await fixture.addServer('desk', {instance: 'i-1'});
		const removed = await fixture.addServer('desk', {instance: 'i-2'});
		const evacuated = await fixture.addServer('desk', {instance: 'i-3', zone: 'famalicao'});
		await waitUntilReady();
		fixture.register('desk', draining, {state: 'draining'});
		fixture.store.remove('servers', removed.instance);
		fixture.store.put('evacuations', 'famalicao', {});
		await fixture.waitForLog('draining=true');
		await fixture.waitForLog('event=server_gone');
		await fixture.waitForLog('domains=famalicao');
		expect(await fixture.statusOf('/look/x')).toBe(503);
		fixture.store.remove('evacuations', 'famalicao');
		await waitUntil(async () => await fixture.statusOf('/look/x') === 200);
		expect([draining.runs, removed.runs, evacuated.runs]).toEqual([0, 0, 1]);
	});

	it('should apply only newer configurations, and keep the last one while the store is unavailable', async () => {
		await fixture.addServer('desk', {instance: 'i-1'});
		await waitUntilReady();
		fixture.store.put('config', 'main', platformConfiguration(7, {tenants: [{name: 'quintas', 'api-keys': ['new-key']}]}));
		await fixture.waitForLog('version=7');
		fixture.store.put('config', 'main', platformConfiguration(5));
		fixture.store.setMode('busy');
		await fixture.waitForLog('event=store_lost');
		expect(await fixture.statusOf('/look/x')).toBe(401);
		expect(await fixture.statusOf('/look/x', {headers: {'fireflyport-credential': 'new-key'}})).toBe(200);
	});

	it('should apply a new configuration within three seconds after connections to the store have stalled', async () => {
		await waitUntilReady();
		fixture.store.setMode('silent');
		await delay(100);
		fixture.store.setMode('serving');
		fixture.store.put('config', 'main', platformConfiguration(9));
		await waitUntil(() => fixture.logs.some(line => line.includes('version=9')), 3000);
	});
});

describe('shutdown', () => {
	it('should finish open requests, report not ready immediately and close connections after their response', async () => {
		const server = await fixture.addServer('model', {instance: 'e-1', events: 10, paceMs: 100});
		await waitUntilReady();
		const stream = fixture.send('/chat/x', {headers: promptHeaders(1000)});
		await waitUntil(() => server.arrivals.length === 1);
		const drained = fixture.daemon.drain();
		expect(await fixture.isReady()).toBe(false);
		const response = await fixture.send('/nowhere/');
		expect(response.headers.connection).toBe('close');
		expect(await stream).toMatchObject({body: eventStreamBody(1, 10), isBroken: false});
		await drained;
	});
});
