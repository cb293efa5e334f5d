/** A daemon that runs one gateway: follows the store, exchanges load with other daemons, answers readiness, drains. */
import {randomBytes, randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import {DaemonRegistry} from '../fleet/daemon-registry.js';
import {DomainCuts} from '../fleet/domain-cuts.js';
import {FleetView} from '../fleet/fleet-view.js';
import {LoadBoard} from '../fleet/load-board.js';
import {LoadExchange} from '../fleet/load-exchange.js';
import {ServerHealth} from '../fleet/server-health.js';
import type {Member} from '../fleet/fleet-topology.js';
import {RelayedStore} from '../store/relayed-store.js';
import {ReplicaClient} from '../store/replica-client.js';
import {ReplicaServer} from '../store/replica-server.js';
import type {Clock} from '../util/clock.js';
import {listen} from '../util/listen.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import {RetryBudget} from '../util/retry-budget.js';
import {FleetFeeds} from './fleet-feeds.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {Gateway} from './gateway.js';
import type {GatewaySettings} from './gateway-settings.js';
import type {PlatformAdapter} from './platform-adapter.js';

/** The balancer stops sending new connections after two failed checks, one a second; then a margin. */
const BALANCER_LAG_MS = 2800;
/** Time before SIGKILL at which the process ends by itself. */
const EXIT_MARGIN_MS = 300;
const POLL_MS = 50;
/** Share of the common slack of repeats that the daemons use together; the rest covers daemons that do not see each other. */
const SLACK_SHARE = 0.6;

/**
 * Pause of a watch after changes, for each daemon that reads the store: in a series of changes all daemons together make
 * at most 125 calls a second for each kind, a sixteenth of the store's reads today. The maximum leaves most of the two
 * seconds in which a change has to be in force.
 */
const WATCH_PAUSE_MS_PER_READER = 8;
/** Covers a start, when few of the other daemons are known yet and all backend servers register. */
const MIN_WATCH_PAUSE_MS = 200;
const MAX_WATCH_PAUSE_MS = 600;
/** Pause in ms after changes that came from a relay: four calls a second of each follower, of some dozens, at most. */
const RELAYED_PAUSE_MS = 250;
/** Longest pause in ms between attempts at a store that is away: all daemons together make about 150 calls a second for each kind. */
const MIN_RETRY_MS = 600;
const RETRY_MS_PER_DAEMON = 7;
const MAX_RETRY_MS = 1500;

export type GatewayDaemonSources = {
	readonly adapter: PlatformAdapter;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Log lines dropped so far, for the metrics. */
	readonly droppedLines: () => number;
};

type DaemonParts = {
	readonly self: Member;
	readonly fleet: FleetView;
	readonly board: LoadBoard;
	readonly exchange: LoadExchange;
	readonly store: RelayedStore;
	readonly reader: ReplicaClient;
	readonly server: ReplicaServer;
};

export class GatewayDaemon {
	static async create(settings: GatewaySettings, sources: GatewayDaemonSources): Promise<GatewayDaemon> {
		const {adapter, clock, logger} = sources;
		const board = LoadBoard.create();
		const fleet = FleetView.create();
		const reader = ReplicaClient.create(settings.peerPort, logger);
		const self: Member = {address: settings.ip, failureDomain: settings.failureDomain, cores: settings.cores};
		const store = RelayedStore.create({
			store: adapter.store,
			reader,
			clock,
			logger,
			kinds: [adapter.kinds.configuration, adapter.kinds.servers, adapter.kinds.domainsOut],
			hasFollowers: () => exchange.followers > 0,
			onChanged(now) {
				exchange.announceStore(now);
			},
		});
		const exchange = await LoadExchange.create({
			daemon: `${settings.daemon}/${randomBytes(4).toString('hex')}`,
			self,
			port: settings.peerPort,
			board,
			clock,
			logger,
			onLost(server, until, now) {
				if (fleet.noteLost(server, until, now)) {
					logger.info('server_lost', {server, ms: Math.round(until - now), told: true});
				}
			},
			storeState: now => store.state(now),
			onRelayBeat(relay, state, now) {
				store.noteRelay(relay, state, now);
			},
		});
		const server = await ReplicaServer.listen(settings.ip, settings.peerPort, kind => store.replica(kind));
		const daemon = new GatewayDaemon(settings, sources, {
			self, fleet, board, exchange, store, reader, server,
		});
		await daemon.#start();
		return daemon;
	}

	readonly metrics: GatewayMetrics;
	readonly #health = ServerHealth.create();
	readonly #budgets = new Map<string, RetryBudget>();
	#feeds: FleetFeeds | undefined;
	#registry: DaemonRegistry | undefined;
	#gateway!: Gateway;
	#readyServer!: Server;
	#isClosed = false;

	private constructor(
		private readonly settings: GatewaySettings,
		private readonly sources: GatewayDaemonSources,
		private readonly parts: DaemonParts,
	) {
		this.metrics = GatewayMetrics.create(sources.droppedLines);
	}

	/** Requests that this daemon has at backend servers. */
	get openPlacements(): number {
		return this.parts.exchange.ownPlacements;
	}

	/** Leaves: not ready at once, serves on until the balancer has noticed, then until open requests end or time is up. */
	async drain(): Promise<void> {
		const {clock, logger} = this.sources;
		const startedAt = clock();
		logger.info('draining', {open_requests: this.#gateway.openRequests});
		this.#gateway.leave();
		await pause(BALANCER_LAG_MS);
		this.#gateway.refuse();
		const endAt = startedAt + this.settings.stopGraceMs - EXIT_MARGIN_MS;
		while (this.#gateway.openRequests > 0 && clock() < endAt) {
			this.#gateway.closeIdleConnections();
			await pause(POLL_MS);
		}

		logger.info('drained', {open_requests: this.#gateway.openRequests, ms: Math.round(clock() - startedAt)});
		await this.close();
	}

	/** Cuts what is open. Calls after the first do nothing. */
	async close(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#feeds?.close();
		this.#registry?.close();
		this.#gateway.close();
		this.#readyServer.close();
		this.#readyServer.closeAllConnections();
		this.metrics.close();
		const {
			server, exchange, reader, store,
		} = this.parts;
		server.close();
		await exchange.close();
		await reader.close();
		await store.close();
	}

	async #start(): Promise<void> {
		const {
			settings, sources: {adapter, clock, logger}, parts: {
				self, fleet, board, exchange, store,
			},
		} = this;
		this.#gateway = await Gateway.listen(settings.listen, {
			fleet,
			board,
			health: this.#health,
			cuts: DomainCuts.create(),
			failureDomain: settings.failureDomain,
			regionOf: domain => settings.regions[domain],
			wire: adapter.wire,
			memoryOrders: adapter.memoryOrders,
			exchange,
			clock,
			logger,
			budget: service => this.#budget(service),
			table: () => this.#feeds?.table,
			metrics: this.metrics,
			seed: randomInt(2 ** 31),
		});
		await this.#listenReady();
		this.metrics.listen(settings.ip, settings.metricsPort, err => {
			logger.warn('metrics_unavailable', {message: err.message});
		});
		this.#feeds = FleetFeeds.start({
			adapter,
			store,
			fleet,
			health: this.#health,
			clock,
			logger,
			stableWindowMs: settings.stableWindowMs,
			pauseMs: () => store.freshRelay(clock()) === undefined
				? Math.min(MAX_WATCH_PAUSE_MS, Math.max(MIN_WATCH_PAUSE_MS, exchange.storeReaders * WATCH_PAUSE_MS_PER_READER))
				: RELAYED_PAUSE_MS,
			retryMs: () => Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, exchange.daemons * RETRY_MS_PER_DAEMON)),
			onConfiguration: () => {
				this.#gateway.applyLimits();
			},
		});
		this.#registry = DaemonRegistry.start({
			kind: adapter.kinds.daemons,
			store,
			self,
			clock,
			logger,
			onPeers(members, now) {
				exchange.addPeers(members, now);
			},
		});
		logger.info('started', {listen: settings.listen, failure_domain: settings.failureDomain});
	}

	async #listenReady(): Promise<void> {
		this.#readyServer = createServer((_req, res) => {
			res.writeHead(this.#gateway.isReady ? 200 : 503, {'content-length': 0});
			res.end();
		});
		const [host, port] = this.settings.readyListen.split(':');
		await listen(this.#readyServer, {host, port: Number(port)});
	}

	#budget(service: string): RetryBudget {
		let budget = this.#budgets.get(service);
		if (!budget) {
			const {retryShare, retrySlack} = this.settings;
			budget = RetryBudget.create(retryShare, () => Math.max(1, retrySlack * SLACK_SHARE / this.parts.exchange.daemons));
			this.#budgets.set(service, budget);
		}

		return budget;
	}
}
