import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {FleetView} from '../src/fleet/fleet-view.js';
import type {Placement} from '../src/fleet/placement-table.js';
import {freePort} from '../testing/free-port.js';
import {FlowFixture, signedHeaders} from './fixtures/flow-fixture.js';

let fixture: FlowFixture;

afterEach(async () => {
	await fixture.close();
});

/** Sends one request. Returns its placements in order. */
async function placementsOf(fixture: FlowFixture): Promise<readonly Placement[]> {
	const placed: Placement[] = [];
	const open = fixture.parts.loadExchange.openPlacement;
	Object.assign(fixture.parts.loadExchange, {
		openPlacement(placement: Placement, now: number) {
			placed.push(placement);
			open(placement, now);
		},
	});
	expect(await fixture.send()).toMatchObject({status: 200});
	return placed;
}

describe('placements of a request that is sent again', () => {
	it('should be announced as repeated after a server has rejected the request', async () => {
		// Guards against retries that other daemons take for new requests, which would raise what the fleet allows.
		fixture = await FlowFixture.create();
		let arrivals = 0;
		const rejectFirst = (_req: IncomingMessage, res: ServerResponse) => {
			if (arrivals++ === 0) {
				res.writeHead(503, {'fireflyport-attempt-id': 'attempt-1', 'fireflyport-not-executed': '1'}).end();
			} else {
				res.writeHead(200, signedHeaders()).end();
			}
		};

		await fixture.addServer('i-1', rejectFirst);
		await fixture.addServer('i-2', rejectFirst);
		const placed = await placementsOf(fixture);
		expect(placed.map(({isRepeat}) => isRepeat)).toEqual([undefined, true]);
	});

	it('should not be announced as repeated when no server was reached before', async () => {
		// Guards against servers that end in groups and use up the retries of the fleet by attempts that cost no server anything.
		fixture = await FlowFixture.create();
		fixture.register('i-1', `127.0.0.1:${await freePort()}`);
		await fixture.addServer('i-2', (_req, res) => {
			res.writeHead(200, signedHeaders()).end();
		});
		// An earlier request makes the sound server the less likely choice.
		fixture.placements.open('other', {
			id: 'x#0', server: 'i-2', helpers: [], prefillMs: 0, contextTokens: 0, reserved: [], gapTargetMs: 0, weight: 1, targetMs: 100,
		}, 0);
		const placed = await placementsOf(fixture);
		expect(placed.map(({server}) => server)).toEqual(['i-1', 'i-2']);
		expect(placed.map(({isRepeat}) => isRepeat)).toEqual([undefined, undefined]);
	});
});

describe('the service of a server', () => {
	it('should be known after the end of its registration', async () => {
		// Guards against attempts that are not counted because their server has ended, which is when most are repeated.
		fixture = await FlowFixture.create();
		const fleet = FleetView.create(4800);
		fleet.register('i-1', {
			id: 'i-1', instanceId: 'i-1', service: 'desk', address: '127.0.0.1:1', failureDomain: 'braga', slots: 6, isDraining: false, coldUntil: -Infinity, startedAt: undefined,
		}, 1, 0);
		fleet.unregister('i-1', 10_000);
		expect(fleet.serviceOf('i-1')).toBe('desk');
	});
});
