import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {RetryBudget} from '../src/util/retry-budget.js';
import {firstSiteProfile} from './fixtures/engine-profiles.js';
import {FlowFixture, signedHeaders, type FlowFixtureOptions} from './fixtures/flow-fixture.js';
import {waitUntil} from './fixtures/http.js';

const whole = [1, 2, 3, 4].map(id => `id: ${id}\ndata: x\n\n`).join('');
const route = {kind: {kind: 'stream', resumable: true, gapTargetMs: 200}, timeoutMs: 3000, maxAttempts: 3} as const;

let fixture: FlowFixture;
let arrivals: string[];

afterEach(async () => {
	await fixture.close();
});

type Serve = (res: ServerResponse, firstId: number) => void;

/** Starts servers that answer the first request, the second one and so on, whichever of them gets it. */
async function start(serve: readonly Serve[], options: FlowFixtureOptions = {}): Promise<void> {
	arrivals = [];
	fixture = await FlowFixture.create({route, ...options});
	await Promise.all(serve.map(async (_, index) => addServer(`i-${index}`, serve)));
}

async function addServer(instance: string, serve: readonly Serve[]): Promise<void> {
	await fixture.addServer(instance, (req: IncomingMessage, res) => {
		arrivals.push(instance);
		serve[arrivals.length - 1]!(res, Number(req.headers['last-event-id'] ?? 0) + 1);
	});
}

/** Sends the events up to `lastId`. */
const events = (res: ServerResponse, firstId: number, lastId: number): void => {
	res.writeHead(200, signedHeaders());
	for (let id = firstId; id <= lastId; id++) {
		res.write(`id: ${id}\ndata: x\n\n`);
	}
};

const breakOff: Serve = async (res, firstId) => {
	events(res, firstId, 2);
	await delay(20);
	res.destroy();
};

const finish: Serve = (res, firstId) => {
	events(res, firstId, 4);
	res.end();
};

const stall: Serve = (res, firstId) => {
	events(res, firstId, 2);
};

const refuse: Serve = res => {
	res.writeHead(503, {...signedHeaders(), 'fireflyport-not-executed': '1'}).end();
};

const respond = (status: number): Serve => res => {
	res.writeHead(status, signedHeaders()).end('no stream');
};

describe('a stream that has begun', () => {
	it.each([404, 204, 500])('should be resumed on a third server when the second one answers with %i', async status => {
		await start([breakOff, respond(status), finish]);
		expect(await fixture.send()).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(fixture.results).toMatchObject([{outcome: 'delivered', sends: 3}]);
	});

	it('should be reported as failed when no server finishes it', async () => {
		await start([breakOff, respond(404)], {route: {...route, maxAttempts: 2}});
		expect(await fixture.send()).toMatchObject({status: 200, isBroken: true});
		expect(fixture.results).toMatchObject([{outcome: 'failed', sends: 2}]);
	});

	it('should be resumed on a server that registers after the only one has crashed', async () => {
		const serve = [breakOff, finish];
		await start([breakOff]);
		const response = fixture.send();
		await delay(500);
		await addServer('i-new', serve);
		expect(await response).toMatchObject({status: 200, body: whole, isBroken: false});
	});

	it('should be resumed once the retry budget allows it', async () => {
		let isRefilled = false;
		const budget = RetryBudget.create(0, () => isRefilled ? 1 : 0);
		await start([breakOff, finish], {parts: {retryBudget: () => budget}});
		const response = fixture.send();
		await delay(500);
		expect(arrivals).toHaveLength(1);
		isRefilled = true;
		budget.giveBack();
		expect(await response).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(budget.tryRetry()).toBe(false);
	});

	it('should be resumed in a large fleet with the token that was taken when it broke off', async () => {
		// Guards against the loss of that token while no server is there: the stream then needed another one, and waited for it in vain.
		const budget = RetryBudget.create(0, () => 1);
		await start([breakOff], {daemons: 25, service: {engine: firstSiteProfile}, parts: {retryBudget: () => budget}});
		const response = fixture.send();
		await delay(500);
		await addServer('i-new', [breakOff, finish]);
		expect(await response).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(budget.tryRetry()).toBe(false);
	});

	it('should be resumed on the server that refused it as soon as that takes requests again', async () => {
		await start([breakOff, refuse, finish]);
		fixture.fleet.unregister('i-2', fixture.parts.clock());
		expect(await fixture.send()).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(fixture.results).toMatchObject([{outcome: 'delivered', sends: 3}]);
	});

	it('should be resumed on the server that was silent when no other one takes it', async () => {
		await start([stall, refuse, finish]);
		fixture.fleet.unregister('i-2', fixture.parts.clock());
		expect(await fixture.send()).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(new Set(arrivals).size).toBe(2);
	});

	it('should be broken off at its deadline when no server turns up', async () => {
		await start([breakOff], {route: {...route, timeoutMs: 1000}});
		const startedAt = performance.now();
		expect(await fixture.send()).toMatchObject({status: 200, isBroken: true});
		expect(performance.now() - startedAt).toBeLessThan(1400);
		expect(fixture.results).toMatchObject([{outcome: 'failed', sends: 1}]);
	});

	it.each([
		['it has used up its attempts', {...route, maxAttempts: 1}],
		['it may not be resumed', {...route, kind: {...route.kind, resumable: false}}],
	])('should be broken off at once when %s', async (_name, changedRoute) => {
		await start([breakOff, finish], {route: changedRoute});
		const startedAt = performance.now();
		expect(await fixture.send()).toMatchObject({status: 200, isBroken: true});
		expect(performance.now() - startedAt).toBeLessThan(500);
	});

	it('should be broken off at once when its prompt is quarantined', async () => {
		await start([breakOff, finish]);
		const response = fixture.send({'fireflyport-prompt-prefix': 'aa:100,bb:10'});
		await waitUntil(() => arrivals.length === 1);
		fixture.parts.quarantine.add('aa', 60_000, fixture.parts.clock());
		const startedAt = performance.now();
		expect(await response).toMatchObject({status: 200, isBroken: true});
		expect(performance.now() - startedAt).toBeLessThan(500);
	});
});

describe('a stream to a client that expects no chunks', () => {
	it('should not look complete when it is broken off', async () => {
		await start([breakOff], {route: {...route, maxAttempts: 1}});
		const socket = connect(fixture.port, '127.0.0.1');
		socket.write('POST / HTTP/1.0\r\nfireflyport-attempt-id: attempt-1\r\ncontent-length: 0\r\n\r\n');
		let text = '';
		socket.on('data', chunk => {
			text += String(chunk);
		});
		await expect(once(socket, 'end')).rejects.toThrow('ECONNRESET');
		expect(text).toContain('id: 2');
	});
});

describe('a stream that has not begun', () => {
	it('should be answered at once when no server is left', async () => {
		await start([res => {
			res.destroy();
		}]);
		const startedAt = performance.now();
		expect(await fixture.send()).toMatchObject({status: 502});
		expect(performance.now() - startedAt).toBeLessThan(500);
	});
});
