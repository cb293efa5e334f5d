import {describe, expect, it} from 'vitest';
import {findLeftOver} from '../src/capacity/left-over.js';
import {MemberRegistration} from '../src/membership/member-registration.js';
import {MEMBER_TIMEOUT_MS, MemberView} from '../src/membership/member-view.js';
import {groupByPool, shardOf} from '../src/membership/pool-shards.js';
import {configurationOf, modelService, silentLogger} from './fixtures/capacity-fixtures.js';
import {hostsOf} from './fixtures/daemon-fixture.js';
import {MemoryObjects} from './fixtures/memory-objects.js';

const member = (id: string, renewal: number, incarnation = 'i1') => ({
	key: id,
	version: renewal,
	value: {
		id, incarnation, peerAddress: 'a', address: 'b', region: 'r', failureDomain: 'braga', renewal, draining: false,
	},
});

/** Lists every 3 s; `renew` says which daemons still renew. */
function follow(view: MemberView, fromMs: number, untilMs: number, renew: readonly string[]): void {
	for (let now = fromMs; now <= untilMs; now += 3000) {
		const step = Math.floor(now / 9000);
		view.applyListing(['d1', 'd2'].map(id => member(id, renew.includes(id) ? 1000 + step : 1)), now);
	}
}

describe('members', () => {
	it('should be dropped when their registration has not changed for 35 s', () => {
		const view = new MemberView('d1');
		follow(view, 0, 33_000, ['d1']);
		expect(view.incarnationState('d2', 'i1')).toBe('live');
		follow(view, 36_000, 39_000, ['d1']);
		expect(view.members().map(({id}) => id)).toEqual(['d1']);
		expect(view.incarnationState('d2', 'i1')).toBe('gone');
	});

	it('should all be kept while this daemon cannot renew either, and while nothing can be listed', () => {
		const view = new MemberView('d1');
		follow(view, 0, 120_000, []);
		expect(view.members().map(({id}) => id)).toEqual(['d1', 'd2']);
		const other = new MemberView('d1');
		follow(other, 0, 3000, ['d1', 'd2']);
		follow(other, 500_000, 506_000, ['d1']);
		expect(other.members().map(({id}) => id)).toEqual(['d1', 'd2']);
	});

	// Guards against registrations of lost hosts that stay in every listing.
	it('should be removable 15 min after the last renewal, and never while they renew or when nobody can', () => {
		const view = new MemberView('d1');
		follow(view, 0, 890_000, ['d1']);
		expect(view.isRemovable('d2')).toBe(false);
		follow(view, 893_000, 930_000, ['d1']);
		expect(['d1', 'd2'].map(id => view.isRemovable(id))).toEqual([false, true]);
		follow(view, 933_000, 933_000, ['d1', 'd2']);
		expect(view.isRemovable('d2')).toBe(false);
		const cutOff = new MemberView('d1');
		follow(cutOff, 0, 2_000_000, []);
		expect(cutOff.isRemovable('d2')).toBe(false);
	});

	it('should count as replaced by a newer incarnation, and as gone only after an absence of 35 s', () => {
		const view = new MemberView('d1');
		view.applyListing([member('d1', 1), member('d2', 1, 'i2')], 0);
		expect(view.incarnationState('d2', 'i1')).toBe('replaced');
		expect(view.incarnationState('d3', 'i1')).toBe('unknown');
		follow(view, 3000, MEMBER_TIMEOUT_MS + 6000, ['d1', 'd2']);
		expect(view.incarnationState('d3', 'i1')).toBe('gone');
	});

	it('should stop renewing when a later incarnation registered under the same id', async () => {
		const store = new MemoryObjects();
		const start = async (incarnation: string) => {
			const registry = MemberRegistration.create({
				identity: {
					id: 'd1', incarnation, peerAddress: 'a', address: 'b', region: 'r', failureDomain: 'braga',
				},
				objects: store.client(),
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
	it('should split the backend servers, and move only those of a new shard when there are more', () => {
		const ids = Array.from({length: 100}, (_, index) => `e${index}`);
		const pools = groupByPool(hostsOf(...ids), configurationOf({services: [{...modelService, poolShards: 4}]}));
		expect([...pools.values()].flat()).toHaveLength(100);
		expect(pools.size).toBe(4);
		for (const id of ids) {
			const moved = shardOf(id, 5);
			expect([shardOf(id, 4), 4]).toContain(moved);
		}
	});
});

describe('left-over streams', () => {
	const listed = (id: string, remainingMs = 1000) => ({
		id, remainingMs, state: 'decode' as const, promptTokens: 1, kvTokens: 1, ageMs: 0,
	});
	const states = {
		live: 'live', old: 'replaced', lost: 'gone', new: 'unknown',
	} as const;

	it('should be those without an open reservation whose daemon has ended or whose time is over', () => {
		const streams = [
			listed('live.i.1'),
			listed('old.i.1'),
			listed('lost.i.1'),
			listed('new.i.1'),
			listed('live.i.2', 0),
			listed('old.i.7'),
			listed('10.0.0.1:80.i.3', 0),
			listed('other'),
			listed('other2', 0),
		];
		const segments = [{...listed('old.i.7.segment0')}, {...listed('lost.i.8.segment1')}];
		const found = findLeftOver({
			boot: 'b', warm: true, streams, segments,
		}, {
			isOpen: id => id === 'old.i.7' || id === '10.0.0.1:80.i.3',
			incarnationState: daemon => states[daemon as keyof typeof states],
		});
		expect(found).toEqual({streams: ['old.i.1', 'lost.i.1', 'live.i.2', 'other2'], segments: ['lost.i.8.segment1']});
	});
});
