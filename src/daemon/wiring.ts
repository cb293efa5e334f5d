/** Creates the components of a daemon, connected to the platform's object API and host list. */
import {randomInt} from 'node:crypto';
import {ConfigurationIndexes} from '../admission/configuration-index.js';
import {EngineClient} from '../backend/engine-client.js';
import {HttpBackendProbe} from '../backend/http-backend-probe.js';
import {PoolClient} from '../capacity/pool-client.js';
import {PoolCoordinators} from '../capacity/pool-coordinators.js';
import {ConfigurationDelivery} from '../configuration/configuration-delivery.js';
import {ConfigurationPollHandler} from '../configuration/configuration-poll-handler.js';
import {ConfigurationStore} from '../configuration/configuration-store.js';
import {formatFinding} from '../configuration/finding.js';
import {OrderReconciler} from '../orders/order-reconciler.js';
import type {PeerClient} from '../peer/peer-client.js';
import {PeerClients} from '../peer/peer-clients.js';
import {createPeerServer, type PeerServer} from '../peer/peer-server.js';
import {HttpHostList} from '../object-api/http-host-list.js';
import {HttpObjectApi} from '../object-api/http-object-api.js';
import {ServiceLevels} from '../service-levels/service-levels.js';
import type {Logger} from '../util/logger.js';
import {TrafficMeter} from '../util/traffic-meter.js';
import type {CreateComponents, DaemonComponents, ComponentDependencies} from './daemon-components.js';
import {MembershipComponents} from './membership-components.js';
import {OperationComponents} from './operation-components.js';
import {createOrderSender} from './order-sender.js';
import {createPeerService} from './peer-service.js';
import {createRequestObserver} from './request-observer.js';

const MAX_SEED = 2 ** 31;
const IDLE_PEERS_INTERVAL_MS = 30_000;

/** Creates the components that exist before any server listens. */
function createBaseComponents(dependencies: ComponentDependencies) {
	const {settings, identity, clock, logger} = dependencies;
	const meter = TrafficMeter.create();
	const platform = {caller: identity.id, meter};
	const objectApi = HttpObjectApi.create({...platform, baseUrl: settings.objectApi});
	const hostList = HttpHostList.create({...platform, baseUrl: settings.hostList});
	const store = createStore(logger);
	const peers = PeerClients.create(meter);
	const peer = (address: string): PeerClient => peers.clientFor(address, clock());
	const {region, failureDomain} = settings;
	const membership = MembershipComponents.create({
		...identity, region, failureDomain, address: '', peerAddress: '',
	}, {
		objects: objectApi, hostList, configuration: store, clock, logger,
	});
	const {directory} = membership;
	const engine = EngineClient.create();
	const probe = HttpBackendProbe.create(engine);
	const coordinators = PoolCoordinators.create({
		configuration: store,
		objects: objectApi,
		directory,
		peers: {
			stepDown: async (address, message) => peer(address).stepDown(message),
			promise: async (address, message) => peer(address).promise(message),
		},
		probe,
		clock,
		logger,
	});
	const pools = PoolClient.create({
		directory, local: coordinators, peer, clock, logger,
	});
	const operations = OperationComponents.create({
		objectApi, configuration: store, directory, peer, clock, logger,
	});
	return {
		objectApi, hostList, store, peers, peer, membership, directory, engine, probe, coordinators, pools, operations, meter,
	};
}

type BaseComponents = ReturnType<typeof createBaseComponents>;

/** Creates the component that sends orders to the engines of the pools that this daemon coordinates. */
function createOrders({coordinators, store, engine}: BaseComponents, {clock, logger, metrics}: ComponentDependencies): OrderReconciler {
	return OrderReconciler.create({
		pools: () => coordinators.orderedPools(),
		configuration: () => store.current()?.configuration,
		send: createOrderSender(engine),
		clock,
		logger,
		metrics,
	});
}

function createStore(logger: Logger): ConfigurationStore {
	const store = ConfigurationStore.create({
		onInvalid(version, findings) {
			logger.error('configuration_invalid', {version, message: findings.map(finding => formatFinding(finding)).join('; ')});
		},
	});
	store.onChange(({version}) => {
		logger.info('configuration', {version});
	});
	return store;
}

/** Starts the components that run in the background. */
function startTasks(base: BaseComponents, dependencies: ComponentDependencies) {
	const {objectApi, store, directory, peer, peers} = base;
	const {clock, logger} = dependencies;
	const delivery = ConfigurationDelivery.create({
		directory,
		objectApi,
		peer,
		store,
		clock,
		seed: randomInt(MAX_SEED),
		log(event, fields) {
			logger.debug(event, fields);
		},
	});
	const timer = setInterval(() => {
		void peers.closeIdle(clock());
	}, IDLE_PEERS_INTERVAL_MS);
	return {delivery, timer, orders: createOrders(base, dependencies)};
}

type RunningTasks = ReturnType<typeof startTasks>;

/** Creates the components of a daemon. Rejects when it cannot listen on the address for other daemons. */
export const createComponents: CreateComponents = async dependencies => {
	const {settings, clock, metrics} = dependencies;
	const base = createBaseComponents(dependencies);
	const {store, coordinators, operations, membership} = base;
	const tasks = startTasks(base, dependencies);
	const polls = ConfigurationPollHandler.create({store, sourceAgeMs: () => tasks.delivery.sourceAgeMs(clock())});
	const indexes = ConfigurationIndexes.create(store);
	const serviceLevels = ServiceLevels.create({
		daemon: dependencies.identity.id,
		objectiveOf: (service, lengthClass) => indexes.current()?.objective(service, lengthClass),
		nowMs: clock(),
	});
	const levels = () => serviceLevels.report(clock());
	const service = createPeerService({
		pools: coordinators, polls, relay: operations.relay, levels,
	});
	let server: PeerServer;
	try {
		server = await createPeerServer(service, settings.peerListen, base.meter);
	} catch (err) {
		await closeAll(base, tasks);
		throw err;
	}

	membership.setPeerAddress(server.address);
	return {
		configuration: store,
		directory: base.directory,
		pools: base.pools,
		engine: base.engine,
		observer: createRequestObserver(metrics, serviceLevels),
		peerAddress: server.address,
		createPlainCalls: reservations => operations.createRouter(reservations),
		async start(address) {
			await membership.start(address);
			coordinators.start();
			tasks.orders.start();
			operations.start();
		},
		coordinatedPools: () => coordinators.summaries(clock()).map(({pool}) => pool),
		levels,
		controlTraffic: () => base.meter.total(),
		async announceDrain() {
			await membership.announceDrain();
		},
		async handOver() {
			// The lease fences the orders of this daemon, so orders in progress must end before it is released.
			await tasks.orders.close();
			await coordinators.drain();
		},
		async close() {
			polls.close();
			await closeAll(base, tasks);
			await server.close();
		},
	} satisfies DaemonComponents;
};

async function closeAll(base: BaseComponents, {delivery, timer, orders}: RunningTasks): Promise<void> {
	const {
		operations, coordinators, pools, membership, peers, probe, engine, objectApi, hostList,
	} = base;
	clearInterval(timer);
	await orders.close();
	await delivery.close();
	await operations.close();
	await coordinators.close();
	await pools.close();
	await membership.close();
	await peers.close();
	await probe.close();
	await engine.close();
	await objectApi.close();
	await hostList.close();
}
