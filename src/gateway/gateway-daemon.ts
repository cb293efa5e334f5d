/** A daemon that runs one gateway: follows the store, exchanges load with other daemons, answers readiness, drains. */
import {randomBytes, randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import {DaemonRegistry} from '../fleet/daemon-registry.js';
import {DomainCuts} from '../fleet/domain-cuts.js';
import {FleetView} from '../fleet/fleet-view.js';
import {LoadBoard} from '../fleet/load-board.js';
import {LoadExchange} from '../fleet/load-exchange.js';
import {ServerHealth} from '../fleet/server-health.js';
import {KindFeed, WATCH_SLACK_MS, type FeedSink} from '../store/kind-feed.js';
import type {KindObject} from '../store/kind-store.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import {RetryBudget} from '../util/retry-budget.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {Gateway} from './gateway.js';
import type {GatewaySettings} from './gateway-settings.js';
import type {PlatformAdapter} from './platform-adapter.js';
import {RouteTable} from './route-table.js';

/** The balancer stops sending new connections after two failed checks, one a second; then a margin. */
const BALANCER_LAG_MS = 2800;
/** Time before SIGKILL at which the process ends by itself. */
const EXIT_MARGIN_MS = 300;
const POLL_MS = 50;
/** Share of the common slack of repeats that the daemons use together; the rest covers daemons that do not see each other. */
const SLACK_SHARE = 0.6;

/** Time in ms to read the store again over a new connection, once a watch was found lost. */
const REREAD_TIME_MS = 600;
const MIN_WATCH_WAIT_MS = 500;
/**
 * Pause of a watch after changes, for each daemon: in a series of changes all daemons together make at most 125 calls a
 * second for each kind, a sixteenth of the store's reads today. The maximum leaves most of the two seconds in which a
 * change has to be in force.
 */
const WATCH_PAUSE_MS_PER_DAEMON = 8;
const MAX_WATCH_PAUSE_MS = 600;

export type GatewayDaemonSources = {
	readonly adapter: PlatformAdapter;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Log lines dropped so far, for the metrics. */
	readonly droppedLines: () => number;
};

export class GatewayDaemon {
	static async create(settings: GatewaySettings, sources: GatewayDaemonSources): Promise<GatewayDaemon> {
		const {clock, logger} = sources;
		const board = LoadBoard.create();
		const exchange = await LoadExchange.create({
			daemon: `${settings.daemon}/${randomBytes(4).toString('hex')}`, ip: settings.ip, port: settings.peerPort, board, clock, logger,
		});
		const daemon = new GatewayDaemon(settings, sources, board, exchange);
		await daemon.#start();
		return daemon;
	}

	readonly metrics: GatewayMetrics;
	readonly #fleet = FleetView.create();
	readonly #health = ServerHealth.create();
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #feeds: KindFeed[] = [];
	readonly #domainsOut = new Set<string>();
	#registry: DaemonRegistry | undefined;
	#table: RouteTable | undefined;
	#gateway!: Gateway;
	#readyServer!: Server;
	#isClosed = false;

	private constructor(
		private readonly settings: GatewaySettings,
		private readonly sources: GatewayDaemonSources,
		private readonly board: LoadBoard,
		private readonly exchange: LoadExchange,
	) {
		this.metrics = GatewayMetrics.create(sources.droppedLines);
	}

	/** Requests that this daemon has at backend servers. */
	get openPlacements(): number {
		return this.exchange.ownPlacements;
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
		for (const feed of this.#feeds) {
			feed.close();
		}

		this.#registry?.close();
		this.#gateway.close();
		this.#readyServer.close();
		this.#readyServer.closeAllConnections();
		this.metrics.close();
		await this.exchange.close();
		await this.sources.adapter.store.close();
	}

	async #start(): Promise<void> {
		const {settings, sources: {adapter, clock, logger}} = this;
		this.#gateway = await Gateway.listen(settings.listen, {
			fleet: this.#fleet,
			board: this.board,
			health: this.#health,
			cuts: DomainCuts.create(),
			failureDomain: settings.failureDomain,
			regionOf: domain => settings.regions[domain],
			wire: adapter.wire,
			memoryOrders: adapter.memoryOrders,
			exchange: this.exchange,
			clock,
			logger,
			budget: service => this.#budget(service),
			table: () => this.#table,
			metrics: this.metrics,
			seed: randomInt(2 ** 31),
		});
		await this.#listenReady();
		this.metrics.listen(settings.ip, settings.metricsPort, err => {
			logger.warn('metrics_unavailable', {message: err.message});
		});
		this.#follow(adapter.kinds.configuration, this.#configurationSink());
		this.#follow(adapter.kinds.servers, this.#serversSink());
		this.#follow(adapter.kinds.domainsOut, this.#domainsOutSink());
		this.#registry = DaemonRegistry.start({
			kind: adapter.kinds.daemons,
			store: adapter.store,
			ip: settings.ip,
			clock,
			logger,
			onPeers: (addresses, now) => {
				this.exchange.addPeers(addresses, now);
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
		await new Promise<void>((resolve, reject) => {
			this.#readyServer.once('error', reject);
			this.#readyServer.listen(Number(port), host, resolve);
		});
	}

	#budget(service: string): RetryBudget {
		let budget = this.#budgets.get(service);
		if (!budget) {
			const {retryShare, retrySlack} = this.settings;
			budget = RetryBudget.create(retryShare, () => Math.max(1, retrySlack * SLACK_SHARE / this.exchange.daemons));
			this.#budgets.set(service, budget);
		}

		return budget;
	}

	#follow(kind: string, sink: FeedSink): void {
		const {adapter, clock, logger} = this.sources;
		this.#feeds.push(KindFeed.start({
			kind,
			store: adapter.store,
			sink,
			clock,
			logger,
			seed: randomInt(2 ** 31),
			waitMs: Math.max(MIN_WATCH_WAIT_MS, this.settings.stableWindowMs - WATCH_SLACK_MS - REREAD_TIME_MS),
			pauseMs: () => Math.min(MAX_WATCH_PAUSE_MS, this.exchange.daemons * WATCH_PAUSE_MS_PER_DAEMON),
		}));
	}

	#configurationSink(): FeedSink {
		return {
			onList: objects => {
				for (const object of objects) {
					this.#applyConfiguration(object);
				}
			},
			onEvent: event => {
				if (event.kind === 'changed') {
					this.#applyConfiguration(event.object);
				}
			},
		};
	}

	#applyConfiguration(object: KindObject): void {
		const {adapter, logger} = this.sources;
		try {
			const configuration = adapter.decodeConfiguration(object);
			// An answer that was delayed may carry an older version than the one in force.
			if (configuration && configuration.version > (this.#table?.version ?? -Infinity)) {
				this.#table = RouteTable.create(configuration);
				this.#gateway.applyLimits();
				logger.info('configuration', {version: configuration.version, routes: configuration.routes.length, revision: object.revision});
			}
		} catch (err) {
			logger.error('configuration_unreadable', {name: object.name, revision: object.revision, message: String(err)});
		}
	}

	#serversSink(): FeedSink {
		return {
			onList: (objects, now) => {
				this.#fleet.retain(new Set(objects.map(({name}) => name)), now);
				for (const object of objects) {
					this.#applyServer(object, now);
				}

				this.#health.retain(this.#fleet.ids());
			},
			onEvent: (event, now) => {
				if (event.kind === 'changed') {
					this.#applyServer(event.object, now);
				} else {
					this.#fleet.unregister(event.name, now);
					this.sources.logger.info('server_gone', {server: event.name});
				}
			},
			onOutage: now => {
				this.#fleet.noteOutage(now);
			},
		};
	}

	#applyServer(object: KindObject, now: number): void {
		const {adapter, logger} = this.sources;
		try {
			const server = adapter.decodeServer(object, now);
			const known = this.#fleet.register(object.name, server);
			// Cold servers renew their registration at each heartbeat.
			const isNews = known?.id !== server.id || known.isDraining !== server.isDraining || (known.coldUntil <= now && server.coldUntil > now);
			if (!isNews) {
				return;
			}

			logger.info('server', {
				server: server.instanceId,
				service: server.service,
				domain: server.failureDomain,
				draining: server.isDraining,
				cold_ms: Math.max(0, Math.round(server.coldUntil - now)),
				revision: object.revision,
			});
		} catch (err) {
			this.#fleet.unregister(object.name, now);
			logger.warn('server_unreadable', {name: object.name, revision: object.revision, message: err instanceof Error ? err.message : String(err)});
		}
	}

	#domainsOutSink(): FeedSink {
		const apply = () => {
			this.#fleet.setDomainsOut(new Set(this.#domainsOut));
			this.sources.logger.info('domains_out', {domains: [...this.#domainsOut].join(',')});
		};

		return {
			onList: objects => {
				this.#domainsOut.clear();
				for (const {name} of objects) {
					this.#domainsOut.add(name);
				}

				apply();
			},
			onEvent: event => {
				if (event.kind === 'changed') {
					this.#domainsOut.add(event.object.name);
				} else {
					this.#domainsOut.delete(event.name);
				}

				apply();
			},
		};
	}
}
