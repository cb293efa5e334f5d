import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import type {Placement} from '../src/fleet/placement-table.js';
import {RetryBudget} from '../src/util/retry-budget.js';
import {firstSiteProfile} from './fixtures/engine-profiles.js';
import {
	FlowFixture, holdLaterReservations, signedHeaders, type FlowFixtureOptions,
} from './fixtures/flow-fixture.js';
import {waitUntil} from './fixtures/http.js';

/** One more than the largest fleet without a queue. */
const LARGE_FLEET = 25;
/** The client of the route has a patience of 3 s, so a request that is late anyway may wait 0.9 s. */
const LONGEST_WAIT_MS = 900;
const prompt = {'fireflyport-token-counts': '1000,200'};

let fixture: FlowFixture;
let arrivals: string[];

afterEach(async () => {
	await fixture.close();
});

type Handler = (res: ServerResponse, id: string) => void;

const answer: Handler = (res, id) => {
	res.writeHead(200, signedHeaders(id)).end('whole');
};

const reject: Handler = (res, id) => {
	res.writeHead(503, {...signedHeaders(id), 'fireflyport-not-executed': '1'}).end();
};

async function start(options: FlowFixtureOptions = {}, handler: Handler = answer): Promise<void> {
	arrivals = [];
	fixture = await FlowFixture.create({daemons: LARGE_FLEET, service: {engine: firstSiteProfile}, ...options});
	await fixture.addServer('i-1', (req, res) => {
		const id = String(req.headers['fireflyport-attempt-id']);
		arrivals.push(id);
		handler(res, id);
	});
}

/** Makes the only server take nothing for `ms`, as if it had said so. */
const closeServer = (ms: number): void => {
	fixture.parts.limits.recordClosed('i-1', fixture.parts.clock() + ms);
};

const send = async (id = 'attempt-1', body = '') => fixture.send({...prompt, 'fireflyport-attempt-id': id}, body);

/** Fills the memory of the only engine with a placement of another daemon. */
function fillMemory(): void {
	const placement: Placement = {
		id: 'other#0', server: 'i-1', helpers: [], prefillMs: 0, contextTokens: firstSiteProfile.memoryTokens, reserved: [], gapTargetMs: 0, weight: 1, targetMs: 0,
	};
	fixture.placements.open('daemon-2', placement, fixture.parts.clock());
}

const isWaiting = (count = 1) => () => fixture.dispatcher.size === count;

