import {describe, expect, it} from 'vitest';
import type {BackendServer} from '../src/fleet/backend-server.js';
import {FleetTopology, MAX_MESH_SIZE} from '../src/fleet/fleet-topology.js';
import {FleetView} from '../src/fleet/fleet-view.js';
import {PlacementTable, type Placement} from '../src/fleet/placement-table.js';
import {ServerPace, type PhaseChange} from '../src/scheduling/server-pace.js';
import {chooseLeastLoaded} from '../src/placement/least-loaded.js';
import {createPace} from '../testing/bench/server-pace.js';
import {limitMethods} from '../testing/baselines/limit-methods.js';
import {
	measureReturn, playReturns, type Play, type PlayedServer,
} from '../testing/load/server-returns.js';

const UNIX_MS = 1_764_800_000_000;
const OTHERS = ['a', 'b', 'c', 'd'];
const SLOTS = 11;
const RETURNED_AT = 3500;

const play = (servers: readonly PlayedServer[], changes: Partial<Play> = {}): ReturnType<typeof playReturns> => playReturns({
	seed: 1,
	daemons: 32,
	requestsPerSecond: 500,
	servers: [...OTHERS.map(id => ({id, from: -60_000})), ...servers],
	slots: SLOTS,
	workMs: 60,
	durationMs: 7000,
	createMethod: createPace,
	...changes,
});

const sentTo = ({sent}: ReturnType<typeof playReturns>, server: string, from = 0, until = Infinity) => sent.filter(({server: id, at}) => id === server && at >= from && at < until);

describe('preview of the pace', () => {
	it('should name the servers that a request would not get, and record nothing', () => {
		// Guards against an explanation of a request that counts as one.
		const placements = PlacementTable.create();
		const changes: PhaseChange[] = [];
		const pace = ServerPace.create({
			placements, daemon: 'd-1', daemons: () => 1, heardShare: () => 1, unixTime: () => UNIX_MS, onPhase: change => changes.push(change),
		});
		placements.listen(pace);
		const server: BackendServer = {
			id: 'x', instanceId: 'x', service: 'desk', address: '10.0.0.1:80', failureDomain: 'braga', slots: SLOTS, isDraining: false, coldUntil: -Infinity, startedAt: UNIX_MS - 1000,
		};
		const offer = {request: 'r-1', service: 'desk', servers: [server]};
		expect(pace.previewBeyondPace(offer, 0)).toEqual(new Map());
		expect(pace.phases.born).toBe(0);
		expect(pace.findBeyondPace(offer, 0)).toEqual(new Map());
		for (const id of ['a#0', 'b#0']) {
			placements.open('d-1', {
				id, server: 'x', helpers: [], prefillMs: 0, contextTokens: 0, reserved: [], gapTargetMs: 0, weight: 1, targetMs: 200,
			}, 10);
		}

		const before = [pace.phases, changes.length];
		const preview = pace.previewBeyondPace({...offer, request: 'r-2'}, 20);
		expect([...preview.keys()]).toEqual(['x']);
		expect([pace.phases, changes.length]).toEqual(before);
		expect(pace.findBeyondPace({...offer, request: 'r-2'}, 20)).toEqual(preview);
	});
});

