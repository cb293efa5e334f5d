import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {wireFormat} from '../platform/wire-format.js';
import type {FlowParts} from '../src/gateway/flow-parts.js';
import {firstSiteProfile} from './fixtures/engine-profiles.js';
import {FlowFixture, signedHeaders, type FlowFixtureOptions} from './fixtures/flow-fixture.js';

const REQUESTS = 12;
const stream = {kind: 'stream', resumable: true, gapTargetMs: 200} as const;

let fixture: FlowFixture;
let unhandled: unknown[];
let arrivals: string[];

const recordUnhandled = (err: unknown): void => {
	unhandled.push(err);
};

beforeEach(() => {
	unhandled = [];
	process.on('uncaughtException', recordUnhandled);
	process.on('unhandledRejection', recordUnhandled);
});

afterEach(async () => {
	process.off('uncaughtException', recordUnhandled);
	process.off('unhandledRejection', recordUnhandled);
	await fixture.close();
	expect(unhandled).toEqual([]);
});

/** Starts two sound servers, which are chosen after `unsound` if all are alike. */
async function start(options: FlowFixtureOptions & {readonly unsound?: string} = {}): Promise<void> {
	arrivals = [];
	fixture = await FlowFixture.create(options);
	if (options.unsound !== undefined) {
		fixture.register('i-0', options.unsound);
	}

	const isStream = options.route?.kind?.kind === 'stream';
	const addServer = async (instance: string): Promise<void> => fixture.addServer(instance, (req, res) => {
		arrivals.push(instance);
		res.writeHead(200, signedHeaders(String(req.headers['fireflyport-attempt-id'])));
		res.end(isStream ? 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n' : 'whole');
	});
	await addServer('i-1');
	await addServer('i-2');
}

const throwError = (): never => {
	throw new Error('unexpected');
};

/** Calls `original` after the first call, which throws. */
function throwOnce<A extends readonly unknown[], R>(original: (...args: A) => R): (...args: A) => R {
	let calls = 0;
	return (...args) => calls++ === 0 ? throwError() : original(...args);
}

describe('servers whose address cannot be connected to', () => {
	it.each(['127.0.0.1:99999', '999.1.1.1:80', '127.0.0.1:0'])('should not cost a request that another server can answer (%s)', async address => {
		await start({route: {kind: {kind: 'non_idempotent'}, maxAttempts: 1}, unsound: address});
		const responses = [];
		for (let count = 0; count < REQUESTS; count++) {
			responses.push(await fixture.send());
		}

		expect(responses.map(({status}) => status)).toEqual(responses.map(() => 200));
		expect(arrivals).toHaveLength(REQUESTS);
	});

	it.each(['127.0.0.1:99999', '999.1.1.1:80'])('should lead to a truthful refusal when there is no other server (%s)', async address => {
		fixture = await FlowFixture.create();
		fixture.register('broken', address);
		const {status, body} = await fixture.send();
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run'}}});
	});
});

type Fault = {readonly name: string; readonly parts: Partial<FlowParts>};

const faults: readonly Fault[] = [
	{name: 'creation of the request', parts: {wire: {...wireFormat, backendHeaders: throwOnce(wireFormat.backendHeaders)}}},
	{name: 'reading of the response head', parts: {wire: {...wireFormat, readResponseMetadata: throwOnce(wireFormat.readResponseMetadata)}}},
	{name: 'conversion of response headers', parts: {wire: {...wireFormat, clientHeaders: throwOnce(wireFormat.clientHeaders)}}},
];

describe('an exception in an attempt', () => {
	it.each(faults)('should be followed by another attempt if the request may be repeated ($name)', async ({parts}) => {
		for (const kind of [{kind: 'idempotent'}, stream] as const) {
			await start({route: {kind, maxAttempts: 3}, parts});
			expect(await fixture.send()).toMatchObject({status: 200, isBroken: false});
			expect(fixture.results).toHaveLength(1);
			await fixture.close();
		}
	});

	it('should be logged with the request and the stack', async () => {
		await start({parts: {wire: {...wireFormat, readResponseMetadata: throwError}}});
		expect(await fixture.send()).toMatchObject({status: 502});
		expect(fixture.logs.find(line => line.includes('event=unexpected_error'))).toMatch(/request=attempt-1 .*throwError/v);
	});

	it('should end a request that may not be repeated with a failure that does not claim that it has not run', async () => {
		await start({route: {kind: {kind: 'non_idempotent'}}, parts: {wire: {...wireFormat, clientHeaders: throwError}}});
		const {status, body} = await fixture.send();
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 502, body: {error: {ran: 'unknown'}}});
		expect(arrivals).toHaveLength(1);
	});

	it('should end a request with a truthful refusal when orders for memory throw', async () => {
		const orders: string[] = [];
		fixture = await FlowFixture.create({
			route: {timeoutMs: 60_000, targetLatencyMs: 20_000},
			service: {engine: firstSiteProfile},
			parts: {
				memoryOrders: {
					async reserve(server) {
						orders.push(server.id);
						throw new Error('unexpected');
					},
					release: async () => 'done',
				},
			},
		});
		for (const instance of ['i-1', 'i-2', 'i-3']) {
			fixture.register(instance, '127.0.0.1:1');
		}

		const {status, body} = await fixture.send({'fireflyport-token-counts': `${firstSiteProfile.memoryTokens + 100_000},200`});
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 503, body: {error: {ran: 'not_run'}}});
		expect(orders.length).toBeGreaterThan(0);
	});
});

