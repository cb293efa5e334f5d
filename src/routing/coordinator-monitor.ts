/** Detects coordinators that stop responding while reservations wait in their queues. */
import type {Clock} from '../util/clock.js';
import {pause} from '../util/pause.js';

/** The coordinator is probed once a reservation has waited this long. */
const PROBE_DELAY_MS = 300;
const PROBE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 700;
/** For this long after a failed probe, a pool is tried after all other pools. */
const SUSPECT_TTL_MS = 5000;

/** Resolves to whether the coordinator of `pool` answers within `timeoutMs`. Does not reject. */
export type LivenessProbe = (pool: string, timeoutMs: number) => Promise<boolean>;

/** Probes the coordinators that hold waiting reservations of this daemon, with one probe at a time for each coordinator. */
export class CoordinatorMonitor {
	static create(isAlive: LivenessProbe, clock: Clock): CoordinatorMonitor {
		return new CoordinatorMonitor(isAlive, clock);
	}

	/** Callbacks that cancel the waiting reservations, by pool. */
	readonly #callbacks = new Map<string, Set<() => void>>();
	readonly #lastFailedProbe = new Map<string, number>();

	private constructor(private readonly isAlive: LivenessProbe, private readonly clock: Clock) {}

	/** Whether a probe of the coordinator of `pool` failed less than {@link SUSPECT_TTL_MS} before `now`. */
	isSuspect(pool: string, now: number): boolean {
		const failedAt = this.#lastFailedProbe.get(pool);
		return failedAt !== undefined && now - failedAt < SUSPECT_TTL_MS;
	}

	/** Calls `onUnresponsive` after each failed probe, until the returned function is called. */
	watch(pool: string, onUnresponsive: () => void): () => void {
		const callbacks = this.#callbacks.get(pool) ?? new Set();
		callbacks.add(onUnresponsive);
		if (!this.#callbacks.has(pool)) {
			this.#callbacks.set(pool, callbacks);
			void this.#probe(pool, callbacks);
		}

		return () => {
			callbacks.delete(onUnresponsive);
		};
	}

	/** Probes the coordinator for as long as reservations wait. */
	async #probe(pool: string, callbacks: Set<() => void>): Promise<void> {
		await pause(PROBE_DELAY_MS);
		while (callbacks.size > 0) {
			const probed = new Set(callbacks);
			if (await this.isAlive(pool, PROBE_TIMEOUT_MS)) {
				this.#lastFailedProbe.delete(pool);
			} else {
				this.#lastFailedProbe.set(pool, this.clock());
				for (const onUnresponsive of probed) {
					onUnresponsive();
				}
			}

			await pause(PROBE_INTERVAL_MS);
		}

		this.#callbacks.delete(pool);
	}
}
