import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {FlowFixture, signedHeaders, type FlowFixtureOptions} from './fixtures/flow-fixture.js';

const whole = [1, 2, 3, 4].map(id => `id: ${id}\ndata: x\n\n`).join('');
const route = {kind: {kind: 'stream', resumable: true, gapTargetMs: 200}, timeoutMs: 3000, maxAttempts: 3} as const;

let fixture: FlowFixture;
let arrivals: string[];

afterEach(async () => {
	await fixture.close();
});

type Serve = (res: ServerResponse, firstId: number) => void;

/** Starts servers that answer the first request, the second one and so on, whichever of them gets it. */
async function start(serve: readonly Serve[], options: FlowFixtureOptions = {}): Promise<void> {
	arrivals = [];
	fixture = await FlowFixture.create({route, ...options});
	await Promise.all(serve.map(async (_, index) => addServer(`i-${index}`, serve)));
}

async function addServer(instance: string, serve: readonly Serve[]): Promise<void> {
	await fixture.addServer(instance, (req: IncomingMessage, res) => {
		arrivals.push(instance);
		serve[arrivals.length - 1]!(res, Number(req.headers['last-event-id'] ?? 0) + 1);
	});
}

/** Sends the events up to `lastId`. */
const events = (res: ServerResponse, firstId: number, lastId: number): void => {
	res.writeHead(200, signedHeaders());
	for (let id = firstId; id <= lastId; id++) {
		res.write(`id: ${id}\ndata: x\n\n`);
	}
};

const breakOff: Serve = async (res, firstId) => {
	events(res, firstId, 2);
	await delay(20);
	res.destroy();
};

const finish: Serve = (res, firstId) => {
	events(res, firstId, 4);
	res.end();
};

const respond = (status: number): Serve => res => {
	res.writeHead(status, signedHeaders()).end('no stream');
};

describe('a stream that has begun', () => {
	it.each([404, 204, 500])('should be resumed on a third server when the second one answers with %i', async status => {
		await start([breakOff, respond(status), finish]);
		expect(await fixture.send()).toMatchObject({status: 200, body: whole, isBroken: false});
		expect(fixture.results).toMatchObject([{outcome: 'delivered', sends: 3}]);
	});

	it('should be reported as failed when no server finishes it', async () => {
		await start([breakOff, respond(404)], {route: {...route, maxAttempts: 2}});
		expect(await fixture.send()).toMatchObject({status: 200, isBroken: true});
		expect(fixture.results).toMatchObject([{outcome: 'failed', sends: 2}]);
	});
});
