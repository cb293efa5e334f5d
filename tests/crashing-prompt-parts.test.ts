import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import type {PlatformServerStandIn} from '../testing/stand-ins/platform/platform-server-stand-in.js';
import {CRASHES_BEFORE_WINDOW, MAX_LATE_REQUESTS, STABLE_WINDOW_MS} from './fixtures/crash-rules.js';
import {waitUntil} from './fixtures/http.js';
import {GatewayFixture, platformConfiguration, promptHeaders} from './fixtures/gateway-fixture.js';

let fixture: GatewayFixture;
let crashTimes: number[];
let requests: number;

beforeEach(async () => {
	crashTimes = [];
	requests = 0;
	fixture = await GatewayFixture.create();
	fixture.store.put('config', 'main', platformConfiguration(3));
	await fixture.start();
	await fixture.waitForLog('event=configuration');
	for (let index = 0; index < 6; index++) {
		await addEngine(`i-${index}`, ['dead']);
	}
});

afterEach(async () => {
	await fixture.close();
});

/** Adds an engine that registers as a new start after each crash. */
async function addEngine(instance: string, crashingParts: readonly string[]): Promise<void> {
	let born = 1;
	const server: PlatformServerStandIn = await fixture.addServer('model', {
		instance,
		events: 12,
		paceMs: 5,
		crashingParts,
		onCrash() {
			crashTimes.push(performance.now());
			fixture.register('model', server, {born: ++born});
		},
	});
	await fixture.waitForLog(`server=${instance}`);
}

/** Sends a request whose prompt consists of `parts` and a part of its own. */
async function send(...parts: readonly string[]) {
	const prefix = [...parts, `f${(requests++).toString(16)}`].map(part => `${part}:40`).join(',');
	return fixture.send('/chat/x', {headers: {...promptHeaders(4000, 50), 'fireflyport-prompt-prefix': prefix}});
}

/** Times at which requests with the part reached servers. */
const arrivalsOf = (part: string): readonly number[] => fixture.servers
	.flatMap(({arrivals}) => arrivals)
	.filter(({headers}) => String(headers['fireflyport-prompt-prefix']).includes(`${part}:`))
	.map(({at}) => at);

describe('prompt part that crashes engines', () => {
	it('should stop requests with a crashing part after five crashes and serve those that share their other parts', async () => {
		for (let round = 0; round < 12; round++) {
			await Promise.all([send('a1', 'dead'), send('a1'), send('b2'), send('a1')]);
			await delay(100);
		}

		await delay(STABLE_WINDOW_MS);
		for (let round = 0; round < 6; round++) {
			await send('b2', 'dead');
		}

		const windowEnd = crashTimes[CRASHES_BEFORE_WINDOW - 1]! + STABLE_WINDOW_MS;
		expect(arrivalsOf('dead').filter(at => at > windowEnd).length).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
		const sound = await Promise.all(['a1', 'b2', 'a1', 'c3'].map(async part => send(part)));
		expect(sound.map(({status, isBroken}) => ({status, isBroken}))).toEqual(sound.map(() => ({status: 200, isBroken: false})));
	});

	it('should refuse a quarantined part after a restart of all daemons, as not run and not to be repeated', async () => {
		for (let round = 0; round < 6; round++) {
			await Promise.all([send('a1', 'dead'), send('a1'), send('b2'), send('a1')]);
		}

		await fixture.waitForLog('event=quarantine_saved');
		await fixture.daemon.close();
		await fixture.start();
		await fixture.waitForLog('event=started');
		const reached = arrivalsOf('dead').length;
		await waitUntil(async () => fixture.isReady());
		const refused = await send('b2', 'dead');
		expect(refused).toMatchObject({status: 503, headers: {'x-should-retry': 'false'}});
		expect(JSON.parse(refused.body)).toMatchObject({error: {code: 'prompt_quarantined', ran: 'not_run'}});
		expect(arrivalsOf('dead').length).toBe(reached);
	});
});
