import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {until} from './fixtures/http.js';
import {
	configuration, events, PlatformWorld, promptHeaders,
} from './fixtures/platform-world.js';

let world: PlatformWorld;

beforeEach(async () => {
	world = await PlatformWorld.create();
	world.store.put('config', 'main', configuration(3));
	await world.start();
});

afterEach(async () => {
	await world.close();
});

async function ready(): Promise<void> {
	await world.logged('event=configuration');
	for (const {instance} of world.runners) {
		await world.logged(`server=${instance}`);
	}
}

describe('forwarding', () => {
	it('should pass method, path, body and headers on unchanged, without the API key', async () => {
		const runner = await world.addRunner('desk', {instance: 'i-1'});
		await ready();
		const answer = await world.send('/book/order?x=1', {body: '{"sacks":3}', headers: {'x-note': 'kept', 'fireflyport-tenant': 'forged'}});
		expect(answer).toMatchObject({status: 200, body: 'i-1 answered'});
		expect(answer.headers['fireflyport-response-seal']).toBe('seal-i-1');
		const [arrival] = runner.arrivals;
		expect(arrival).toMatchObject({method: 'POST', path: '/book/order?x=1', body: '{"sacks":3}'});
		expect(arrival!.headers).toMatchObject({'x-note': 'kept', 'fireflyport-tenant': 'quintas', 'fireflyport-target-instance': 'i-1'});
		expect(arrival!.headers['fireflyport-credential']).toBeUndefined();
		expect(Number(arrival!.headers['fireflyport-deadline-ms'])).toBeLessThanOrEqual(3000);
	});

	it('should answer 404 without a route, 401 with an unknown key and 503 before the first configuration', async () => {
		await ready();
		expect(await world.statusOf('/nowhere/')).toBe(404);
		expect(await world.statusOf('/look/x', {headers: {'fireflyport-credential': 'stolen'}})).toBe(401);
		const fresh = await PlatformWorld.create();
		await fresh.start();
		const answer = await fresh.send('/look/x');
		expect(answer.status).toBe(503);
		expect(answer.headers['retry-after']).toBeDefined();
		expect(await fresh.isReady()).toBe(false);
		await fresh.close();
	});

	it('should refuse at once, as not run, when no server is registered', async () => {
		await ready();
		const startedAt = performance.now();
		const answer = await world.send('/look/x');
		expect(answer.status).toBe(503);
		expect(JSON.parse(answer.body)).toMatchObject({error: {ran: 'not_run', code: 'no_capacity'}});
		expect(performance.now() - startedAt).toBeLessThan(500);
	});
});

