import {createServer, type AddressInfo, type Server} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {listen} from '../src/util/listen.js';
import {GatewayFixture, platformConfiguration} from './fixtures/gateway-fixture.js';

const DUPLICATE_DELAY_MS = 50;

let fixture: GatewayFixture;
let server: Server;
let connections: number;

beforeEach(async () => {
	connections = 0;
	// Answers each request twice, the second time late, on a connection that it offers to keep.
	server = createServer(socket => {
		connections++;
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			const id = /fireflyport-attempt-id: (?<id>.+)\r\n/iv.exec(chunk.toString())?.groups?.id ?? '';
			const answer = `HTTP/1.1 200 OK\r\nfireflyport-attempt-id: ${id}\r\nfireflyport-response-seal: seal\r\nconnection: keep-alive\r\ncontent-length: ${id.length}\r\n\r\n${id}`;
			socket.write(answer);
			setTimeout(() => {
				socket.write(answer);
			}, DUPLICATE_DELAY_MS);
		});
	});
	await listen(server, {host: '127.0.0.1', port: 0});
	fixture = await GatewayFixture.create();
	fixture.store.put('config', 'main', platformConfiguration(3));
	await fixture.start();
	fixture.register('desk', {instance: 'i-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`});
	await fixture.waitForLog('event=configuration');
	await fixture.waitForLog('server=i-1');
});

afterEach(async () => {
	await fixture.close();
	server.close();
});

describe('server that sends a second copy of an answer', () => {
	it.each(['book', 'look'])('should give each request its own answer, also on a connection of the client in use again (%s)', async route => {
		for (let index = 0; index < 5; index++) {
			const id = `request-${index}`;
			expect(await fixture.send(`/${route}/x`, {headers: {'fireflyport-attempt-id': id}})).toMatchObject({status: 200, body: id});
			await delay(DUPLICATE_DELAY_MS * (index % 3));
		}

		expect(connections).toBe(5);
	});
});
