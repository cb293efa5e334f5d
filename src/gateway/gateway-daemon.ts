/** A daemon that runs one gateway: watches the store, exchanges load with others, serves readiness checks and drains. */
import {randomBytes, randomInt} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {DaemonRegistry} from '../fleet/daemon-registry.js';
import {DomainPartitions} from '../fleet/domain-partitions.js';
import {FleetView} from '../fleet/fleet-view.js';
import {PlacementTable} from '../fleet/placement-table.js';
import {LoadExchange} from '../fleet/load-exchange.js';
import {ServerLimits} from '../fleet/server-limits.js';
import {ServerHealth} from '../fleet/server-health.js';
import type {Member} from '../fleet/fleet-topology.js';
import {ConnectionIntake} from '../http/connection-intake.js';
import {ReadPace} from '../http/read-pace.js';
import {ResponseBuffers} from '../forwarding/response-buffers.js';
import {PromptQuarantine} from '../quarantine/prompt-quarantine.js';
import {QuarantineStore, readQuarantined} from '../quarantine/quarantine-store.js';
import {RequestRelay} from '../relaying/request-relay.js';
import {RetryAllowance} from '../scheduling/retry-allowance.js';
import {ServiceRetries} from '../scheduling/service-retries.js';
import {ServerPace} from '../scheduling/server-pace.js';
import {WorkspaceShares} from '../scheduling/workspace-shares.js';
import {CountedStore} from '../store/counted-store.js';
import {ReadSchedule} from '../store/read-schedule.js';
import {RelayedStore} from '../store/relayed-store.js';
import {ReplicaClient} from '../store/replica-client.js';
import {ReplicaServer} from '../store/replica-server.js';
import {wallClockMs, type Clock} from '../util/clock.js';
import {listen} from '../util/listen.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import type {RetryLimit} from '../util/retry-budget.js';
import {stackOf} from '../util/stack-of.js';
import {createTurnClock} from '../util/turn-clock.js';
import {connectionLimits} from './connection-limits.js';
import {Dispatcher} from './dispatcher.js';
import {FleetFeeds} from './fleet-feeds.js';
import {describeQueryError, explainQuerySchema} from './explanation.js';
import {GatewayMetrics, MAX_OPERATOR_CONNECTIONS, type JsonPage} from './gateway-metrics.js';
import {Gateway} from './gateway.js';
import type {GatewaySettings} from './gateway-settings.js';
import type {PlatformAdapter} from './platform-adapter.js';
import {RoomShares} from './room-shares.js';
import {planStop} from './stop-policy.js';

const DRAIN_POLL_MS = 50;
/** Longest wait in ms for the list of daemons, which names the relay to read from, before the store is read directly. */
const MAX_DISCOVERY_WAIT_MS = 150;
/**
 * Shares of the host's memory for request bodies and for responses that have not been sent. A daemon at rest needs about
 * half of the smallest host, and freed buffers are collected late: growing responses leave twice their size behind.
 */
const REQUEST_BODY_MEMORY_SHARE = 0.1;
const RESPONSE_MEMORY_SHARE = 0.05;

/**
 * Pause of a watch in ms after changes, per daemon that reads the store: during a series of changes, all daemons together
 * make at most 125 calls a second for each kind, a sixteenth of the store's current read rate. The maximum leaves most of
 * the two seconds within which a change has to be in force.
 */
const WATCH_PAUSE_MS_PER_READER = 8;
/** Covers the start of the fleet, when few other daemons are known and all backend servers register. */
const MIN_WATCH_PAUSE_MS = 200;
const MAX_WATCH_PAUSE_MS = 600;
/** Pause in ms after changes that came from a relay: each of its dozens of followers makes at most four calls a second. */
const RELAYED_PAUSE_MS = 250;
/** Longest pause in ms between attempts while the store is unavailable: all daemons make about 150 calls a second per kind. */
const MIN_RETRY_MS = 600;
const RETRY_MS_PER_DAEMON = 7;
const MAX_RETRY_MS = 1500;

