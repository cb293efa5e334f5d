/**
 * Asks pools for one reservation, one after the other. A pool that takes long stays asked, and one more is asked beside
 * it, since the connection on which its answer comes may have stalled.
 */
import {pause} from '../util/pause.js';
import type {NotGranted} from './refusals.js';
import type {Grant, ReservationOutcome} from './reservation.js';

const SECOND_ASK_AFTER_MS = 4000;

/** Asks one pool. Resolves also after its signal is aborted. */
export type AskPool = (pool: string, signal: AbortSignal) => Promise<ReservationOutcome>;

/** Answers of all pools, none of which granted. */
export type Refusals = {readonly kind: 'refusals'; readonly outcomes: readonly NotGranted[]};

type Pending = {
	readonly cancel: AbortController;
	readonly answer: Promise<Settled>;
};

type Settled = {readonly pending: Pending; readonly outcome: ReservationOutcome};

/** Returns the first grant, or the refusals of all pools. A grant that comes after the first one is released. */
export async function askPools(pools: readonly string[], ask: AskPool, signal: AbortSignal): Promise<Grant | Refusals> {
	const race = new AskRace(pools, ask);
	const stop = (): void => {
		race.cancelAll();
	};

	signal.addEventListener('abort', stop);
	try {
		return await race.run(signal);
	} finally {
		signal.removeEventListener('abort', stop);
	}
}

class AskRace {
	readonly #pending = new Set<Pending>();
	readonly #outcomes: NotGranted[] = [];
	#next = 0;
	#isDoubled = false;

	constructor(private readonly pools: readonly string[], private readonly ask: AskPool) {}

	async run(signal: AbortSignal): Promise<Grant | Refusals> {
		while (!signal.aborted && (this.#pending.size > 0 || this.#next < this.pools.length)) {
			if (this.#pending.size === 0) {
				this.#start(this.pools[this.#next++]!);
			}

			const settled = await this.#firstSettled();
			if (!settled) {
				this.#askBeside();
				continue;
			}

			this.#pending.delete(settled.pending);
			if (settled.outcome.kind === 'granted') {
				this.cancelAll();
				return settled.outcome;
			}

			this.#outcomes.push(settled.outcome);
		}

		this.cancelAll();
		return {kind: 'refusals', outcomes: this.#outcomes};
	}

	/** Takes back what is still asked. */
	cancelAll(): void {
		for (const pending of this.#pending) {
			pending.cancel.abort();
			void this.#releaseLate(pending);
		}

		this.#pending.clear();
	}

	/** The next answer, or undefined when a second pool should be asked. */
	async #firstSettled(): Promise<Settled | undefined> {
		const answers = [...this.#pending].map(async ({answer}) => answer);
		if (this.#isDoubled) {
			return Promise.race(answers);
		}

		const answered = new AbortController();
		const timeout = async (): Promise<undefined> => {
			await pause(SECOND_ASK_AFTER_MS, answered.signal);
			return undefined;
		};

		try {
			return await Promise.race([...answers, timeout()]);
		} finally {
			answered.abort();
		}
	}

	/** Asks the next pool, or the first one again on another connection when there is no further one. */
	#askBeside(): void {
		this.#isDoubled = true;
		this.#start(this.pools[this.#next] ?? this.pools[0]!);
		this.#next++;
	}

	#start(pool: string): void {
		const cancel = new AbortController();
		const settle = async (): Promise<Settled> => {
			const outcome = await this.ask(pool, cancel.signal);
			return {pending, outcome};
		};

		const pending: Pending = {cancel, answer: settle()};
		this.#pending.add(pending);
	}

	async #releaseLate({answer}: Pending): Promise<void> {
		const {outcome} = await answer;
		if (outcome.kind === 'granted') {
			outcome.release('not_sent');
		}
	}
}
