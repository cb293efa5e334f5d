import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {
	describe, expect, it, vi,
} from 'vitest';
import {CoordinatorLease} from '../src/capacity/coordinator-lease.js';
import {askToStepDown, type LeaseDirectory} from '../src/capacity/lease-peers.js';
import type {Member} from '../src/membership/directory.js';
import {PeerClient} from '../src/peer/peer-client.js';
import {monotonicMs} from '../src/util/clock.js';
import {createLogger} from '../src/util/logger.js';
import {MemoryObjectApi} from './fixtures/memory-object-api.js';
import {POOL} from './fixtures/pool-daemon-fixture.js';

const self: Member = {
	id: 'd1', incarnation: 'i1', peerAddress: '127.0.0.1:1', address: '127.0.0.1:2', region: 'r', failureDomain: 'braga', renewal: 1, draining: false,
};

describe('predecessor of a coordinator', () => {
	it('should count as ended when its address refuses connections, but not when it only does not respond', async () => {
		const server = createServer(socket => {
			socket.resume();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		const peer = PeerClient.create(address);
		const directory = {self, members: () => [self]} as unknown as LeaseDirectory;
		const requestStepDown = async () => askToStepDown({
			directory,
			peers: {stepDown: async (_, message) => peer.stepDown(message), promise: async () => ({promised: false})},
		}, {owner: 'd2', incarnation: 'i', peerAddress: address}, {pool: POOL, epoch: 2});
		expect(await requestStepDown()).toBe(false);
		await peer.close();
		server.close();
		await once(server, 'close');
		const clientAfterExit = PeerClient.create(address);
		await expect(clientAfterExit.stepDown({pool: POOL, epoch: 2})).rejects.toMatchObject({isRefused: true});
		await clientAfterExit.close();
	});
});

describe('coordinator whose stored lease cannot be read', () => {
	// Guards against the end of all renewals after one that failed: the coordinator then never learned of its successor.
	it('should go on, and learn later that it was replaced', async () => {
		const objects = new MemoryObjectApi();
		const logs: string[] = [];
		const directory: LeaseDirectory = {
			self, membersListedAtMs: 0, members: () => [self], leasesKnown: () => true, observedLease: () => undefined, recordLease() {}, incarnationState: () => 'live', refresh() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		};
		const lease = CoordinatorLease.create({
			pool: POOL,
			failureDomain: 'braga',
			objects,
			directory,
			peers: {stepDown: async () => ({confirmed: true}), promise: async () => ({promised: true})},
			clock: monotonicMs,
			logger: createLogger('info', {}, line => {
				logs.push(line);
			}),
			onAcquired() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			onPredecessorEnded() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			onShareReturned() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			onLost() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		try {
			lease.start();
			await vi.waitFor(() => {
				expect(lease.epoch).toBe(1);
			}, {timeout: 10_000, interval: 50});
			const stored = objects.get(`pools/${POOL}`)!.value as Record<string, unknown>;
			objects.put(`pools/${POOL}`, {...stored, epoch: 'two'});
			await vi.waitFor(() => {
				expect(logs.some(line => line.includes('pool_lease_step_failed'))).toBe(true);
			}, {timeout: 5000, interval: 50});
			objects.put(`pools/${POOL}`, {
				...stored, owner: 'd2', incarnation: 'i2', epoch: 2,
			});
			await vi.waitFor(() => {
				expect(logs.some(line => line.includes('pool_lease_lost') && line.includes('reason=replaced'))).toBe(true);
			}, {timeout: 5000, interval: 50});
		} finally {
			await lease.close();
		}
	}, 30_000);
});
