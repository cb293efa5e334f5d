import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {wireFormat} from '../platform/wire-format.js';
import type {PlatformServerStandIn} from '../testing/stand-ins/platform/platform-server-stand-in.js';
import {GatewayFixture, platformConfiguration} from './fixtures/gateway-fixture.js';

const PROMPT = {'fireflyport-token-counts': '100,10'};

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

const addServers = async (service: string, events?: number): Promise<readonly [PlatformServerStandIn, PlatformServerStandIn]> => {
	const first = await fixture.addServer(service, {instance: 'i-1', events});
	const second = await fixture.addServer(service, {instance: 'i-2', events});
	await fixture.waitForLog('server=i-1');
	await fixture.waitForLog('server=i-2');
	return [first, second];
};

/** Sends requests one after the other until one has reached `server`. */
const sendUntilReached = async (server: PlatformServerStandIn, path: string) => {
	for (let index = 0; index < 30 && server.arrivals.length === 0; index++) {
		await fixture.send(path, {headers: PROMPT});
	}

	expect(server.arrivals.length).toBeGreaterThan(0);
};

describe('server that refuses with a time', () => {
	it.each([['look', 'desk', undefined], ['book', 'desk', undefined], ['chat', 'model', 2]])('should get no %s request until its end', async (route, service, events) => {
		const [closed, other] = await addServers(service, events);
		closed.retryAfter = '2.4';
		closed.injectFaults({kind: 'reject', status: 503});
		await sendUntilReached(closed, `/${route}/x`);
		const closedAt = performance.now();
		while (performance.now() - closedAt < 2200) {
			expect(await fixture.statusOf(`/${route}/x`, {headers: PROMPT})).toBe(200);
		}

		expect(closed.arrivals).toHaveLength(1);
		expect(other.arrivals.length).toBeGreaterThan(2);
	});

	it('should make the daemon refuse at once with the earliest end when there is no other server, and be used after it', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1'});
		await fixture.waitForLog('server=i-1');
		server.retryAfter = '0.6';
		server.injectFaults({kind: 'reject', status: 503});
		expect(await fixture.statusOf('/book/x')).toBe(503);
		const refused = await fixture.send('/book/x');
		expect(refused.status).toBe(503);
		expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0.2);
		expect(Number(refused.headers['retry-after'])).toBeLessThanOrEqual(0.9);
		await new Promise(resolve => {
			setTimeout(resolve, 650);
		});
		expect(await fixture.statusOf('/book/x')).toBe(200);
	});

	it.each([
		['2', 2000],
		['0.25', 250],
		[' 3 ', 3000],
		['1e9', 3_600_000],
		['-1', undefined],
		['', undefined],
		['soon', undefined],
		['9999-01', undefined],
		['NaN', undefined],
		['Infinity', undefined],
		[undefined, undefined],
		['Fri, 04 Dec 2026 12:00:05 GMT', 5000],
		['Fri, 04 Dec 2026 11:00:00 GMT', undefined],
	])('should have its time %j read as %j ms', (value, expected) => {
		const {closedForMs} = wireFormat.readResponseMetadata(503, {'retry-after': value, date: 'Fri, 04 Dec 2026 12:00:00 GMT'});
		expect(closedForMs).toBe(expected);
	});

	it('should have a date ignored without a date of the response, and a time ignored in other responses', () => {
		expect(wireFormat.readResponseMetadata(503, {'retry-after': 'Fri, 04 Dec 2026 12:00:05 GMT'}).closedForMs).toBeUndefined();
		expect(wireFormat.readResponseMetadata(200, {'retry-after': '3'}).closedForMs).toBeUndefined();
	});
});