describe('a request without a place', () => {
	it('should be served when the limit ends that was in its way, and say in the log why it waited', async () => {
		await start();
		closeServer(200);
		expect(await send()).toMatchObject({status: 200, body: 'whole'});
		expect(fixture.waitEnds).toEqual(['placed']);
		expect(fixture.logs.some(line => /event=request_waits request=attempt-1 service=desk why=limited forecast_ms=\d+ rank=1/v.test(line))).toBe(true);
		expect(fixture.logs.some(line => line.includes('event=request_waited request=attempt-1 service=desk end=placed'))).toBe(true);
		expect(fixture.openPlacements).toBe(0);
	});

	it('should be served without a stream after a longer wait than the client of a stream accepts', async () => {
		// Guards against a wait in vain: each place was too late for the silence limit of a stream, although this client waits until the deadline.
		await start({route: {timeoutMs: 20_000}});
		closeServer(2500);
		expect(await send()).toMatchObject({status: 200, body: 'whole'});
		expect(fixture.waitEnds).toEqual(['placed']);
	});

	it('should be served at once when a placement of another daemon ends', async () => {
		await start();
		fillMemory();
		const response = send();
		await waitUntil(isWaiting());
		fixture.placements.close('daemon-2', 'other#0');
		const startedAt = performance.now();
		expect(await response).toMatchObject({status: 200});
		expect(performance.now() - startedAt).toBeLessThan(300);
	});

	it('should be served when requests end behind which its first event came too late', async () => {
		await start();
		const {slots} = firstSiteProfile;
		for (let index = 0; index < slots + 1; index++) {
			fixture.placements.open('daemon-2', {
				id: `other#${index}`, server: 'i-1', helpers: [], prefillMs: 0, contextTokens: 1000, reserved: [], gapTargetMs: 200, weight: 1, targetMs: 200,
			}, fixture.parts.clock(), fixture.parts.clock());
		}

		const response = send();
		await waitUntil(isWaiting());
		expect(fixture.logs.some(line => line.includes('event=request_waits') && line.includes('why=too_late'))).toBe(true);
		for (let index = 0; index < 5; index++) {
			fixture.placements.close('daemon-2', `other#${index}`);
		}

		expect(await response).toMatchObject({status: 200});
	});

	it('should be served by a server that appears', async () => {
		await start();
		fillMemory();
		const response = send();
		await waitUntil(isWaiting());
		await fixture.addServer('i-2', (_req, res) => {
			answer(res, 'attempt-1');
		});
		fixture.dispatcher.wake();
		expect(await response).toMatchObject({status: 200});
	});

	it.each([
		{name: 'in a fleet of 24 daemons', options: {daemons: 24}},
		{name: 'of a service without an engine profile', options: {service: {}}},
	])('should be refused at once as before $name', async ({options}) => {
		await start(options);
		closeServer(200);
		const startedAt = performance.now();
		expect(await send()).toMatchObject({status: 503});
		expect(performance.now() - startedAt).toBeLessThan(150);
		expect(fixture.waitEnds).toEqual([]);
	});

	it('should be refused at once if the next place comes too late, with the time at which to come back', async () => {
		await start();
		closeServer(2000);
		const startedAt = performance.now();
		const {status, headers, body} = await send();
		expect(performance.now() - startedAt).toBeLessThan(150);
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run'}}});
		expect(Number(headers['retry-after'])).toBeGreaterThan(0);
	});

	it.each([
		{
			name: 'its place in the order of returns', options: {daemons: 30}, ends: 10, kinds: ['place', 'place', 'latest'], times: [1.5, 4.5, 4.95],
		},
		{
			name: 'the time that follows from the cause if nothing is known of the rate of places', options: {daemons: 30}, ends: 9, kinds: ['cause', 'cause', 'cause'], times: [2.5, 2.5, 2.5],
		},
		{
			name: 'the time that follows from the cause in a fleet of 24 daemons', options: {daemons: 24}, ends: 10, kinds: [], times: [2.5, 2.5, 2.5],
		},
		{
			name: 'the time that follows from the cause for a service without an engine profile', options: {daemons: 30, service: {}}, ends: 10, kinds: [], times: [2.5, 2.5, 2.5],
		},
	])('should be refused with $name', async ({options, ends, kinds, times}) => {
		await start({route: {kind: {kind: 'stream', resumable: true, gapTargetMs: 200}, targetLatencyMs: 400, timeoutMs: 15_000}, ...options}, reject);
		const now = fixture.parts.clock();
		for (let index = 0; index < ends; index++) {
			fixture.dispatcher.recordRelease('i-1', 'closed', {placedAt: now, startedAt: now});
		}

		const told = [];
		for (const id of ['a', 'b', 'c']) {
			const {headers, body} = await send(id);
			expect(JSON.parse(body)).toMatchObject({error: {ran: 'not_run'}});
			told.push(Number(headers['retry-after']));
		}

		expect(fixture.returnAdvice).toEqual(kinds);
		for (const [index, seconds] of times.entries()) {
			// The places of earlier rejections have come nearer by the time that passed since.
			expect(Math.abs(told[index]! - seconds)).toBeLessThan(0.15);
		}

		expect(fixture.logs.filter(line => line.includes('event=return_advised'))).toHaveLength(kinds.length);
	});

	it('should get its place in the order of returns behind the same requests as in the queue', async () => {
		// Guards against an order that does not know which workspaces are over their share.
		await start({daemons: 30}, reject);
		const advise = vi.spyOn(fixture.dispatcher, 'adviseReturn');
		expect(await send()).toMatchObject({status: 503});
		expect(advise).toHaveBeenCalledOnce();
		expect(advise.mock.calls[0]![0].urgency.isOverShare).toBeTypeOf('function');
	});

	it('should be refused at once if all engines together could never hold its prompt', async () => {
		await start();
		expect(await fixture.send({'fireflyport-token-counts': `${2 * firstSiteProfile.memoryTokens},200`})).toMatchObject({status: 503});
		expect(fixture.waitEnds).toEqual([]);
	});
});

