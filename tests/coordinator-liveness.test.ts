import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {askToStepDown, type LeaseDirectory} from '../src/capacity/lease-peers.js';
import {PoolClient} from '../src/capacity/pool-client.js';
import type {PoolService} from '../src/capacity/pool-coordinators.js';
import type {Directory, Member} from '../src/membership/directory.js';
import {PeerClient} from '../src/peer/peer-client.js';
import {monotonicMs} from '../src/util/clock.js';
import {requestOf, silentLogger} from './support/capacity-fixtures.js';
import {POOL} from './support/daemon-fixture.js';

const self: Member = {
	id: 'd1', incarnation: 'i1', peerAddress: '127.0.0.1:1', address: '127.0.0.1:2', region: 'r', failureDomain: 'braga', renewal: 1, draining: false,
};

/** A client whose only pool is coordinated by a peer that accepts calls and, while paused, answers none. */
function createFixture() {
	const state = {paused: true, owner: 'd2', peerAddress: '127.0.0.1:3'};
	const never = async (signal?: AbortSignal) => new Promise<never>((_resolve, reject) => {
		signal?.addEventListener('abort', () => {
			reject(signal.reason as Error);
		});
	});
	const calls = {
		reserve: vi.fn(async (_message: unknown, signal?: AbortSignal) => never(signal)),
		async keepAlive() {
			if (state.paused) {
				throw new Error('no answer in time');
			}

			return {kind: 'accepted', epoch: 1};
		},
		release: async () => undefined,
	};
	const service = calls as unknown as PoolService;
	const directory: Directory = {
		self,
		members: () => [self],
		poolLease: () => ({
			pool: POOL, owner: state.owner, incarnation: 'i', peerAddress: state.peerAddress, epoch: 1, renewal: 1, unconfirmed: [],
		}),
		hosts: () => [],
		refresh: () => undefined,
	};
	const client = PoolClient.create({
		directory, local: {...service, coordinates: () => false}, peer: () => service, clock: monotonicMs, logger: silentLogger,
	});
	const reserve = async () => client.reserve(requestOf('d1.i1.1'), {signal: new AbortController().signal, now: monotonicMs()});
	return {
		state, service, client, reserve,
	};
}

describe('liveness of coordinators', () => {
	let fixture = createFixture();

	afterEach(async () => {
		await fixture.client.close();
		fixture = createFixture();
	});

	it('should take back a reservation that waits at a paused coordinator long before its deadline', async () => {
		expect(await fixture.reserve()).toMatchObject({kind: 'unreachable'});
	}, 5000);

	it('should not send further reservations to a paused coordinator until it answers again', async () => {
		await fixture.reserve();
		expect(await fixture.reserve()).toMatchObject({kind: 'unreachable', message: expect.stringContaining('does not answer') as string});
		expect(fixture.service.reserve).toHaveBeenCalledTimes(1);
		fixture.state.paused = false;
		await vi.waitFor(() => {
			void fixture.reserve();
			expect(fixture.service.reserve).toHaveBeenCalledTimes(2);
		}, {timeout: 5000});
	});

	it('should reserve at a successor at once although its predecessor is still silent', async () => {
		await fixture.reserve();
		fixture.state.peerAddress = '127.0.0.1:4';
		void fixture.reserve();
		expect(fixture.service.reserve).toHaveBeenCalledTimes(2);
	});
});

describe('predecessors of a coordinator', () => {
	it('should count as ended when their address refuses connections, and not when it only stays silent', async () => {
		const server = createServer(socket => {
			socket.resume();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		const peer = PeerClient.create(address);
		const directory = {self, members: () => [self]} as unknown as LeaseDirectory;
		const ask = async () => askToStepDown({
			directory,
			peers: {stepDown: async (_, message) => peer.stepDown(message), promise: async () => ({promised: false})},
		}, {owner: 'd2', incarnation: 'i', peerAddress: address}, {pool: POOL, epoch: 2});
		expect(await ask()).toBe(false);
		await peer.close();
		server.close();
		await once(server, 'close');
		const after = PeerClient.create(address);
		await expect(after.stepDown({pool: POOL, epoch: 2})).rejects.toMatchObject({isRefused: true});
		await after.close();
	});
});