describe('pace of servers over all daemons', () => {
	it('should not flood a server that has just started, which 77 daemons find the emptiest at once', () => {
		const flooded = sentTo(play([{id: 'x', from: RETURNED_AT}], {createMethod: limitMethods['no limit']!, daemons: 77, durationMs: 4500}), 'x', RETURNED_AT, RETURNED_AT + 45);
		const paced = sentTo(play([{id: 'x', from: RETURNED_AT}], {daemons: 77, durationMs: 4500}), 'x', RETURNED_AT, RETURNED_AT + 45);
		expect(flooded.length).toBeGreaterThan(SLOTS);
		expect(paced.length).toBeLessThanOrEqual(6);
		expect(paced.length).toBeGreaterThan(0);
	});

	it('should let all servers of a domain that return at one second carry their share within three seconds', () => {
		const result = play(['x', 'y', 'z'].map(id => ({id, from: RETURNED_AT})));
		const {carriesAfterMs, rejected} = measureReturn(result, {
			returned: ['x', 'y', 'z'], others: OTHERS, returnedAt: RETURNED_AT, spanMs: 3000,
		});
		expect(carriesAfterMs).toBeLessThanOrEqual(3000);
		expect(rejected).toBeLessThanOrEqual(10);
	});

	it('should begin anew with a server that restarts under a new id while its limit grows', () => {
		const result = play([{id: 'x', from: RETURNED_AT, until: RETURNED_AT + 400}, {id: 'x2', from: RETURNED_AT + 400}], {durationMs: 5000});
		expect(sentTo(result, 'x2', RETURNED_AT + 400, RETURNED_AT + 445).length).toBeLessThanOrEqual(6);
		expect(sentTo(result, 'x2').length).toBeGreaterThan(20);
	});

	it('should send few requests to a server whose answers are lost', () => {
		const result = play([{id: 'x', from: RETURNED_AT, fault: () => 'silent'}]);
		expect(sentTo(result, 'x').length).toBeLessThanOrEqual(10);
	});

	it('should send few requests to a server that says it is well and fails all', () => {
		const lying = [{id: 'x', from: RETURNED_AT, fault: () => 'fails' as const}];
		const paced = sentTo(play(lying), 'x').length;
		expect(sentTo(play(lying, {createMethod: limitMethods['no limit']!}), 'x').length).toBeGreaterThan(1000);
		expect(paced).toBeLessThanOrEqual(30);
	});

	it('should find a server that begins to fail all after it was full, and use it again when it serves', () => {
		const result = play([{id: 'x', from: -60_000, fault: now => now > 3000 && now < 4500 ? 'fails' : undefined}]);
		expect(sentTo(result, 'x', 3300, 4500).length).toBeLessThanOrEqual(30);
		expect(sentTo(result, 'x', 6500).length).toBeGreaterThan(20);
	});

	it('should serve all when every daemon starts anew at one time and knows nothing of the servers', () => {
		const {refusedAt} = play([], {restartAllAt: 1500, durationMs: 3500});
		expect(refusedAt).toEqual([]);
	});

	it('should keep requests flowing when all servers of a service start at once', () => {
		const {sent} = play(['x', 'y', 'z'].map(id => ({id, from: 0})), {servers: ['x', 'y', 'z'].map(id => ({id, from: 0})), durationMs: 4000});
		expect(sent.filter(({end, at}) => end === 'answered' && at < 500).length).toBeGreaterThan(20);
		expect(sent.filter(({end, at}) => end === 'answered' && at >= 3000).length).toBeGreaterThan(350);
	});

	it('should keep daemons that hear nobody to their share of the first requests', () => {
		const result = play([{id: 'x', from: RETURNED_AT}], {daemons: 6, cutDaemons: 2, durationMs: 4500});
		expect(sentTo(result, 'x', RETURNED_AT, RETURNED_AT + 45).length).toBeLessThanOrEqual(6);
	});
});

const server = (id: string, changes = {}): BackendServer => ({
	id, instanceId: id, service: 'desk', address: '127.0.0.1:1', failureDomain: 'braga', slots: 8, isDraining: false, coldUntil: -Infinity, startedAt: UNIX_MS - 60_000, ...changes,
});

const placement = (id: string, changes: Partial<Placement> = {}): Placement => ({
	id, server: 'x', helpers: [], prefillMs: 0, contextTokens: 0, reserved: [], gapTargetMs: 0, weight: 1, targetMs: 300, ...changes,
});

function createOne() {
	const placements = PlacementTable.create();
	const changes: PhaseChange[] = [];
	const pace = ServerPace.create({
		placements, daemon: 'd1', daemons: () => 1, heardShare: () => 1, unixTime: () => UNIX_MS, onPhase(change) {
			changes.push(change);
		},
	});
	placements.listen(pace);
	const blocked = (now: number, servers = [server('x')]) => [...pace.findBeyondPace({request: `r${now}`, service: 'desk', servers}, now).keys()];
	return {
		placements, pace, changes, blocked,
	};
}

