import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {request} from 'undici';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {hash32} from '../src/util/uniform-hash.js';
import {engineFields} from '../testing/stand-ins/platform/engine-fields.js';
import {
	API_KEY, GatewayFixture, platformConfiguration, promptHeaders,
} from './fixtures/gateway-fixture.js';
import {waitUntil} from './fixtures/http.js';

/** Daemons that are registered beside the one of the test, so that the fleet is no mesh. */
const OTHER_DAEMONS = 24;
/** Time in ms from the start of a planned stop of the fixture to the final responses. */
const ANSWERS_MS = 4300;

let fixture: GatewayFixture;

const [look, , chat] = platformConfiguration(1).routes;

const patientChat = {...chat, 'target-latency-ms': 2000, 'timeout-ms': 20_000};

const configuration = (version: number, more: Record<string, unknown> = {}) => platformConfiguration(version, {
	routes: [look, patientChat, {
		...patientChat, name: 'archive', 'path-prefix': '/archive/', 'target-latency-ms': 6000,
	}],
	...more,
});

beforeEach(async () => {
	fixture = await GatewayFixture.create();
	fixture.store.put('config', 'main', configuration(3));
	for (let other = 1; other <= OTHER_DAEMONS; other++) {
		const address = `127.0.1.${other}`;
		fixture.store.put('fireflyport-daemons', address, {address, failureDomain: 'famalicao', cores: 0.1});
	}

	await fixture.start('off', 'fair');
	await fixture.waitForLog('event=configuration');
	await fixture.waitForLog('event=registered');
});

afterEach(async () => {
	await fixture.close();
});

/** Sends a prompt whose only engine takes nothing for some seconds; it can be on time for two, and the client stays for eight. */
async function startWait({retryAfter = '1', path = '/chat/x'} = {}): Promise<{readonly response: ReturnType<GatewayFixture['send']>}> {
	const engine = await fixture.addServer('model', {instance: 'e-1', events: 4});
	await fixture.waitForLog('server=e-1');
	engine.injectFaults({kind: 'reject', status: 503, retryAfter});
	const response = fixture.send(path, {headers: {...promptHeaders(1000), 'fireflyport-deadline-ms': '20000'}});
	await fixture.waitForLog('event=request_waits');
	return {response};
}

const arrivals = (): number => fixture.servers[0]!.arrivals.length;

describe('a request that waits in a daemon', () => {
	it('should be served when the engine takes requests again', async () => {
		const {response} = await startWait();
		expect(await response).toMatchObject({status: 200});
		expect(arrivals()).toBe(2);
		const metrics = await fixture.daemon.metrics.text();
		expect(metrics).toContain('fireflyport_wait_ends_total{end="placed"} 1');
		expect(metrics).toContain('fireflyport_waiting_requests 0');
		expect(metrics).toContain('fireflyport_rank_inversions_total 0');
	});

	it.each([
		{change: 'key', more: {tenants: [{name: 'quintas', 'api-keys': ['another']}]}, status: 401},
		{change: 'route', more: {routes: [look]}, status: 404},
	])('should be handled as a new request by a configuration that drops its $change', async ({more, status}) => {
		// Guards against serving a route that operators have removed, or a key that they have revoked.
		const {response} = await startWait({retryAfter: '2'});
		fixture.store.put('config', 'main', configuration(4, more));
		expect(await response).toMatchObject({status});
		expect(arrivals()).toBe(1);
		expect(fixture.logs.some(line => line.includes('event=request_waited') && line.includes('end=superseded'))).toBe(true);
	});

	it('should go on waiting by a new configuration that keeps its route, and be sent with its urgency', async () => {
		const {response} = await startWait();
		const routes = [look, {...patientChat, priority: 2}, {
			...patientChat, name: 'audit', 'path-prefix': '/audit/', priority: 5,
		}];
		fixture.store.put('config', 'main', configuration(4, {routes}));
		await fixture.waitForLog('end=superseded');
		expect(await response).toMatchObject({status: 200});
		expect(fixture.servers[0]!.arrivals.map(({headers}) => headers['fireflyport-request-urgency'])).toEqual([undefined, '0']);
		expect(fixture.logs.filter(line => line.includes('event=request_done'))).toHaveLength(1);
		expect(fixture.logs.some(line => line.includes('event=request_done') && line.includes('sends=2'))).toBe(true);
	});

	it('should be served during a planned stop if a place comes before its end', async () => {
		const {response} = await startWait();
		const drained = fixture.daemon.drain();
		expect(await response).toMatchObject({status: 200});
		await drained;
	});

	it('should be refused as not run at the end of a planned stop', async () => {
		const {response} = await startWait({retryAfter: '5', path: '/archive/x'});
		const startedAt = performance.now();
		const stopped = fixture.daemon.drain();
		const {status, body} = await response;
		expect(performance.now() - startedAt).toBeGreaterThan(ANSWERS_MS - 200);
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run', code: 'draining'}}});
		await stopped;
		expect(arrivals()).toBe(1);
	});
});

describe('a workspace of which the daemon hears from another one', () => {
	it('should leave scarce room to the other workspace of the configuration, and say so', async () => {
		// Guards against a daemon that judges by its own requests only, of which it has one a second.
		fixture.store.put('config', 'main', configuration(4, {tenants: [{name: 'quintas', 'api-keys': [API_KEY]}, {name: 'lojas', 'api-keys': ['key-of-lojas']}]}));
		await fixture.addServer('model', {instance: 'e-1', events: 4});
		await fixture.waitForLog('server=e-1');
		await fixture.waitForLog('version=4');
		const other = createSocket('udp4');
		other.bind(fixture.ports.peerPort, '127.0.1.1');
		await once(other, 'listening');
		const tell = (message: Record<string, unknown>): void => {
			other.send(JSON.stringify({
				as: 'follower', failureDomain: 'famalicao', cores: 0.1, messages: [{daemon: 'other', domain: 'famalicao', ...message}],
			}), fixture.ports.peerPort, '127.0.0.1');
		};

		const ids = Array.from({length: engineFields.slots}, (_, index) => `r-${index}#0`);
		for (const [index, id] of ids.entries()) {
			const workspace = hash32(index === 0 ? 'lojas' : 'quintas');
			tell({
				kind: 'opened', ageMs: 0, startedAgeMs: 0, placement: {
					id, server: 'e-1@1', helpers: [], prefillMs: 0, contextTokens: 1000, reserved: [], gapTargetMs: 200, weight: 1000, targetMs: 200, workspace,
				},
			});
		}

		await waitUntil(async () => {
			const {body} = await request(`http://127.0.0.1:${fixture.ports.metricsPort}/explain?route=chat&workspace=quintas&promptTokens=1000`);
			const {decision} = await body.json() as {decision: {kind: string; why?: string}};
			return decision.kind === 'wait' && decision.why === 'workspace_share';
		});
		const response = fixture.send('/chat/x', {headers: promptHeaders(1000)});
		await fixture.waitForLog('event=workspace_over_share');
		await fixture.waitForLog('why=workspace_share');
		expect(await fixture.daemon.metrics.text()).toContain('fireflyport_share_yields_total{service="model"} 1');
		for (const id of ids) {
			tell({kind: 'closed', id});
		}

		expect(await response).toMatchObject({status: 200});
		other.close();
	});
});
