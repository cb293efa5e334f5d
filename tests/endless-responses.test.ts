import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import type {EndlessBytes, EndlessServerStandIn} from '../testing/stand-ins/platform/endless-server-stand-in.js';
import {
	eventStreamBody, GatewayFixture, platformConfiguration, promptHeaders,
} from './fixtures/gateway-fixture.js';
import {waitUntil} from './fixtures/http.js';

/** Below the 1 s after which a request for which the server has not answered is retried or the 3 s of its deadline. */
const SOON_MS = 800;
/** What one connection may receive before it is closed: the largest response, and what the sockets of both ends hold. */
const MAX_SENT_BYTES = 16 * 1024 * 1024;

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

async function addEndlessServer(service: 'desk' | 'model', bytes: EndlessBytes): Promise<EndlessServerStandIn> {
	const server = await fixture.addEndlessServer(service, {instance: 'endless', bytes});
	await fixture.waitForLog('server=endless');
	return server;
}

/** Registers a healthy server that is chosen only after one in the own failure domain. */
async function addHealthyServer(service: 'desk' | 'model', events?: number): Promise<void> {
	await fixture.addServer(service, {instance: 'healthy', zone: 'famalicao', events});
	await fixture.waitForLog('server=healthy');
}

async function expectClosedSoon(server: EndlessServerStandIn): Promise<void> {
	await waitUntil(() => server.openConnections === 0, SOON_MS);
	expect(server.sentBytes / server.requests).toBeLessThan(MAX_SENT_BYTES);
}

const plainCases: readonly EndlessBytes[] = ['body', 'informational heads', 'head', 'chunk extension', 'tiny chunks', 'garbage'];
const streamCases: readonly EndlessBytes[] = ['event', 'comments', 'repeated events', 'informational heads', 'head', 'chunk extension', 'tiny chunks', 'garbage'];

describe('plain responses without end', () => {
	it.each(plainCases)('should not run a non-idempotent request again and report unknown soon: %s', async bytes => {
		const server = await addEndlessServer('desk', bytes);
		const startedAt = performance.now();
		const response = await fixture.send('/book/order');
		expect(performance.now() - startedAt).toBeLessThan(SOON_MS);
		expect(response.status).toBe(502);
		expect(JSON.parse(response.body)).toMatchObject({error: {ran: 'unknown'}});
		expect(server.requests).toBe(1);
		await expectClosedSoon(server);
		expect(fixture.logs.some(line => line.includes('event=attempt_failed') && line.includes('server=endless') && line.includes('reason='))).toBe(true);
	});

	it.each(plainCases)('should retry an idempotent request on another server: %s', async bytes => {
		const server = await addEndlessServer('desk', bytes);
		await addHealthyServer('desk');
		expect(await fixture.send('/look/x')).toMatchObject({status: 200, body: 'healthy answered'});
		await expectClosedSoon(server);
	});

	it('should send a rejected request to another server without reading the rest of the rejection', async () => {
		const server = await addEndlessServer('desk', 'refusal body');
		await addHealthyServer('desk');
		expect(await fixture.send('/book/order')).toMatchObject({status: 200, body: 'healthy answered'});
		await expectClosedSoon(server);
	});

	it('should refuse a rejected request truthfully when there is no other server', async () => {
		const server = await addEndlessServer('desk', 'refusal body');
		const response = await fixture.send('/book/order');
		expect(response.status).toBe(503);
		expect(JSON.parse(response.body)).toMatchObject({error: {ran: 'not_run'}});
		await expectClosedSoon(server);
	});

	it('should deliver a complete response without the bytes after it', async () => {
		const server = await addEndlessServer('desk', 'trailing bytes');
		expect(await fixture.send('/book/order')).toMatchObject({status: 200, body: 'whole'});
		await expectClosedSoon(server);
	});
});

// Guards against a server that costs every request its work again and again.
describe('a server that sends without end each time', () => {
	it('should be asked less than a healthy one of the same failure domain', async () => {
		const server = await addEndlessServer('desk', 'tiny chunks');
		const healthy = await fixture.addServer('desk', {instance: 'healthy'});
		await fixture.waitForLog('server=healthy');
		for (let sent = 0; sent < 40; sent++) {
			expect(await fixture.send('/look/x')).toMatchObject({status: 200, body: 'healthy answered'});
		}

		expect(healthy.arrivals).toHaveLength(40);
		expect(server.requests).toBeLessThan(10);
	});
});

describe('streams without end', () => {
	const headers = promptHeaders(1000);

	it.each(streamCases)('should continue a resumable stream on another server: %s', async bytes => {
		const server = await addEndlessServer('model', bytes);
		await addHealthyServer('model', 4);
		const response = await fixture.send('/chat/x', {headers});
		expect(response).toMatchObject({status: 200, isBroken: false});
		expect(response.body).toContain(eventStreamBody(2, 4));
		await expectClosedSoon(server);
	});

	it.each(streamCases)('should end a stream that is not resumable so that it does not look complete: %s', async bytes => {
		const server = await addEndlessServer('model', bytes);
		const startedAt = performance.now();
		const response = await fixture.send('/once/x', {headers});
		expect(performance.now() - startedAt).toBeLessThan(SOON_MS);
		expect(response.status === 502 || response.isBroken).toBe(true);
		expect(server.requests).toBe(1);
		await expectClosedSoon(server);
	});
});