describe('pace of one server', () => {
	it('should go by the age of the server when the daemon has just started', () => {
		const {pace, blocked} = createOne();
		blocked(0, [server('old'), server('young', {startedAt: UNIX_MS - 1000}), server('cold', {coldUntil: 500})]);
		expect(pace.phases).toMatchObject({full: 1, born: 2});
	});

	it('should start a server over that returns after others were offered without it', () => {
		const {pace, blocked} = createOne();
		const servers = [server('x'), server('y')];
		blocked(0, servers);
		for (const now of [1000, 2000, 3000]) {
			blocked(now, [server('y')]);
		}

		blocked(3100, servers);
		expect(pace.phases).toMatchObject({full: 1, born: 1});
	});

	it('should start a server over that has become cold under the same id', () => {
		const {pace, blocked} = createOne();
		blocked(0);
		expect(pace.phases.full).toBe(1);
		blocked(100, [server('x', {coldUntil: 3000})]);
		expect(pace.phases.born).toBe(1);
	});

	it('should change nothing while the store is away and the registrations stay as they are', () => {
		const {pace, blocked} = createOne();
		const fleet = FleetView.create(4800);
		fleet.register('x', server('x'), 1, 0);
		for (const now of [0, 1000, 2000, 30_000]) {
			fleet.recordOutage(now);
			fleet.retain(new Set(), now);
			fleet.register('x', server('x'), 1, now);
			expect(blocked(now, [...fleet.usableServers('desk', now)])).toEqual([]);
		}

		expect(pace.phases.full).toBe(1);
	});

	it('should raise the limit by first events of other daemons within what the prefill times let expect, and lower it by late ones', () => {
		const {placements, pace, blocked, changes} = createOne();
		blocked(0, [server('x', {startedAt: UNIX_MS})]);
		placements.open('d2', placement('p1', {prefillMs: 100}), 0);
		placements.open('d2', placement('p2', {prefillMs: 100}), 0);
		expect(blocked(10)).toEqual(['x']);
		placements.start('d2', 'p1', 150);
		expect(blocked(160)).toEqual([]);
		placements.start('d2', 'p2', 800);
		expect(changes.map(({phase}) => phase)).toEqual(['probed', 'growing', 'backed_off']);
		placements.close('d2', 'p1', {isAnswered: false, now: 900});
		expect(pace.phases.backed_off).toBe(1);
	});

	it('should ask a server that fails again and again after all others, however many requests these have, and when there is no other', () => {
		const {placements, pace, blocked} = createOne();
		const servers = [server('x', {startedAt: UNIX_MS}), server('y')];
		blocked(0, servers);
		for (const [index, now] of [0, 300, 600].entries()) {
			placements.open('d1', placement(`p${index}`), now);
			placements.close('d1', `p${index}`, {isAnswered: false, now: now + 5});
			pace.recordFailure('x', {placement: `p${index}`, isRejected: false}, now + 5);
		}

		expect(blocked(700, servers)).toEqual(['x']);
		const candidates = (now: number, offered: readonly BackendServer[]) => {
			const beyondPace = pace.findBeyondPace({request: `r${now}`, service: 'desk', servers: offered}, now);
			return offered.map(offer => ({
				server: offer, requests: offer.id === 'y' ? 100 : 0, isSuspect: false, loadBeyondPace: beyondPace.get(offer.id),
			}));
		};

		expect(chooseLeastLoaded(candidates(710, servers), 'braga')?.id).toBe('y');
		expect(chooseLeastLoaded(candidates(720, [server('x')]), 'braga')?.id).toBe('x');
	});
});