const NOT_READY_STATUS = 503;
/** Heartbeats after which the store has removed a server that sends none: three, and one for their jitter. */
const CONFIRMATION_HEARTBEATS = 4;

function createRandom(): () => number {
	const generator = xoroshiro128plus(randomInt(2 ** 31));
	return () => uniformFloat64(generator);
}

export type GatewayDaemonDependencies = {
	readonly adapter: PlatformAdapter;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Number of log lines dropped so far, for the metrics. */
	readonly droppedLines: () => number;
};

type DaemonParts = {
	readonly self: Member;
	readonly fleet: FleetView;
	readonly placements: PlacementTable;
	readonly loadExchange: LoadExchange;
	readonly store: RelayedStore;
	readonly reader: ReplicaClient;
	readonly server: ReplicaServer;
	readonly schedule: ReadSchedule;
	readonly metrics: GatewayMetrics;
	readonly limits: ServerLimits;
	readonly pace: ServerPace | undefined;
	readonly quarantine: PromptQuarantine;
	readonly quarantineStore: QuarantineStore;
	readonly relay: RequestRelay;
	readonly retryAllowance: RetryAllowance;
	readonly random: () => number;
	readonly turnClock: Clock;
	readonly dispatcher: Dispatcher;
	readonly roomShares: RoomShares | undefined;
};

