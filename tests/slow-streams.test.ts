import {once} from 'node:events';
import {request as httpRequest, type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
	API_KEY, GatewayFixture, HOST, platformConfiguration, promptHeaders,
} from './fixtures/gateway-fixture.js';
import {HttpStandIn} from './fixtures/http-stand-in.js';

/** Half of the time after which clients leave a silent stream; the gateway then tries another server. */
const SILENCE_TIMEOUT_MS = 1000;
const EVENT_BYTES = 16_384;
/** More than the sockets between server and client hold. */
const LARGE_STREAM_EVENTS = 1500;
const headers = {...promptHeaders(1000), 'fireflyport-deadline-ms': '10000'};

let fixture: GatewayFixture;
let servers: HttpStandIn[];
let arrivals: string[];

beforeEach(async () => {
	servers = [];
	arrivals = [];
	fixture = await GatewayFixture.create();
	const configuration = platformConfiguration(3);
	fixture.store.put('config', 'main', {...configuration, routes: configuration.routes.map(route => ({...route, 'timeout-ms': 10_000}))});
	await fixture.start();
	await fixture.waitForLog('event=configuration');
});

afterEach(async () => {
	await Promise.all(servers.map(async server => server.close()));
	await fixture.close();
});

/** Registers a server that answers each stream with `send`. */
async function addServer(instance: string, send: (res: ServerResponse, firstId: number) => Promise<void>): Promise<void> {
	const server = await HttpStandIn.start((req: IncomingMessage, res) => {
		arrivals.push(instance);
		req.resume();
		res.on('error', () => undefined);
		res.writeHead(200, {
			'fireflyport-attempt-id': String(req.headers['fireflyport-attempt-id']),
			'fireflyport-response-seal': `seal-${instance}`,
			'content-type': 'text/event-stream',
		});
		void send(res, Number(req.headers['last-event-id'] ?? 0) + 1);
	});
	servers.push(server);
	fixture.register('model', {instance, address: new URL(server.url).host});
	await fixture.waitForLog(`server=${instance}`);
}

async function sendLargeStream(res: ServerResponse, firstId: number): Promise<void> {
	for (let id = firstId; id <= LARGE_STREAM_EVENTS && !res.destroyed; id++) {
		if (!res.write(`id: ${id}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`)) {
			await Promise.race([once(res, 'drain'), once(res, 'close')]);
		}
	}

	res.end();
}

describe('slow but sound streams', () => {
	it('should not give up a server because its client reads slowly', async () => {
		await addServer('e-1', sendLargeStream);
		await addServer('e-2', sendLargeStream);
		const req = httpRequest({
			port: fixture.ports.port, method: 'POST', path: '/chat/x', headers: {
				...headers, host: HOST, 'fireflyport-attempt-id': 'slow-reader', 'fireflyport-credential': API_KEY,
			},
		}).end();
		const [res] = await once(req, 'response') as [IncomingMessage];
		let bytes = 0;
		res.once('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			res.pause();
		});
		await delay(2 * SILENCE_TIMEOUT_MS);
		res.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
		});
		res.resume();
		await once(res, 'end');
		expect(bytes).toBeGreaterThan(LARGE_STREAM_EVENTS * EVENT_BYTES);
		expect(arrivals).toHaveLength(1);
	});

	it('should not cut a stream whose events come slowly, each within the time that its client accepts', async () => {
		const sendSlowly = async (res: ServerResponse, firstId: number) => {
			for (let id = firstId; id <= 4; id++) {
				res.write(`id: ${id}\ndata: x\n\n`);
				await delay(0.8 * SILENCE_TIMEOUT_MS);
			}

			res.end();
		};

		await addServer('e-1', sendSlowly);
		await addServer('e-2', sendSlowly);
		expect(await fixture.send('/chat/x', {headers})).toMatchObject({status: 200, isBroken: false, body: [1, 2, 3, 4].map(id => `id: ${id}\ndata: x\n\n`).join('')});
		expect(arrivals).toHaveLength(1);
	});
});

describe('stalled streams', () => {
	it.each([
		['a byte now and then', 'x'],
		['a comment now and then', ': still here\n\n'],
		['an event again and again', 'id: 1\ndata: x\n\n'],
	])('should continue on another server when the first one sends only %s', async (_name, text) => {
		const stall = async (res: ServerResponse) => {
			res.write('id: 1\ndata: x\n\n');
			while (!res.destroyed) {
				res.write(text);
				await delay(100);
			}
		};

		await addServer('e-1', async (res, firstId) => {
			await (arrivals.length === 1 ? stall(res) : sendRest(res, firstId));
		});
		await addServer('e-2', async (res, firstId) => {
			await (arrivals.length === 1 ? stall(res) : sendRest(res, firstId));
		});
		const startedAt = performance.now();
		const response = await fixture.send('/chat/x', {headers});
		expect(response.isBroken).toBe(false);
		expect(response.body).toContain('id: 2\ndata: rest\n\n');
		expect(new Set(arrivals).size).toBe(2);
		// Clients leave a silent stream after two seconds.
		expect(performance.now() - startedAt).toBeLessThan(2000);
	});
});

async function sendRest(res: ServerResponse, firstId: number): Promise<void> {
	res.end(`id: ${firstId}\ndata: rest\n\n`);
}