describe('calls', () => {
	it('should repeat an idempotent call after a failure, a broken answer and another request\'s answer', async () => {
		for (const disturbance of [{kind: 'error', status: 500}, {kind: 'break'}, {kind: 'foreign'}, {kind: 'unsigned'}] as const) {
			const faulty = await world.addRunner('desk', {instance: `bad-${disturbance.kind}`});
			const sound = await world.addRunner('desk', {instance: `good-${disturbance.kind}`});
			await ready();
			faulty.disturb(disturbance);
			sound.disturb();
			const answers = [await world.send('/look/x'), await world.send('/look/x')];
			expect(answers.map(({status}) => status)).toEqual([200, 200]);
			world.store.remove('servers', faulty.instance);
			world.store.remove('servers', sound.instance);
			await world.logged(`event=server_gone server=${sound.instance}`);
		}
	});

	it('should try another server when an idempotent call gets no answer', async () => {
		const runners = [await world.addRunner('desk', {instance: 'i-1'}), await world.addRunner('desk', {instance: 'i-2'})];
		await ready();
		for (const runner of runners) {
			runner.disturb({kind: 'mute'});
		}

		runners[1]!.disturb();
		// One of both is asked first and is mute; the other one is mute for its first request as well.
		expect(await world.statusOf('/look/x')).not.toBe(200);
		expect(await world.statusOf('/look/x')).toBe(200);
	});

	it('should run a non-idempotent call once and not call a lost answer a refusal', async () => {
		const runners = [await world.addRunner('desk', {instance: 'i-1'}), await world.addRunner('desk', {instance: 'i-2'})];
		await ready();
		for (const runner of runners) {
			runner.disturb({kind: 'break'});
		}

		const answer = await world.send('/book/order', {body: 'x'});
		expect(answer.status).toBe(502);
		expect(JSON.parse(answer.body)).toMatchObject({error: {ran: 'unknown'}});
		expect(runners[0]!.runs + runners[1]!.runs).toBe(1);
	});

	it('should send a non-idempotent call to another server after a rejection and after an address that was reused', async () => {
		const rejecting = await world.addRunner('desk', {instance: 'i-1'});
		const reused = await world.addRunner('desk', {instance: 'i-2'});
		const sound = await world.addRunner('desk', {instance: 'i-3', zone: 'famalicao'});
		await ready();
		rejecting.disturb({kind: 'reject', status: 503});
		reused.disturb({kind: 'reject', status: 421});
		expect(await world.send('/book/order')).toMatchObject({status: 200, body: 'i-3 answered'});
		expect([rejecting.runs, reused.runs, sound.runs]).toEqual([0, 0, 1]);
	});

	it('should send one request only to an address that belongs to another server', async () => {
		const reused = await world.addRunner('desk', {instance: 'i-1'});
		await world.addRunner('desk', {instance: 'i-2', zone: 'famalicao'});
		await ready();
		reused.disturb({kind: 'reject', status: 421}, {kind: 'reject', status: 421});
		expect(await world.statusOf('/look/a')).toBe(200);
		expect(await world.statusOf('/look/a')).toBe(200);
		expect(reused.arrivals).toHaveLength(1);
	});

	it('should not take an answer for complete whose connection was reset', async () => {
		const runner = await world.addRunner('desk', {instance: 'i-1'});
		await ready();
		runner.disturb({kind: 'reset', isChunked: false}, {kind: 'reset', isChunked: true});
		expect(await world.statusOf('/book/order')).toBe(502);
		expect(await world.statusOf('/book/order')).toBe(502);
	});

	it('should answer 503 as not run after rejections only, and 504 when time is up', async () => {
		const runner = await world.addRunner('desk', {instance: 'i-1'});
		await ready();
		runner.disturb({kind: 'reject', status: 503}, {kind: 'mute'});
		const rejected = await world.send('/book/order');
		expect(rejected.status).toBe(503);
		expect(Number(rejected.headers['retry-after'])).toBeGreaterThan(0);
		expect(runner.runs).toBe(0);
		expect(await world.statusOf('/book/order', {headers: {'fireflyport-deadline-ms': '300'}})).toBe(504);
	});

	it('should deliver a failure of the server with its signature', async () => {
		const runner = await world.addRunner('desk', {instance: 'i-1'});
		await ready();
		runner.disturb({kind: 'error', status: 500});
		const answer = await world.send('/book/order');
		expect(answer).toMatchObject({status: 500, body: 'i-1 answered'});
		expect(answer.headers['fireflyport-response-seal']).toBe('seal-i-1');
	});

	it('should close the connection to the server when the client leaves', async () => {
		const runner = await world.addRunner('desk', {instance: 'i-1'});
		await ready();
		runner.disturb({kind: 'mute'});
		const controller = new AbortController();
		const sending = world.send('/book/order', {signal: controller.signal});
		await until(() => runner.arrivals.length === 1);
		controller.abort();
		await expect(sending).rejects.toThrow();
		await until(() => runner.left === 1, 1000);
	});
});

