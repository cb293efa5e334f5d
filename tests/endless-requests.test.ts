import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {MetadataStoreClient} from '../platform/metadata-store-client.js';
import {createLogger} from '../src/util/logger.js';
import {HttpStandIn} from './fixtures/http-stand-in.js';
import {GatewayFixture, HOST, platformConfiguration} from './fixtures/gateway-fixture.js';
import {waitUntil} from './fixtures/http.js';

const BLOCK = 'x'.repeat(65_536);

let fixture: GatewayFixture;

beforeEach(async () => {
	fixture = await GatewayFixture.create();
	fixture.store.put('config', 'main', platformConfiguration(3));
	await fixture.start();
	await fixture.addServer('desk', {instance: 'i-1'});
	await fixture.waitForLog('event=configuration');
	await fixture.waitForLog('server=i-1');
});

afterEach(async () => {
	await fixture.close();
});

/** A client that sends `start` and then `block` until the gateway closes the connection. */
async function sendWithoutEnd(start: string, block: string): Promise<{readonly received: () => string; readonly sentBytes: () => number; readonly socket: Socket}> {
	const socket = connect(fixture.ports.port, '127.0.0.1');
	let received = '';
	let sentBytes = 0;
	socket.on('data', chunk => {
		received += chunk.toString();
	});
	// The gateway resets the connection; that is the expected end.
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.write(start);
	const flood = (): void => {
		if (!socket.destroyed) {
			sentBytes += block.length;
			if (socket.write(block)) {
				setImmediate(flood);
			} else {
				socket.once('drain', flood);
			}
		}
	};

	flood();
	return {received: () => received, sentBytes: () => sentBytes, socket};
}

describe('clients that send without end', () => {
	it('should refuse a body above the limit of the configuration at once and close the connection', async () => {
		const chunk = `10000\r\n${BLOCK}\r\n`;
		const client = await sendWithoutEnd(`POST /book/x HTTP/1.1\r\nHost: ${HOST}\r\nTransfer-Encoding: chunked\r\n\r\n`, chunk);
		await waitUntil(() => client.socket.destroyed, 2000);
		expect(client.sentBytes()).toBeLessThan(16 * 1024 * 1024);
		expect(fixture.logs.some(line => line.includes('code=request_too_large'))).toBe(true);
		expect(fixture.servers[0]!.arrivals).toEqual([]);
		expect(await fixture.statusOf('/look/x')).toBe(200);
	});

	it('should refuse a head above the limit', async () => {
		const client = await sendWithoutEnd(`GET /look/x HTTP/1.1\r\nHost: ${HOST}\r\n`, `x-filler: ${BLOCK}\r\n`);
		await waitUntil(() => client.socket.destroyed, 2000);
		expect(client.received()).toMatch(/^HTTP\/1\.1 431 |^$/v);
		expect(await fixture.statusOf('/look/x')).toBe(200);
	});

	it('should serve other clients while many connections are half open or send their request byte by byte', async () => {
		const sockets = Array.from({length: 300}, () => connect(fixture.ports.port, '127.0.0.1'));
		await Promise.all(sockets.map(async socket => once(socket, 'connect')));
		for (const [index, socket] of sockets.entries()) {
			socket.on('error', () => undefined);
			socket.write(index % 2 === 0 ? 'P' : `POST /book/x HTTP/1.1\r\nHost: ${HOST}\r\nContent-Length: 900000\r\n\r\nx`);
		}

		const startedAt = performance.now();
		expect(await fixture.statusOf('/look/x')).toBe(200);
		expect(performance.now() - startedAt).toBeLessThan(500);
		await delay(50);
		expect(fixture.servers[0]!.arrivals).toHaveLength(1);
		for (const socket of sockets) {
			socket.destroy();
		}
	});
});

describe('store that answers without end', () => {
	const options = {timeoutMs: 2000};

	it('should stop reading an answer above the limit', async () => {
		const store = await HttpStandIn.start((_req, res) => {
			const write = (): void => {
				if (!res.destroyed) {
					res.write(BLOCK);
					setImmediate(write);
				}
			};

			res.writeHead(200, {'content-type': 'application/json'});
			res.write('{"entries": "');
			write();
		});
		const client = MetadataStoreClient.create(new URL(store.url).host, 'front-1', createLogger('error'));
		const startedAt = performance.now();
		expect(await client.list('servers', options)).toMatchObject({kind: 'unavailable'});
		expect(performance.now() - startedAt).toBeLessThan(options.timeoutMs);
		await client.close();
		await store.close();
	});

	it('should stop reading a list that never ends', async () => {
		let pages = 0;
		const store = await HttpStandIn.start((_req, res) => {
			pages++;
			const entries = Array.from({length: 500}, (_, index) => ({metadata: {name: `i-${pages}-${index}`, revision: 1}, spec: {}}));
			res.writeHead(200, {'content-type': 'application/json'});
			res.end(JSON.stringify({entries, 'has-more': true, 'as-of': 1}));
		});
		const client = MetadataStoreClient.create(new URL(store.url).host, 'front-1', createLogger('error'));
		const listed = await client.list('servers', options);
		expect(listed).toMatchObject({kind: 'unavailable', message: expect.stringContaining('did not end') as string});
		expect(pages).toBeLessThan(50);
		await client.close();
		await store.close();
	});
});
