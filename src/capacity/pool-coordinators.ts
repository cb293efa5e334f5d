/** Coordinators of all pools that this daemon may coordinate: those of its failure domain. */
import type {ConfigurationSource} from '../configuration/configuration-source.js';
import type {AcceptedConfiguration, Service} from '../configuration/schema.js';
import type {Directory} from '../membership/directory.js';
import type {ReconciledPool} from '../orders/order-reconciler.js';
import {poolsOf} from '../membership/pool-shards.js';
import type {
	Acknowledge, KeepAlive, KeepAliveAnswer, PeerService, PoolSummary, PromiseRequest, Release, Reserve, ReserveAnswer, StepDown,
} from '../peer/protocol.js';
import type {ObjectApi} from '../object-api/object-api.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import type {BackendProbe} from './backend-probe.js';
import type {LeaseDirectory, LeasePeers} from './lease-peers.js';
import {PoolCoordinator} from './pool-coordinator.js';

export type PoolCoordinatorsOptions = {
	readonly configuration: ConfigurationSource;
	readonly objects: ObjectApi;
	readonly directory: LeaseDirectory & Pick<Directory, 'hosts'>;
	readonly peers: LeasePeers;
	readonly probe: BackendProbe;
	readonly clock: Clock;
	readonly logger: Logger;
	/** False places long prompts like any other prompt, for comparison. Default true. */
	readonly longPromptQuota?: boolean;
};

/** The part of {@link PeerService} that concerns pools. */
export type PoolService = Pick<PeerService, 'reserve' | 'acknowledge' | 'release' | 'keepAlive' | 'stepDown' | 'promise'>;

export class PoolCoordinators implements PoolService {
	static create(options: PoolCoordinatorsOptions): PoolCoordinators {
		return new PoolCoordinators(options);
	}

	readonly #coordinators = new Map<string, PoolCoordinator>();
	readonly #unsubscribe: () => void;
	readonly #stopping = new Set<Promise<void>>();
	#started = false;
	#draining = false;

	private constructor(private readonly options: PoolCoordinatorsOptions) {
		this.#unsubscribe = options.configuration.onChange(accepted => {
			this.#applyConfiguration(accepted);
		});
	}

	/** Starts to take part in coordinating pools. */
	start(): void {
		this.#started = true;
		const accepted = this.options.configuration.current();
		if (accepted) {
			this.#applyConfiguration(accepted);
		}
	}

	/** Whether this daemon currently grants reservations of `pool`. */
	isCoordinating(pool: string): boolean {
		return this.#coordinators.get(pool)?.isCoordinating ?? false;
	}

	/** Summaries of the pools that this daemon currently coordinates. */
	summaries(now: number): readonly PoolSummary[] {
		return [...this.#coordinators.values()].map(coordinator => coordinator.summary(now)).filter(summary => summary !== undefined);
	}

	/** Pools of model services to whose engines this daemon may currently send orders. */
	orderedPools(): readonly ReconciledPool[] {
		return [...this.#coordinators.values()].map(coordinator => coordinator.orderedPool).filter(pool => pool !== undefined);
	}

	async reserve(message: Reserve, signal?: AbortSignal): Promise<ReserveAnswer> {
		const coordinator = this.#coordinators.get(message.pool);
		return coordinator
			? coordinator.reserve(message, signal)
			: {kind: 'refused', reason: 'not_coordinator', message: `this daemon does not coordinate pool ${message.pool}`};
	}

	async acknowledge(message: Acknowledge): Promise<void> {
		this.#coordinators.get(message.pool)?.acknowledge(message);
	}

	async release(message: Release): Promise<void> {
		this.#coordinators.get(message.pool)?.release(message);
	}

	async keepAlive(message: KeepAlive): Promise<KeepAliveAnswer> {
		return this.#coordinators.get(message.pool)?.keepAlive(message) ?? {kind: 'not_coordinator', epoch: 0};
	}

	/** Confirms that no grants are made under epochs below that of `message`. True for pools without a coordinator in this process. */
	async stepDown(message: StepDown): Promise<{readonly confirmed: boolean}> {
		return {confirmed: this.#coordinators.get(message.pool)?.lease.stepDown(message.epoch) ?? true};
	}

	/** Promises not to take over the lease. A daemon without a coordinator of the pool does not promise, since it may start one at any time. */
	async promise(message: PromiseRequest): Promise<{readonly promised: boolean}> {
		const lease = this.#coordinators.get(message.pool)?.lease;
		return {promised: lease?.promise(message.epoch, message.forMs, this.options.clock()) ?? false};
	}

	/** Releases all leases for a planned shutdown. */
	async drain(): Promise<void> {
		this.#draining = true;
		await Promise.all([...this.#coordinators.values()].map(async coordinator => coordinator.drain()));
	}

	async close(): Promise<void> {
		this.#unsubscribe();
		this.#started = false;
		const coordinators = [...this.#coordinators.values()];
		this.#coordinators.clear();
		await Promise.all([...coordinators.map(async coordinator => coordinator.close()), ...this.#stopping]);
	}

	#applyConfiguration({configuration}: AcceptedConfiguration): void {
		if (!this.#started || this.#draining) {
			return;
		}

		const {failureDomain} = this.options.directory.self;
		const wanted = new Map<string, Service>();
		for (const service of configuration.services.filter(candidate => candidate.failureDomains.includes(failureDomain))) {
			for (const pool of poolsOf(service, failureDomain)) {
				wanted.set(pool, service);
			}
		}

		for (const [pool, coordinator] of this.#coordinators) {
			if (!wanted.has(pool)) {
				this.#coordinators.delete(pool);
				this.#stopCoordinator(coordinator);
			}
		}

		for (const [pool, service] of wanted) {
			const known = this.#coordinators.get(pool);
			if (known) {
				known.setConfiguration(service, configuration, this.options.clock());
			} else {
				this.#coordinators.set(pool, this.#startCoordinator(pool, service, configuration));
			}
		}
	}

	#startCoordinator(pool: string, service: Service, configuration: AcceptedConfiguration['configuration']): PoolCoordinator {
		const {
			objects, directory, peers, probe, clock, logger, longPromptQuota = true,
		} = this.options;
		const coordinator = PoolCoordinator.create({
			lease: {
				pool, failureDomain: directory.self.failureDomain, objects, directory, peers, clock, logger,
			},
			service,
			configuration,
			hosts: () => directory.hosts(pool),
			incarnationState: (daemon, incarnation) => directory.incarnationState(daemon, incarnation),
			probe,
			clock,
			logger,
			longPromptQuota,
		});
		coordinator.start();
		return coordinator;
	}

	/** Releases in the background the lease of a pool that is no longer in the configuration. */
	#stopCoordinator(coordinator: PoolCoordinator): void {
		const stop = async (): Promise<void> => {
			await coordinator.drain();
			await coordinator.close();
			this.#stopping.delete(stopped);
		};

		const stopped = stop();
		this.#stopping.add(stopped);
	}
}