describe('an exception in the bookkeeping of a request', () => {
	it.each(['openPlacement', 'startPlacement', 'closePlacement'] as const)('should not cost its answer (%s)', async name => {
		for (const kind of [{kind: 'non_idempotent'}, {...stream, resumable: false}] as const) {
			await start({route: {kind, maxAttempts: 1}});
			Object.assign(fixture.parts.loadExchange, {[name]: throwError});
			expect(await fixture.send()).toMatchObject({status: 200, isBroken: false});
			expect(fixture.results).toHaveLength(1);
			await fixture.close();
		}
	});
});

describe('an exception outside of an attempt', () => {
	it('should end the request with an internal failure', async () => {
		await start({parts: {regionOf: throwError}});
		const {status, body} = await fixture.send();
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 500, body: {error: {code: 'internal', ran: 'not_run'}}});
	});

	it('should leave nothing of the response of the server in the failure', async () => {
		const parts = {wire: {...wireFormat, clientHeaders: () => ['fireflyport-response-seal', 'seal', 'x-note', 'line\nbreak']}};
		await start({route: {kind: {kind: 'non_idempotent'}}, parts});
		const {status, headers, body} = await fixture.send();
		expect({status, body: JSON.parse(body) as unknown}).toMatchObject({status: 500, body: {error: {ran: 'unknown'}}});
		expect(headers['fireflyport-response-seal']).toBeUndefined();
	});
});

describe('times beyond the range of timers', () => {
	it.each([
		['time limit of the route', {timeoutMs: 3e9}],
		['target latency', {timeoutMs: 3e9, targetLatencyMs: 3e9}],
	])('should not end a request at once (%s)', async (_name, route) => {
		fixture = await FlowFixture.create({route});
		await fixture.addServer('i-1', async (_req, res) => {
			await delay(100);
			res.writeHead(200, signedHeaders()).end('whole');
		});
		expect(await fixture.send({'fireflyport-deadline-ms': '1e300'})).toMatchObject({status: 200, body: 'whole'});
		expect(fixture.results).toMatchObject([{sends: 1}]);
	});
});

describe('a request that cannot be sent to any server', () => {
	const sendRaw = async (text: string): Promise<string> => {
		const socket = connect(fixture.port, '127.0.0.1');
		socket.write(text);
		const [chunk] = await once(socket, 'data') as [Uint8Array];
		socket.destroy();
		return String(chunk);
	};

	it.each([
		['two host headers', 'GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\nfireflyport-attempt-id: attempt-1\r\n\r\n'],
		['no path', 'OPTIONS * HTTP/1.1\r\nhost: a\r\nfireflyport-attempt-id: attempt-1\r\n\r\n'],
		['no time left', 'GET / HTTP/1.1\r\nhost: a\r\nfireflyport-attempt-id: attempt-1\r\nfireflyport-deadline-ms: 0\r\n\r\n'],
	])('should be refused as not run without a mark on the servers (%s)', async (_name, text) => {
		await start();
		const response = await sendRaw(text);
		expect(response).toMatch(/^HTTP\/1.1 503 .*"ran":"not_run"/sv);
		const {health, clock} = fixture.parts;
		expect(['i-1', 'i-2'].filter(server => health.isSuspect(server, clock()))).toEqual([]);
		expect(arrivals).toEqual([]);
	});
});
