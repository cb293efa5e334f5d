import {describe, expect, it} from 'vitest';
import {findLeftOver} from '../src/capacity/left-over.js';
import {MemberRegistration} from '../src/membership/member-registration.js';
import {MEMBER_TIMEOUT_MS, MemberView} from '../src/membership/member-view.js';
import {groupByPool, shardOf} from '../src/membership/pool-shards.js';
import {configurationOf, modelService, silentLogger} from './fixtures/capacity-fixtures.js';
import {liveHosts} from './fixtures/pool-daemon-fixture.js';
import {SharedObjectStore} from './fixtures/shared-object-store.js';

const member = (id: string, renewal: number, incarnation = 'i1') => ({
	key: id,
	version: renewal,
	value: {
		id, incarnation, peerAddress: 'a', address: 'b', region: 'r', failureDomain: 'braga', renewal, draining: false,
	},
});

/** Applies a listing every 3 s, in which only the registrations of the daemons `renewing` change. */
function applyListings(view: MemberView, fromMs: number, untilMs: number, renewing: readonly string[]): void {
	for (let now = fromMs; now <= untilMs; now += 3000) {
		const step = Math.floor(now / 9000);
		view.applyListing(['d1', 'd2'].map(id => member(id, renewing.includes(id) ? 1000 + step : 1)), now);
	}
}

describe('members', () => {
	it('should be dropped when their registrations have not changed for 35 s', () => {
		const view = new MemberView('d1');
		applyListings(view, 0, 33_000, ['d1']);
		expect(view.incarnationState('d2', 'i1')).toBe('live');
		applyListings(view, 36_000, 39_000, ['d1']);
		expect(view.members().map(({id}) => id)).toEqual(['d1']);
		expect(view.incarnationState('d2', 'i1')).toBe('gone');
	});

	it('should all be kept while this daemon cannot renew either, and after a period without listings', () => {
		const view = new MemberView('d1');
		applyListings(view, 0, 120_000, []);
		expect(view.members().map(({id}) => id)).toEqual(['d1', 'd2']);
		const afterGap = new MemberView('d1');
		applyListings(afterGap, 0, 3000, ['d1', 'd2']);
		applyListings(afterGap, 500_000, 506_000, ['d1']);
		expect(afterGap.members().map(({id}) => id)).toEqual(['d1', 'd2']);
	});

	// Guards against registrations of lost hosts that remain in every listing.
	it('should be removable 15 min after the last renewal, but not while they renew or while no daemon can renew', () => {
		const view = new MemberView('d1');
		applyListings(view, 0, 890_000, ['d1']);
		expect(view.isRemovable('d2')).toBe(false);
		applyListings(view, 893_000, 930_000, ['d1']);
		expect(['d1', 'd2'].map(id => view.isRemovable(id))).toEqual([false, true]);
		applyListings(view, 933_000, 933_000, ['d1', 'd2']);
		expect(view.isRemovable('d2')).toBe(false);
		const partitioned = new MemberView('d1');
		applyListings(partitioned, 0, 2_000_000, []);
		expect(partitioned.isRemovable('d2')).toBe(false);
	});

	it('should be reported as replaced by a newer incarnation, and as gone only after an absence of 35 s', () => {
		const view = new MemberView('d1');
		view.applyListing([member('d1', 1), member('d2', 1, 'i2')], 0);
		expect(view.incarnationState('d2', 'i1')).toBe('replaced');
		expect(view.incarnationState('d3', 'i1')).toBe('unknown');
		applyListings(view, 3000, MEMBER_TIMEOUT_MS + 6000, ['d1', 'd2']);
		expect(view.incarnationState('d3', 'i1')).toBe('gone');
	});

	it('should stop renewing when a later incarnation registered under the same id', async () => {
		const store = new SharedObjectStore();
		const start = async (incarnation: string) => {
			const registry = MemberRegistration.create({
				identity: {
					id: 'd1', incarnation, peerAddress: 'a', address: 'b', region: 'r', failureDomain: 'braga',
				},
				objects: store.createClient(),
				logger: silentLogger,
			});
			await registry.start();
			return registry;
		};

		const first = await start('i1');
		const second = await start('i2');
		await second.setDraining(true);
		await first.setDraining(true);
		expect(store.objects.get('members/r/braga/d1')?.value).toMatchObject({incarnation: 'i2'});
		await second.close();
	});
});

describe('shards of a pool', () => {
	it('should partition the backend servers, and move only those of the new shard when one is added', () => {
		const ids = Array.from({length: 100}, (_, index) => `e${index}`);
		const pools = groupByPool(liveHosts(...ids), configurationOf({services: [{...modelService, poolShards: 4}]}));
		expect([...pools.values()].flat()).toHaveLength(100);
		expect(pools.size).toBe(4);
		for (const id of ids) {
			const shard = shardOf(id, 5);
			expect([shardOf(id, 4), 4]).toContain(shard);
		}
	});
});

describe('left-over streams', () => {
	const listedItem = (id: string, remainingMs = 1000) => ({
		id, remainingMs, state: 'decode' as const, promptTokens: 1, kvTokens: 1, ageMs: 0,
	});
	const states = {
		live: 'live', old: 'replaced', lost: 'gone', new: 'unknown',
	} as const;

	it('should be those without an open reservation whose daemon has ended or whose deadline has passed', () => {
		const streams = [
			listedItem('live.i.1'),
			listedItem('old.i.1'),
			listedItem('lost.i.1'),
			listedItem('new.i.1'),
			listedItem('live.i.2', 0),
			listedItem('old.i.7'),
			listedItem('10.0.0.1:80.i.3', 0),
			listedItem('other'),
			listedItem('other2', 0),
		];
		const segments = [{...listedItem('old.i.7.segment0')}, {...listedItem('lost.i.8.segment1')}];
		const leftOver = findLeftOver({
			boot: 'b', warm: true, streams, segments,
		}, {
			isOpen: id => id === 'old.i.7' || id === '10.0.0.1:80.i.3',
			incarnationState: daemon => states[daemon as keyof typeof states],
		});
		expect(leftOver).toEqual({streams: ['old.i.1', 'lost.i.1', 'live.i.2', 'other2'], segments: ['lost.i.8.segment1']});
	});
});
