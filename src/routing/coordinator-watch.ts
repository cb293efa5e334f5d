/** Notices coordinators that give no sign of life while reservations wait in their queues. */
import type {Clock} from '../util/clock.js';
import {pause} from '../util/pause.js';

/** A reservation that waits this long makes its coordinator be asked. */
const PATIENCE_MS = 300;
const INTERVAL_MS = 500;
const ANSWER_TIMEOUT_MS = 700;
/** A silent coordinator is asked for reservations last for this long. */
const SUSPICION_MS = 5000;

/** Whether the coordinator of `pool` answers within `timeoutMs`. Does not reject. */
export type AskForLife = (pool: string, timeoutMs: number) => Promise<boolean>;

/** Watches the coordinators at which this daemon waits. One question at a time for each of them. */
export class CoordinatorWatch {
	static create(isAlive: AskForLife, clock: Clock): CoordinatorWatch {
		return new CoordinatorWatch(isAlive, clock);
	}

	/** Functions that give up the waiting reservations of a pool. */
	readonly #waiting = new Map<string, Set<() => void>>();
	readonly #silentSince = new Map<string, number>();

	private constructor(private readonly isAlive: AskForLife, private readonly clock: Clock) {}

	/** Whether the coordinator of `pool` was silent shortly before `now`. */
	isSuspect(pool: string, now: number): boolean {
		const since = this.#silentSince.get(pool);
		return since !== undefined && now - since < SUSPICION_MS;
	}

	/** Calls `giveUp` when the coordinator falls silent, until the returned function is called. */
	watch(pool: string, giveUp: () => void): () => void {
		const waiting = this.#waiting.get(pool) ?? new Set();
		waiting.add(giveUp);
		if (!this.#waiting.has(pool)) {
			this.#waiting.set(pool, waiting);
			void this.#ask(pool, waiting);
		}

		return () => {
			waiting.delete(giveUp);
		};
	}

	/** Asks as long as reservations wait. */
	async #ask(pool: string, waiting: Set<() => void>): Promise<void> {
		await pause(PATIENCE_MS);
		while (waiting.size > 0) {
			const asked = new Set(waiting);
			if (await this.isAlive(pool, ANSWER_TIMEOUT_MS)) {
				this.#silentSince.delete(pool);
			} else {
				this.#silentSince.set(pool, this.clock());
				for (const giveUp of asked) {
					giveUp();
				}
			}

			await pause(INTERVAL_MS);
		}

		this.#waiting.delete(pool);
	}
}
