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
const stream = {kind: {kind: 'stream', resumable: true, gapTargetMs: 200}, timeoutMs: 10_000, maxAttempts: 2} as const;
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

const eventsOf = (from: number, to: number): string => {
	let text = '';
	for (let id = from; id <= to; id++) {
		text += `id: ${id}\ndata: x\n\n`;
	}

	return text;
};

/** What the server of each attempt does, in order of their arrival. */
type Script = (res: ServerResponse, firstId: number) => unknown;

async function startScripts(scripts: readonly Script[], options?: FlowFixtureOptions): Promise<void> {
	arrivals = [];
	fixture = await FlowFixture.create(options ?? {route: stream});
	for (const instance of ['i-1', 'i-2', 'i-3']) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func
		await fixture.addServer(instance, async (req, res) => {
			const script = scripts[arrivals.length];
			arrivals.push(instance);
			await script?.(res, Number(req.headers['last-event-id'] ?? 0) + 1);
		});
	}
}

/** A sound server that is silent for `silentMs` after the first `events` events. */
const pauseAfter = (events: number, silentMs = 1.3 * SILENCE_TIMEOUT_MS): Script => async (res, firstId) => {
	res.writeHead(200, signedHeaders());
	res.flushHeaders();
	res.write(eventsOf(firstId, events));
	await delay(silentMs);
	res.end(eventsOf(Math.max(firstId, events + 1), EVENTS));
};

const finishStream: Script = (res, firstId) => {
	res.writeHead(200, signedHeaders()).end(eventsOf(firstId, EVENTS));
};

const breakOff: Script = res => {
	res.destroy();
};

const refuse: Script = res => {
	res.writeHead(503, {...signedHeaders(), 'fireflyport-not-executed': '1'}).end();
};

/** Ends orderly, without an event and without a length. */
const closeEarly: Script = res => {
	res.socket!.end('HTTP/1.1 200 OK\r\nfireflyport-attempt-id: attempt-1\r\nfireflyport-response-seal: seal\r\nconnection: close\r\n\r\n');
};

const answerLate = (ms: number): Script => async (res, firstId) => {
	await delay(ms);
	res.writeHead(200, signedHeaders()).end(eventsOf(firstId, EVENTS));
};

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

// Guards against a sound but silent attempt that is given up for another one which has shown nothing yet.
describe('a sound server that is silent in a stream', () => {
	const cases: ReadonlyArray<readonly [string, Script]> = [
		['has nothing to add', finishStream],
		['breaks off', breakOff],
		['refuses the request', refuse],
		['closes early without a length', closeEarly],
		['is slower', answerLate(1000)],
		['is silent as well', () => undefined],
	];
	const pauses: ReadonlyArray<readonly [string, number]> = [['before its first event', 0], ['between two events', 2], ['between its last event and its end', EVENTS]];

	it.concurrent.each(cases.flatMap(([other, script]) => pauses.map(([when, events]) => ({
		when, events, other, script,
	}))))('should have it finished when it is silent $when and the other server $other', async ({events, script}) => {
		const own = await FlowFixture.create({route: stream});
		let attempts = 0;
		const serve: Parameters<FlowFixture['addServer']>[1] = async (req, res) => {
			attempts++;
			const run = attempts === 1 ? pauseAfter(events) : script;
			await run(res, Number(req.headers['last-event-id'] ?? 0) + 1);
		};

		await own.addServer('i-1', serve);
		await own.addServer('i-2', serve);

		const {status, body, isBroken} = await own.send();
		expect({status, body, isBroken}).toEqual({status: 200, body: whole, isBroken: false});
		expect(attempts).toBeLessThanOrEqual(stream.maxAttempts + 1);
		expect(own.openPlacements).toBe(0);
		expect(own.results).toMatchObject([{outcome: 'delivered'}]);
		await own.close();
	});

	it('should not have it sent elsewhere when it may not be resumed', async () => {
		await startScripts([pauseAfter(EVENTS), finishStream], {route: {...stream, kind: {...stream.kind, resumable: false}}});
		expect(await fixture.send()).toMatchObject({body: whole, isBroken: false});
		expect(arrivals).toHaveLength(1);
	});

	it('should end the attempt beside it as soon as it goes on', async () => {
		let hasEnded = false;
		await startScripts([pauseAfter(2), res => {
			res.once('close', () => {
				hasEnded = true;
			});
		}]);
		expect(await fixture.send()).toMatchObject({body: whole, isBroken: false});
		await waitUntil(() => hasEnded, 200);
		expect(fixture.logs.filter(line => line.includes('event=attempt_failed'))).toEqual([]);
	});
});

describe('a stream that another server ends without an event', () => {
	it('should not look complete when it broke off and the other server closes early without a length', async () => {
		await startScripts([async res => {
			res.writeHead(200, signedHeaders());
			res.write(eventsOf(1, 2));
			await delay(50);
			res.destroy();
		}, closeEarly]);
		expect(await fixture.send()).toMatchObject({status: 200, isBroken: true});
	});

	it('should be complete for a client that has all events and asks for the rest', async () => {
		await startScripts([finishStream]);
		expect(await fixture.send({'last-event-id': String(EVENTS)})).toMatchObject({
			status: 200, body: '', isBroken: false, headers: {'fireflyport-response-seal': 'seal'},
		});
	});

	it('should not look complete without any event for a client that has none', async () => {
		const endEmpty: Script = res => {
			res.writeHead(200, signedHeaders()).end();
		};

		await startScripts([endEmpty, endEmpty]);
		expect(await fixture.send()).toMatchObject({status: 502});
	});
});

describe('a call whose server is silent for a second', () => {
	it.each([['refuses it', refuse], ['breaks off', breakOff], ['fails', (res: ServerResponse) => {
		res.writeHead(500, signedHeaders()).end();
	}]] as ReadonlyArray<readonly [string, Script]>)('should get its answer when another server %s', async (_, script) => {
		await startScripts([async res => {
			await delay(SILENCE_TIMEOUT_MS);
			res.writeHead(200, signedHeaders()).end('late');
		}, script], {});
		expect(await fixture.send()).toMatchObject({status: 200, body: 'late'});
	});
});
