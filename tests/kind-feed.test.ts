import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {MetadataStoreClient} from '../platform/metadata-store-client.js';
import {KindFeed} from '../src/store/kind-feed.js';
import type {KindEvent} from '../src/store/kind-store.js';
import {monotonicMs} from '../src/util/clock.js';
import {createLogger} from '../src/util/logger.js';
import {StoreStandIn} from '../testing/stand-ins/platform/store-stand-in.js';
import {waitUntil} from './fixtures/http.js';

let standIn: StoreStandIn;
let store: MetadataStoreClient;
let feed: KindFeed;
let knownObjects: Map<string, unknown>;
let lists: number;
let outages: number;
let regained: number;

/** Longest pause in ms between attempts while the store is unavailable. */
const LONGEST_PAUSE_MS = 600;

const applyEvent = (event: KindEvent): void => {
	if (event.kind === 'changed') {
		knownObjects.set(event.object.name, event.object.value);
	} else {
		knownObjects.delete(event.name);
	}
};

beforeEach(async () => {
	standIn = await StoreStandIn.create();
	store = MetadataStoreClient.create(standIn.address, 'front-braga-1', createLogger('error'));
	knownObjects = new Map();
	lists = 0;
	outages = 0;
	regained = 0;
	standIn.put('servers', 'a', 1);
	feed = KindFeed.start({
		kind: 'servers',
		store,
		clock: monotonicMs,
		logger: createLogger('error'),
		seed: 1,
		waitMs: 1900,
		pauseMs: () => 100,
		retryMs: () => LONGEST_PAUSE_MS,
		onRegained() {
			regained++;
		},
		onRestored: () => undefined,
		sink: {
			onList({objects}) {
				lists++;
				knownObjects = new Map(objects.map(({name, value}) => [name, value]));
			},
			onEvent: applyEvent,
			onOutage() {
				outages++;
			},
		},
	});
	await waitUntil(() => lists === 1);
});

afterEach(async () => {
	feed.close();
	await store.close();
	await standIn.close();
});

describe('feed of one kind of objects', () => {
	it('should apply changes and removals without listing again', async () => {
		standIn.put('servers', 'b', 2);
		standIn.put('servers', 'a', 3);
		standIn.remove('servers', 'b');
		await waitUntil(() => knownObjects.get('a') === 3 && !knownObjects.has('b'));
		expect(lists).toBe(1);
	});

	it('should list again when the store has compacted its history, and miss no change made meanwhile', async () => {
		standIn.setMode('reset');
		standIn.remove('servers', 'a');
		standIn.put('servers', 'c', 4);
		standIn.compact();
		await waitUntil(() => outages > 0);
		standIn.setMode('serving');
		await waitUntil(() => knownObjects.get('c') === 4 && !knownObjects.has('a'));
		expect(lists).toBe(2);
	});

	it('should continue after the store was busy, and send few calls while it is busy', async () => {
		standIn.setMode('busy');
		const callsBefore = standIn.calls;
		await new Promise(resolve => {
			setTimeout(resolve, 1000);
		});
		expect(standIn.calls - callsBefore).toBeLessThan(10);
		standIn.put('servers', 'd', 5);
		standIn.setMode('serving');
		await waitUntil(() => knownObjects.get('d') === 5, 1500);
	});

	it('should read at once when told that the store is back, although its own call still hangs', async () => {
		standIn.setMode('silent');
		await waitUntil(() => outages > 0);
		// The next call, after a pause, hangs as well.
		await delay(LONGEST_PAUSE_MS);
		standIn.setMode('serving');
		standIn.put('servers', 'e', 6);
		feed.retry();
		await waitUntil(() => knownObjects.get('e') === 6, 500);
	});

	it('should notice that the store is back without waiting for a change', async () => {
		standIn.setMode('silent');
		await waitUntil(() => outages > 0);
		standIn.setMode('serving');
		feed.retry();
		await waitUntil(() => regained > 0, 500);
	});

	it('should receive a series of changes with few watches', async () => {
		const callsBefore = standIn.calls;
		for (let index = 0; index < 50; index++) {
			standIn.put('servers', 'a', index);
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
		}

		await waitUntil(() => knownObjects.get('a') === 49);
		// The 50 changes take at least 500 ms, and the feed pauses 100 ms between watches. One watch for each change would make 50 calls.
		expect(standIn.calls - callsBefore).toBeLessThan(12);
	});

	it('should read all pages of a long list', async () => {
		for (let index = 0; index < 1100; index++) {
			standIn.put('many', `name-${String(index).padStart(5, '0')}`, index);
		}

		const listed = await store.list('many', {timeoutMs: 2000});
		expect(listed.kind === 'listed' ? listed.objects : []).toHaveLength(1100);
	});

	it('should report a registration that already exists as `exists`, not as an error', async () => {
		expect(await store.create('daemons', '10.0.0.1', {}, {timeoutMs: 1000})).toEqual({kind: 'created'});
		expect(await store.create('daemons', '10.0.0.1', {}, {timeoutMs: 1000})).toEqual({kind: 'exists'});
		standIn.setMode('busy');
		expect(await store.create('daemons', '10.0.0.1', {}, {timeoutMs: 1000})).toMatchObject({kind: 'unavailable'});
	});
});

