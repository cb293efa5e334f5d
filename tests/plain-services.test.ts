import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingHttpHeaders} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {text} from 'node:stream/consumers';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {watchReset} from '../src/backend/reset-watch.js';
import {UndiciPlainServiceClient} from '../src/backend/plain-service-client.js';
import type {PlainService} from '../src/configuration/schema.js';
import type {OperationExecutor} from '../src/operations/operation-executor.js';
import type {PlainCall, PlainReservations, PlainResult} from '../src/operations/plain-call.js';
import {writePlainAnswer} from '../src/operations/plain-http.js';
import {findRoute, PlainRouter} from '../src/operations/plain-router.js';
import {PlainServiceStandIn} from '../testing/stand-ins/plain-service/plain-service-stand-in.js';
import {plainService, workspace} from './fixtures/operation-daemons.js';

const cleanups: Array<() => Promise<unknown>> = [];

afterEach(async () => {
	await Promise.all(cleanups.splice(0).map(async close => close()));
});

function createClient(): UndiciPlainServiceClient {
	const client = UndiciPlainServiceClient.create();
	cleanups.push(async () => client.close());
	return client;
}

async function startService(): Promise<PlainServiceStandIn> {
	const service = await PlainServiceStandIn.create({startsWarm: true});
	cleanups.push(async () => service.close());
	return service;
}

