import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {MAX_MESH_SIZE} from '../src/fleet/fleet-topology.js';
import {ServerLimits} from '../src/fleet/server-limits.js';
import {RetryAllowance} from '../src/scheduling/retry-allowance.js';
import {PromptQuarantine} from '../src/quarantine/prompt-quarantine.js';
import {PlacementTable, type Placement} from '../src/fleet/placement-table.js';
import {LoadExchange} from '../src/fleet/load-exchange.js';
import {monotonicMs} from '../src/util/clock.js';
import {createLogger} from '../src/util/logger.js';
import {freePeerPort} from '../testing/free-port.js';
import {waitUntil} from './fixtures/http.js';

const placement = (id: string, changes: Partial<Placement> = {}): Placement => ({
	id, server: 'i-1', helpers: [], prefillMs: 0, contextTokens: 0, reserved: [], gapTargetMs: 0, weight: 1, targetMs: 100, ...changes,
});

type Daemon = {readonly address: string; readonly placements: PlacementTable; readonly exchange: LoadExchange; readonly storeAges: number[]; readonly lostServers: string[];
	readonly quarantine: PromptQuarantine;
	readonly limits: ServerLimits;
	readonly retries: RetryAllowance;};

let port: number;
let daemons: Daemon[];

const member = (index: number) => ({address: `127.0.0.${index + 1}`, failureDomain: `domain-${index % 3}`, cores: index < 6 ? 1.35 : 0.324});

async function start(index: number, hasStoreRelays = false): Promise<Daemon> {
	const self = member(index);
	const placements = PlacementTable.create();
	const storeAges: number[] = [];
	const lostServers: string[] = [];
	const quarantine = PromptQuarantine.create({
		logger: createLogger('error'),
		publish(message) {
			exchange.publish(message);
		},
		save: () => undefined,
	});
	const limits = ServerLimits.create();
	const retries = RetryAllowance.create({
		daemon: self.address, share: 0.2, slack: 100, otherDaemons: () => exchange.othersByDomain, random: () => 0,
	});
	const exchange: LoadExchange = await LoadExchange.create({
		quarantine,
		limits,
		attempts: {
			recordContact(domain, now) {
				retries.recordContact(domain, now);
			},
			recordPlacement(daemon, {id, isRepeat = false}, placedAt, now) {
				retries.recordPlacement({
					id, daemon, service: 'desk', isRepeat,
				}, placedAt, now);
			},
		},
		daemon: self.address,
		self,
		port,
		placements,
		clock: monotonicMs,
		turnClock: monotonicMs,
		logger: createLogger('error'),
		hasStoreRelays: () => hasStoreRelays,
		onServerLost(server) {
			lostServers.push(server);
		},
		storeState: () => ({storeAgeMs: 7, revisions: {servers: 3}, eras: {servers: 1}}),
		onRelayHeartbeat(_relay, {storeAgeMs}) {
			storeAges.push(storeAgeMs!);
		},
	});
	const daemon = {
		address: self.address, placements, exchange, storeAges, lostServers, quarantine, limits, retries,
	};
	daemons.push(daemon);
	return daemon;
}

beforeEach(async () => {
	port = await freePeerPort();
	daemons = [];
});

afterEach(async () => {
	await Promise.all(daemons.map(async ({exchange}) => exchange.close()));
});

describe('load exchange in a mesh', () => {
	it('should notify other daemons of placements, first events and ends, and send new daemons all open placements', async () => {
		const first = await start(0);
		const second = await start(1);
		first.exchange.openPlacement(placement('early'), monotonicMs());
		second.exchange.addPeers([member(0), member(1)], monotonicMs());
		await waitUntil(() => second.placements.entriesOn('i-1').length === 1);
		first.exchange.openPlacement(placement('late', {helpers: ['i-2']}), monotonicMs());
		first.exchange.startPlacement('late', monotonicMs());
		await waitUntil(() => second.placements.entriesOn('i-2')[0]?.startedAt !== undefined);
		first.exchange.closePlacement('late');
		await waitUntil(() => second.placements.entriesOn('i-2').length === 0);
	});
});

