/**
 * Sends orders to the engines of one pool while this daemon coordinates it. The epoch of the lease is the fencing token.
 *
 * Some engines ignore the fencing token, so the lease alone must prevent conflicting orders: it is renewed by a conditional
 * update right before each order and must remain valid beyond the order's timeout, and a new holder waits until no order of
 * the previous holder can still be in flight.
 */
import type {EngineOrder} from '../backend/engine-protocol.js';
import type {ModelService} from '../configuration/schema.js';
import type {LoadPermits} from './load-permits.js';
import {
	ORDER_REPEAT_MS, orderKey, planOrders, toEngineOrder, type DueOrder, type ReportedEngine,
} from './order-plan.js';

/** Time limit of one order, from the renewal of the lease to the engine's answer. */
export const ORDER_TIMEOUT_MS = 2000;

/** Safety margin for the time between the check of the lease and the write to the socket. */
export const ORDER_MARGIN_MS = 500;

/** Result of a renewal of the lease by a conditional update. Times are monotonic ms of this process. */
export type LeaseRenewal =
	| {readonly kind: 'held'; readonly epoch: number; readonly validUntil: number; readonly ordersAllowedFrom: number}
	| {readonly kind: 'lost'; readonly message: string};

/** The pool lease that authorizes orders. */
export type OrderLease = {
	/** Renews the lease by a conditional update. */
	renew(): Promise<LeaseRenewal>;
};

/** Outcome of an order at an engine. `unknown` covers timeouts and broken connections. */
export type OrderOutcome =
	| {readonly kind: 'accepted'}
	| {readonly kind: 'stale'; readonly highest: number}
	| {readonly kind: 'refused'; readonly message: string}
	| {readonly kind: 'unknown'; readonly message: string};

/** Sends an order to an engine. */
export type OrderSender = (address: string, order: EngineOrder, timeoutMs: number) => Promise<OrderOutcome>;

/** Why an order that was due was not sent. */
export type WithheldReason = 'no_permit' | 'lease_lost' | 'lease_too_short' | 'predecessor';

/** Result of one due order. */
export type OrderReport =
	| {readonly kind: 'sent'; readonly order: DueOrder; readonly epoch: number; readonly outcome: OrderOutcome}
	| {readonly kind: 'withheld'; readonly order: DueOrder; readonly reason: WithheldReason};

export type EngineOrdersOptions = {
	readonly lease: OrderLease;
	readonly permits: LoadPermits;
	readonly send: OrderSender;
	/** Monotonic clock in ms, read again after each asynchronous call. */
	readonly clock: () => number;
};

/** Sends the orders that bring the engines of one pool in line with the configuration. */
export class EngineOrders {
	static create(options: EngineOrdersOptions): EngineOrders {
		return new EngineOrders(options);
	}

	private readonly sentAt = new Map<string, number>();

	private constructor(private readonly options: EngineOrdersOptions) {}

	/** Sends the due orders in sequence. Stops at the first order that the state of the lease does not allow. */
	async reconcile(service: ModelService, engines: readonly ReportedEngine[], now: number): Promise<readonly OrderReport[]> {
		const reports: OrderReport[] = [];
		this.removeExpired(now);
		for (const order of planOrders(service, engines, this.sentAt, now)) {
			const report = await this.sendOrder(order);
			reports.push(report);
			if (report.kind === 'withheld' && report.reason !== 'no_permit') {
				break;
			}
		}

		return reports;
	}

	private async sendOrder(order: DueOrder): Promise<OrderReport> {
		const {lease, permits, send, clock} = this.options;
		const needsPermit = order.kind === 'load-model';
		if (needsPermit && !permits.hasPermit(clock())) {
			// Checked before the lease is renewed, since each renewal costs a write to the object API.
			return {kind: 'withheld', order, reason: 'no_permit'};
		}

		const decision = checkLease(await lease.renew(), clock());
		if (decision.kind === 'withhold') {
			return {kind: 'withheld', order, reason: decision.reason};
		}

		const now = clock();
		if (needsPermit && !permits.tryTake(now)) {
			return {kind: 'withheld', order, reason: 'no_permit'};
		}

		this.sentAt.set(orderKey(order), now);
		const {epoch} = decision;
		const outcome = await send(order.engine.address, toEngineOrder(order, epoch), ORDER_TIMEOUT_MS);
		return {
			kind: 'sent', order, epoch, outcome,
		};
	}

	private removeExpired(now: number): void {
		for (const [key, at] of this.sentAt) {
			if (now - at >= ORDER_REPEAT_MS) {
				this.sentAt.delete(key);
			}
		}
	}
}

type LeaseDecision =
	| {readonly kind: 'send'; readonly epoch: number}
	| {readonly kind: 'withhold'; readonly reason: WithheldReason};

function checkLease(renewal: LeaseRenewal, now: number): LeaseDecision {
	if (renewal.kind === 'lost') {
		return {kind: 'withhold', reason: 'lease_lost'};
	}

	if (now < renewal.ordersAllowedFrom) {
		return {kind: 'withhold', reason: 'predecessor'};
	}

	const isTooShort = renewal.validUntil - now < ORDER_TIMEOUT_MS + ORDER_MARGIN_MS;
	return isTooShort ? {kind: 'withhold', reason: 'lease_too_short'} : {kind: 'send', epoch: renewal.epoch};
}
