import {Agent, request as httpRequest} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
	API_KEY, GatewayFixture, HOST, platformConfiguration,
} from './fixtures/gateway-fixture.js';

/** Requests run for this time in ms while configurations change. */
const RUN_MS = 5000;
const CHANGE_INTERVAL_MS = 40;
const CLIENTS = 6;
const SMALL_BODY = 'x'.repeat(600);
const LARGE_BODY = 'x'.repeat(800_000);

type Result = {readonly status?: number; readonly problem?: string};

let world: GatewayFixture;
let agent: Agent;

/** Versions that differ in routes, services, keys, timeouts and limits. The client limits stay above what the clients need. */
function configuration(version: number): Record<string, unknown> {
	const {routes, services, limits, tenants} = platformConfiguration(version);
	const isAt = (period: number, phase: number): boolean => version % period === phase;
	return platformConfiguration(version, {
		routes: routes.filter(({name}) => !(isAt(5, 1) && name === 'look')).map(route => ({...route, 'timeout-ms': isAt(3, 1) ? 1000 : 3000})),
		services: services.filter(({name}) => !(isAt(7, 2) && name === 'desk')),
		limits: {
			...limits, 'max-body-bytes': isAt(4, 3) ? 300 : 1_000_000, 'header-timeout-ms': isAt(2, 0) ? 1000 : 3000, 'idle-timeout-ms': isAt(3, 0) ? 1000 : 15_000,
		},
		tenants: isAt(11, 4) ? [] : tenants,
	});
}

const headers = (id: string): Record<string, string> => ({
	host: HOST, 'fireflyport-attempt-id': id, 'fireflyport-credential': API_KEY, 'fireflyport-deadline-ms': '3000',
});

/** Sends a request over a kept connection, its body in two parts. */
async function sendSlowBody(id: string, path: string, body: string, pauseMs: number): Promise<Result> {
	return new Promise(resolve => {
		const req = httpRequest({
			port: world.ports.port, path, method: 'POST', agent, headers: {...headers(id), 'content-length': body.length},
		}, res => {
			res.on('error', err => {
				resolve({problem: `response: ${err.message}`});
			});
			res.on('end', () => {
				resolve({status: res.statusCode!});
			});
			res.resume();
		});
		req.on('error', err => {
			resolve({problem: err.message});
		});
		req.write(body.slice(0, 10));
		setTimeout(() => {
			req.end(body.slice(10));
		}, pauseMs);
	});
}

/** Sends a request whose head comes in two parts. */
async function sendSlowHead(id: string, path: string, pauseMs: number): Promise<Result> {
	const socket = connect(world.ports.port, '127.0.0.1');
	const text = `POST ${path} HTTP/1.1\r\n${Object.entries(headers(id)).map(([name, value]) => `${name}: ${value}\r\n`).join('')}content-length: 0\r\nconnection: close\r\n\r\n`;
	return new Promise(resolve => {
		let received = '';
		socket.on('data', chunk => {
			received += String(chunk);
		});
		socket.on('error', err => {
			resolve({problem: err.message});
		});
		socket.on('close', () => {
			const status = /^HTTP\/1\.1 (?<status>\d{3}) /v.exec(received)?.groups?.status;
			resolve(status === undefined ? {problem: 'closed without an answer'} : {status: Number(status)});
		});
		socket.write(text.slice(0, 30));
		setTimeout(() => {
			socket.write(text.slice(30));
		}, pauseMs);
	});
}

beforeEach(async () => {
	world = await GatewayFixture.create();
	world.store.put('config', 'main', platformConfiguration(1));
	await world.addServer('desk', {instance: 'i-1', paceMs: 60});
	await world.addServer('desk', {instance: 'i-2', paceMs: 60});
	await world.start();
	await world.waitForLog('server=i-2');
	agent = new Agent({keepAlive: true, maxSockets: CLIENTS});
});

afterEach(async () => {
	agent.destroy();
	await world.close();
});

describe('configurations in quick series beside requests', () => {
	it('should leave no request that was sent whole without an answer or a refusal', async () => {
		const endAt = performance.now() + RUN_MS;
		const results: Array<Result & {readonly id: string}> = [];
		const runClient = async (client: number): Promise<void> => {
			for (let sent = 0; performance.now() < endAt; sent++) {
				const id = `series-${client}-${sent}`;
				const path = sent % 3 === 0 ? '/book/x' : '/look/x';
				const pauseMs = ((sent * 37) + (client * 11)) % 150;
				results.push({id, ...await (client % 3 === 2 ? sendSlowHead(id, path, pauseMs) : sendSlowBody(id, path, client === 0 ? LARGE_BODY : SMALL_BODY, pauseMs))});
				await delay(pauseMs);
			}
		};

		const change = async (): Promise<void> => {
			for (let version = 2; performance.now() < endAt; version++) {
				world.store.put('config', 'main', configuration(version));
				await delay(CHANGE_INTERVAL_MS);
			}
		};

		await Promise.all([change(), ...Array.from({length: CLIENTS}, async (_, client) => runClient(client))]);
		expect(results.filter(({problem}) => problem !== undefined)).toEqual([]);
		const statuses = new Set(results.map(({status}) => status));
		expect([...statuses].filter(status => ![200, 401, 404, 413, 502, 503, 504].includes(status!))).toEqual([]);
		expect(statuses.size).toBeGreaterThan(3);
		expect(world.logs.filter(line => line.includes('unexpected_error'))).toEqual([]);
	});
});
