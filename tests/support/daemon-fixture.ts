import {vi} from 'vitest';
import {PoolClient} from '../../src/capacity/pool-client.js';
import {PoolCoordinators} from '../../src/capacity/pool-coordinators.js';
import {MemberRegistry} from '../../src/membership/member-registry.js';
import {RegionDirectory} from '../../src/membership/region-directory.js';
import {PeerClients} from '../../src/peer/peer-clients.js';
import {createPeerServer} from '../../src/peer/peer-server.js';
import type {PeerService} from '../../src/peer/protocol.js';
import type {Host} from '../../src/platform/host-list.js';
import type {PoolClient as RoutingPoolClient} from '../../src/routing/reservation.js';
import {monotonicMs} from '../../src/util/clock.js';
import {configurationFixture, IdleEngines, silentLogger} from './capacity-fixtures.js';
import type {MemoryObjects} from './memory-object-api.js';

export const POOL = 'braga/fio-lm/0';

export const hostsOf = (...ids: readonly string[]): Host[] => ids.map(id => ({
	id, address: '127.0.0.1:9', service: 'fio-lm', failureDomain: 'braga', state: 'live',
}));

const refuse = async (): Promise<never> => {
	throw new Error('not part of this test');
};

/** The membership and capacity parts of one daemon, with a real peer server. */
export async function startDaemon(id: string, objectStore: MemoryObjects, hosts: Host[], configuration = configurationFixture()) {
	const engines = new IdleEngines();
	const objects = objectStore.client();
	const peers = PeerClients.create();
	const late: {coordinators?: PoolCoordinators} = {};
	const pools = (): PoolCoordinators => late.coordinators!;
	const service: PeerService = {
		reserve: async (message, signal) => pools().reserve(message, signal),
		acknowledge: async message => pools().acknowledge(message),
		release: async message => pools().release(message),
		keepAlive: async message => pools().keepAlive(message),
		stepDown: async message => pools().stepDown(message),
		promise: async message => pools().promise(message),
		configuration: refuse,
		claim: refuse,
		settle: refuse,
		levels: refuse,
	};
	const server = await createPeerServer(service, {host: '127.0.0.1', port: 0});
	const registry = MemberRegistry.create({
		identity: {
			id, incarnation: 'i1', peerAddress: server.address, address: '127.0.0.1:1', region: 'pt-norte', failureDomain: 'braga',
		},
		objects,
		logger: silentLogger,
	});
	await registry.start();
	const directory = RegionDirectory.create({
		self: () => registry.current(),
		objects,
		hostList: {fetchHosts: async () => ({kind: 'listed', list: {version: 1, hosts}})},
		configuration,
		clock: monotonicMs,
		logger: silentLogger,
	});
	await directory.start();
	const peer = (address: string) => peers.for(address, monotonicMs());
	const coordinators = PoolCoordinators.create({
		configuration,
		objects,
		directory,
		peers: {
			stepDown: async (address, message) => peer(address).stepDown(message),
			promise: async (address, message) => peer(address).promise(message),
		},
		probe: engines,
		clock: monotonicMs,
		logger: silentLogger,
	});
	late.coordinators = coordinators;
	coordinators.start();
	const client = PoolClient.create({
		directory, local: coordinators, peer, clock: monotonicMs, logger: silentLogger,
	}) satisfies RoutingPoolClient;
	return {
		id,
		objects,
		directory,
		registry,
		coordinators,
		client,
		engines,
		server,
		async close() {
			await client.close();
			await pools().close();
			await directory.close();
			await registry.close();
			await peers.close();
			await server.close();
		},
	};
}

export type DaemonFixture = Awaited<ReturnType<typeof startDaemon>>;

/** Waits until one of the daemons coordinates the pool, and returns it. */
export const coordinatorOf = async (daemons: readonly DaemonFixture[], timeout = 15_000): Promise<DaemonFixture> =>
	vi.waitFor(() => {
		const found = daemons.find(daemon => daemon.coordinators.coordinates(POOL));
		if (!found) {
			throw new Error('no coordinator yet');
		}

		return found;
	}, {timeout, interval: 20});
