import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {listen} from '../src/util/listen.js';
import {
	API_KEY, GatewayFixture, HOST, platformConfiguration,
} from './fixtures/gateway-fixture.js';
import {RawConnection} from './fixtures/raw-connection.js';

let fixture: GatewayFixture;
let server: Server;
let reply: (socket: Socket, id: string) => void;

/** Registers a server that calls `reply` for each request. */
beforeEach(async () => {
	server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', chunk => {
			reply(socket, /fireflyport-attempt-id: (?<id>.+)\r\n/iv.exec(chunk.toString())?.groups?.id ?? '');
		});
	});
	await listen(server, {host: '127.0.0.1', port: 0});
	fixture = await GatewayFixture.create();
	fixture.store.put('config', 'main', platformConfiguration(3));
	await fixture.start();
	for (const service of ['desk', 'model']) {
		fixture.register(service, {instance: `raw-${service}`, address: `127.0.0.1:${(server.address() as AddressInfo).port}`});
		await fixture.waitForLog(`server=raw-${service}`);
	}

	await fixture.waitForLog('event=configuration');
});

afterEach(async () => {
	await fixture.close();
	server.close();
});

const answer = (id: string, body = 'booked') => `HTTP/1.1 200 OK\r\nfireflyport-attempt-id: ${id}\r\nfireflyport-response-seal: seal\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
const refusal = (status: number, idHeader: string) => `HTTP/1.1 ${status} Refused\r\n${idHeader}fireflyport-not-executed: 1\r\nserver-limit: 0\r\ncontent-length: 0\r\n\r\n`;

describe('refusal of another request', () => {
	it.each([
		[503, 'fireflyport-attempt-id: earlier\r\n'],
		[421, 'fireflyport-attempt-id: earlier\r\n'],
		[503, ''],
	])('should not be passed on as not run, nor lead to a second run (%d, %j)', async (status, idHeader) => {
		let runs = 0;
		reply = (socket, id) => {
			runs++;
			socket.write(refusal(status, idHeader));
			socket.write(answer(id));
		};

		const healthy = await fixture.addServer('desk', {instance: 'healthy'});
		await fixture.waitForLog('server=healthy');
		for (let index = 0; index < 6; index++) {
			const {status: received} = await fixture.send('/book/x');
			expect([200, 502]).toContain(received);
		}

		expect(runs).toBeGreaterThan(0);
		expect(runs + healthy.runs).toBe(6);
		expect(fixture.logs.filter(line => /event=server_lost|event=server_limited/v.test(line))).toEqual([]);
	});
});

describe('stream that broke off', () => {
	const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

	it.each([
		['a signed error', (id: string) => answer(id, 'failed').replace('200 OK', '500 Error')],
		['a refusal', (id: string) => refusal(503, `fireflyport-attempt-id: ${id}\r\n`)],
		['an error of another request', () => answer('earlier', 'failed').replace('200 OK', '500 Error')],
		['a whole response that is no stream', (id: string) => answer(id, 'failed\n\nfailed\n\n')],
		['a stream that ends at once', (id: string) => answer(id, '')],
		['a head inside the body', (id: string) => answer(id, answer('earlier', 'failed\n\n'))],
	])('should not continue with %s, and not look complete', async (_, next) => {
		let requests = 0;
		reply = (socket, id) => {
			requests++;
			if (requests === 1) {
				socket.end(`HTTP/1.1 200 OK\r\nfireflyport-attempt-id: ${id}\r\nfireflyport-response-seal: seal\r\ncontent-length: 1000\r\n\r\n${events}`);
			} else {
				socket.end(next(id));
			}
		};

		fixture.register('model', {instance: 'raw-2', address: `127.0.0.1:${(server.address() as AddressInfo).port}`});
		await fixture.waitForLog('server=raw-2');
		const res = await fixture.send('/chat/x', {headers: {'fireflyport-token-counts': '100,10'}});
		expect(requests).toBe(2);
		expect(res).toMatchObject({status: 200, body: events, isBroken: true});
	});
});

describe('response that stops in the middle of its head', () => {
	const framings = {
		'a length': {head: 'content-length: 6\r\n', body: 'booked'},
		chunks: {head: 'transfer-encoding: chunked\r\n', body: '6\r\nbooked\r\n0\r\n\r\n'},
		'neither length nor chunks': {head: '', body: 'booked'},
		'a closing connection': {head: 'connection: close\r\n', body: 'booked'},
	};

	it.each(Object.entries(framings))('should not be passed on as a success, with %s', async (_, framing) => {
		const whole = (id: string) => `HTTP/1.1 200 OK\r\nfireflyport-attempt-id: ${id}\r\n${framing.head}fireflyport-response-seal: seal\r\n\r\n`;
		for (let cut = 1; cut < whole('request-100').length; cut++) {
			reply = (socket, id) => {
				socket.end(whole(id).slice(0, cut));
			};

			const {status} = await fixture.send('/book/x', {headers: {'fireflyport-attempt-id': `request-${100 + cut}`}});
			expect(status, `cut after ${cut} bytes`).toBe(502);
		}
	});

	it.each(['book', 'chat'])('should not be passed on as a success when an informational head came first (%s)', async route => {
		const whole = (id: string) => `HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nfireflyport-attempt-id: ${id}\r\nfireflyport-response-seal: seal\r\n\r\n`;
		for (let cut = 1; cut < whole('request-100').length; cut += 3) {
			reply = (socket, id) => {
				socket.end(whole(id).slice(0, cut));
			};

			const {status} = await fixture.send(`/${route}/x`, {headers: {'fireflyport-attempt-id': `request-${100 + cut}`, 'fireflyport-token-counts': '100,10'}});
			expect(status, `cut after ${cut} bytes`).not.toBe(200);
		}
	});
});

describe('response that ends early', () => {
	const head = (id: string, fields: string) => `HTTP/1.1 200 OK\r\nfireflyport-attempt-id: ${id}\r\nfireflyport-response-seal: seal\r\n${fields}\r\n`;
	const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
	const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
	const framings = [
		{framing: 'no length', fields: '', frame: (text: string) => text},
		{framing: 'a length', fields: 'content-length: 1000\r\n', frame: (text: string) => text},
		{framing: 'chunks', fields: 'transfer-encoding: chunked\r\n', frame: chunk},
	];
	// Less than the limit on bodies, and more than the server reads.
	const upload = 'x'.repeat(900_000);

	it.each(framings)('should not be a success when a reset meets the upload of a call ($framing)', async ({fields, frame}) => {
		reply = (socket, id) => {
			socket.pause();
			socket.write(`${head(id, fields)}${frame('booked')}`, () => {
				socket.resetAndDestroy();
			});
		};

		await expect(fixture.send('/book/x', {body: upload})).resolves.toMatchObject({status: 502, isBroken: false});
	});

	it.each(framings)('should not look complete when a reset meets the upload of a stream ($framing)', async ({fields, frame}) => {
		reply = (socket, id) => {
			socket.pause();
			socket.write(`${head(id, fields)}${frame(events)}`, () => {
				socket.resetAndDestroy();
			});
		};

		const {status, isBroken} = await fixture.send('/once/x', {body: upload, headers: {'fireflyport-token-counts': '100,10'}});
		expect(status === 502 || isBroken).toBe(true);
	});

	it.each(['000', '099', '101', '199', '600', '999'])('should be reported as unknown when its status is %s', async status => {
		reply = (socket, id) => {
			socket.end(answer(id).replace('200', status));
		};

		for (const path of ['/book/x', '/once/x']) {
			const response = await fixture.send(path, {headers: {'fireflyport-token-counts': '100,10'}});
			expect(response).toMatchObject({status: 502, isBroken: false});
			expect(JSON.parse(response.body)).toMatchObject({error: {ran: 'unknown'}});
		}
	});
});

describe('request that ends early', () => {
	it.each([
		['chunks', 'transfer-encoding: chunked\r\n', '4\r\npart\r\n'],
		['the last chunk without its end', 'transfer-encoding: chunked\r\n', '4\r\npart\r\n0\r\n'],
		['a length', 'content-length: 9\r\n', 'part'],
	])('should not be passed on (%s)', async (_, fields, part) => {
		let runs = 0;
		reply = (socket, id) => {
			runs++;
			socket.end(answer(id));
		};

		const client = await RawConnection.open(fixture.ports.port);
		client.write(`POST /book/x HTTP/1.1\r\nhost: ${HOST}\r\nfireflyport-attempt-id: cut\r\nfireflyport-credential: ${API_KEY}\r\n${fields}\r\n${part}`);
		client.socket.end();
		await client.waitForClose();
		await fixture.send('/book/x', {headers: {'fireflyport-attempt-id': 'whole'}});
		expect(runs).toBe(1);
		expect(client.statuses).not.toContain(200);
	});
});
