import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {RetryBudget} from '../src/util/retry-budget.js';
import {firstSiteProfile} from './fixtures/engine-profiles.js';
import {
	FlowFixture, holdLaterReservations, signedHeaders, type FlowFixtureOptions,
} from './fixtures/flow-fixture.js';
import {waitUntil} from './fixtures/http.js';

/** Half of the time after which clients leave a silent stream; the gateway then looks for another server. */
const SILENCE_TIMEOUT_MS = 1000;
const EVENTS = 4;
const stream = {kind: {kind: 'stream', resumable: true, gapTargetMs: 200}, timeoutMs: 10_000} as const;
const whole = [1, 2, 3, 4].map(id => `id: ${id}\ndata: x\n\n`).join('');

let fixture: FlowFixture;
let arrivals: string[];

afterEach(async () => {
	await fixture.close();
});

type Behaviour = {
	/** Time in ms of silence after the first event of a stream, or before a response. */
	readonly silentMs: number;
};

const writeEvents = (res: ServerResponse, from: number, to: number): void => {
	for (let id = from; id <= to; id++) {
		res.write(`id: ${id}\ndata: x\n\n`);
	}
};

/** Starts servers, of which the first one that gets a request is silent for some time. */
async function start({silentMs}: Behaviour, instances: readonly string[], options: FlowFixtureOptions): Promise<void> {
	arrivals = [];
	fixture = await FlowFixture.create(options);
	const isStream = options.route?.kind?.kind === 'stream';
	for (const instance of instances) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func
		await fixture.addServer(instance, async (req, res) => {
			arrivals.push(instance);
			const isSilent = arrivals.length === 1;
			const firstId = Number(req.headers['last-event-id'] ?? 0) + 1;
			if (isStream) {
				res.writeHead(200, signedHeaders());
				writeEvents(res, firstId, firstId);
			}

			await delay(isSilent ? silentMs : 0);
			if (isStream) {
				writeEvents(res, firstId + 1, EVENTS);
				res.end();
			} else {
				res.writeHead(200, signedHeaders()).end(instance);
			}
		});
	}
}

const budgetOf = (tokens: number): RetryBudget => RetryBudget.create(0, () => tokens);

describe('a sound server that is silent for a second', () => {
	it('should finish its stream when there is no other server', async () => {
		await start({silentMs: 1.5 * SILENCE_TIMEOUT_MS}, ['i-1'], {route: stream});
		expect(await fixture.send()).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(arrivals).toHaveLength(1);
	});

	it('should finish its stream when the retry budget is empty', async () => {
		await start({silentMs: 1.5 * SILENCE_TIMEOUT_MS}, ['i-1', 'i-2'], {route: stream, parts: {retryBudget: () => budgetOf(0)}});
		expect(await fixture.send()).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(arrivals).toHaveLength(1);
	});

	it('should finish its stream when the prompt has been quarantined meanwhile', async () => {
		await start({silentMs: 1.5 * SILENCE_TIMEOUT_MS}, ['i-1', 'i-2'], {route: stream});
		const response = fixture.send({'fireflyport-prompt-prefix': 'aa:100,bb:10'});
		await waitUntil(() => arrivals.length === 1);
		fixture.parts.quarantine.add('aa', 60_000, fixture.parts.clock());
		expect(await response).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(arrivals).toHaveLength(1);
	});

	it('should answer a call when there is no other server', async () => {
		await start({silentMs: 1000}, ['i-1'], {});
		expect(await fixture.send()).toMatchObject({status: 200, body: 'i-1'});
	});

	it('should finish its stream if it goes on while memory for another attempt is being reserved', async () => {
		const {replies, reserve} = holdLaterReservations();
		let releases = 0;
		const budget = budgetOf(1);
		await start({silentMs: 1.5 * SILENCE_TIMEOUT_MS}, ['i-1', 'i-2', 'i-3', 'i-4'], {
			route: stream,
			service: {engine: {...firstSiteProfile, memoryTokens: 2000}},
			parts: {
				retryBudget: () => budget,
				memoryOrders: {
					reserve,
					async release() {
						releases++;
						return 'done';
					},
				},
			},
		});
		const response = fixture.send({'fireflyport-token-counts': '3000,10'});
		await waitUntil(() => replies.length > 0);
		await delay(0.6 * SILENCE_TIMEOUT_MS);
		for (const reply of replies) {
			reply('done');
		}

		expect(await response).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(arrivals).toHaveLength(1);
		await waitUntil(() => releases >= 2);
		expect(fixture.openPlacements).toBe(0);
		expect(budget.tryRetry()).toBe(true);
	});
});

describe('a server that stays silent', () => {
	const silentMs = 60_000;

	it('should be replaced for one token of the retry budget', async () => {
		const budget = budgetOf(2);
		await start({silentMs}, ['i-1', 'i-2'], {route: stream, parts: {retryBudget: () => budget}});
		expect(await fixture.send()).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(new Set(arrivals).size).toBe(2);
		expect([budget.tryRetry(), budget.tryRetry()]).toEqual([true, false]);
		expect(fixture.openPlacements).toBe(0);
	});

	it('should be replaced as soon as another one takes requests', async () => {
		await start({silentMs}, ['i-1', 'i-2'], {route: stream});
		const response = fixture.send();
		await waitUntil(() => arrivals.length === 1);
		const other = arrivals[0] === 'i-1' ? 'i-2' : 'i-1';
		const {limits, clock} = fixture.parts;
		limits.recordClosed(other, clock() + (1.4 * SILENCE_TIMEOUT_MS));
		const startedAt = clock();
		expect(await response).toMatchObject({status: 200, body: whole, isBroken: false});
		// Clients leave a silent stream after two seconds.
		expect(clock() - startedAt).toBeLessThan(2 * SILENCE_TIMEOUT_MS);
	});

	it('should be replaced for a call that may be repeated', async () => {
		await start({silentMs}, ['i-1', 'i-2'], {});
		expect(await fixture.send()).toMatchObject({status: 200});
		expect(new Set(arrivals).size).toBe(2);
	});

	it('should keep its request until the deadline when no other attempt is possible', async () => {
		await start({silentMs}, ['i-1'], {route: {timeoutMs: 2000}});
		const {status, body} = await fixture.send();
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 504, body: {error: {ran: 'unknown'}}});
		expect(fixture.results).toMatchObject([{sends: 1}]);
	});
});