describe('the end of a wait', () => {
	it('should come with the client, and nothing is sent for it', async () => {
		await start();
		closeServer(500);
		const controller = new AbortController();
		const response = request(`http://127.0.0.1:${fixture.port}/`, {
			method: 'POST', headers: {'fireflyport-attempt-id': 'attempt-1', ...prompt}, body: '', signal: controller.signal,
		});
		await waitUntil(isWaiting());
		controller.abort();
		await expect(response).rejects.toThrow();
		await waitUntil(isWaiting(0));
		await delay(550);
		expect(fixture.waitEnds).toEqual(['left']);
		expect(fixture.results).toMatchObject([{outcome: 'left'}]);
		expect(arrivals).toEqual([]);
	});

	it('should come with a second refusal when no further place is forecast in time, while the client has most of its time left', async () => {
		await start({}, reject);
		const startedAt = performance.now();
		const {status, headers, body} = await send();
		const ms = performance.now() - startedAt;
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run'}}});
		expect(Number(headers['retry-after'])).toBeGreaterThan(0);
		expect(ms).toBeLessThan(LONGEST_WAIT_MS + 650);
		// The server was asked again when a place was forecast, and refused again.
		expect(arrivals.length).toBe(2);
		expect(fixture.waitEnds).toEqual(['placed']);
	});

	it('should come when a place no longer helps, as not run', async () => {
		await start();
		fillMemory();
		const startedAt = performance.now();
		const {status, headers, body} = await send();
		expect(performance.now() - startedAt).toBeGreaterThan(LONGEST_WAIT_MS - 50);
		expect(performance.now() - startedAt).toBeLessThan(LONGEST_WAIT_MS + 200);
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run'}}});
		expect(Number(headers['retry-after'])).toBeGreaterThan(0);
		expect(fixture.waitEnds).toEqual(['given_up']);
	});

	it.each([
		{kind: 'shutdown', code: 'draining'},
		{kind: 'overdue', code: 'no_capacity'},
	] as const)('should come with $kind, as not run', async ({kind, code}) => {
		await start();
		closeServer(500);
		const response = send();
		await waitUntil(isWaiting());
		fixture.flows[0]!.stop({kind}, fixture.parts.clock());
		const {status, headers, body} = await response;
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run', code}}});
		expect(Number(headers['retry-after'])).toBeGreaterThan(0);
		expect(fixture.waitEnds).toEqual([kind]);
		await delay(550);
		expect(arrivals).toEqual([]);
	});

	it('should come with a quarantine of its prompt', async () => {
		await start();
		closeServer(500);
		const response = fixture.send({...prompt, 'fireflyport-prompt-prefix': 'aa:500,bb:500'});
		await waitUntil(isWaiting());
		fixture.parts.quarantine.add('aa', 10_000, fixture.parts.clock());
		fixture.dispatcher.wake();
		const {status, body} = await response;
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run', code: 'prompt_quarantined'}}});
		expect(fixture.waitEnds).toEqual(['quarantined']);
		expect(arrivals).toEqual([]);
	});

	it('should come with the loss of the path to the servers, and the request goes on through another host', async () => {
		await start();
		await fixture.addServer('host', (_req, res) => {
			answer(res, 'attempt-1');
		});
		const host = fixture.fleet.servingServers(fixture.parts.clock()).find(({id}) => id === 'host');
		fixture.fleet.unregister('host', fixture.parts.clock());
		closeServer(800);
		const response = send();
		await waitUntil(isWaiting());
		Object.assign(fixture.parts.relay, {isNeeded: true, chooseAddress: () => host!.address});
		fixture.dispatcher.wake();
		expect(await response).toMatchObject({status: 200});
		expect(fixture.results).toMatchObject([{hosts: 1, sends: 0}]);
	});

	it('should come with the loss of the path to the servers if no host relays the request', async () => {
		await start();
		closeServer(800);
		const response = send();
		await waitUntil(isWaiting());
		Object.assign(fixture.parts.relay, {isNeeded: true});
		fixture.dispatcher.wake();
		expect(await response).toMatchObject({status: 503});
		expect(fixture.waitEnds).toEqual(['no_path']);
	});
});

