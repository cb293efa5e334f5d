import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {HttpHostList} from '../src/object-api/http-host-list.js';
import {HttpObjectApi} from '../src/object-api/http-object-api.js';
import {HttpStandIn} from './fixtures/http-stand-in.js';

const closers: Array<() => Promise<void>> = [];

async function startServer(respond: (req: IncomingMessage, res: ServerResponse) => void) {
	const server = await HttpStandIn.start(respond);
	const api = HttpObjectApi.create({baseUrl: server.url, caller: 'daemon-1'});
	closers.push(async () => api.close(), async () => server.close());
	return {server, api};
}

const respondWith = (status: number, body?: unknown) => (_req: IncomingMessage, res: ServerResponse) => {
	res.writeHead(status).end(body === undefined ? undefined : JSON.stringify(body));
};

const write = async (api: HttpObjectApi, timeoutMs = 2000) => api.write('pools/braga/a b', {x: 1}, {kind: 'version', version: 7}, {timeoutMs});

afterEach(async () => {
	await Promise.all(closers.splice(0).map(async close => close()));
});

describe('HttpObjectApi', () => {
	it('should send the key, the condition and the caller as defined by the protocol', async () => {
		const received: unknown[] = [];
		const {api} = await startServer((req, res) => {
			received.push([req.method, req.url, req.headers['if-match'], req.headers['x-caller']]);
			respondWith(200, {version: 8})(req, res);
		});
		expect(await write(api)).toEqual({kind: 'written', version: 8});
		expect(received).toEqual([['PUT', '/v1/objects/pools/braga/a%20b', '7', 'daemon-1']]);
	});

	it.each([
		[412, {version: 9}, 'conflict'],
		[429, undefined, 'rejected'],
		[503, undefined, 'rejected'],
		[500, undefined, 'unknown'],
		[502, undefined, 'unknown'],
		[200, {unexpected: true}, 'unknown'],
	] as const)('should classify response %i %o to a write by what it proves', async (status, body, kind) => {
		const {api} = await startServer(respondWith(status, body));
		expect(await write(api)).toMatchObject({kind});
	});

	it('should report a write as unknown, not rejected, once bytes may have been sent', async () => {
		const {api} = await startServer(req => req.socket.destroy());
		expect(await write(api)).toMatchObject({kind: 'unknown'});
		const stalled = await startServer(() => undefined);
		expect(await write(stalled.api, 50)).toMatchObject({kind: 'unknown', message: expect.stringContaining('no answer within 50 ms') as string});
	});

	it('should report a write as rejected when the connection is refused', async () => {
		const {api, server} = await startServer(respondWith(200, {version: 1}));
		await server.close();
		expect(await write(api)).toMatchObject({kind: 'rejected', message: expect.stringContaining('ECONNREFUSED') as string});
	});

	it('should end a watch on cancellation and distinguish unchanged from unavailable', async () => {
		const {api} = await startServer(respondWith(204));
		expect(await api.watch('config/current', 3, 10, {timeoutMs: 1000})).toEqual({kind: 'unchanged'});
		const controller = new AbortController();
		const stalled = await startServer(() => {
			controller.abort();
		});
		const outcome = await stalled.api.watch('config/current', 3, 60_000, {timeoutMs: 60_000, signal: controller.signal});
		expect(outcome.kind).toBe('unavailable');
	});

	it('should distinguish an absent object from an unavailable object API', async () => {
		const absent = await startServer(respondWith(404));
		expect(await absent.api.read('config/current', {timeoutMs: 1000})).toEqual({kind: 'absent'});
		const unavailable = await startServer(respondWith(503));
		expect(await unavailable.api.read('config/current', {timeoutMs: 1000})).toMatchObject({kind: 'unavailable'});
	});
});

describe('HttpHostList', () => {
	it('should return validated hosts and report a malformed list as unavailable', async () => {
		const host = {
			id: 'e1', address: '127.0.0.1:1', service: 'fio-lm', failureDomain: 'braga', state: 'live',
		};
		const responses = [{version: 1, hosts: [host]}, {version: 2, hosts: [{id: 'e1'}]}];
		const server = await HttpStandIn.start((req, res) => {
			respondWith(200, responses.shift())(req, res);
		});
		const client = HttpHostList.create({baseUrl: server.url, caller: 'daemon-1'});
		closers.push(async () => client.close(), async () => server.close());
		expect(await client.fetchHosts({timeoutMs: 1000})).toEqual({kind: 'listed', list: {version: 1, hosts: [host]}});
		expect(await client.fetchHosts({timeoutMs: 1000})).toMatchObject({kind: 'unavailable'});
	});

	// Guards against transferring the whole list on every poll: 56 kB/s for each daemon at 1,400 hosts.
	it('should not transfer an unchanged list again, and return the next changed one', async () => {
		let version = 1;
		const statuses: number[] = [];
		const server = await HttpStandIn.start((req, res) => {
			const etag = `"${version}"`;
			const status = req.headers['if-none-match'] === etag ? 304 : 200;
			statuses.push(status);
			res.writeHead(status, {etag}).end(status === 304 ? undefined : JSON.stringify({version, hosts: []}));
		});
		const client = HttpHostList.create({baseUrl: server.url, caller: 'daemon-1'});
		closers.push(async () => client.close(), async () => server.close());
		const versions: unknown[] = [];
		for (const currentVersion of [1, 1, 2]) {
			version = currentVersion;
			versions.push(await client.fetchHosts({timeoutMs: 1000}));
		}

		expect(versions).toMatchObject([1, 1, 2].map(expected => ({kind: 'listed', list: {version: expected}})));
		expect(statuses).toEqual([200, 304, 200]);
	});
});
