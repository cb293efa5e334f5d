import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {BackendServer} from '../src/fleet/backend-server.js';
import {MemoryReservation, type MemoryOrders, type OrderOutcome} from '../src/gateway/memory-reservation.js';
import {createLogger} from '../src/util/logger.js';

// Fake timers do not replace node:timers/promises.
vi.mock('../src/util/pause.js', () => ({
	pause: async (ms: number, signal?: AbortSignal) => new Promise<void>(resolve => {
		setTimeout(resolve, ms);
		signal?.addEventListener('abort', () => {
			resolve();
		});
	}),
}));

const engine = (id: string): BackendServer => ({
	id, instanceId: id, service: 'model', address: '10.0.0.1:1', failureDomain: 'braga', slots: 11, isDraining: false, coldUntil: -Infinity, startedAt: undefined,
});
const first = {server: engine('e-1'), tokens: 300_000};
const second = {server: engine('e-2'), tokens: 100_000};

type Order = {readonly op: 'reserve' | 'release'; readonly server: string; readonly id: string};

/** Returns the outcomes that a test queues for reserve orders, and `done` when none is queued. */
class FakeOrders implements MemoryOrders {
	readonly sent: Order[] = [];
	readonly outcomes: OrderOutcome[] = [];

	async reserve(server: BackendServer, {id}: {readonly id: string}): Promise<OrderOutcome> {
		this.sent.push({op: 'reserve', server: server.id, id});
		return this.outcomes.shift() ?? 'done';
	}

	async release(server: BackendServer, id: string): Promise<OrderOutcome> {
		this.sent.push({op: 'release', server: server.id, id});
		return 'done';
	}

	count(op: Order['op'], server: string): number {
		return this.sent.filter(order => order.op === op && order.server === server).length;
	}
}

let orders: FakeOrders;
const acquire = async () => MemoryReservation.acquire({orders, clock: () => performance.now(), logger: createLogger('error')}, 'r-1', [first, second]);

beforeEach(() => {
	vi.useFakeTimers();
	orders = new FakeOrders();
});

afterEach(() => {
	vi.useRealTimers();
});

describe('memory reservation', () => {
	it('should be renewed until its release, and send nothing afterwards', async () => {
		const acquired = await acquire();
		if (acquired.kind !== 'reserved') {
			throw new TypeError(acquired.reason);
		}

		expect(acquired.reservation.idAt(first.server)).toBe(acquired.reservation.id);
		expect(acquired.reservation.idAt(engine('e-3'))).toBeUndefined();
		await vi.advanceTimersByTimeAsync(3100);
		expect(orders.count('reserve', 'e-1')).toBe(4);
		await acquired.reservation.release();
		await vi.advanceTimersByTimeAsync(20_000);
		expect([orders.count('reserve', 'e-1'), orders.count('release', 'e-1'), orders.count('release', 'e-2')]).toEqual([4, 1, 1]);
	});

	it('should release all memory when one engine refuses, and report that engine', async () => {
		orders.outcomes.push('done', 'refused');
		const acquired = await acquire();
		expect(acquired).toMatchObject({kind: 'refused', server: {id: 'e-2'}});
		await vi.advanceTimersByTimeAsync(20_000);
		expect([orders.count('release', 'e-1'), orders.count('release', 'e-2')]).toEqual([1, 1]);
	});

	it('should repeat releases until an unanswered order can no longer be carried out', async () => {
		orders.outcomes.push('unknown', 'done');
		const acquired = await acquire();
		expect(acquired.kind).toBe('refused');
		await vi.advanceTimersByTimeAsync(12_500);
		const releasesDuringDelay = orders.count('release', 'e-1');
		expect(releasesDuringDelay).toBeGreaterThanOrEqual(12);
		await vi.advanceTimersByTimeAsync(10_000);
		expect(orders.count('release', 'e-1')).toBeLessThanOrEqual(releasesDuringDelay + 2);
	});

	it('should use a new id for each attempt, so that two requests never share one', async () => {
		await acquire();
		await acquire();
		expect(new Set(orders.sent.map(({id}) => id)).size).toBe(2);
	});
});
