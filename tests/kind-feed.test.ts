import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {MetadataStoreClient} from '../platform/metadata-store-client.js';
import {KindFeed} from '../src/store/kind-feed.js';
import type {KindEvent, KindObject} from '../src/store/kind-store.js';
import {monotonicMs} from '../src/util/clock.js';
import {createLogger} from '../src/util/logger.js';
import {StoreStandIn} from '../testing/stand-ins/platform/store-stand-in.js';
import {until} from './fixtures/http.js';

let standIn: StoreStandIn;
let store: MetadataStoreClient;
let feed: KindFeed;
let known: Map<string, unknown>;
let lists: number;
let outages: number;

const apply = (event: KindEvent): void => {
	if (event.kind === 'changed') {
		known.set(event.object.name, event.object.value);
	} else {
		known.delete(event.name);
	}
};

beforeEach(async () => {
	standIn = await StoreStandIn.create();
	store = MetadataStoreClient.create(standIn.address, 'front-braga-1');
	known = new Map();
	lists = 0;
	outages = 0;
	standIn.put('servers', 'a', 1);
	feed = KindFeed.start({
		kind: 'servers',
		store,
		clock: monotonicMs,
		logger: createLogger('error'),
		seed: 1,
		waitMs: 1900,
		pauseMs: () => 100,
		retryMs: () => 600,
		sink: {
			onList(objects: readonly KindObject[]) {
				lists++;
				known = new Map(objects.map(({name, value}) => [name, value]));
			},
			onEvent: apply,
			onOutage() {
				outages++;
			},
		},
	});
	await until(() => lists === 1);
});

afterEach(async () => {
	feed.close();
	await store.close();
	await standIn.close();
});

describe('feed of a kind', () => {
	it('should follow changes and removals without listing again', async () => {
		standIn.put('servers', 'b', 2);
		standIn.put('servers', 'a', 3);
		standIn.remove('servers', 'b');
		await until(() => known.get('a') === 3 && !known.has('b'));
		expect(lists).toBe(1);
	});

	it('should list again when the store has dropped its history, and miss nothing in the gap', async () => {
		standIn.setMode('reset');
		standIn.remove('servers', 'a');
		standIn.put('servers', 'c', 4);
		standIn.compact();
		await until(() => outages > 0);
		standIn.setMode('serving');
		await until(() => known.get('c') === 4 && !known.has('a'));
		expect(lists).toBe(2);
	});

	it('should continue after the store was busy, with few calls meanwhile', async () => {
		standIn.setMode('busy');
		const before = standIn.calls;
		await new Promise(resolve => {
			setTimeout(resolve, 1000);
		});
		expect(standIn.calls - before).toBeLessThan(10);
		standIn.put('servers', 'd', 5);
		standIn.setMode('serving');
		await until(() => known.get('d') === 5, 1500);
	});

	it('should collect a series of changes into few watches', async () => {
		const before = standIn.calls;
		for (let index = 0; index < 50; index++) {
			standIn.put('servers', 'a', index);
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
		}

		await until(() => known.get('a') === 49);
		// Half a second and more, in steps of 100 ms; one call for each change would be 50.
		expect(standIn.calls - before).toBeLessThan(12);
	});

	it('should read all pages of a long list', async () => {
		for (let index = 0; index < 1100; index++) {
			standIn.put('many', `name-${String(index).padStart(5, '0')}`, index);
		}

		const listed = await store.list('many', {timeoutMs: 2000});
		expect(listed.kind === 'listed' ? listed.objects : []).toHaveLength(1100);
	});

	it('should treat a registration that exists already as registered', async () => {
		expect(await store.create('daemons', '10.0.0.1', {}, {timeoutMs: 1000})).toEqual({kind: 'created'});
		expect(await store.create('daemons', '10.0.0.1', {}, {timeoutMs: 1000})).toEqual({kind: 'exists'});
		standIn.setMode('busy');
		expect(await store.create('daemons', '10.0.0.1', {}, {timeoutMs: 1000})).toMatchObject({kind: 'unavailable'});
	});
});
