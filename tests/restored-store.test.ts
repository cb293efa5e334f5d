import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {MetadataStoreClient} from '../platform/metadata-store-client.js';
import {KindFeed} from '../src/store/kind-feed.js';
import {monotonicMs} from '../src/util/clock.js';
import {createLogger} from '../src/util/logger.js';
import {StoreStandIn, type StoreCopy} from '../testing/stand-ins/platform/store-stand-in.js';
import {GatewayFixture, platformConfiguration} from './fixtures/gateway-fixture.js';
import {waitUntil} from './fixtures/http.js';

const DAEMONS = 'fireflyport-daemons';
const CALL_OPTIONS = {timeoutMs: 2000};
/** Number of changes that the copy lacks. */
const LOST_CHANGES = 3;

let standIn: StoreStandIn;
let store: MetadataStoreClient;

beforeEach(async () => {
	standIn = await StoreStandIn.create();
	store = MetadataStoreClient.create(standIn.address, 'front-braga-1', createLogger('error'));
});

afterEach(async () => {
	await store.close();
	await standIn.close();
});

describe('feed of a store that came back from an older copy', () => {
	let known: Map<string, unknown>;
	let feed: KindFeed;
	let copy: StoreCopy;

	const storedNames = () => [...standIn.names('servers')].sort();
	const knownNames = () => [...known.keys()].sort();

	beforeEach(async () => {
		known = new Map();
		standIn.put('servers', 'copied', 1);
		copy = standIn.copy();
		for (let index = 0; index < LOST_CHANGES; index++) {
			standIn.put('servers', `lost-${index}`, index);
		}

		feed = KindFeed.start({
			kind: 'servers',
			store,
			clock: monotonicMs,
			logger: createLogger('error'),
			seed: 1,
			waitMs: 1900,
			pauseMs: () => 50,
			retryMs: () => 300,
			onRegained: () => undefined,
			onRestored: () => undefined,
			sink: {
				onList({objects}) {
					known = new Map(objects.map(({name, value}) => [name, value]));
				},
				onEvent(event) {
					if (event.kind === 'changed') {
						known.set(event.object.name, event.object.value);
					} else {
						known.delete(event.name);
					}
				},
			},
		});
		await waitUntil(() => known.size === LOST_CHANGES + 1);
	});

	afterEach(() => {
		feed.close();
	});

	it.each([['beyond', LOST_CHANGES - 2], ['at', LOST_CHANGES], ['below', LOST_CHANGES + 2]])('should miss no change when its position is %s the new revision', async (_, newChanges) => {
		standIn.setMode('reset');
		standIn.restore(copy);
		for (let index = 0; index < newChanges; index++) {
			standIn.put('servers', `new-${index}`, index);
		}

		standIn.setMode('serving');
		await waitUntil(() => knownNames().join(',') === storedNames().join(','), 2500);
		expect(knownNames()).toEqual(storedNames());
	});

	it('should notice a restored store although its watch was cut without an outage', async () => {
		standIn.restore(copy);
		for (let index = 0; index < LOST_CHANGES; index++) {
			standIn.put('servers', `new-${index}`, index);
		}

		await waitUntil(() => knownNames().join(',') === storedNames().join(','), 2500);
	});
});

describe('list of a store that comes back from an older copy between two pages', () => {
	it('should not be put together from both histories', async () => {
		standIn.put('many', 'name-00000', 0);
		const copy = standIn.copy();
		for (let index = 1; index < 600; index++) {
			standIn.put('many', `name-${String(index).padStart(5, '0')}`, index);
		}

		standIn.onList = page => {
			if (page === 2) {
				standIn.restore(copy);
			}
		};

		const listed = await store.list('many', CALL_OPTIONS);
		expect(listed.kind).toBe('unavailable');
	});
});

describe('gateway on a store that came back from an older copy', () => {
	let gateway: GatewayFixture;

	beforeEach(async () => {
		gateway = await GatewayFixture.create();
		gateway.store.put('config', 'main', platformConfiguration(1));
		await gateway.addServer('desk', {instance: 'i-1'});
		await gateway.addServer('desk', {instance: 'i-2', zone: 'famalicao'});
		gateway.store.put(DAEMONS, 'quarantined-deadbeef-1', {quarantinedPart: 'deadbeef', end: Date.now() + 600_000});
		await gateway.start();
		await gateway.waitForLog('event=registered');
		await gateway.waitForLog('event=configuration version=1');
	});

	afterEach(async () => {
		await gateway.close();
	});

	const restore = (copy: StoreCopy, change: () => void = () => undefined) => {
		gateway.store.setMode('reset');
		gateway.store.restore(copy);
		change();
		gateway.store.setMode('serving');
	};

	it('should serve a route that was added at a revision that had been given out before', async () => {
		const withRoute = (version: number, path: string) => {
			const {routes} = platformConfiguration(version);
			return platformConfiguration(version, {routes: [...routes, {...routes[0], name: path, 'path-prefix': `/${path}/`}]});
		};

		const copy = gateway.store.copy();
		gateway.store.put('config', 'main', withRoute(2, 'added'));
		await gateway.waitForLog('event=configuration version=2');
		restore(copy, () => {
			gateway.store.put('config', 'main', withRoute(4, 'later'));
		});
		await waitUntil(async () => await gateway.statusOf('/later/1', {method: 'GET'}) === 200, 2500);
	});

	it('should send nothing to a failure domain out of service that the copy lacks', async () => {
		const countLines = () => gateway.logs.filter(line => line.includes('event=domains_out')).length;
		const copy = gateway.store.copy();
		gateway.store.put('evacuations', 'braga', {});
		await gateway.waitForLog('event=domains_out domains=braga');
		const linesBefore = countLines();
		restore(copy);
		await waitUntil(() => countLines() > linesBefore, 2500);
		for (let index = 0; index < 10; index++) {
			expect(await gateway.statusOf('/look/1', {method: 'GET'})).toBe(200);
		}

		expect(gateway.servers.map(({runs}) => runs)).toEqual([0, 10]);
	});

	it('should write its registration and the quarantined parts again when the copy lacks them', async () => {
		const {revision, objects} = gateway.store.copy();
		restore({revision, objects: new Map([...objects].filter(([kind]) => kind !== DAEMONS))});
		await waitUntil(() => gateway.store.names(DAEMONS).includes('127.0.0.1'), 4000);
		await waitUntil(() => gateway.store.names(DAEMONS).some(name => name.startsWith('quarantined-deadbeef-')), 4000);
	});
});
