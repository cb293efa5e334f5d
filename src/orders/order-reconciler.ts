/** Periodically reconciles the engines of all pools that this daemon coordinates with the configuration. */
import type {HeldLease} from '../capacity/coordinator-lease.js';
import {LEASE_TTL_MS} from '../capacity/lease-takeover.js';
import type {Configuration, ModelService} from '../configuration/schema.js';
import {allPoolsOf} from '../membership/pool-shards.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import type {Metrics} from '../util/metrics.js';
import {
	EngineOrders, ORDER_TIMEOUT_MS, type LeaseRenewal, type OrderReport, type OrderSender,
} from './engine-orders.js';
import {LoadPermits} from './load-permits.js';
import type {ReportedEngine} from './order-plan.js';

const RECONCILE_INTERVAL_MS = 2000;

/** A pool of a model service whose engines this daemon reconciles, because it coordinates the pool with the full limits. */
export type ReconciledPool = {
	readonly pool: string;
	readonly epoch: number;
	readonly service: ModelService;
	readonly engines: readonly ReportedEngine[];
	/** Renews the lease now. Returns undefined unless the lease is known to be held. */
	renewLease(): Promise<HeldLease | undefined>;
};

export type OrderReconcilerOptions = {
	/** Returns the pools that this daemon currently coordinates. */
	readonly pools: () => readonly ReconciledPool[];
	readonly configuration: () => Configuration | undefined;
	readonly send: OrderSender;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Reconciliation state of a pool for one epoch of its lease. */
type PoolState = {
	readonly epoch: number;
	/** Loads per minute of the whole system and number of model pools, which determine the rate of the permits. */
	readonly rate: string;
	readonly orders: EngineOrders;
	/** The pool as of the latest round. */
	latestPool: ReconciledPool;
	busy: boolean;
};

export class OrderReconciler {
	static create(options: OrderReconcilerOptions): OrderReconciler {
		return new OrderReconciler(options);
	}

	readonly #states = new Map<string, PoolState>();
	readonly #running = new Set<Promise<void>>();
	#timer: NodeJS.Timeout | undefined;

	private constructor(private readonly options: OrderReconcilerOptions) {}

	/** Starts the periodic reconciliation. */
	start(): void {
		this.#timer ??= setInterval(() => {
			this.#reconcileAll();
		}, RECONCILE_INTERVAL_MS);
	}

	/** Stops the periodic reconciliation and waits for orders in flight. */
	async close(): Promise<void> {
		clearInterval(this.#timer);
		await Promise.all(this.#running);
	}

	#reconcileAll(): void {
		const configuration = this.options.configuration();
		const pools = configuration ? this.options.pools() : [];
		for (const pool of pools) {
			this.#reconcile(pool, configuration!);
		}

		const names = new Set(pools.map(({pool}) => pool));
		for (const name of this.#states.keys()) {
			if (!names.has(name)) {
				this.#states.delete(name);
			}
		}
	}

	#reconcile(pool: ReconciledPool, configuration: Configuration): void {
		const state = this.#stateOf(pool, configuration);
		if (state.busy) {
			return;
		}

		const task = this.#sendDueOrders(state, pool);
		this.#running.add(task);
		void (async () => {
			await task;
			this.#running.delete(task);
		})();
	}

	async #sendDueOrders(state: PoolState, pool: ReconciledPool): Promise<void> {
		state.busy = true;
		try {
			for (const report of await state.orders.reconcile(pool.service, pool.engines, this.options.clock())) {
				this.#record(pool.pool, report);
			}
		} catch (err) {
			this.options.logger.error('orders_failed', {pool: pool.pool, message: String(err)});
		} finally {
			state.busy = false;
		}
	}

	/** Returns the state of a pool. After a change of the epoch or the rate it is created anew, without permits. */
	#stateOf(pool: ReconciledPool, configuration: Configuration): PoolState {
		const {loadsPerMinute} = configuration.weightStore;
		const pools = modelPools(configuration);
		const rate = `${loadsPerMinute}/${pools.length}`;
		const known = this.#states.get(pool.pool);
		if (known?.epoch === pool.epoch && known.rate === rate) {
			known.latestPool = pool;
			return known;
		}

		const {clock, send} = this.options;
		const state: PoolState = {
			epoch: pool.epoch,
			rate,
			latestPool: pool,
			busy: false,
			orders: EngineOrders.create({
				lease: {renew: async () => toRenewal(await state.latestPool.renewLease())},
				permits: LoadPermits.create(loadsPerMinute, pools.length, clock(), pools.indexOf(pool.pool)),
				send,
				clock,
			}),
		};
		this.#states.set(pool.pool, state);
		return state;
	}

	#record(pool: string, report: OrderReport): void {
		const {logger, metrics} = this.options;
		const {kind, model, version, engine} = report.order;
		const fields = {
			pool, order: kind, model, version: version === '' ? undefined : version, server: engine.id,
		};
		if (report.kind === 'withheld') {
			metrics.increment('orders', {pool, order: kind, outcome: report.reason});
			logger.debug('order_withheld', {...fields, reason: report.reason});
			return;
		}

		const {outcome, epoch} = report;
		metrics.increment('orders', {pool, order: kind, outcome: outcome.kind});
		const message = 'message' in outcome ? outcome.message : undefined;
		const highest = outcome.kind === 'stale' ? outcome.highest : undefined;
		const log = outcome.kind === 'accepted' ? logger.info : logger.warn;
		log('order_sent', {
			...fields, epoch, outcome: outcome.kind, highest, message,
		});
	}
}

const modelPools = ({services}: Configuration): readonly string[] =>
	services.filter(service => service.kind === 'model').flatMap(service => allPoolsOf(service));

/** After a takeover, orders of the previous holder may be in flight for up to one lease TTL plus one order timeout. */
function toRenewal(lease: HeldLease | undefined): LeaseRenewal {
	if (!lease) {
		return {kind: 'lost', message: 'the lease was not renewed'};
	}

	const {epoch, validUntil, tookOverAt} = lease;
	const ordersAllowedFrom = tookOverAt === undefined ? -Infinity : tookOverAt + LEASE_TTL_MS + ORDER_TIMEOUT_MS;
	return {
		kind: 'held', epoch, validUntil, ordersAllowedFrom,
	};
}
