import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {monotonicMs} from '../src/util/clock.js';
import {requestOf} from './fixtures/capacity-fixtures.js';
import {
	waitForCoordinator, type PoolDaemonFixture, liveHosts, POOL, startPoolDaemon,
} from './fixtures/pool-daemon-fixture.js';
import {SharedObjectStore} from './fixtures/shared-object-store.js';

const daemons: PoolDaemonFixture[] = [];

const start = async (...ids: readonly string[]): Promise<readonly PoolDaemonFixture[]> => {
	const objects = new SharedObjectStore();
	const hosts = liveHosts('e1', 'e2');
	daemons.push(...await Promise.all(ids.map(async id => startPoolDaemon(id, objects, hosts))));
	return daemons;
};

const createCallOptions = () => ({signal: new AbortController().signal, now: monotonicMs()});

const reserveUntilGranted = async (daemon: PoolDaemonFixture, id: string) => vi.waitFor(async () => {
	const result = await daemon.client.reserve(requestOf(id), createCallOptions());
	if (result.kind !== 'granted') {
		throw new Error(`${result.kind}: ${result.message}`);
	}

	return result;
}, {timeout: 10_000, interval: 50});

afterEach(async () => {
	await Promise.all(daemons.splice(0).map(async daemon => daemon.close()));
});

describe('pool coordination between daemons', () => {
	it('should grant a reservation over the peer protocol and count it until it is released', async () => {
		const all = await start('d1', 'd2');
		const coordinator = await waitForCoordinator(all);
		const other = all.find(daemon => daemon !== coordinator)!;
		const reservation = await reserveUntilGranted(other, 'd2.i1.1');
		expect(reservation.isValid(monotonicMs())).toBe(true);
		expect(coordinator.coordinators.summaries(monotonicMs())[0]).toMatchObject({pool: POOL, running: 1});
		reservation.acknowledge({server: reservation.servers[0]!.id, boot: 'b1', warm: true});
		reservation.release('finished', 12);
		await vi.waitFor(() => {
			expect(coordinator.coordinators.summaries(monotonicMs())[0]).toMatchObject({running: 0});
		});
	});

	it('should remove a waiting request from the queue when the caller cancels it', async () => {
		const all = await start('d1', 'd2');
		const coordinator = await waitForCoordinator(all);
		const other = all.find(daemon => daemon !== coordinator)!;
		await reserveUntilGranted(other, 'd2.i1.1');
		await Promise.all(['d2.i1.2', 'd2.i1.3', 'd2.i1.4'].map(async id => reserveUntilGranted(other, id)));
		const abortController = new AbortController();
		const waiting = other.client.reserve(requestOf('d2.i1.5'), {signal: abortController.signal, now: monotonicMs()});
		await vi.waitFor(() => {
			expect(coordinator.coordinators.summaries(monotonicMs())[0]).toMatchObject({queued: 1});
		});
		abortController.abort();
		expect(await waiting).not.toMatchObject({kind: 'granted'});
		await vi.waitFor(() => {
			expect(coordinator.coordinators.summaries(monotonicMs())[0]).toMatchObject({queued: 0, running: 4});
		});
	});

	it('should transfer the pool to a successor at a planned shutdown, and register open reservations there', async () => {
		const all = await start('d1', 'd2');
		const coordinator = await waitForCoordinator(all);
		const other = all.find(daemon => daemon !== coordinator)!;
		const reservation = await reserveUntilGranted(coordinator, 'd1.i1.1');
		reservation.acknowledge({server: reservation.servers[0]!.id, boot: 'b1', warm: true});
		await coordinator.registry.setDraining(true);
		await coordinator.coordinators.drain();
		expect(await waitForCoordinator([other])).toBe(other);
		await vi.waitFor(() => {
			expect(other.coordinators.summaries(monotonicMs())[0]).toMatchObject({epoch: 2, running: 1});
		}, {timeout: 10_000});
	});
});