describe('a full queue', () => {
	it('should refuse a request at once that exceeds the limit of waiting bodies', async () => {
		await start({maxBufferedBodyBytes: 2000});
		closeServer(400);
		const first = send('attempt-1', 'x'.repeat(900));
		await waitUntil(isWaiting());
		const startedAt = performance.now();
		expect(await send('attempt-2', 'x'.repeat(200))).toMatchObject({status: 503});
		expect(performance.now() - startedAt).toBeLessThan(150);
		expect(fixture.waitEnds).toEqual(['full_bytes']);
		expect(await first).toMatchObject({status: 200});
	});

	it('should refuse a request at once that exceeds the number of waiting ones', async () => {
		await start();
		closeServer(500);
		const waiting = Array.from({length: 64}, async (_, index) => send(`attempt-${index}`));
		await waitUntil(isWaiting(64));
		expect(await send('one-more')).toMatchObject({status: 503});
		expect(fixture.waitEnds).toEqual(['full_requests']);
		const responses = await Promise.all(waiting);
		expect(responses.filter(({status}) => status === 200)).toHaveLength(64);
	});
});

describe('a request that servers refused', () => {
	it('should never wait if one of them may have run it', async () => {
		await start({}, res => {
			closeServer(300);
			res.destroy();
		});
		const {status, body} = await send();
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 502, body: {error: {ran: 'unknown'}}});
		expect(fixture.waitEnds).toEqual([]);
	});

	it('should wait for a token of the retry budget, and be sent again with it', async () => {
		// Guards against ending the request: 56 requests of a day of 77 daemons were failed for want of a token while servers had room.
		const budget = RetryBudget.create(1, () => 1);
		budget.tryRetry();
		const handlers = [reject, answer];
		await start({parts: {retryBudget: () => budget}}, (res, id) => {
			if (id === 'attempt-1') {
				budget.tryRetry();
			}

			(id === 'attempt-1' ? handlers.shift()! : answer)(res, id);
		});
		const response = send();
		await waitUntil(isWaiting());
		fixture.dispatcher.wake();
		await delay(50);
		expect(arrivals).toEqual(['attempt-1']);
		expect(await send('attempt-2')).toMatchObject({status: 200});
		expect(await response).toMatchObject({status: 200});
		expect(arrivals.filter(id => id === 'attempt-1')).toHaveLength(2);
	});

	it('should take one token of the retry budget for one further attempt, whether or not it waits for that', async () => {
		// Guards against a token for the decision to repeat a request and another one for its place.
		const budget = RetryBudget.create(0, () => 2);
		const handlers = [reject, answer];
		await start({parts: {retryBudget: () => budget}}, (res, id) => {
			closeServer(200);
			handlers.shift()!(res, id);
		});
		expect(await send()).toMatchObject({status: 200});
		expect(fixture.waitEnds).toEqual(['placed']);
		expect([budget.tryRetry(), budget.tryRetry()]).toEqual([true, false]);
	});

	it('should take its token also when a new configuration ended its wait', async () => {
		const earlier = {
			counts: {
				runs: 0, sends: 1, receivedSends: 1, unconnectedSends: 0,
			},
			waits: 1,
			choices: 1,
		};
		await start({earlier, parts: {retryBudget: () => RetryBudget.create(0, () => 0)}});
		const {status, body} = await send();
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run'}}});
		expect(arrivals).toEqual([]);
	});

	it('should give its token back if it leaves before its place comes', async () => {
		const budget = RetryBudget.create(0, () => 1);
		await start({parts: {retryBudget: () => budget}}, (res, id) => {
			closeServer(500);
			reject(res, id);
		});
		const response = send();
		await waitUntil(isWaiting());
		fixture.flows[0]!.stop({kind: 'shutdown'}, fixture.parts.clock());
		await response;
		expect(budget.tryRetry()).toBe(true);
	});

	it('should give its token back if it ends while memory is being reserved, which is then refused', async () => {
		// Guards against a token for a repeat that was decided on after the end of the request.
		const budget = RetryBudget.create(0, () => 2);
		const {replies, reserve} = holdLaterReservations();
		await start({
			service: {engine: {...firstSiteProfile, memoryTokens: 2000}},
			parts: {
				retryBudget: () => budget,
				memoryOrders: {
					reserve,
					release: async () => 'done',
				},
			},
		}, reject);
		for (let index = 2; index <= 4; index++) {
			await fixture.addServer(`i-${index}`, (_req, res) => {
				reject(res, 'attempt-1');
			});
		}

		const response = fixture.send({'fireflyport-token-counts': '3000,200'});
		await waitUntil(() => replies.length > 0);
		fixture.flows[0]!.stop({kind: 'shutdown'}, fixture.parts.clock());
		for (const reply of replies) {
			reply('refused');
		}

		expect(await response).toMatchObject({status: 503});
		await waitUntil(() => fixture.openPlacements === 0);
		await delay(20);
		// The attempt whose memory was refused has used one.
		expect(budget.tryRetry()).toBe(true);
	});

	it('should look further than four servers if none of them took a connection, and only in a large fleet', async () => {
		// Guards against ending the request: 36 requests of that day ended after four refused connections, when a failure domain had gone.
		for (const {daemons, status} of [{daemons: LARGE_FLEET, status: 200}, {daemons: 24, status: 503}]) {
			await fixture?.close();
			await start({daemons});
			for (let port = 1; port <= 6; port++) {
				fixture.register(`gone-${port}`, `127.0.0.1:${port}`);
			}

			// The server that is there is the last choice.
			fixture.parts.health.recordOutcome('i-1', false, fixture.parts.clock());
			expect(await send()).toMatchObject({status});
		}
	});
});

