/** Watches the store for changes of the configuration, of server registrations and of the failure domains out of service. */
import {randomInt} from 'node:crypto';
import type {FleetView} from '../fleet/fleet-view.js';
import type {ServerLimits} from '../fleet/server-limits.js';
import type {ServerHealth} from '../fleet/server-health.js';
import {KindFeed, type FeedSink} from '../store/kind-feed.js';
import type {KindObject, KindStore} from '../store/kind-store.js';
import {ChangeFilter} from '../util/change-filter.js';
import type {Clock} from '../util/clock.js';
import {stackOf} from '../util/stack-of.js';
import type {Logger} from '../util/logger.js';
import type {PlatformAdapter} from './platform-adapter.js';
import {RouteTable} from './route-table.js';

export type FleetFeedsOptions = {
	readonly adapter: PlatformAdapter;
	readonly store: KindStore;
	readonly fleet: FleetView;
	readonly health: ServerHealth;
	readonly limits: ServerLimits;
	readonly pace?: {retain(known: ReadonlySet<string>): void};
	readonly clock: Clock;
	readonly logger: Logger;
	/** Time in ms for which a watch waits for a change. */
	readonly watchWaitMs: number;
	/** Pause of a watch in ms after changes, and the longest pause in ms between attempts while the store is unavailable. */
	pauseMs(): number;
	retryMs(): number;
	/** Called when the store has come back from an older copy. */
	onRestored(era: number): void;
	/** Called when a newer configuration takes effect. */
	onConfiguration(): void;
	/** Called when servers or failure domains have come or gone, with the ids of all servers if they were listed. */
	onServers(serverIds?: ReadonlySet<string>): void;
};

export class FleetFeeds {
	static start(options: FleetFeedsOptions): FleetFeeds {
		const feeds = new FleetFeeds(options);
		const {kinds} = options.adapter;
		feeds.#watch(kinds.configuration, feeds.#configurationSink());
		feeds.#watch(kinds.servers, feeds.#serversSink());
		feeds.#watch(kinds.domainsOut, feeds.#domainsOutSink());
		return feeds;
	}

	readonly #feeds: KindFeed[] = [];
	readonly #unreadable = ChangeFilter.create();
	#routeTable: RouteTable | undefined;

	private constructor(private readonly options: FleetFeedsOptions) {}

	/** Undefined until a configuration has been read. */
	get routeTable(): RouteTable | undefined {
		return this.#routeTable;
	}

	close(): void {
		for (const feed of this.#feeds) {
			feed.close();
		}
	}

	#watch(kind: string, sink: FeedSink): void {
		const {
			store, clock, logger, watchWaitMs, pauseMs, retryMs,
		} = this.options;
		this.#feeds.push(KindFeed.start({
			kind,
			store,
			sink,
			clock,
			logger,
			seed: randomInt(2 ** 31),
			waitMs: watchWaitMs,
			pauseMs,
			retryMs,
			// A call of another feed may hang on a connection that was cut, and delay its changes by seconds.
			onRegained: () => {
				for (const feed of this.#feeds) {
					feed.retry();
				}
			},
			// The watches of the other feeds may go on in the new history from a revision of the old one.
			onRestored: era => {
				for (const feed of this.#feeds) {
					feed.checkEra(era);
				}

				this.options.onRestored(era);
			},
		}));
	}

	#configurationSink(): FeedSink {
		return {
			isLatestOnly: true,
			onList: ({objects}) => {
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
		const {logger} = this.options;
		const table = this.#decodeNewer(object);
		if (!table) {
			return;
		}

		this.#routeTable = table;
		const {version, configuration: {routes}} = table;
		logger.info('configuration', {version, routes: routes.length, revision: object.revision});
		try {
			this.options.onConfiguration();
		} catch (err) {
			logger.error('configuration_limits_failed', {version, message: stackOf(err)});
		}
	}

	/** Returns the route table of a readable configuration that is newer than the one in force. */
	#decodeNewer(object: KindObject): RouteTable | undefined {
		const {adapter, logger} = this.options;
		try {
			const configuration = adapter.decodeConfiguration(object);
			// A delayed response may contain an older version than the one in force.
			return configuration && configuration.version > (this.#routeTable?.version ?? -Infinity) ? RouteTable.create(configuration) : undefined;
		} catch (err) {
			if (this.#unreadable.isChanged(`configuration ${object.name}`, String(object.revision))) {
				logger.error('configuration_unreadable', {name: object.name, revision: object.revision, message: String(err)});
			}

			return undefined;
		}
	}

	#serversSink(): FeedSink {
		return {
			onList: ({objects, isRestored}, now) => {
				if (isRestored) {
					this.options.fleet.recordOutage(now);
				}

				this.options.fleet.retain(new Set(objects.map(({name}) => name)), now);
				for (const object of objects) {
					this.#applyServer(object, isRestored, now);
				}

				const serverIds = this.options.fleet.serverIds();
				this.options.health.retain(serverIds);
				this.options.limits.retain(serverIds);
				this.options.pace?.retain(serverIds);
				this.options.onServers(serverIds);
			},
			onEvent: (event, now) => {
				if (event.kind === 'changed') {
					this.#applyServer(event.object, false, now);
				} else {
					this.options.fleet.unregister(event.name, now);
					this.options.logger.info('server_gone', {server: event.name});
				}

				this.options.onServers();
			},
			onOutage: now => {
				this.options.fleet.recordOutage(now);
			},
		};
	}

	#applyServer(object: KindObject, isCopied: boolean, now: number): void {
		const {adapter, fleet, logger} = this.options;
		try {
			const server = adapter.decodeServer(object, now);
			const {previous, current, contradicts} = isCopied
				? fleet.registerCopied(object.name, server, object.revision, now)
				: fleet.register(object.name, server, object.revision, now);
			if (contradicts !== undefined) {
				logger.warn('server_entry_doubtful', {
					server: server.instanceId, contradicts, born: server.startedAt, revision: object.revision, copied: isCopied || undefined,
				});
			}

			// Cold servers renew their registration with every heartbeat; only actual changes are logged.
			const isChanged = previous?.id !== current?.id || previous?.isDraining !== current?.isDraining || (current && previous && previous.coldUntil <= now && current.coldUntil > now);
			if (!current || !isChanged) {
				return;
			}

			logger.info('server', {
				server: current.instanceId,
				service: current.service,
				domain: current.failureDomain,
				draining: current.isDraining,
				cold_ms: Math.max(0, Math.round(current.coldUntil - now)),
				revision: object.revision,
				copied: isCopied || undefined,
			});
		} catch (err) {
			// The entry names no server any more. One that is there writes it again with its next heartbeat.
			fleet.unregister(object.name, now);
			if (this.#unreadable.isChanged(`server ${object.name}`, String(object.revision))) {
				logger.warn('server_unreadable', {name: object.name, revision: object.revision, message: err instanceof Error ? err.message : String(err)});
			}
		}
	}

	#domainsOutSink(): FeedSink {
		const {fleet: {domainsOut}, logger} = this.options;
		const logDomains = (now: number, isRestored = false) => {
			logger.info('domains_out', {domains: domainsOut.list(now).join(','), restored: isRestored || undefined});
			this.options.onServers();
		};

		return {
			onList({objects, isRestored}, now) {
				domainsOut.replace(objects.map(({name}) => name), isRestored, now);
				logDomains(now, isRestored);
			},
			onEvent(event, now) {
				if (event.kind === 'changed') {
					domainsOut.add(event.object.name);
				} else {
					domainsOut.remove(event.name);
				}

				logDomains(now);
			},
		};
	}
}