describe('load exchange over relays', () => {
	const size = MAX_MESH_SIZE + 9;

	beforeEach(async () => {
		const members = Array.from({length: size}, (_, index) => member(index));
		for (const index of members.keys()) {
			const {exchange} = await start(index);
			exchange.addPeers(members, monotonicMs());
		}

		await waitUntil(() => daemons.filter(({exchange}) => exchange.storeRelay === undefined).length === 3);
		// A relay knows a follower once it has reported.
		await waitUntil(() => daemons.reduce((sum, {exchange}) => sum + exchange.storeFollowers, 0) === size - 3);
	});

	it('should notify every daemon of a placement of a follower, with one relay in each failure domain', async () => {
		const now = monotonicMs();
		daemons.at(-1)!.exchange.openPlacement(placement('p'), now);
		await waitUntil(() => daemons.every(({placements}) => placements.entriesOn('i-1').length === 1));
		daemons.at(-1)!.exchange.closePlacement('p');
		await waitUntil(() => daemons.every(({placements}) => placements.entriesOn('i-1').length === 0));
	});

	it('should notify every daemon of a server that does not answer at its registered address', async () => {
		// Guards against each of 91 daemons detecting each of 18 restarted servers by itself, at the cost of one request per daemon and server.
		daemons.at(-1)!.exchange.broadcastLost('i-1', 1000);
		await waitUntil(() => daemons.slice(0, -1).every(({lostServers}) => lostServers.includes('i-1')));
	});

	it('should tell every daemon the limit of a server and the requests that others send to it', async () => {
		const last = daemons.at(-1)!;
		last.exchange.broadcastLimit({server: 'i-1', perSecond: 0.5});
		await waitUntil(() => daemons.slice(0, -1).every(({limits}) => limits.size === 1));
		const before = daemons[0]!.limits.waitMs('i-1', undefined, monotonicMs());
		last.exchange.openPlacement(placement('p'), monotonicMs());
		await waitUntil(() => daemons.slice(0, -1).every(({limits}) => limits.waitMs('i-1', undefined, monotonicMs()) > before));
		last.exchange.broadcastLimit({server: 'i-1'});
		await waitUntil(() => daemons.slice(0, -1).every(({limits}) => limits.size === 0));
	});

	it('should count the attempts of one daemon at all others, each once, and tell them which are repeated', async () => {
		// Guards against a fleet in which each daemon knows only its own retries.
		const first = daemons.at(-1)!;
		first.exchange.openPlacement(placement('r#0'), monotonicMs());
		first.exchange.openPlacement(placement('r#1', {isRepeat: true}), monotonicMs());
		await waitUntil(() => daemons.slice(0, -1).every(({retries}) => {
			const {requests, retries: repeated, daemons: known} = retries.state('desk', monotonicMs());
			return requests === 1 && repeated === 1 && known === size;
		}));
		const {exchange} = daemons[0]!;
		first.exchange.openPlacement(placement('s#0'), monotonicMs());
		await waitUntil(() => daemons.slice(0, -1).every(({retries}) => retries.state('desk', monotonicMs()).requests === 2));
		expect(daemons.slice(0, -1).every(({retries}) => retries.state('desk', monotonicMs()).heard > 1)).toBe(true);
		expect(exchange.othersByDomain).toEqual(new Map([['domain-0', 10], ['domain-1', 11], ['domain-2', 11]]));
	});

	it('should tell every daemon which prompt parts are quarantined, also one that missed the message', async () => {
		daemons.at(-1)!.quarantine.add('dead', 60_000, monotonicMs());
		await waitUntil(() => daemons.every(({quarantine}) => quarantine.size === 1));
		const late = await start(size);
		late.exchange.addPeers(Array.from({length: size}, (_, index) => member(index)), monotonicMs());
		await waitUntil(() => late.quarantine.size === 1);
	});

	it('should switch to another relay when a relay has ended', async () => {
		await daemons[0]!.exchange.close();
		const lostRelay = daemons.shift()!;
		await waitUntil(() => daemons.every(({exchange}) => exchange.storeRelay !== lostRelay.address), 5000);
		// Followers of its failure domain and the relays of the others must find the new relay.
		await waitUntil(() => daemons.filter(({exchange}) => exchange.storeRelay === undefined).length === 3, 5000);
		daemons.at(-1)!.exchange.openPlacement(placement('p'), monotonicMs());
		await waitUntil(() => daemons.every(({placements}) => placements.entriesOn('i-1').length === 1), 5000);
	});

	it('should repair the placement table of a daemon that missed a message', async () => {
		const follower = daemons[10]!;
		daemons.at(-1)!.exchange.openPlacement(placement('p'), monotonicMs());
		await waitUntil(() => follower.placements.entriesOn('i-1').length === 1);
		follower.placements.close(daemons.at(-1)!.address, 'p');
		await waitUntil(() => follower.placements.entriesOn('i-1').length === 1, 3000);
	});

	it('should leave the mesh permanently once the fleet is known to be large', async () => {
		// A daemon that knows only part of the fleet sends to all as in a mesh. Daemons that know the whole fleet must not answer it as peers indefinitely.
		const partiallyInformed = await start(size);
		partiallyInformed.exchange.addPeers(Array.from({length: MAX_MESH_SIZE - 2}, (_, index) => member(index)), monotonicMs());
		await waitUntil(() => partiallyInformed.exchange.storeRelay === undefined);
		partiallyInformed.exchange.addPeers(Array.from({length: size}, (_, index) => member(index)), monotonicMs());
		await waitUntil(() => partiallyInformed.exchange.storeRelay !== undefined && partiallyInformed.exchange.storeReaders === 1, 3000);
		await waitUntil(() => daemons.every(({exchange}) => exchange.storeReaders <= 3), 3000);
	});

	it('should send followers the age of the relay\'s copy of the store', async () => {
		await waitUntil(() => daemons.filter(({exchange}) => exchange.storeRelay !== undefined).every(({storeAges}) => storeAges.at(-1) === 7));
	});
});