describe('a request of a workspace over its share', () => {
	const [large, small] = [1, 2];
	const options: FlowFixtureOptions = {workspaceKeyOf: id => id.startsWith('large') ? large : small};

	const openPlacement = (id: string, workspace: number): Placement => ({
		id, server: 'i-1', helpers: [], prefillMs: 0, contextTokens: 1000, reserved: [], gapTargetMs: 200, weight: 1000, targetMs: 200, workspace,
	});

	/** Fills all slots of the only engine with placements of another daemon, all but the first for the large workspace. */
	function fillSlots(): void {
		const now = fixture.parts.clock();
		for (let index = 0; index < firstSiteProfile.slots; index++) {
			fixture.placements.open('daemon-2', openPlacement(`other#${index}`, index === 0 ? small : large), now, now);
		}
	}

	it('should leave scarce room to another workspace, and be served when there is more', async () => {
		// Guards against a workspace that takes the last slots of the engines from all others.
		await start(options);
		fillSlots();
		const held = send('large-1');
		await waitUntil(isWaiting());
		expect(fixture.logs.some(line => line.includes('event=request_waits') && line.includes('why=workspace_share'))).toBe(true);
		expect(await send('small-1')).toMatchObject({status: 200});
		expect(arrivals).toEqual(['small-1']);
		for (let index = 0; index < 4; index++) {
			fixture.placements.close('daemon-2', `other#${index}`);
		}

		expect(await held).toMatchObject({status: 200});
		expect(fixture.waitEnds).toEqual(['placed']);
	});

	it('should be served with scarce room once its workspace is below its share', async () => {
		// Guards against a workspace that loses its own share while others take more.
		await start(options);
		fillSlots();
		const held = send('large-1');
		await waitUntil(isWaiting());
		const now = fixture.parts.clock();
		for (let index = 0; index < firstSiteProfile.slots; index++) {
			fixture.placements.open('daemon-2', openPlacement(`more#${index}`, small), now, now);
			fixture.placements.close('daemon-2', `other#${index}`);
		}

		expect(await held).toMatchObject({status: 200});
		expect(fixture.waitEnds).toEqual(['placed']);
	});

	it('should be refused as not run if room stays scarce', async () => {
		await start(options);
		fillSlots();
		const {status, body} = await send('large-1');
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run', code: 'overloaded'}}});
		expect(fixture.waitEnds).toEqual(['given_up']);
		expect(arrivals).toEqual([]);
	});

	it('should be served at once in a small fleet, by a placement that does not name the workspace', async () => {
		const placed: Array<Placement | undefined> = [];
		await start({...options, daemons: LARGE_FLEET - 1}, (res, id) => {
			placed.push(fixture.placements.entriesOn('i-1').at(-1));
			answer(res, id);
		});
		fillSlots();
		expect(await send('large-1')).toMatchObject({status: 200});
		expect(placed.map(entry => [entry?.id, entry?.workspace])).toEqual([['large-1#0', undefined]]);
		expect(fixture.waitEnds).toEqual([]);
	});
});
