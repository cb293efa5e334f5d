/** Reconciles the engines of all pools that this daemon coordinates, at a fixed interval. */
import type {HeldLease} from '../capacity/pool-lease.js';
import {LEASE_TTL_MS} from '../capacity/lease-takeover.js';
import type {Configuration, ModelService} from '../configuration/schema.js';
import {allPoolsOf} from '../membership/pool-shards.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import type {Metrics} from '../util/metrics.js';
import {
	EngineOrders, ORDER_TIMEOUT_MS, type LeaseProof, type OrderReport, type OrderSender,
} from './engine-orders.js';
import {LoadPermits} from './load-permits.js';
import type {ReportedEngine} from './order-plan.js';

const ROUND_INTERVAL_MS = 2000;

/** A pool of a model service that this daemon coordinates with the full limits. */
export type OrderedPool = {
	readonly pool: string;
	readonly epoch: number;
	readonly service: ModelService;
	readonly engines: readonly ReportedEngine[];
	/** Renews the lease now; undefined when it is not known to be held. */
	prove(): Promise<HeldLease | undefined>;
};

export type OrderRoundsOptions = {
	/** Pools that this daemon coordinates at the time of the call. */
	readonly pools: () => readonly OrderedPool[];
	readonly configuration: () => Configuration | undefined;
	readonly send: OrderSender;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Orders of one epoch of a pool. */
type Term = {
	readonly epoch: number;
	/** Loads per minute of the whole system and number of model pools, on which the permits depend. */
	readonly rate: string;
	readonly orders: EngineOrders;
	/** The pool as of the present round. */
	current: OrderedPool;
	busy: boolean;
};

export class OrderRounds {
	static create(options: OrderRoundsOptions): OrderRounds {
		return new OrderRounds(options);
	}

	readonly #terms = new Map<string, Term>();
	readonly #running = new Set<Promise<void>>();
	#timer: NodeJS.Timeout | undefined;

	private constructor(private readonly options: OrderRoundsOptions) {}

	/** Starts the rounds. */
	start(): void {
		this.#timer ??= setInterval(() => {
			this.#round();
		}, ROUND_INTERVAL_MS);
	}

	/** Starts no further round and waits for the orders under way. */
	async close(): Promise<void> {
		clearInterval(this.#timer);
		await Promise.all(this.#running);
	}

	#round(): void {
		const configuration = this.options.configuration();
		const pools = configuration ? this.options.pools() : [];
		for (const pool of pools) {
			this.#reconcile(pool, configuration!);
		}

		const names = new Set(pools.map(({pool}) => pool));
		for (const name of this.#terms.keys()) {
			if (!names.has(name)) {
				this.#terms.delete(name);
			}
		}
	}

	#reconcile(pool: OrderedPool, configuration: Configuration): void {
		const term = this.#termOf(pool, configuration);
		if (term.busy) {
			return;
		}

		const task = this.#run(term, pool);
		this.#running.add(task);
		void (async () => {
			await task;
			this.#running.delete(task);
		})();
	}

	async #run(term: Term, pool: OrderedPool): Promise<void> {
		term.busy = true;
		try {
			for (const report of await term.orders.reconcile(pool.service, pool.engines, this.options.clock())) {
				this.#record(pool.pool, report);
			}
		} catch (err) {
			this.options.logger.error('orders_failed', {pool: pool.pool, message: String(err)});
		} finally {
			term.busy = false;
		}
	}

	/** A new epoch, or a changed rate, starts without permits. */
	#termOf(pool: OrderedPool, configuration: Configuration): Term {
		const {loadsPerMinute} = configuration.weightStore;
		const pools = modelPools(configuration);
		const rate = `${loadsPerMinute}/${pools.length}`;
		const known = this.#terms.get(pool.pool);
		if (known?.epoch === pool.epoch && known.rate === rate) {
			known.current = pool;
			return known;
		}

		const {clock, send} = this.options;
		const term: Term = {
			epoch: pool.epoch,
			rate,
			current: pool,
			busy: false,
			orders: EngineOrders.create({
				lease: {prove: async () => toProof(await term.current.prove())},
				permits: LoadPermits.create(loadsPerMinute, pools.length, clock(), pools.indexOf(pool.pool)),
				send,
				clock,
			}),
		};
		this.#terms.set(pool.pool, term);
		return term;
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

/** Orders of a predecessor that may still run have ended one TTL and one order timeout after the takeover. */
function toProof(lease: HeldLease | undefined): LeaseProof {
	if (!lease) {
		return {kind: 'lost', message: 'the lease was not renewed'};
	}

	const {epoch, validUntil, tookOverAt} = lease;
	const ordersAllowedFrom = tookOverAt === undefined ? -Infinity : tookOverAt + LEASE_TTL_MS + ORDER_TIMEOUT_MS;
	return {
		kind: 'held', epoch, validUntil, ordersAllowedFrom,
	};
}
