import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {describe, expect, it} from 'vitest';
import {askToStepDown, type LeaseDirectory} from '../src/capacity/lease-peers.js';
import type {Member} from '../src/membership/directory.js';
import {PeerClient} from '../src/peer/peer-client.js';
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
