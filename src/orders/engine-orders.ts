/**
 * Sends orders to the engines of one pool while this daemon coordinates it, fenced by the epoch of the lease.
 *
 * Some engines ignore the fencing token. For them the lease itself is the protection: it is renewed by a conditional
 * update directly before each order and must outlast the order's timeout, and a new holder waits until no order of its
 * predecessor can still be under way.
 */
import type {EngineOrder} from '../backend/engine-protocol.js';
import type {ModelService} from '../configuration/schema.js';
import type {LoadPermits} from './load-permits.js';
import {
	ORDER_REPEAT_MS, orderKey, planOrders, toEngineOrder, type DueOrder, type ReportedEngine,
} from './order-plan.js';

/** Time limit of one order, from the renewal of the lease to the answer. */
export const ORDER_TIMEOUT_MS = 2000;

/** Reserve for the time between the check of the lease and the write to the socket. */
export const ORDER_MARGIN_MS = 500;

/** Proof that the lease is held, obtained by a conditional update. Times are monotonic ms of this process. */
export type LeaseProof =
	| {readonly kind: 'held'; readonly epoch: number; readonly validUntil: number; readonly ordersAllowedFrom: number}
	| {readonly kind: 'lost'; readonly message: string};

/** The lease, as orders see it. */
export type OrderLease = {
	/** Renews the lease by a conditional update and returns the proof. */
	prove(): Promise<LeaseProof>;
};

/** Outcome of an order at an engine. `unknown` covers time-outs and broken connections. */
export type OrderOutcome =
	| {readonly kind: 'accepted'}
	| {readonly kind: 'stale'; readonly highest: number}
	| {readonly kind: 'refused'; readonly message: string}
	| {readonly kind: 'unknown'; readonly message: string};

/** Sends an order to an engine. */
export type OrderSender = (address: string, order: EngineOrder, timeoutMs: number) => Promise<OrderOutcome>;

/** Why an order that was due was not sent. */
export type WithheldReason = 'no_permit' | 'lease_lost' | 'lease_too_short' | 'predecessor';

/** What became of one due order. */
export type OrderReport =
	| {readonly kind: 'sent'; readonly order: DueOrder; readonly epoch: number; readonly outcome: OrderOutcome}
	| {readonly kind: 'withheld'; readonly order: DueOrder; readonly reason: WithheldReason};

export type EngineOrdersOptions = {
	readonly lease: OrderLease;
	readonly permits: LoadPermits;
	readonly send: OrderSender;
	/** Monotonic clock, read again after each wait. */
	readonly clock: () => number;
};

/** Reconciles the engines of one pool with the configuration. */
export class EngineOrders {
	static create(options: EngineOrdersOptions): EngineOrders {
		return new EngineOrders(options);
	}

	private readonly sentAt = new Map<string, number>();

	private constructor(private readonly options: EngineOrdersOptions) {}

	/** Sends the orders that are due, one after another, and stops at the first sign that the lease is lost. */
	async reconcile(service: ModelService, engines: readonly ReportedEngine[], now: number): Promise<readonly OrderReport[]> {
		const reports: OrderReport[] = [];
		this.forget(now);
		for (const order of planOrders(service, engines, this.sentAt, now)) {
			const report = await this.issue(order);
			reports.push(report);
			if (report.kind === 'withheld' && report.reason !== 'no_permit') {
				break;
			}
		}

		return reports;
	}

	private async issue(order: DueOrder): Promise<OrderReport> {
		const {lease, permits, send, clock} = this.options;
		const needsPermit = order.kind === 'load-model';
		if (needsPermit && !permits.available(clock())) {
			// Each proof costs a write to the object API.
			return {kind: 'withheld', order, reason: 'no_permit'};
		}

		const decision = decide(await lease.prove(), clock());
		if (decision.kind === 'withhold') {
			return {kind: 'withheld', order, reason: decision.reason};
		}

		const now = clock();
		if (needsPermit && !permits.take(now)) {
			return {kind: 'withheld', order, reason: 'no_permit'};
		}

		this.sentAt.set(orderKey(order), now);
		const {epoch} = decision;
		const outcome = await send(order.engine.address, toEngineOrder(order, epoch), ORDER_TIMEOUT_MS);
		return {
			kind: 'sent', order, epoch, outcome,
		};
	}

	private forget(now: number): void {
		for (const [key, at] of this.sentAt) {
			if (now - at >= ORDER_REPEAT_MS) {
				this.sentAt.delete(key);
			}
		}
	}
}

type Decision =
	| {readonly kind: 'send'; readonly epoch: number}
	| {readonly kind: 'withhold'; readonly reason: WithheldReason};

function decide(proof: LeaseProof, now: number): Decision {
	if (proof.kind === 'lost') {
		return {kind: 'withhold', reason: 'lease_lost'};
	}

	if (now < proof.ordersAllowedFrom) {
		return {kind: 'withhold', reason: 'predecessor'};
	}

	const isTooShort = proof.validUntil - now < ORDER_TIMEOUT_MS + ORDER_MARGIN_MS;
	return isTooShort ? {kind: 'withhold', reason: 'lease_too_short'} : {kind: 'send', epoch: proof.epoch};
}
