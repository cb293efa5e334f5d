import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {mayTakeOver, type TakeoverView} from '../src/capacity/lease-takeover.js';
import {type QueuedRequest, WaitQueue} from '../src/capacity/wait-queue.js';
import {shareOf, WorkspaceLimits} from '../src/capacity/workspace-limits.js';
import {poolsOf} from '../src/membership/pool-shards.js';
import {configurationOf, modelService, workspaceOf} from './fixtures/capacity-fixtures.js';

const createQueuedRequest = (id: string, fields: Partial<QueuedRequest> = {}): QueuedRequest => ({
	id, workspace: 'orders', weight: 1, rank: 5, lengthClass: 'short', lane: 'short', cost: 1000, arrivedAtMs: 0, deadlineMs: 10_000, ...fields,
});

const createQueue = (items: readonly QueuedRequest[]): WaitQueue<QueuedRequest> => {
	const queue = WaitQueue.create({capacity: 1000, ranks: [0, 5, 9]});
	for (const item of items) {
		queue.add(item);
	}

	return queue;
};

const drain = (queue: WaitQueue<QueuedRequest>, now = 0): QueuedRequest[] => {
	const taken: QueuedRequest[] = [];
	for (let item = queue.next(new Set(), now); item; item = queue.next(new Set(), now)) {
		taken.push(queue.removeGranted(item.id)!);
	}

	return taken;
};

describe('wait queue', () => {
	it('should divide tokens between workspaces with queued requests by their weights', () => {
		fc.assert(fc.property(
			fc.integer({min: 1, max: 5}),
			fc.integer({min: 1, max: 5}),
			fc.array(fc.tuple(fc.boolean(), fc.integer({min: 1, max: 1000})), {minLength: 100, maxLength: 300}),
			(weightA, weightB, entries) => {
				const items = entries.map(([first, cost], index) => createQueuedRequest(`r${index}`, {workspace: first ? 'a' : 'b', weight: first ? weightA : weightB, cost}));
				const queue = createQueue(items);
				const remaining = {a: items.filter(item => item.workspace === 'a').length, b: items.filter(item => item.workspace === 'b').length};
				const served = {a: 0, b: 0};
				for (const {workspace, cost} of drain(queue)) {
					if (remaining.a === 0 || remaining.b === 0) {
						break;
					}

					const name = workspace as 'a' | 'b';
					remaining[name]--;
					served[name] += cost;
					// Each workspace is at most one request ahead of its share.
					expect(Math.abs((served.a / weightA) - (served.b / weightB))).toBeLessThanOrEqual((1000 / weightA) + (1000 / weightB));
				}
			},
		));
	});

	it('should order by priority, and within a workspace by deadline', () => {
		const queue = createQueue([createQueuedRequest('late'), createQueuedRequest('soon', {deadlineMs: 5000}), createQueuedRequest('urgent', {rank: 0, workspace: 'reviews'})]);
		expect(drain(queue).map(item => item.id)).toEqual(['urgent', 'soon', 'late']);
	});

	it('should raise a long request, but not a short one, by one priority class after a quarter of the time to its deadline', () => {
		const queue = createQueue([
			createQueuedRequest('long', {rank: 9, lengthClass: 'long', deadlineMs: 40_000}),
			createQueuedRequest('short', {rank: 9, deadlineMs: 40_000}),
			createQueuedRequest('normal', {arrivedAtMs: 9999, deadlineMs: 50_000, workspace: 'reviews'}),
		]);
		expect(queue.next(new Set(), 9999)?.id).toBe('normal');
		expect(queue.next(new Set(), 10_000)?.id).toBe('long');
		expect(drain(queue, 10_000).map(item => item.id)).toEqual(['long', 'normal', 'short']);
	});

	it('should give a workspace no credit for idle time', () => {
		const queue = createQueue(Array.from({length: 20}, (_, index) => createQueuedRequest(`a${index}`, {workspace: 'a'})));
		drain(queue);
		for (let index = 0; index < 10; index++) {
			queue.add(createQueuedRequest(`a-${index}`, {workspace: 'a'}));
			queue.add(createQueuedRequest(`b-${index}`, {workspace: 'b'}));
		}

		const first = drain(queue).slice(0, 10).filter(item => item.workspace === 'b').length;
		expect(first).toBeLessThanOrEqual(6);
	});
});