/** Starts a server that records the headers of each request and closes the connection without a response. */
async function startDisconnectingServer(): Promise<{readonly address: string; readonly seen: IncomingHttpHeaders[]}> {
	const seen: IncomingHttpHeaders[] = [];
	const server = createServer(req => {
		seen.push(req.headers);
		req.socket.destroy();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	cleanups.push(async () => new Promise(resolve => {
		server.close(resolve);
	}));
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, seen};
}

const request = (address: string) => ({
	address, method: 'POST', path: '/bookings', headers: {}, body: Buffer.from('ten sacks'), timeoutMs: 2000,
});

const allowSending = () => undefined;

describe('UndiciPlainServiceClient', () => {
	it('should report that nothing was sent if no connection was opened or the final check fails', async () => {
		const client = createClient();
		const closedService = await PlainServiceStandIn.create({});
		const {address} = closedService;
		await closedService.close();
		expect(await client.sendOnce(request(address), allowSending)).toMatchObject({kind: 'not_sent'});
		const disconnecting = await startDisconnectingServer();
		expect(await client.sendOnce(request(disconnecting.address), () => 'too late')).toEqual({kind: 'not_sent', message: 'too late'});
		expect(disconnecting.seen).toHaveLength(0);
	});

	it('should send a request only once when the connection closes without a response', async () => {
		const client = createClient();
		const disconnecting = await startDisconnectingServer();
		expect(await client.sendOnce(request(disconnecting.address), allowSending)).toMatchObject({kind: 'unknown'});
		expect(disconnecting.seen).toHaveLength(1);
	});

	it('should return the complete response', async () => {
		const client = createClient();
		const service = await startService();
		const outcome = await client.sendOnce(request(service.address), allowSending);
		expect(outcome).toMatchObject({kind: 'answered', status: 200});
		expect(JSON.parse(outcome.kind === 'answered' ? outcome.body.toString() : '')).toMatchObject({path: '/bookings', bytes: 9});
	});
});

describe('routes of a plain service', () => {
	const routes = (['/orders/quotes', '/orders'] as const).map((pathPrefix, index) => ({
		method: 'POST' as const, pathPrefix, idempotent: index === 0, timeoutMs: 1000,
	}));
	const service: PlainService = {...plainService, routes};

	it.each([
		['/orders/quotes?x=1', true], ['/orders/quotes/7', true], ['/orders', false], ['/orders/quotes-old', false],
	])('should match whole path segments of %s', (path, idempotent) => {
		expect(findRoute({service, method: 'POST', path})).toMatchObject({kind: 'route', route: {idempotent}});
	});

	it.each(['/orders/quotes/../x', '/orders/quotes/%2E%2e/x', '/orders//quotes', '/other', String.raw`/orders\quotes`])('should reject %s, which a service could interpret as another path', path => {
		expect(findRoute({service, method: 'POST', path})).toMatchObject({code: 'invalid_request', ran: 'not_run'});
	});
});

describe('idempotent calls', () => {
	const service: PlainService = {
		...plainService,
		routes: [{
			method: 'GET', pathPrefix: '/stock', idempotent: true, timeoutMs: 2000,
		}],
	};

	/** Creates a router that is granted the given servers in turn, and records the outcome of each grant. */
	function createRouter(addresses: readonly string[]) {
		const ended: string[] = [];
		const reservations: PlainReservations = {
			async reserve({exclude}) {
				const id = String(exclude.length);
				return {
					kind: 'granted',
					servers: [{id, address: addresses[exclude.length]!}],
					validUntil: performance.now() + 500,
					acknowledge: () => undefined,
					release(outcome) {
						ended.push(`${id} ${outcome}`);
					},
				};
			},
		};
		const executor = {
			async execute() {
				throw new Error('not idempotent');
			},
		} as unknown as OperationExecutor;
		return {ended, router: PlainRouter.create({reservations, client: createClient(), executor})};
	}

	const call: PlainCall = {
		requestId: 'r1',
		workspace,
		service,
		method: 'GET',
		path: '/stock/jute',
		headers: {
			authorization: 'Bearer secret', connection: 'x-drop', 'x-drop': '1', 'x-keep': '2',
		},
		body: Buffer.alloc(0),
		deadline: performance.now() + 60_000,
		signal: new AbortController().signal,
	};

	const readBody = async (result: PlainResult): Promise<unknown> => result.kind === 'answered' && !Buffer.isBuffer(result.body)
		? JSON.parse(await text(result.body))
		: result;

	it('should retry on another backend server when no response arrives, and release each reservation once', async () => {
		const [disconnecting, working] = [await startDisconnectingServer(), await startService()];
		const {ended, router} = createRouter([disconnecting.address, working.address]);
		expect(await readBody(await router.handle(call))).toMatchObject({path: '/stock/jute'});
		await expect.poll(() => ended).toEqual(['0 failed', '1 finished']);
	});

	it('should forward neither credentials nor hop-by-hop headers to the service', async () => {
		const disconnecting = await startDisconnectingServer();
		const {router} = createRouter([disconnecting.address, disconnecting.address, disconnecting.address]);
		expect(await router.handle(call)).toMatchObject({code: 'backend_failed', ran: 'unknown'});
		expect(disconnecting.seen).toHaveLength(3);
		const headers = disconnecting.seen[0]!;
		expect([headers.authorization, headers['x-drop'], headers['x-keep'], headers['x-request-id']]).toEqual([undefined, undefined, '2', 'r1']);
	});
});

describe('response that breaks off', () => {
	async function * breakingBody(): AsyncGenerator<string> {
		yield 'part';
		throw new Error('the service closed the connection');
	}

	// To a client of HTTP/1.0, an orderly end of the connection is the end of the response.
	it.each([
		['1.0', 'reset'],
		['1.1', 'open'],
	])('should not look complete to a caller that uses HTTP/%s', async (version, expected) => {
		const server = createServer(async (_req, res) => {
			await writePlainAnswer(res, {
				kind: 'answered', status: 200, headers: {}, body: Readable.from(breakingBody()),
			}, 'r1');
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		cleanups.push(async () => new Promise(resolve => {
			server.close(resolve);
		}));
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		let end = 'open';
		let received = '';
		socket.on('data', chunk => {
			received += chunk.toString();
		});
		socket.on('error', () => undefined);
		watchReset(socket, () => {
			end = 'reset';
		});
		socket.write(`GET / HTTP/${version}\r\nhost: x\r\n\r\n`);
		await once(socket, 'close');
		expect(end).toBe(expected);
		expect(received).not.toContain('\r\n0\r\n');
	});
});
