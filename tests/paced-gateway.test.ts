import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {GatewayFixture, platformConfiguration, promptHeaders} from './fixtures/gateway-fixture.js';
import {waitUntil} from './fixtures/http.js';

let fixture: GatewayFixture;

beforeEach(async () => {
	fixture = await GatewayFixture.create();
	const {routes, ...configuration} = platformConfiguration(3);
	// Answers that are held until all requests have been seen are on time also on a busy machine.
	fixture.store.put('config', 'main', {...configuration, routes: routes.map(route => ({...route, 'target-latency-ms': 2000}))});
});

afterEach(async () => {
	await fixture.close();
});

const services = [
	{
		service: 'desk', path: '/look/x', headers: {}, events: undefined,
	},
	{
		service: 'model', path: '/chat/x', headers: promptHeaders(20_000, 50), events: 4,
	},
] as const;

describe.each(services)('a daemon before servers of $service', ({service, path, headers, events}) => {
	/** Starts a server that is registered as cold, and sends ten requests at once. Returns how many it got. */
	async function flood(mode: 'off' | 'adaptive'): Promise<number> {
		await fixture.start(mode);
		await fixture.waitForLog('event=configuration');
		const server = await fixture.addServer(service, {instance: 'i-new', events, coldMs: 3000});
		await fixture.waitForLog('server=i-new');
		let answer = (): void => undefined;
		const until = new Promise<void>(resolve => {
			answer = resolve;
		});
		server.injectFaults(...Array.from({length: 10}, () => ({kind: 'hold', until} as const)));
		let refused = 0;
		const statuses = Array.from({length: 10}, async () => {
			const status = await fixture.statusOf(path, {headers});
			refused += status === 503 ? 1 : 0;
		});
		// No request is answered before all ten have been sent or refused.
		await waitUntil(() => server.arrivals.length + refused === 10);
		const {length: sent} = server.arrivals;
		server.clearFaults();
		answer();
		await Promise.all(statuses);
		expect(server.arrivals.length).toBe(sent);
		return sent;
	}

	it('should send all requests to a server that has just started when the pace is off, without a metric or a log line', async () => {
		expect(await flood('off')).toBe(10);
		expect(await fixture.daemon.metrics.text()).not.toContain('server_pace');
		expect(fixture.logs.filter(line => line.includes('server_pace'))).toEqual([]);
	});

	it('should send the first two, show the phase, and send more after good answers when it is adaptive', async () => {
		expect(await flood('adaptive')).toBe(2);
		expect(fixture.logs.some(line => line.includes('event=server_pace server=i-new phase=probed before=born limit=2'))).toBe(true);
		await waitUntil(() => fixture.logs.some(line => /event=server_pace server=i-new phase=(?:growing|full)/v.test(line)));
		expect(await fixture.daemon.metrics.text()).toMatch(/fireflyport_server_pace\{phase="(?:growing|full)"\} 1/v);
		const statuses = await Promise.all(Array.from({length: 4}, async () => fixture.statusOf(path, {headers})));
		expect(statuses).toEqual([200, 200, 200, 200]);
	});
});
