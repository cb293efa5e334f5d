import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {GatewayFixture, platformConfiguration, promptHeaders} from './fixtures/gateway-fixture.js';
import {largestCount, LIMIT_WINDOW_MS, maxRequestsInWindow} from './fixtures/limit-rules.js';

const STABLE_WINDOW_MS = 3000;
/** Time in ms between requests: 20 a second, far more than the named limits. */
const LOAD_INTERVAL_MS = 50;

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

/** Sends requests to the service of `path` for `ms`. Returns the statuses of the responses. */
async function load(path: string, headers: Readonly<Record<string, string>>, ms: number): Promise<readonly number[]> {
	const responses: Array<Promise<number>> = [];
	const end = performance.now() + ms;
	while (performance.now() < end) {
		responses.push(fixture.statusOf(path, {headers}));
		await delay(LOAD_INTERVAL_MS);
	}

	return Promise.all(responses);
}

describe.each([
	{
		service: 'desk', path: '/look/x', headers: {}, events: undefined,
	},
	{
		service: 'model', path: '/chat/x', headers: promptHeaders(1000, 50), events: 4,
	},
])('limits that servers of $service name', ({service, path, headers, events}) => {
	it('should keep the requests to a server within the limit that it named while others serve the rest', async () => {
		const limited = await fixture.addServer(service, {instance: 'i-limited', events, limitPerSecond: 1});
		await fixture.addServer(service, {instance: 'i-free', events});
		await fixture.waitForLog('server=i-free');
		const startedAt = performance.now();
		const statuses = await load(path, headers, STABLE_WINDOW_MS + LIMIT_WINDOW_MS + 500);
		expect(statuses.filter(status => status !== 200)).toEqual([]);
		const times = limited.arrivals.map(({at}) => at).filter(at => at > startedAt + STABLE_WINDOW_MS);
		expect(largestCount(times)).toBeLessThanOrEqual(maxRequestsInWindow(1));
		expect(times.length).toBeGreaterThan(0);
	});
});

describe('a server at an address that another one had', () => {
	it('should not end the limit of the server that it took the place of', async () => {
		const server = await fixture.addServer('desk', {instance: 'i-1', limitPerSecond: 0.5});
		await fixture.waitForLog('server=i-1');
		expect(await fixture.statusOf('/look/x')).toBe(200);
		await fixture.waitForLog('event=server_limited server=i-1 per_second=0.5');
		server.injectFaults({kind: 'reject', status: 421});
		await delay(2100);
		expect(await fixture.statusOf('/look/x')).toBe(503);
		expect(fixture.logs.filter(line => line.includes('event=server_limited') && !line.includes('per_second='))).toEqual([]);
	});
});

describe('servers that all named a limit', () => {
	it('should refuse what exceeds all limits at once, as not run and with the time at which a request fits', async () => {
		for (const instance of ['i-1', 'i-2']) {
			await fixture.addServer('desk', {instance, limitPerSecond: 1});
		}

		await fixture.waitForLog('server=i-2');
		await load('/look/x', {}, 500);
		const startedAt = performance.now();
		const responses = await Promise.all(Array.from({length: 6}, async () => fixture.send('/look/x')));
		const refused = responses.filter(({status}) => status === 503);
		expect(refused.length).toBeGreaterThanOrEqual(4);
		expect(performance.now() - startedAt).toBeLessThan(1000);
		for (const {headers, body} of refused) {
			expect(JSON.parse(body)).toMatchObject({error: {ran: 'not_run', code: 'no_capacity'}});
			expect(Number(headers['retry-after'])).toBeGreaterThan(0);
			expect(Number(headers['retry-after'])).toBeLessThanOrEqual(1.5);
		}
	});
});

describe('cold servers', () => {
	it('should send no more to a cold server than it bears, and refuse the rest with the time at which it fits', async () => {
		const coldPerSecond = 5;
		fixture.store.put('config', 'main', platformConfiguration(4, {services: [{name: 'desk', 'cold-per-s': coldPerSecond}, {name: 'model'}]}));
		await fixture.waitForLog('event=configuration version=4');
		const server = await fixture.addServer('desk', {instance: 'i-cold'});
		fixture.register('desk', server, {'cold-remaining-ms': 10_000, sequence: 2});
		await fixture.waitForLog('server=i-cold service=desk domain=braga draining=false cold_ms=1');
		const statuses = await load('/look/x', {}, 3000);
		// Rule FAILBACK allows 1.5 times the rate and 5 more in any second.
		expect(largestCount(server.arrivals.map(({at}) => at), 1000)).toBeLessThanOrEqual((1.5 * coldPerSecond) + 5);
		expect(new Set(statuses)).toEqual(new Set([200, 503]));
		expect(server.arrivals.length).toBeGreaterThanOrEqual(2 * coldPerSecond);
	});
});
