/**
 * Memory set aside on engines for one prompt that is larger than the memory of the engine that answers.
 *
 * A reservation holds for a short time and is renewed, so that the memory of a daemon that dies is free again by itself.
 * An order without an answer may be carried out much later, after the release; it is released again until then.
 */
import {randomBytes} from 'node:crypto';
import type {BackendServer} from '../fleet/backend-server.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';

/** Lease of a reservation in ms: below the four seconds after which memory without a request counts as lost. */
const HOLD_MS = 3500;
const RENEW_MS = 1000;
const ORDER_TIMEOUT_MS = 400;
/** An order that got no answer can be carried out up to 12 s later (trouble `applied_late` of the platform's bench). */
const LATE_ORDER_MS = 13_000;

/** `unknown`: no answer; the order may still be carried out. */
export type OrderOutcome = 'done' | 'refused' | 'unknown';

/** Orders to engines about memory. The adapter of a platform implements it. */
export type MemoryOrders = {
	reserve(server: BackendServer, reservation: {readonly id: string; readonly tokens: number; readonly holdMs: number}, timeoutMs: number): Promise<OrderOutcome>;
	release(server: BackendServer, id: string, timeoutMs: number): Promise<OrderOutcome>;
};

/** Tokens that an engine holds for a prompt. */
export type HeldMemory = {readonly server: BackendServer; readonly tokens: number};

export type ReservationParts = {
	readonly orders: MemoryOrders;
	readonly clock: Clock;
	readonly logger: Logger;
};

export type AcquireOutcome =
	| {readonly kind: 'reserved'; readonly reservation: MemoryReservation}
	| {readonly kind: 'refused'; readonly server: BackendServer; readonly reason: string};

export class MemoryReservation {
	/** Reserves all of `held`, or nothing. */
	static async acquire(parts: ReservationParts, request: string, held: readonly HeldMemory[]): Promise<AcquireOutcome> {
		const reservation = new MemoryReservation(parts, request, held);
		const outcomes = await Promise.all(held.map(async memory => reservation.#reserve(memory)));
		const failed = outcomes.findIndex(outcome => outcome !== 'done');
		if (failed === -1) {
			void reservation.#renew();
			return {kind: 'reserved', reservation};
		}

		void reservation.release();
		const {server, tokens} = held[failed]!;
		return {kind: 'refused', server, reason: `${tokens} tokens of memory at ${server.instanceId}: ${outcomes[failed] === 'refused' ? 'not free' : 'no answer'}`};
	}

	/** Unique for each try, so that no two requests meet under one id. */
	readonly id = `fp-${randomBytes(8).toString('hex')}`;
	readonly #released = new AbortController();
	#uncertainAt = -Infinity;

	private constructor(
		private readonly parts: ReservationParts,
		private readonly request: string,
		private readonly held: readonly HeldMemory[],
	) {}

	/** The id under which `server` holds memory, if it does. */
	idAt(server: BackendServer): string | undefined {
		return this.held.some(memory => memory.server.id === server.id) ? this.id : undefined;
	}

	/** Frees the memory. Goes on in the background until no order can set it aside again. */
	async release(): Promise<void> {
		this.#released.abort();
		await Promise.all(this.held.map(async ({server}) => this.#releaseAt(server)));
	}

	async #renew(): Promise<void> {
		const {signal} = this.#released;
		for (;;) {
			await pause(RENEW_MS, signal);
			if (signal.aborted) {
				return;
			}

			await Promise.all(this.held.map(async memory => this.#reserve(memory)));
		}
	}

	async #reserve({server, tokens}: HeldMemory): Promise<OrderOutcome> {
		const {orders, clock, logger} = this.parts;
		const outcome = await orders.reserve(server, {id: this.id, tokens, holdMs: HOLD_MS}, ORDER_TIMEOUT_MS);
		if (outcome !== 'done') {
			logger.warn('memory_not_reserved', {
				request: this.request, server: server.instanceId, reservation: this.id, tokens, outcome,
			});
		}

		if (outcome === 'unknown') {
			this.#uncertainAt = clock();
		}

		return outcome;
	}

	async #releaseAt(server: BackendServer): Promise<void> {
		const {orders, clock, logger} = this.parts;
		const startedAt = clock();
		for (;;) {
			const outcome = await orders.release(server, this.id, ORDER_TIMEOUT_MS);
			const now = clock();
			if (now - this.#uncertainAt > LATE_ORDER_MS && (outcome !== 'unknown' || now - startedAt > LATE_ORDER_MS)) {
				logger.info('memory_released', {
					request: this.request, server: server.instanceId, reservation: this.id, outcome,
				});
				return;
			}

			await pause(RENEW_MS);
		}
	}
}