describe('feed whose store, sink or callbacks throw', () => {
	type Thrower = 'list' | 'watch' | 'onList' | 'onEvent' | 'onOutage' | 'pauseMs' | 'retryMs' | 'onRegained' | 'onRestored';
	let logs: string[];
	let thrower: Thrower | undefined;
	let names: Set<string>;
	let brokenFeed: KindFeed;

	const throwIf = (name: Thrower): void => {
		if (thrower === name) {
			throw new TypeError(`${name} is broken`);
		}
	};

	const startFeed = (): KindFeed => KindFeed.start({
		kind: 'servers',
		store: {
			async list(kind, options) {
				throwIf('list');
				return store.list(kind, options);
			},
			async watch(kind, position, waitMs, options) {
				throwIf('watch');
				return store.watch(kind, position, waitMs, options);
			},
			create: async () => ({kind: 'created'}),
			close: async () => undefined,
		},
		clock: monotonicMs,
		logger: createLogger('info', {}, line => {
			logs.push(line);
		}),
		seed: 1,
		waitMs: 300,
		pauseMs() {
			throwIf('pauseMs');
			return 10;
		},
		retryMs() {
			throwIf('retryMs');
			return LONGEST_PAUSE_MS;
		},
		onRegained() {
			throwIf('onRegained');
		},
		onRestored() {
			throwIf('onRestored');
		},
		sink: {
			onList({objects}) {
				throwIf('onList');
				names = new Set(objects.map(({name}) => name));
			},
			onEvent(event) {
				if (event.kind === 'changed' && event.object.name === 'odd') {
					throwIf('onEvent');
				}

				if (event.kind === 'changed') {
					names.add(event.object.name);
				}
			},
			onOutage() {
				throwIf('onOutage');
			},
		},
	});

	beforeEach(() => {
		logs = [];
		thrower = undefined;
		names = new Set();
		brokenFeed = startFeed();
	});

	afterEach(() => {
		brokenFeed.close();
	});

	it.each(['list', 'watch', 'onList', 'onOutage', 'pauseMs', 'retryMs', 'onRegained', 'onRestored'] as const)(
		'should go on following the store after an exception of `%s`',
		async name => {
			await waitUntil(() => names.has('a'));
			thrower = name;
			standIn.restore(standIn.copy());
			standIn.put('servers', 'b', 2);
			standIn.setMode('busy');
			await delay(500);
			standIn.setMode('serving');
			standIn.put('servers', 'c', 3);
			await delay(700);
			const callsBefore = standIn.calls;
			await delay(500);
			// The feed of the other tests makes calls too.
			expect(standIn.calls - callsBefore).toBeLessThan(12);
			thrower = undefined;
			standIn.put('servers', 'd', 4);
			await waitUntil(() => ['a', 'b', 'c', 'd'].every(item => names.has(item)), 3000);
		},
	);

	it('should skip an object that the sink cannot apply, with a log line, and apply the others', async () => {
		await waitUntil(() => names.has('a'));
		standIn.setMode('busy');
		thrower = 'onEvent';
		standIn.put('servers', 'odd', 1);
		standIn.put('servers', 'b', 2);
		standIn.setMode('serving');
		await waitUntil(() => names.has('b'), 3000);
		expect(logs.filter(line => line.includes('event=object_skipped'))).toEqual([
			expect.stringMatching(/kind=servers object=odd revision=3 message="TypeError: onEvent is broken/v),
		]);
		expect(logs.join('\n')).not.toContain('event=feed_failed');
	});

	it('should back off while the store discards its history after each list', async () => {
		brokenFeed.close();
		let calls = 0;
		const spinning = KindFeed.start({
			kind: 'servers',
			store: {
				async list() {
					calls++;
					await delay(0);
					return {
						kind: 'listed', objects: [], era: 1, revision: 1,
					};
				},
				watch: async () => ({kind: 'compacted'}),
				create: async () => ({kind: 'created'}),
				close: async () => undefined,
			},
			clock: monotonicMs,
			logger: createLogger('error'),
			seed: 1,
			waitMs: 300,
			pauseMs: () => 10,
			retryMs: () => LONGEST_PAUSE_MS,
			onRegained: () => undefined,
			onRestored: () => undefined,
			sink: {onList: () => undefined, onEvent: () => undefined},
		});
		await delay(1000);
		spinning.close();
		expect(calls).toBeLessThan(12);
	});
});