export class GatewayDaemon {
	static async create(settings: GatewaySettings, dependencies: GatewayDaemonDependencies): Promise<GatewayDaemon> {
		const {adapter, clock, logger} = dependencies;
		const turnClock = createTurnClock(clock);
		const isPaced = settings.serverPace === 'adaptive';
		const metrics = GatewayMetrics.create({
			droppedLines: dependencies.droppedLines,
			quarantinedParts: () => quarantine.size,
			limitedServers: () => limits.size,
			isServerPathLost: () => relay.isNeeded,
			waitingRequests: () => dispatcher.size,
			pacedServers: isPaced ? () => pace!.phases : undefined,
		});
		const dispatcher = Dispatcher.create({
			daemon: settings.daemon, clock, logger, metrics, maxBufferedBodyBytes: settings.memoryBytes * REQUEST_BODY_MEMORY_SHARE, daemons: () => loadExchange.daemons,
		});
		const placements = PlacementTable.create((server, kind, entry) => {
			dispatcher.recordRelease(server, kind, entry);
		});
		const fleet = FleetView.create(settings.serverHeartbeatMs * CONFIRMATION_HEARTBEATS);
		const roomShares = settings.workspaceShares === 'off'
			? undefined
			: RoomShares.create({
				shares: WorkspaceShares.create(),
				logger,
				mayWait: service => dispatcher.mayWait(service),
				serviceOf: server => fleet.serviceOf(server),
				countYield(service) {
					metrics.countShareYield(service);
				},
			});
		if (roomShares) {
			placements.listen(roomShares);
		}

		const limits = ServerLimits.create({
			daemons: () => loadExchange.daemons, share: now => loadExchange.heardShare(now), heardAt: (id, now) => loadExchange.heardAt(id, now),
		}, () => {
			dispatcher.wake();
		});
		const daemonId = `${settings.daemon}/${randomBytes(4).toString('hex')}`;
		const pace = isPaced
			? ServerPace.create({
				placements,
				daemon: daemonId,
				daemons: () => loadExchange.daemons,
				heardShare: now => loadExchange.heardShare(now),
				unixTime: wallClockMs,
				onPhase({server, before, phase, limit}) {
					logger.info('server_pace', {
						server, phase, before, limit,
					});
				},
			})
			: undefined;
		if (pace) {
			placements.listen(pace);
		}

		const schedule = ReadSchedule.create(settings);
		const reader = ReplicaClient.create(settings.peerPort, logger);
		const self: Member = {address: settings.ip, failureDomain: settings.failureDomain, cores: settings.cores};
		const store = RelayedStore.create({
			store: CountedStore.create(adapter.store, (kind, operation, result) => {
				metrics.countStoreCall(kind, operation, result);
			}),
			reader,
			clock,
			logger,
			kinds: {[adapter.kinds.configuration]: 'latest', [adapter.kinds.servers]: 'all', [adapter.kinds.domainsOut]: 'all'},
			schedule,
			hasFollowers: () => loadExchange.storeFollowers > 0,
			hasRelay: () => loadExchange.storeRelay !== undefined,
			onChanged(now) {
				loadExchange.announceStoreState(now);
			},
		});
		const quarantineStore = QuarantineStore.create({
			kind: adapter.kinds.daemons, store, logger, unixTime: wallClockMs, isWriter: () => loadExchange.storeRelay === undefined,
		});
		const quarantine = PromptQuarantine.create({
			logger,
			publish(message) {
				loadExchange.publish(message);
			},
			save(subject, remainingMs) {
				void quarantineStore.save(subject, remainingMs);
				dispatcher.wake();
			},
		});
		placements.listen({
			opened: () => undefined,
			started({server, placedAt}) {
				quarantine.recordAnswer(server, placedAt);
			},
			closed({server, placedAt}, isAnswered) {
				if (isAnswered) {
					quarantine.recordAnswer(server, placedAt);
				}
			},
		});
		const random = createRandom();
		const retryAllowance = RetryAllowance.create({
			daemon: daemonId, share: settings.retryShare, slack: settings.retrySlack, otherDaemons: () => loadExchange.othersByDomain, random,
		});
		const loadExchange = await LoadExchange.create({
			quarantine,
			limits,
			attempts: {
				recordContact(failureDomain, now) {
					retryAllowance.recordContact(failureDomain, now);
				},
				recordPlacement(daemon, {id, server, isRepeat = false}, placedAt, now) {
					const service = fleet.serviceOf(server);
					if (service !== undefined) {
						retryAllowance.recordPlacement({
							id, daemon, service, isRepeat,
						}, placedAt, now);
					}
				},
			},
			daemon: daemonId,
			self,
			port: settings.peerPort,
			placements,
			clock,
			turnClock,
			logger,
			onServerLost(server, until, now) {
				if (fleet.markLost(server, until, now)) {
					logger.info('server_lost', {server, ms: Math.round(until - now), told: true});
				}
			},
			hasStoreRelays: schedule.hasStoreRelays,
			storeState: now => store.state(now),
			hasColdServers: now => fleet.servingServers(now).some(({coldUntil}) => coldUntil > now),
			onRelayHeartbeat(relay, state, now) {
				store.recordRelayState(relay, state, now);
			},
		});
		const relay = RequestRelay.create({
			clock,
			logger,
			peerPort: settings.peerPort,
			random,
			servers: now => fleet.servingServers(now),
			hosts: now => loadExchange.responsiveMembers(now),
			onPathChanged() {
				dispatcher.wake();
			},
		});
		const server = await ReplicaServer.listen(settings.ip, settings.peerPort, kind => store.replica(kind), {
			maxConnections: connectionLimits(settings).peers,
			handleRelayed(req, res) {
				daemon.#handleRelayed(req, res);
			},
		});
		const daemon = new GatewayDaemon(settings, dependencies, {
			self,
			fleet,
			placements,
			loadExchange,
			store,
			reader,
			server,
			schedule,
			metrics,
			limits,
			pace,
			quarantine,
			quarantineStore,
			relay,
			retryAllowance,
			random,
			turnClock,
			dispatcher,
			roomShares,
		});
		await daemon.#start();
		return daemon;
	}

