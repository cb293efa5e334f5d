import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {engineFields} from '../testing/stand-ins/platform/engine-fields.js';
import {
	GatewayFixture, platformConfiguration, promptHeaders, eventStreamBody,
} from './fixtures/gateway-fixture.js';

type Fields = Readonly<Record<string, unknown>>;

let world: GatewayFixture;

beforeEach(async () => {
	world = await GatewayFixture.create();
	world.store.put('config', 'main', platformConfiguration(3));
	await world.addServer('desk', {instance: 'i-1'});
	await world.addServer('model', {instance: 'e-1', events: 4, paceMs: 20});
	await world.start();
	await world.waitForLog('server=i-1');
	await world.waitForLog('server=e-1');
});

afterEach(async () => {
	await world.close();
});

const changedRoutes = (version: number, route: Fields): Fields => {
	const {routes} = platformConfiguration(version);
	return platformConfiguration(version, {routes: routes.map(item => ({...item, ...route}))});
};

describe('numbers out of range in a new configuration', () => {
	const largeRouteNumbers: readonly Fields[] = [
		{'timeout-ms': 1e12},
		{'timeout-ms': 2 ** 31},
		{'timeout-ms': 1e308},
		{'target-latency-ms': 1e12},
		{'target-latency-ms': 1e308},
		{'gap-target-ms': 1e12},
		{'max-attempts': 0},
		{'max-attempts': -1},
		{'max-attempts': 1e308},
		{'max-attempts': 1.5},
		{priority: 1e308},
		{'gap-target-ms': -5},
		{'gap-target-ms': 0},
	];

	it.each(largeRouteNumbers)('should not fail requests: %j', async route => {
		world.store.put('config', 'main', changedRoutes(4, route));
		await world.waitForLog('event=configuration version=4');
		expect(await world.statusOf('/look/x')).toBe(200);
		expect(await world.statusOf('/book/x')).toBe(200);
		expect(await world.bodyOf('/chat/x', {headers: promptHeaders(1000)})).toBe(eventStreamBody(1, 4));
		expect(world.logs.filter(line => line.includes('unexpected_error'))).toEqual([]);
	});

	it.each<Fields>([{'timeout-ms': 0}, {'timeout-ms': -1}, {'target-latency-ms': 0}])('should leave each request with an answer or a refusal: %j', async route => {
		world.store.put('config', 'main', changedRoutes(4, route));
		await world.waitForLog('event=configuration version=4');
		const statuses = [await world.statusOf('/look/x'), await world.statusOf('/book/x')];
		expect(statuses.filter(status => ![200, 502, 503, 504].includes(status))).toEqual([]);
	});

	it.each<readonly [string, Fields, number]>([
		['no weight', {'weighted-services': [{service: 'desk', weight: 0}]}, 503],
		['only negative weights', {'weighted-services': [{service: 'desk', weight: -1}]}, 503],
		['no services', {'weighted-services': []}, 503],
		['an unknown service', {'weighted-services': [{service: 'gone', weight: 1}]}, 503],
		['a service without weight beside another', {'weighted-services': [{service: 'desk', weight: 1}, {service: 'gone', weight: 0}, {service: 'gone', weight: -1}]}, 200],
		['a huge weight', {'weighted-services': [{service: 'desk', weight: 1e308}, {service: 'desk', weight: 1e308}]}, 200],
	])('should be answered truthfully on routes with %s', async (_name, route, status) => {
		world.store.put('config', 'main', changedRoutes(4, {service: undefined, ...route}));
		await world.waitForLog('event=configuration version=4');
		for (let sent = 0; sent < 5; sent++) {
			expect(await world.statusOf('/look/x')).toBe(status);
		}
	});

	it.each<Fields>([
		{'idle-timeout-ms': 1e12},
		{'idle-timeout-ms': 1e308},
		{'idle-timeout-ms': 0},
		{'header-timeout-ms': 1e308},
		{'header-timeout-ms': 1e12},
		{'header-timeout-ms': 0},
		{'header-timeout-ms': -1},
		{'max-body-bytes': 1e308},
		{'max-body-bytes': -1},
	])('should not fail requests without a body: limits %j', async limits => {
		const {limits: usual} = platformConfiguration(4);
		world.store.put('config', 'main', platformConfiguration(4, {limits: {...usual, ...limits}}));
		await world.waitForLog('event=configuration version=4');
		for (let sent = 0; sent < 3; sent++) {
			expect(await world.statusOf('/look/x', {method: 'GET'})).toBe(200);
		}

		expect(world.logs.filter(line => line.includes('unexpected_error'))).toEqual([]);
	});

	it.each<Fields>([
		{read_per_s: 1e-300}, {step_ms: 1e308}, {slots: 0}, {slots: 1e308}, {'kv-capacity-tokens': 1e308}, {stride: -1}, {pairs_per_m: 1e308},
	])('should leave streams with an answer or a refusal: engine %j', async engine => {
		const services = [{name: 'desk'}, {name: 'model', engine: {...engineFields, ...engine}}];
		world.store.put('config', 'main', platformConfiguration(4, {services}));
		await world.waitForLog('event=configuration version=4');
		const {status, body, isBroken} = await world.send('/chat/x', {headers: promptHeaders(1000)});
		expect([200, 503]).toContain(status);
		expect({isBroken, isWhole: status !== 200 || body === eventStreamBody(1, 4)}).toEqual({isBroken: false, isWhole: true});
	});

	it('should not keep later versions from taking effect', async () => {
		world.store.put('config', 'main', platformConfiguration(1e308));
		await world.waitForLog('event=configuration_unreadable');
		world.store.put('config', 'main', platformConfiguration(5));
		await world.waitForLog('event=configuration version=5');
	});

	it('should be logged with the field and the value in use', async () => {
		world.store.put('config', 'main', changedRoutes(4, {'timeout-ms': 1e12}));
		await world.waitForLog('event=configuration_adjusted');
		expect(world.logs.find(line => line.includes('event=configuration_adjusted'))).toMatch(/version=4 field=routes\.look\.timeout-ms given=1000000000000 used=86400000/v);
	});
});
