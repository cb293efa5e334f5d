/** Frees the streams and segments of a request at engines when the request has ended, whether it succeeded or not. */
import type {BackgroundTasks} from '../util/background-tasks.js';
import type {Clock} from '../util/clock.js';
import {pause} from '../util/pause.js';
import type {CancelOutcome, EngineStreams} from './engine-streams.js';

const CANCEL_TIMEOUT_MS = 2000;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5000;
/**
 * Time in ms after the deadline of the request during which retries continue. Engines free its memory at the deadline
 * themselves.
 */
const RETRY_AFTER_DEADLINE_MS = 30_000;
/**
 * A request that may still be under way can arrive after its cancellation, so the cancellation is repeated after these
 * delays in ms.
 */
const LATE_ARRIVAL_REPEAT_DELAYS_MS = [1000, 4000];

/** A stream or segment that holds memory of an engine. */
export type HeldResource = {
	readonly kind: 'stream' | 'segment';
	readonly address: string;
	readonly id: string;
	/** Whether the engine may receive the request after its cancellation. */
	readonly mayArriveLate: boolean;
};

type Engine = Pick<EngineStreams, 'cancelStream' | 'freeSegment'>;

/** Called for each failed attempt. */
export type CleanupFailureListener = (held: HeldResource, outcome: CancelOutcome) => void;

/**
 * Frees in the background. Retries until the engine confirms, no process listens on its address, or the time for retries
 * is over.
 */
export class StreamCleanup {
	static create(engine: Engine, tasks: BackgroundTasks, clock: Clock, onFailure: CleanupFailureListener): StreamCleanup {
		return new StreamCleanup(engine, tasks, clock, onFailure);
	}

	private constructor(
		private readonly engine: Engine,
		private readonly tasks: BackgroundTasks,
		private readonly clock: Clock,
		private readonly onFailure: CleanupFailureListener,
	) {}

	/** Frees `held`, then calls `onDone`, also after failures. `deadline` is the deadline of the request in monotonic ms. */
	free(held: readonly HeldResource[], deadline: number, onDone: () => void): void {
		this.tasks.run(async () => {
			try {
				await Promise.all(held.map(async item => this.#freeOne(item, deadline + RETRY_AFTER_DEADLINE_MS)));
			} finally {
				onDone();
			}
		});
	}

	async #freeOne(item: HeldResource, until: number): Promise<void> {
		await this.#cancelUntilConfirmed(item, until);
		for (const delayMs of item.mayArriveLate ? LATE_ARRIVAL_REPEAT_DELAYS_MS : []) {
			await pause(delayMs);
			await this.#cancelUntilConfirmed(item, until);
		}
	}

	async #cancelUntilConfirmed(item: HeldResource, until: number): Promise<void> {
		let delayMs = MIN_RETRY_DELAY_MS;
		for (;;) {
			const outcome = await this.#cancel(item);
			if (outcome.kind !== 'unreachable') {
				return;
			}

			this.onFailure(item, outcome);
			if (this.clock() + delayMs > until) {
				return;
			}

			await pause(delayMs);
			delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
		}
	}

	async #cancel({kind, address, id}: HeldResource): Promise<CancelOutcome> {
		const options = {timeoutMs: CANCEL_TIMEOUT_MS};
		return kind === 'stream' ? this.engine.cancelStream(address, id, options) : this.engine.freeSegment(address, id, options);
	}
}
