import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import type {OrderOutcome} from '../src/gateway/memory-reservation.js';
import type {StopReason} from '../src/gateway/flow-result.js';
import {firstSiteProfile} from './fixtures/engine-profiles.js';
import {FlowFixture, signedHeaders, type FlowFixtureOptions} from './fixtures/flow-fixture.js';
import {waitUntil} from './fixtures/http.js';

const reasons: ReadonlyArray<{readonly reason: StopReason; readonly sentStatus: number}> = [
	{reason: {kind: 'shutdown'}, sentStatus: 502},
	{reason: {kind: 'overdue'}, sentStatus: 504},
];

let fixture: FlowFixture;
let open: ServerResponse[];

afterEach(async () => {
	await fixture.close();
});

async function start(options: FlowFixtureOptions = {}): Promise<void> {
	open = [];
	fixture = await FlowFixture.create(options);
	await fixture.addServer('i-1', (_req, res) => {
		open.push(res);
	});
}

const stop = (reason: StopReason): void => {
	fixture.flows[0]!.stop(reason, fixture.parts.clock());
};

describe('stop of a request', () => {
	it.each(reasons)('should answer $sentStatus for a request that a server may run, and abort its attempt ($reason.kind)', async ({reason, sentStatus}) => {
		await start();
		const response = fixture.send();
		await waitUntil(() => open.length === 1);
		stop(reason);
		stop(reason);
		const {status, body} = await response;
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: sentStatus, body: {error: {ran: 'unknown'}}});
		await waitUntil(() => open[0]!.destroyed);
		expect(fixture.results).toMatchObject([{outcome: 'failed', status: sentStatus}]);
		expect(fixture.openPlacements).toBe(0);
	});

	it.each(reasons)('should refuse a request that waits for reserved memory as not run, and never send it ($reason.kind)', async ({reason}) => {
		let reply: ((outcome: OrderOutcome) => void) | undefined;
		let releases = 0;
		await start({
			route: {timeoutMs: 60_000, targetLatencyMs: 20_000},
			service: {engine: firstSiteProfile},
			parts: {
				memoryOrders: {
					reserve: async () => new Promise(resolve => {
						reply = resolve;
					}),
					async release() {
						releases++;
						return 'done';
					},
				},
			},
		});
		fixture.register('i-2', '127.0.0.1:1');
		fixture.register('i-3', '127.0.0.1:1');
		const response = fixture.send({'fireflyport-token-counts': `${firstSiteProfile.memoryTokens + 100_000},200`});
		await waitUntil(() => reply !== undefined);
		stop(reason);
		const {status, headers, body} = await response;
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run'}}});
		expect(Number(headers['retry-after'])).toBeGreaterThan(0);
		reply!('done');
		await waitUntil(() => releases > 0);
		await delay(50);
		expect(open).toEqual([]);
		expect(fixture.results).toHaveLength(1);
	});

	it.each(reasons)('should break off a stream that has begun ($reason.kind)', async ({reason}) => {
		await start({route: {kind: {kind: 'stream', resumable: true, gapTargetMs: 200}}});
		const response = fixture.send();
		await waitUntil(() => open.length === 1);
		open[0]!.writeHead(200, signedHeaders());
		open[0]!.write('id: 1\ndata: x\n\n');
		await waitUntil(() => fixture.placements.entriesOn('i-1').some(({startedAt}) => startedAt !== undefined));
		stop(reason);
		expect(await response).toMatchObject({status: 200, body: 'id: 1\ndata: x\n\n', isBroken: true});
		expect(fixture.results).toMatchObject([{outcome: 'failed'}]);
	});

	it('should answer a request at its deadline even if the advice for its client cannot be computed', async () => {
		fixture = await FlowFixture.create({
			route: {timeoutMs: 300, targetLatencyMs: 20_000},
			service: {engine: firstSiteProfile},
			parts: {
				memoryOrders: {reserve: async () => delay(1000, 'done'), release: async () => 'done'},
				random() {
					throw new Error('unexpected');
				},
			},
		});
		for (const instance of ['i-1', 'i-2', 'i-3']) {
			fixture.register(instance, '127.0.0.1:1');
		}

		const {status, body} = await fixture.send({'fireflyport-token-counts': `${firstSiteProfile.memoryTokens + 100_000},200`});
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 500, body: {error: {code: 'internal', ran: 'not_run'}}});
	});

	it('should do nothing once the request has been answered', async () => {
		await start();
		const response = fixture.send();
		await waitUntil(() => open.length === 1);
		open[0]!.writeHead(200, signedHeaders()).end('whole');
		await waitUntil(() => fixture.results.length === 1);
		stop({kind: 'shutdown'});
		expect(await response).toMatchObject({status: 200, body: 'whole', isBroken: false});
		expect(fixture.results).toMatchObject([{outcome: 'answered'}]);
	});
});
