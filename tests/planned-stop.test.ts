import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {GatewayFixture, platformConfiguration, promptHeaders} from './fixtures/gateway-fixture.js';

const CLIENTS = 12;
/** Time in ms under load before the stop begins. */
const LOAD_BEFORE_STOP_MS = 300;

let fixture: GatewayFixture;

beforeEach(async () => {
	fixture = await GatewayFixture.create();
	fixture.store.put('config', 'main', platformConfiguration(3));
	await fixture.start();
	await fixture.waitForLog('event=configuration');
});

afterEach(async () => {
	await fixture.close();
});

describe('planned stop under load', () => {
	it('should answer every request that it has accepted, and refuse truthfully what it no longer accepts', async () => {
		const desk = await fixture.addServer('desk', {instance: 'i-1', paceMs: 30});
		const engine = await fixture.addServer('model', {instance: 'e-1', events: 8, paceMs: 40});
		await fixture.waitForLog('server=i-1');
		await fixture.waitForLog('server=e-1');
		const outcomes = new Map<string, {readonly status: number; readonly isComplete: boolean}>();
		const unanswered: string[] = [];
		const stop = new AbortController();
		const runClient = async (client: number): Promise<void> => {
			for (let sent = 0; !stop.signal.aborted; sent++) {
				const id = `client-${client}-${sent}`;
				const isStream = client % 2 === 0;
				const headers = {'fireflyport-attempt-id': id, ...(isStream ? promptHeaders(1000) : {})};
				try {
					const {status, isBroken} = await fixture.send(isStream ? '/once/x' : '/book/x', {headers});
					outcomes.set(id, {status, isComplete: !isBroken});
				} catch {
					// The connection was refused, or closed before the daemon had read the request.
					unanswered.push(id);
					await delay(20);
				}
			}
		};

		const clients = Array.from({length: CLIENTS}, async (_, client) => runClient(client));
		await delay(LOAD_BEFORE_STOP_MS);
		await fixture.daemon.drain();
		stop.abort();
		await Promise.all(clients);

		const arrived = [...desk.arrivals, ...engine.arrivals].map(({headers}) => String(headers['fireflyport-attempt-id']));
		expect(arrived.length).toBeGreaterThan(CLIENTS * 5);
		expect(new Set(arrived).size).toBe(arrived.length);
		expect(arrived.filter(id => outcomes.get(id)?.status !== 200 || !outcomes.get(id)!.isComplete)).toEqual([]);
		const refused = [...outcomes].filter(([, {status}]) => status !== 200);
		expect(refused.filter(([id, {status}]) => status !== 503 || arrived.includes(id))).toEqual([]);
		expect(unanswered.filter(id => arrived.includes(id))).toEqual([]);
	});
});