describe('load exchange of a small fleet whose failure domains have several daemons', () => {
	const size = 9;

	beforeEach(async () => {
		const members = Array.from({length: size}, (_, index) => member(index));
		for (const index of members.keys()) {
			const {exchange} = await start(index, true);
			exchange.addPeers(members, monotonicMs());
		}

		await waitUntil(() => daemons.filter(({exchange}) => exchange.storeRelay === undefined).length === 3);
		await waitUntil(() => daemons.reduce((sum, {exchange}) => sum + exchange.storeFollowers, 0) === size - 3);
	});

	it('should read the store through one daemon of each failure domain and exchange placements directly', async () => {
		await waitUntil(() => daemons.filter(({exchange}) => exchange.storeRelay !== undefined).every(({storeAges}) => storeAges.at(-1) === 7));
		expect(daemons.every(({exchange}) => exchange.storeReaders === 3)).toBe(true);
		daemons.at(-1)!.exchange.openPlacement(placement('p'), monotonicMs());
		await waitUntil(() => daemons.every(({placements}) => placements.entriesOn('i-1').length === 1));
	});

	it('should switch to another relay when a relay has ended', async () => {
		await daemons[0]!.exchange.close();
		const lostRelay = daemons.shift()!;
		await waitUntil(() => daemons.every(({exchange}) => exchange.storeRelay !== lostRelay.address), 5000);
		await waitUntil(() => daemons.reduce((sum, {exchange}) => sum + exchange.storeFollowers, 0) === daemons.length - 3, 5000);
	});
});