describe('streams', () => {
	const headers = promptHeaders(1000);

	it('should pass events on as the server sent them', async () => {
		const runner = await world.addRunner('model', {instance: 'e-1', events: 5});
		await ready();
		const answer = await world.send('/chat/x', {headers});
		expect(answer).toMatchObject({status: 200, body: events(1, 5), isBroken: false});
		expect(runner.arrivals[0]!.headers['fireflyport-token-counts']).toBe('1000,200');
	});

	it('should resume a broken stream at another server, within one response and without a repeated event', async () => {
		const runners = [await world.addRunner('model', {instance: 'e-1', events: 6}), await world.addRunner('model', {instance: 'e-2', events: 6})];
		await ready();
		for (const runner of runners) {
			// The second request of each is served well.
			runner.disturb({kind: 'break', events: 3, bytes: 10});
		}

		const [first] = [await world.send('/chat/x', {headers})];
		const resumedAt = runners.find(runner => runner.arrivals[0]?.headers['last-event-id'] === '3');
		expect(resumedAt).toBeDefined();
		expect(first.body.startsWith(events(1, 3))).toBe(true);
		expect(await world.bodyOf('/chat/x', {headers})).toBe(events(1, 6));
	});

	it('should resume a stream that falls silent', async () => {
		const runners = [await world.addRunner('model', {instance: 'e-1', events: 6}), await world.addRunner('model', {instance: 'e-2', events: 6})];
		await ready();
		runners[0]!.disturb({kind: 'mute', events: 2});
		runners[1]!.disturb({kind: 'mute', events: 2});
		// Both are mute after two events, so the second run ends at event 4 and the client's deadline cuts the stream.
		const answer = await world.send('/chat/x', {headers});
		expect(answer).toMatchObject({body: events(1, 4), isBroken: true});
		expect(await world.bodyOf('/chat/x', {headers})).toBe(events(1, 6));
	});

	it('should cut a stream that may not be resumed, and never run it twice', async () => {
		const runners = [await world.addRunner('model', {instance: 'e-1', events: 6}), await world.addRunner('model', {instance: 'e-2', events: 6})];
		await ready();
		runners[0]!.disturb({kind: 'break', events: 3, bytes: 10});
		runners[1]!.disturb({kind: 'break', events: 3, bytes: 10});
		expect(await world.send('/once/x', {headers})).toMatchObject({body: events(1, 3), isBroken: true});
		expect(runners[0]!.runs + runners[1]!.runs).toBe(1);
	});

	it('should name helpers for a long prompt, other servers than the one that answers', async () => {
		const runners = await Promise.all(['e-1', 'e-2', 'e-3', 'e-4'].map(async instance => world.addRunner('model', {instance, events: 2})));
		await ready();
		await world.send('/chat/x', {headers: promptHeaders(200_000)});
		const server = runners.find(({arrivals}) => arrivals.length === 1)!;
		const helpers = String(server.arrivals[0]!.headers['fireflyport-helpers']).split(',');
		expect(helpers).toHaveLength(3);
		expect(helpers).not.toContain(server.address);
	});

	it('should set memory aside for a prompt larger than one engine, and free it with the end of the stream', async () => {
		const runners = await Promise.all(['e-1', 'e-2', 'e-3'].map(async instance => world.addRunner('model', {instance, events: 2})));
		await ready();
		expect(await world.statusOf('/chat/x', {headers: {...promptHeaders(600_000), 'fireflyport-deadline-ms': '3000'}})).toBe(503);
		expect(runners.flatMap(({orders}) => orders)).toEqual([]);
		world.store.put('config', 'main', configuration(4, {routes: configuration(4).routes.map(route => ({...route, 'target-latency-ms': 20_000, 'timeout-ms': 30_000}))}));
		await world.logged('version=4');
		expect(await world.bodyOf('/chat/x', {headers: {...promptHeaders(600_000), 'fireflyport-deadline-ms': '30000'}})).toBe(events(1, 2));
		const server = runners.find(({runs}) => runs === 1)!;
		const holder = runners.find(({orders}) => orders.length > 0)!;
		const {id, tokens} = holder.orders[0]!;
		expect(600_200 - tokens!).toBeLessThanOrEqual(450_000);
		expect(String(server.arrivals[0]!.headers['fireflyport-helpers']).split(',')).toContain(`${holder.address}/${id}`);
		await until(() => holder.reserved.size === 0, 1000);
	});

	it('should not split prompts over failure domains whose engines do not reach each other', async () => {
		const add = async (instance: string, zone: string) => world.addRunner('model', {instance, zone, events: 2});
		const near = await Promise.all(['e-1', 'e-2', 'e-3'].map(async instance => add(instance, 'braga')));
		const far = await Promise.all(['e-4', 'e-5', 'e-6'].map(async instance => add(instance, 'famalicao')));
		for (const runner of near) {
			runner.unreachable = new Set(far.map(({address}) => address));
		}

		for (const runner of far) {
			runner.unreachable = new Set(near.map(({address}) => address));
		}

		await ready();
		expect(await world.statusOf('/chat/x', {headers: promptHeaders(200_000)})).toBe(200);
		expect(await world.statusOf('/chat/x', {headers: promptHeaders(200_000)})).toBe(200);
		const arrivals = [...near, ...far].flatMap(runner => runner.arrivals);
		expect(arrivals.filter(({hasRun}) => !hasRun)).toHaveLength(1);
		expect(arrivals).toHaveLength(3);
	});

	it('should leave nothing on the load board when a stream has ended', async () => {
		await world.addRunner('model', {instance: 'e-1', events: 3});
		await ready();
		await world.send('/chat/x', {headers});
		await until(() => world.daemon.openPlacements === 0, 1000);
	});
});

