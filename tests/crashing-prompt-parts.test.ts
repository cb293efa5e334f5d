import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import type {PlatformServerStandIn} from '../testing/stand-ins/platform/platform-server-stand-in.js';
import {GatewayFixture, platformConfiguration, promptHeaders} from './fixtures/gateway-fixture.js';

const STABLE_WINDOW_MS = 3000;
/** Rule BUDGET: requests with a crashing part that may still reach servers after the fifth crash and the stable window. */
const MAX_LATE_REQUESTS = 3;
const CRASHES_BEFORE_WINDOW = 5;

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
	const prefix = [...parts, `own${requests++}`].map(part => `${part}:40`).join(',');
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
			await Promise.all([send('first', 'dead'), send('first'), send('second'), send('first')]);
			await delay(100);
		}

		await delay(STABLE_WINDOW_MS);
		for (let round = 0; round < 6; round++) {
			await send('second', 'dead');
		}

		const windowEnd = crashTimes[CRASHES_BEFORE_WINDOW - 1]! + STABLE_WINDOW_MS;
		expect(arrivalsOf('dead').filter(at => at > windowEnd).length).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
		const sound = await Promise.all(['first', 'second', 'first', 'third'].map(async part => send(part)));
		expect(sound.map(({status, isBroken}) => ({status, isBroken}))).toEqual(sound.map(() => ({status: 200, isBroken: false})));
	});
});