describe('workspace limits', () => {
	it('should sum to the limit over all pools, so that at least one pool has a share', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 200}), fc.integer({min: 1, max: 20}), (concurrentRequests, poolShards) => {
			const service = {...modelService, poolShards};
			const workspace = workspaceOf('orders', 1, {requestsPerSecond: 10, concurrentRequests, promptTokensPerMinute: 1e6});
			const configuration = configurationOf({services: [service], workspaces: [workspace]});
			const shares = poolsOf(service, 'braga').map(pool => shareOf(workspace, pool, configuration));
			expect(shares.reduce((sum, share) => sum + share.concurrentRequests, 0)).toBe(concurrentRequests);
			expect(shares.reduce((sum, share) => sum + share.requestsPerMs, 0)).toBeCloseTo(0.01);
		}));
	});

	it('should admit at most the rate limit plus one burst over any period', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.integer({min: 0, max: 2000}), fc.integer({min: 1, max: 5000})), {minLength: 50, maxLength: 200}), arrivals => {
			const workspace = workspaceOf('orders', 1, {requestsPerSecond: 2, concurrentRequests: 1000, promptTokensPerMinute: 60_000});
			const limits = WorkspaceLimits.create({pool: 'braga/fio-lm/0', configuration: configurationOf({workspaces: [workspace]}), startsFull: true});
			let now = 0;
			let requests = 0;
			let tokens = 0;
			for (const [gapMs, cost] of arrivals) {
				now += gapMs;
				if (limits.tryAcquire('orders', cost, {kind: 'full', unconfirmed: 0}, now).kind === 'within') {
					requests++;
					tokens += cost;
				}
			}

			expect(requests).toBeLessThanOrEqual(2 + (2 * now / 1000) + 1e-6);
			// A full bucket can be overdrawn by one prompt.
			expect(tokens).toBeLessThanOrEqual(10_000 + now + 5000);
		}));
	});

	it('should reject a workspace that is not in the configuration', () => {
		const limits = WorkspaceLimits.create({pool: 'braga/fio-lm/0', configuration: configurationOf(), startsFull: true});
		expect(limits.tryAcquire('unknown', 1, {kind: 'full', unconfirmed: 0}, 0)).toMatchObject({kind: 'exceeded'});
	});
});

describe('takeover of a lease', () => {
	const lease = {
		pool: 'p', owner: 'd1', incarnation: 'i1', peerAddress: 'x', epoch: 1, renewal: 1, unconfirmed: [], candidates: ['d2/i1'],
	};
	const createView = (fields: Partial<TakeoverView>): TakeoverView => ({
		lease, unchangedMs: 0, self: {id: 'd2', incarnation: 'i1'}, rank: 0, ownerSuperseded: false, ...fields,
	});

	it('should wait for the TTL and a margin, and longer for lower-ranked candidates', () => {
		expect(mayTakeOver(createView({unchangedMs: 6999}))).toBe(false);
		expect(mayTakeOver(createView({unchangedMs: 7000}))).toBe(true);
		expect(mayTakeOver(createView({unchangedMs: 7000, rank: 1}))).toBe(false);
	});

	it('should be denied to a daemon that the owner did not know and therefore did not ask for a promise', () => {
		const restarted = {id: 'd2', incarnation: 'i2'};
		expect(mayTakeOver(createView({unchangedMs: 60_000, self: restarted}))).toBe(false);
		expect(mayTakeOver(createView({unchangedMs: 60_000, self: restarted, ownerSuperseded: true}))).toBe(true);
	});

	it('should be allowed immediately after the lease is released', () => {
		expect(mayTakeOver(createView({lease: {...lease, owner: ''}}))).toBe(true);
	});
});
