import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import type {PlatformServerStandIn} from '../testing/stand-ins/platform/platform-server-stand-in.js';
import {MAX_LATE_REQUESTS, REQUEST_CRASHES_BEFORE_WINDOW, STABLE_WINDOW_MS} from './fixtures/crash-rules.js';
import {waitUntil} from './fixtures/http.js';
import {GatewayFixture, platformConfiguration, promptHeaders} from './fixtures/gateway-fixture.js';

const CRASHING_BODY = 'crashes';
/** Repeats of the crashing request, each as soon as the previous one has ended. */
const REPEATS = 8;

let fixture: GatewayFixture;
let crashTimes: number[];

beforeEach(async () => {
	crashTimes = [];
	fixture = await GatewayFixture.create();
	fixture.store.put('config', 'main', platformConfiguration(3));
	await fixture.start();
	await fixture.waitForLog('event=configuration');
});

afterEach(async () => {
	await fixture.close();
});

async function addServers(service: 'model' | 'desk'): Promise<void> {
	for (let index = 0; index < 6; index++) {
		await addServer(service, `i-${index}`);
	}
}

/** Adds a server that registers as a new start after each crash. */
async function addServer(service: 'model' | 'desk', instance: string): Promise<void> {
	let born = 1;
	const server: PlatformServerStandIn = await fixture.addServer(service, {
		instance,
		events: service === 'model' ? 12 : undefined,
		paceMs: 5,
		crashingBodies: [CRASHING_BODY],
		onCrash() {
			crashTimes.push(performance.now());
			fixture.register(service, server, {born: ++born});
		},
	});
	await fixture.waitForLog(`server=${instance}`);
}

const send = async (path: string, body: string) => fixture.send(path, {body, headers: path.startsWith('/chat') || path.startsWith('/once') ? promptHeaders(4000, 50) : {}});

/** Times at which requests with the crashing body reached servers. */
const arrivals = (): readonly number[] => fixture.servers.flatMap(server => server.arrivals).filter(({body}) => body === CRASHING_BODY).map(({at}) => at);

describe('request that crashes its servers', () => {
	it.each([
		{path: '/chat/x', service: 'model'},
		{path: '/once/x', service: 'model'},
		{path: '/look/x', service: 'desk'},
		{path: '/book/x', service: 'desk'},
	] as const)('should stop $path after three crashes and serve other requests of its caller', async ({path, service}) => {
		await addServers(service);
		for (let round = 0; round < REPEATS; round++) {
			await Promise.all([send(path, CRASHING_BODY), send(path, `sound ${round}`), send(path, 'sound')]);
			await delay(100);
		}

		await delay(STABLE_WINDOW_MS);
		for (let round = 0; round < REPEATS; round++) {
			await send(path, CRASHING_BODY);
		}

		const windowEnd = crashTimes[REQUEST_CRASHES_BEFORE_WINDOW - 1]! + STABLE_WINDOW_MS;
		expect(arrivals().filter(at => at > windowEnd).length).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
		const sound = await Promise.all(['sound', 'sound', 'another'].map(async body => send(path, body)));
		expect(sound.map(({status, isBroken}) => ({status, isBroken}))).toEqual(sound.map(() => ({status: 200, isBroken: false})));
	});

	it('should refuse the request after a restart of all daemons, as not run and not to be repeated', async () => {
		await addServers('desk');
		for (let round = 0; round < REPEATS; round++) {
			await Promise.all([send('/look/x', CRASHING_BODY), send('/look/x', `sound ${round}`)]);
			await delay(100);
		}

		await fixture.waitForLog('event=quarantine_saved');
		await fixture.daemon.close();
		await fixture.start();
		await fixture.waitForLog('event=started');
		await waitUntil(async () => fixture.isReady());
		const reached = arrivals().length;
		const refused = await send('/look/x', CRASHING_BODY);
		expect(refused).toMatchObject({status: 503, headers: {'x-should-retry': 'false'}});
		expect(JSON.parse(refused.body)).toMatchObject({error: {code: 'request_quarantined', ran: 'not_run'}});
		expect(arrivals().length).toBe(reached);
	});
});