describe('servers that answer badly', () => {
	const servers = ['x', 'y', 'z'].map(id => server(id));

	/** Ten requests of another daemon on each server, answered after `msOf` it. */
	function answer({placements}: ReturnType<typeof createOne>, from: number, msOf: (id: string) => number): void {
		for (const round of Array.from({length: 10}).keys()) {
			for (const {id} of servers) {
				const at = from + (50 * round);
				placements.open('d2', placement(`${id}-${from}-${round}`, {server: id, prefillMs: 20}), at);
				placements.start('d2', `${id}-${from}-${round}`, at + msOf(id));
				placements.close('d2', `${id}-${from}-${round}`, {isAnswered: false, now: at + msOf(id)});
			}
		}
	}

	it('should not be limited when most of their service is slow at the same time', () => {
		// Guards against a busy service that loses its room server by server.
		const one = createOne();
		one.blocked(0, servers);
		answer(one, 10, () => 20);
		answer(one, 1000, id => id === 'z' ? 300 : 400);
		expect(one.pace.phases.full).toBe(3);
	});

	it('should be limited while only one of them is slow, and not after that', () => {
		const one = createOne();
		one.blocked(0, servers);
		answer(one, 10, id => id === 'x' ? 400 : 20);
		expect(one.pace.phases).toMatchObject({full: 2, backed_off: 1});
		for (let from = 1000; from < 14_000; from += 500) {
			answer(one, from, () => 20);
		}

		expect(one.pace.phases.full).toBe(3);
	});

	it('should not be limited for refusals while their slots are taken, and be limited for those without load', () => {
		// Guards against a full server that is taken for a broken one and gets less and less.
		const one = createOne();
		one.blocked(0, servers);
		const refuse = (id: string, now: number) => {
			one.placements.open('d2', placement(id), now);
			one.placements.close('d2', id, {isAnswered: false, now: now + 5});
		};

		for (const index of Array.from({length: 8}).keys()) {
			one.placements.open('d2', placement(`open-${index}`), 10);
		}

		for (const index of Array.from({length: 10}).keys()) {
			refuse(`full-${index}`, 20 + index);
		}

		expect(one.pace.phases.full).toBe(3);
		for (const index of Array.from({length: 8}).keys()) {
			one.placements.close('d2', `open-${index}`);
		}

		for (const index of Array.from({length: 10}).keys()) {
			refuse(`empty-${index}`, 3000 + index);
		}

		expect(one.pace.phases).toMatchObject({full: 2, backed_off: 1});
	});
});

describe('share of the daemons that one hears', () => {
	const members = (size: number) => Array.from({length: size}, (_, index) => ({address: `10.0.0.${100 + index}`, failureDomain: `domain-${index % 3}`, cores: 1}));

	it('should count the daemons of a mesh that reported lately', () => {
		const [self, ...others] = members(6);
		const topology = FleetTopology.create(self!);
		topology.addMembers(others);
		for (const {address} of others.slice(0, 2)) {
			topology.recordContact(address, 'peer', 1000);
		}

		expect(topology.heardShare(1500)).toBe(0.5);
		expect(topology.heardShare(3000)).toBeCloseTo(1 / 6);
		// Daemons that ended long ago must not lower the share for ever.
		expect(topology.heardShare(1_000_000)).toBeCloseTo(1 / 4);
	});

	it('should go by the relay for a follower, and by the other relays for a relay', () => {
		const all = members(MAX_MESH_SIZE + 6);
		const follower = FleetTopology.create(all.at(-1)!);
		follower.addMembers(all.slice(0, -1));
		expect(follower.heardShare(1000)).toBeCloseTo(1 / 30);
		follower.recordContact(all[2]!.address, 'relay', 1000);
		expect(follower.heardShare(1500)).toBe(1);
		const relay = FleetTopology.create(all[0]!);
		relay.addMembers(all.slice(1));
		relay.recordContact(all[1]!.address, 'peer', 1000);
		relay.recordContact(all[3]!.address, 'follower', 1000);
		expect(relay.heardShare(1500)).toBeCloseTo(12 / 30);
	});
});
