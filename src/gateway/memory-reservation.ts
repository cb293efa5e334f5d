/**
 * Memory reserved on helper engines for one prompt that exceeds the memory of the engine that responds.
 *
 * A reservation expires after a short time unless it is renewed, so the memory of a crashed daemon is freed. An order that
 * was not answered may be carried out much later, even after the release, so releases are repeated until then.
 */
import {randomBytes} from 'node:crypto';
import type {BackendServer} from '../fleet/backend-server.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {stackOf} from '../util/stack-of.js';
import {pause} from '../util/pause.js';

/** Lifetime of a reservation in ms: below the four seconds after which memory without a request counts as leaked. */
const RESERVATION_TTL_MS = 3500;
const RENEW_INTERVAL_MS = 1000;
const ORDER_TIMEOUT_MS = 400;
/** An unanswered order can be carried out up to 12 s later (fault `applied_late` of the platform's test bench). */
const MAX_ORDER_DELAY_MS = 13_000;

/** `unknown`: not answered; the order may still be carried out. */
export type OrderOutcome = 'done' | 'refused' | 'unknown';

/** Sends memory orders to engines. Implemented by the adapter of a platform. */
export type MemoryOrders = {
	reserve(server: BackendServer, reservation: {readonly id: string; readonly tokens: number; readonly holdMs: number}, timeoutMs: number): Promise<OrderOutcome>;
	release(server: BackendServer, id: string, timeoutMs: number): Promise<OrderOutcome>;
};

/** Tokens of memory reserved on an engine for a prompt. */
export type MemoryShare = {readonly server: BackendServer; readonly tokens: number};

export type ReservationParts = {
	readonly orders: MemoryOrders;
	readonly clock: Clock;
	readonly logger: Logger;
};

export type AcquireOutcome =
	| {readonly kind: 'reserved'; readonly reservation: MemoryReservation}
	| {readonly kind: 'refused'; readonly server: BackendServer; readonly reason: string};

export class MemoryReservation {
	/** Reserves all `shares`, or none. */
	static async acquire(parts: ReservationParts, request: string, shares: readonly MemoryShare[]): Promise<AcquireOutcome> {
		const reservation = new MemoryReservation(parts, request, shares);
		const outcomes = await Promise.all(shares.map(async memory => reservation.#reserve(memory)));
		const failed = outcomes.findIndex(outcome => outcome !== 'done');
		if (failed === -1) {
			void reservation.#renew();
			return {kind: 'reserved', reservation};
		}

		void reservation.release();
		const {server, tokens} = shares[failed]!;
		return {kind: 'refused', server, reason: `could not reserve ${tokens} tokens of memory on ${server.instanceId}: ${outcomes[failed] === 'refused' ? 'not enough free memory' : 'no reply'}`};
	}

	/** Unique for each attempt, so that no two requests use the same id. */
	readonly id = `fp-${randomBytes(8).toString('hex')}`;
	readonly #released = new AbortController();
	#unansweredAt = -Infinity;

	private constructor(
		private readonly parts: ReservationParts,
		private readonly request: string,
		private readonly shares: readonly MemoryShare[],
	) {}

	/** The id under which `server` holds reserved memory; undefined if it holds none. */
	idAt(server: BackendServer): string | undefined {
		return this.shares.some(memory => memory.server.id === server.id) ? this.id : undefined;
	}

	/** Releases the memory. Continues in the background until no late order can reserve it again. */
	async release(): Promise<void> {
		this.#released.abort();
		await Promise.all(this.shares.map(async ({server}) => this.#releaseAt(server)));
	}

	async #renew(): Promise<void> {
		const {signal} = this.#released;
		for (;;) {
			await pause(RENEW_INTERVAL_MS, signal);
			if (signal.aborted) {
				return;
			}

			await Promise.all(this.shares.map(async memory => this.#reserve(memory)));
		}
	}

	async #reserve({server, tokens}: MemoryShare): Promise<OrderOutcome> {
		const {orders, clock, logger} = this.parts;
		const outcome = await this.#send(server, async () => orders.reserve(server, {id: this.id, tokens, holdMs: RESERVATION_TTL_MS}, ORDER_TIMEOUT_MS));
		if (outcome !== 'done') {
			logger.warn('memory_not_reserved', {
				request: this.request, server: server.instanceId, reservation: this.id, tokens, outcome,
			});
		}

		if (outcome === 'unknown') {
			this.#unansweredAt = clock();
		}

		return outcome;
	}

	/** Returns `unknown` for an order that could not be sent or whose outcome could not be read. */
	async #send(server: BackendServer, order: () => Promise<OrderOutcome>): Promise<OrderOutcome> {
		try {
			return await order();
		} catch (err) {
			this.parts.logger.error('unexpected_error', {request: this.request, server: server.instanceId, message: stackOf(err)});
			return 'unknown';
		}
	}

	async #releaseAt(server: BackendServer): Promise<void> {
		const {orders, clock, logger} = this.parts;
		const startedAt = clock();
		for (;;) {
			const outcome = await this.#send(server, async () => orders.release(server, this.id, ORDER_TIMEOUT_MS));
			const now = clock();
			if (now - this.#unansweredAt > MAX_ORDER_DELAY_MS && (outcome !== 'unknown' || now - startedAt > MAX_ORDER_DELAY_MS)) {
				logger.info('memory_released', {
					request: this.request, server: server.instanceId, reservation: this.id, outcome,
				});
				return;
			}

			await pause(RENEW_INTERVAL_MS);
		}
	}
}
