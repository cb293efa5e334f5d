/**
 * Requests one reservation from several pools in sequence. When a pool takes long to answer, its request stays open and one
 * hedged request is sent to the next pool, because the connection that carries the answer may have stalled.
 */
import {pause} from '../util/pause.js';
import type {NotGranted} from './refusals.js';
import type {Grant, ReservationOutcome} from './reservation.js';

const HEDGE_DELAY_MS = 4000;

/** Requests a reservation from one pool. Also resolves after `signal` is aborted. */
export type ReserveInPool = (pool: string, signal: AbortSignal) => Promise<ReservationOutcome>;

/** The answers of all pools, when none of them granted the reservation. */
export type Refusals = {readonly kind: 'refusals'; readonly outcomes: readonly NotGranted[]};

type OpenRequest = {
	readonly cancel: AbortController;
	readonly answer: Promise<SettledRequest>;
};

type SettledRequest = {readonly request: OpenRequest; readonly outcome: ReservationOutcome};

/** Returns the first grant, or the refusals of all pools. Grants that arrive after the first one are released. */
export async function reserveInPools(pools: readonly string[], reserveInPool: ReserveInPool, signal: AbortSignal): Promise<Grant | Refusals> {
	const reservation = new HedgedReservation(pools, reserveInPool);
	const stop = (): void => {
		reservation.cancelAll();
	};

	signal.addEventListener('abort', stop);
	try {
		return await reservation.run(signal);
	} finally {
		signal.removeEventListener('abort', stop);
	}
}

class HedgedReservation {
	readonly #openRequests = new Set<OpenRequest>();
	readonly #refusals: NotGranted[] = [];
	#nextPoolIndex = 0;
	#isHedged = false;

	constructor(private readonly pools: readonly string[], private readonly reserveInPool: ReserveInPool) {}

	async run(signal: AbortSignal): Promise<Grant | Refusals> {
		while (!signal.aborted && (this.#openRequests.size > 0 || this.#nextPoolIndex < this.pools.length)) {
			if (this.#openRequests.size === 0) {
				this.#sendRequest(this.pools[this.#nextPoolIndex++]!);
			}

			const settled = await this.#nextAnswer();
			if (!settled) {
				this.#sendHedgedRequest();
				continue;
			}

			this.#openRequests.delete(settled.request);
			if (settled.outcome.kind === 'granted') {
				this.cancelAll();
				return settled.outcome;
			}

			this.#refusals.push(settled.outcome);
		}

		this.cancelAll();
		return {kind: 'refusals', outcomes: this.#refusals};
	}

	/** Cancels all open requests and releases the grants that still arrive for them. */
	cancelAll(): void {
		for (const request of this.#openRequests) {
			request.cancel.abort();
			void this.#releaseLateGrant(request);
		}

		this.#openRequests.clear();
	}

	/** Returns the next answer, or undefined when the hedged request is due. */
	async #nextAnswer(): Promise<SettledRequest | undefined> {
		const answers = [...this.#openRequests].map(async ({answer}) => answer);
		if (this.#isHedged) {
			return Promise.race(answers);
		}

		const answered = new AbortController();
		const timeout = async (): Promise<undefined> => {
			await pause(HEDGE_DELAY_MS, answered.signal);
			return undefined;
		};

		try {
			return await Promise.race([...answers, timeout()]);
		} finally {
			answered.abort();
		}
	}

	/** Sends the hedged request to the next pool, or again to the first one, on another connection, when no pool is left. */
	#sendHedgedRequest(): void {
		this.#isHedged = true;
		this.#sendRequest(this.pools[this.#nextPoolIndex] ?? this.pools[0]!);
		this.#nextPoolIndex++;
	}

	#sendRequest(pool: string): void {
		const cancel = new AbortController();
		const settle = async (): Promise<SettledRequest> => {
			const outcome = await this.reserveInPool(pool, cancel.signal);
			return {request, outcome};
		};

		const request: OpenRequest = {cancel, answer: settle()};
		this.#openRequests.add(request);
	}

	async #releaseLateGrant({answer}: OpenRequest): Promise<void> {
		const {outcome} = await answer;
		if (outcome.kind === 'granted') {
			outcome.release('not_sent');
		}
	}
}