describe('what may receive work', () => {
	it('should stop sending to a server that drains, is gone or whose failure domain is out', async () => {
		const draining = await world.addRunner('desk', {instance: 'i-1'});
		const gone = await world.addRunner('desk', {instance: 'i-2'});
		const out = await world.addRunner('desk', {instance: 'i-3', zone: 'famalicao'});
		await ready();
		world.register('desk', draining, {state: 'draining'});
		world.store.remove('servers', gone.instance);
		world.store.put('evacuations', 'famalicao', {});
		await world.logged('draining=true');
		await world.logged('event=server_gone');
		await world.logged('domains=famalicao');
		expect(await world.statusOf('/look/x')).toBe(503);
		world.store.remove('evacuations', 'famalicao');
		await until(async () => await world.statusOf('/look/x') === 200);
		expect([draining.runs, gone.runs, out.runs]).toEqual([0, 0, 1]);
	});

	it('should apply newer configurations only, and keep the last one while the store is away', async () => {
		await world.addRunner('desk', {instance: 'i-1'});
		await ready();
		world.store.put('config', 'main', configuration(7, {tenants: [{name: 'quintas', 'api-keys': ['new-key']}]}));
		await world.logged('version=7');
		world.store.put('config', 'main', configuration(5));
		world.store.setMode('busy');
		await world.logged('event=store_lost');
		expect(await world.statusOf('/look/x')).toBe(401);
		expect(await world.statusOf('/look/x', {headers: {'fireflyport-credential': 'new-key'}})).toBe(200);
	});

	it('should be in force again within three seconds when the store\'s connections went silent', async () => {
		await ready();
		world.store.setMode('silent');
		await delay(100);
		world.store.setMode('serving');
		world.store.put('config', 'main', configuration(9));
		await until(() => world.logs.some(line => line.includes('version=9')), 3000);
	});
});

describe('stops', () => {
	it('should finish open requests, be unready at once and close connections after their response', async () => {
		const runner = await world.addRunner('model', {instance: 'e-1', events: 10, paceMs: 100});
		await ready();
		const stream = world.send('/chat/x', {headers: promptHeaders(1000)});
		await until(() => runner.arrivals.length === 1);
		const drained = world.daemon.drain();
		expect(await world.isReady()).toBe(false);
		const answer = await world.send('/nowhere/');
		expect(answer.headers.connection).toBe('close');
		expect(await stream).toMatchObject({body: events(1, 10), isBroken: false});
		await drained;
	});
});