	readonly #health = ServerHealth.create();
	readonly #retries = new Map<string, ServiceRetries>();
	#feeds: FleetFeeds | undefined;
	#registry: DaemonRegistry | undefined;
	#gateway!: Gateway;
	#readinessServer!: Server;
	#isClosed = false;

	private constructor(
		private readonly settings: GatewaySettings,
		private readonly dependencies: GatewayDaemonDependencies,
		private readonly parts: DaemonParts,
	) {}

	get metrics(): GatewayMetrics {
		return this.parts.metrics;
	}

	/** Number of requests that this daemon has on backend servers. */
	get openPlacements(): number {
		return this.parts.loadExchange.ownPlacements;
	}

	/**
	 * Fails readiness checks, serves until the balancer has reacted, then waits for open requests up to the time limit, and
	 * gives those that remain their final responses.
	 */
	async drain(): Promise<void> {
		const {clock, logger} = this.dependencies;
		const startedAt = clock();
		const plan = planStop(this.settings.stopGraceMs, startedAt);
		logger.info('draining', {open_requests: this.#gateway.openRequests});
		this.#gateway.startStopping(plan);
		await pause(plan.balancedUntil - startedAt);
		while (this.#gateway.openRequests > 0 && clock() < plan.answersAt) {
			await this.#gateway.closeIdleConnections();
			await pause(Math.min(DRAIN_POLL_MS, plan.answersAt - clock()));
		}

		await this.#gateway.endRequests();
		while (this.#gateway.isSending && clock() < plan.exitAt) {
			await pause(Math.min(DRAIN_POLL_MS, plan.exitAt - clock()));
		}

		logger.info('drained', {open_requests: this.#gateway.openRequests, ms: Math.round(clock() - startedAt)});
		await this.close();
	}

	/** Closes all connections and the daemon's parts. Does nothing if called again. */
	async close(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#feeds?.close();
		this.#registry?.close();
		this.#gateway.close();
		this.parts.dispatcher.close();
		this.#readinessServer.close();
		this.#readinessServer.closeAllConnections();
		this.metrics.close();
		const {
			server, loadExchange, reader, store, quarantineStore, relay,
		} = this.parts;
		relay.close();
		quarantineStore.close();
		server.close();
		await loadExchange.close();
		await reader.close();
		await store.close();
	}

	async #start(): Promise<void> {
		const {
			settings, dependencies: {adapter, clock, logger}, parts: {
				self, fleet, placements, loadExchange, store, schedule, limits, pace, quarantine, quarantineStore, relay, random, turnClock, dispatcher, roomShares,
			},
		} = this;
		this.#gateway = await Gateway.listen(settings.listen, {
			fleet,
			placements,
			health: this.#health,
			limits,
			pace,
			partitions: DomainPartitions.create(),
			failureDomain: settings.failureDomain,
			placementSpread: () => loadExchange.isMesh ? undefined : random(),
			regionOf: domain => settings.regions[domain],
			wire: adapter.wire,
			memoryOrders: adapter.memoryOrders,
			dispatcher,
			roomShares,
			buffers: ResponseBuffers.create(settings.memoryBytes * RESPONSE_MEMORY_SHARE),
			readPace: ReadPace.create(),
			maxBufferedBodyBytes: settings.memoryBytes * REQUEST_BODY_MEMORY_SHARE,
			maxConnections: connectionLimits(settings).clients,
			loadExchange,
			quarantine,
			clock,
			turnClock,
			logger,
			retryBudget: service => this.#retriesOf(service),
			routeTable: () => this.#feeds?.routeTable,
			metrics: this.metrics,
			random,
			relay,
		});
		await this.#listenReadiness();
		this.metrics.listen(settings.ip, settings.metricsPort, err => {
			logger.warn('metrics_unavailable', {message: err.message});
		}, params => this.#explain(params));
		this.#registry = DaemonRegistry.start({
			kind: adapter.kinds.daemons,
			store,
			self,
			clock,
			logger,
			onMembers(members, now) {
				loadExchange.addPeers(members, now);
			},
			readOther(object, now) {
				const known = readQuarantined(object, wallClockMs());
				if (known) {
					quarantine.add(known.subject, known.remainingMs, now);
					dispatcher.wake();
				}

				return known !== undefined;
			},
			onRestored(names) {
				quarantineStore.saveMissing(quarantine.list(clock()), names);
			},
		});
		await Promise.race([this.#registry.firstRead, pause(MAX_DISCOVERY_WAIT_MS)]);
		this.#feeds = FleetFeeds.start({
			adapter,
			store,
			fleet,
			health: this.#health,
			limits,
			pace,
			clock,
			logger,
			watchWaitMs: schedule.watchWaitMs,
			pauseMs: () => store.freshRelay(clock()) === undefined
				? Math.min(MAX_WATCH_PAUSE_MS, Math.max(MIN_WATCH_PAUSE_MS, loadExchange.storeReaders * WATCH_PAUSE_MS_PER_READER))
				: RELAYED_PAUSE_MS,
			// A follower learns from its relay that the store is back.
			retryMs: () => loadExchange.storeRelay === undefined
				? Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, loadExchange.daemons * RETRY_MS_PER_DAEMON))
				: MAX_RETRY_MS,
			onRestored: era => {
				this.#registry?.recheck(era);
			},
			onConfiguration: () => {
				this.#gateway.applyConfiguration();
				roomShares?.retain(new Set(this.#feeds?.routeTable?.configuration.services.map(({name}) => name)));
			},
			onServers(serverIds) {
				// Cold servers renew their registrations with each heartbeat, too often to look through all servers each time.
				if (serverIds) {
					dispatcher.retain(serverIds);
				}

				dispatcher.wake();
			},
		});
		logger.info('started', {listen: settings.listen, failure_domain: settings.failureDomain});
	}

