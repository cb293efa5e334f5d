/**
 * Deletes claim objects one hour after their keys have expired. One daemon, chosen by rendezvous hashing, does this at a time.
 * If two daemons do it at once, their deletions do not conflict. The progress is stored in `claims/swept`.
 */
import {z} from 'zod';
import type {Directory} from '../membership/directory.js';
import type {ObjectApi, WriteCondition} from '../object-api/object-api.js';
import {monotonicMs, wallClockMs, type Clock} from '../util/clock.js';
import {pause} from '../util/pause.js';
import {chooseNode} from '../util/rendezvous.js';
import {
	CLAIM_BUCKET_MS, claimBucket, type ClaimLayout, type ClaimLayoutStore,
} from './claim-layout.js';

const PROGRESS_KEY = 'claims/swept';
const CALL_TIMEOUT_MS = 5000;

/** Added to the retention. Tolerates clock differences between daemons of up to this time. */
export const DELETION_DELAY_MS = 3_600_000;

/** Pause between buckets. Limits the rate of calls to the object API while there is a backlog. */
const BUCKET_PAUSE_MS = 200;

/** Pause between two sweeps. */
const IDLE_PAUSE_MS = 10_000;

/** Maximum number of buckets deleted before the progress is stored. */
const BUCKETS_PER_SWEEP = 30;

const progressSchema = z.object({untilMs: z.number().int()});

export type ClaimSweeperOptions = {
	readonly objectApi: ObjectApi;
	readonly layout: ClaimLayoutStore;
	readonly directory: Directory;
	readonly bucketPauseMs?: number;
	readonly idlePauseMs?: number;
	readonly clock?: Clock;
	readonly wallClock?: Clock;
};

/** Background task of a daemon that deletes expired claim objects. */
export class ClaimSweeper {
	/** Starts the task. */
	static create(options: ClaimSweeperOptions): ClaimSweeper {
		const sweeper = new ClaimSweeper(options);
		sweeper.#task = sweeper.#run();
		return sweeper;
	}

	readonly #options: ClaimSweeperOptions;
	readonly #closing = new AbortController();
	#task: Promise<void> | undefined;

	private constructor(options: ClaimSweeperOptions) {
		this.#options = options;
	}

	async close(): Promise<void> {
		this.#closing.abort();
		await this.#task;
	}

	async #run(): Promise<void> {
		const {idlePauseMs = IDLE_PAUSE_MS} = this.#options;
		while (!this.#closing.signal.aborted) {
			const layout = this.#isChosen() ? await this.#options.layout.get(CALL_TIMEOUT_MS, this.#wallNow()) : undefined;
			if (layout) {
				await this.#sweep(layout);
			}

			await pause(idlePauseMs, this.#closing.signal);
		}
	}

	#wallNow(): number {
		return (this.#options.wallClock ?? wallClockMs)();
	}

	#isChosen(): boolean {
		const {directory} = this.#options;
		return chooseNode(PROGRESS_KEY, directory.members().map(({id}) => id)) === directory.self.id;
	}

	/**
	 * Deletes the due buckets, oldest first, and stores the progress. Stops early when {@link BUCKETS_PER_SWEEP} is reached,
	 * another daemon is chosen, a call fails or the task is closed.
	 */
	async #sweep(layout: ClaimLayout): Promise<void> {
		const {bucketPauseMs = BUCKET_PAUSE_MS} = this.#options;
		const progress = await this.#readProgress(layout);
		if (!progress) {
			return;
		}

		let {untilMs} = progress;
		let bucketCount = 0;
		let hasSucceeded = true;
		while (hasSucceeded && isDue(untilMs, layout, this.#wallNow()) && this.#isChosen() && !this.#closing.signal.aborted && bucketCount < BUCKETS_PER_SWEEP) {
			hasSucceeded = await this.#deleteBucket(untilMs);
			untilMs += hasSucceeded ? CLAIM_BUCKET_MS : 0;
			bucketCount++;
			await pause(bucketPauseMs, this.#closing.signal);
		}

		if (untilMs > progress.untilMs) {
			await this.#options.objectApi.write(PROGRESS_KEY, {untilMs}, progress.condition, this.#callOptions());
		}
	}

	/**
	 * Returns the start of the first bucket that is not known to be deleted. Without stored progress, that is
	 * the bucket of the time at which the layout was recorded, less the retention and {@link DELETION_DELAY_MS}: no claim can have
	 * an older key.
	 */
	async #readProgress(layout: ClaimLayout): Promise<{readonly untilMs: number; readonly condition: WriteCondition} | undefined> {
		const outcome = await this.#options.objectApi.read(PROGRESS_KEY, this.#callOptions());
		switch (outcome.kind) {
			case 'unavailable': {
				return undefined;
			}

			case 'absent': {
				return {untilMs: claimBucket(layout.createdAtMs - layout.retentionMs - DELETION_DELAY_MS), condition: {kind: 'absent'}};
			}

			case 'found': {
				const progress = progressSchema.safeParse(outcome.object.value);
				return progress.success ? {...progress.data, condition: {kind: 'version', version: outcome.object.version}} : undefined;
			}
		}
	}

	async #deleteBucket(bucketMs: number): Promise<boolean> {
		const listed = await this.#options.objectApi.list(`claims/${bucketMs}/`, this.#callOptions());
		if (listed.kind === 'unavailable') {
			return false;
		}

		for (const {key, version} of listed.objects) {
			const outcome = await this.#options.objectApi.remove(key, version, this.#callOptions());
			if (outcome.kind !== 'written') {
				return false;
			}
		}

		return true;
	}

	#callOptions(): {readonly timeoutMs: number; readonly signal: AbortSignal} {
		return {timeoutMs: CALL_TIMEOUT_MS, signal: this.#closing.signal};
	}
}

/** Whether no daemon can accept a key of the bucket any more, so that the bucket may be deleted. `wallNow` is Unix time in ms. */
export const isDue = (bucketMs: number, layout: ClaimLayout, wallNow: number): boolean =>
	bucketMs + CLAIM_BUCKET_MS + layout.retentionMs + DELETION_DELAY_MS <= wallNow;
