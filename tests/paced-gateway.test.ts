import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import type {PlatformServerStandIn} from '../testing/stand-ins/platform/platform-server-stand-in.js';
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
	/** Starts servers, the last of which has just started, and sends ten requests at once. Returns how many each got. */
	async function flood(mode: 'off' | 'adaptive', instances: readonly string[]): Promise<readonly number[]> {
		await fixture.start(mode);
		await fixture.waitForLog('event=configuration');
		const servers: PlatformServerStandIn[] = [];
		for (const instance of instances) {
			servers.push(await fixture.addServer(service, {
				instance, events, slots: 16, born: instance === 'i-new' ? Date.now() : 1,
			}));
			await fixture.waitForLog(`server=${instance}`);
		}

		let answer = (): void => undefined;
		const until = new Promise<void>(resolve => {
			answer = resolve;
		});
		for (const server of servers) {
			server.injectFaults(...Array.from({length: 10}, () => ({kind: 'hold', until} as const)));
		}

		const statuses = Array.from({length: 10}, async () => fixture.statusOf(path, {headers}));
		const countSent = () => servers.map(({arrivals}) => arrivals.length);
		// No request is answered before all ten have been sent.
		await waitUntil(() => countSent().reduce((sum, sent) => sum + sent, 0) === 10);
		const sent = countSent();
		for (const server of servers) {
			server.clearFaults();
		}

		answer();
		expect(await Promise.all(statuses)).toEqual(Array.from({length: 10}, () => 200));
		expect(countSent()).toEqual(sent);
		return sent;
	}

	it('should send all requests to a server that has just started when the pace is off, without a metric or a log line', async () => {
		expect(await flood('off', ['i-new'])).toEqual([10]);
		expect(await fixture.daemon.metrics.text()).not.toContain('server_pace');
		expect(fixture.logs.filter(line => line.includes('server_pace'))).toEqual([]);
	});

	it('should send the first two to a server that has just started, and the others to one within its pace, when it is adaptive', async () => {
		// Without the pace, a plain server that has just started gets half of them. Prompts that are short are put on one engine.
		const sent = await flood('adaptive', ['i-old', 'i-new']);
		expect(sent[1]).toBeLessThanOrEqual(2);
		expect(service === 'model' || sent[1] === 2).toBe(true);
	});

	it('should refuse nothing when no server is within its pace, show the phase, and send more after good answers', async () => {
		// Guards against requests that are refused or wait because each server that could serve them has just started.
		expect(await flood('adaptive', ['i-new'])).toEqual([10]);
		expect(fixture.logs.some(line => line.includes('event=server_pace server=i-new phase=probed before=born limit=2'))).toBe(true);
		await waitUntil(() => fixture.logs.some(line => /event=server_pace server=i-new phase=(?:growing|full)/v.test(line)));
		expect(await fixture.daemon.metrics.text()).toMatch(/fireflyport_server_pace\{phase="(?:growing|full)"\} 1/v);
		const statuses = await Promise.all(Array.from({length: 4}, async () => fixture.statusOf(path, {headers})));
		expect(statuses).toEqual([200, 200, 200, 200]);
	});
});