	/** There is no gateway yet while the daemon starts. */
	#handleRelayed(req: IncomingMessage, res: ServerResponse): void {
		const gateway = this.#gateway as Gateway | undefined;
		if (gateway) {
			gateway.handleRelayed(req, res);
		} else {
			res.writeHead(NOT_READY_STATUS, {'content-length': 0}).end();
		}
	}

	/** Never throws, and never logs the query, in which a key may have been pasted. */
	#explain(params: URLSearchParams): JsonPage {
		const {logger} = this.dependencies;
		const query = explainQuerySchema.safeParse(Object.fromEntries(params));
		if (!query.success) {
			return {status: 400, body: describeQueryError(query.error)};
		}

		try {
			const body = this.#gateway.explain(query.data);
			if ('error' in body) {
				return {status: 400, body};
			}

			logger.info('request_explained', {route: body.request?.route, service: body.request?.service, decision: body.decision.kind});
			return {status: 200, body};
		} catch (err) {
			logger.error('unexpected_error', {message: stackOf(err)});
			return {status: 500, body: undefined};
		}
	}

	async #listenReadiness(): Promise<void> {
		this.#readinessServer = createServer((_req, res) => {
			res.writeHead(this.#gateway.isReady ? 200 : NOT_READY_STATUS, {'content-length': 0});
			res.end();
		});
		ConnectionIntake.attach(this.#readinessServer, {maxConnections: MAX_OPERATOR_CONNECTIONS});
		const [host, port] = this.settings.readyListen.split(':');
		await listen(this.#readinessServer, {host, port: Number(port)});
	}

	#retriesOf(service: string): RetryLimit {
		let retries = this.#retries.get(service);
		if (!retries) {
			const {settings, dependencies: {clock, logger}, parts: {retryAllowance}, metrics} = this;
			retries = ServiceRetries.create({
				service,
				share: settings.retryShare,
				allowance: retryAllowance,
				clock,
				logger,
				count(decision) {
					metrics.countRetry(service, decision);
				},
			});
			this.#retries.set(service, retries);
		}

		return retries;
	}
}
