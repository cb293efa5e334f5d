/** Frees streams and segments at engines when a request has ended, however it ended. */
import type {BackgroundTasks} from '../util/background-tasks.js';
import type {Clock} from '../util/clock.js';
import {pause} from '../util/pause.js';
import type {CancelOutcome, EngineStreams} from './engine-streams.js';

const CANCEL_TIMEOUT_MS = 2000;
const FIRST_RETRY_MS = 100;
const LAST_RETRY_MS = 5000;
/** Tries go on this long past the deadline of the request, at which engines free what is theirs. */
const PAST_DEADLINE_MS = 30_000;
/** A request whose arrival is not known may still arrive after a cancellation, so the cancellation is repeated. */
const LATE_ARRIVAL_REPEATS_MS = [1000, 4000];

/** Something that an engine holds. */
export type Held = {
	readonly kind: 'stream' | 'segment';
	readonly address: string;
	readonly id: string;
	/** Whether the engine may receive the request later than its cancellation. */
	readonly uncertain: boolean;
};

type Engine = Pick<EngineStreams, 'cancelStream' | 'freeSegment'>;

/** Told of each try that failed. */
export type CleanupObserver = (held: Held, outcome: CancelOutcome) => void;

/** Frees in the background and retries until the engine confirms, no process listens there, or the time is over. */
export class StreamCleanup {
	static create(engine: Engine, tasks: BackgroundTasks, clock: Clock, onFailure: CleanupObserver): StreamCleanup {
		return new StreamCleanup(engine, tasks, clock, onFailure);
	}

	private constructor(
		private readonly engine: Engine,
		private readonly tasks: BackgroundTasks,
		private readonly clock: Clock,
		private readonly onFailure: CleanupObserver,
	) {}

	/** Frees `held` and then calls `then`. `deadline` is that of the request, in monotonic ms. */
	free(held: readonly Held[], deadline: number, then: () => void): void {
		this.tasks.run(async () => {
			try {
				await Promise.all(held.map(async item => this.#freeOne(item, deadline + PAST_DEADLINE_MS)));
			} finally {
				then();
			}
		});
	}

	async #freeOne(item: Held, until: number): Promise<void> {
		await this.#untilConfirmed(item, until);
		for (const delayMs of item.uncertain ? LATE_ARRIVAL_REPEATS_MS : []) {
			await pause(delayMs);
			await this.#untilConfirmed(item, until);
		}
	}

	async #untilConfirmed(item: Held, until: number): Promise<void> {
		let delayMs = FIRST_RETRY_MS;
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
			delayMs = Math.min(LAST_RETRY_MS, delayMs * 2);
		}
	}

	async #cancel({kind, address, id}: Held): Promise<CancelOutcome> {
		const options = {timeoutMs: CANCEL_TIMEOUT_MS};
		return kind === 'stream' ? this.engine.cancelStream(address, id, options) : this.engine.freeSegment(address, id, options);
	}
}
