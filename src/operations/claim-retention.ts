/**
 * Deletes claim objects one hour after their keys expired. One daemon at a time does it, chosen by rendezvous hash; if
 * two do it at once, their deletions do not disturb each other. Progress is kept in `claims/swept`.
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

const SWEPT_KEY = 'claims/swept';
const CALL_TIMEOUT_MS = 5000;

/** Added to the retention, so that clocks of daemons may differ by up to this. */
export const DELETION_DELAY_MS = 3_600_000;

/** Pause between buckets, which bounds the rate of calls while there is a backlog. */
const BUCKET_PAUSE_MS = 200;

/** Pause when nothing is due. */
const IDLE_PAUSE_MS = 10_000;

/** Buckets between two records of the progress. */
const BUCKETS_PER_RECORD = 30;

const sweptSchema = z.object({untilMs: z.number().int()});

/** What the deletion needs. */
export type ClaimRetentionOptions = {
	readonly objectApi: ObjectApi;
	readonly layout: ClaimLayoutStore;
	readonly directory: Directory;
	readonly bucketPauseMs?: number;
	readonly idlePauseMs?: number;
	readonly clock?: Clock;
	readonly wallClock?: Clock;
};

/** The deletion task of a daemon. */
export class ClaimRetention {
	/** Starts the task. */
	static create(options: ClaimRetentionOptions): ClaimRetention {
		const retention = new ClaimRetention(options);
		retention.#task = retention.#run();
		return retention;
	}

	readonly #options: ClaimRetentionOptions;
	readonly #closing = new AbortController();
	#task: Promise<void> | undefined;

	private constructor(options: ClaimRetentionOptions) {
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
		return chooseNode(SWEPT_KEY, directory.members().map(({id}) => id)) === directory.self.id;
	}

	/** Deletes what is due, oldest bucket first, until it is done, another daemon is chosen or a call fails. */
	async #sweep(layout: ClaimLayout): Promise<void> {
		const {bucketPauseMs = BUCKET_PAUSE_MS} = this.#options;
		const progress = await this.#readProgress(layout);
		if (!progress) {
			return;
		}

		let {untilMs} = progress;
		let sinceRecord = 0;
		let complete = true;
		while (complete && isDue(untilMs, layout, this.#wallNow()) && this.#isChosen() && !this.#closing.signal.aborted && sinceRecord < BUCKETS_PER_RECORD) {
			complete = await this.#deleteBucket(untilMs);
			untilMs += complete ? CLAIM_BUCKET_MS : 0;
			sinceRecord++;
			await pause(bucketPauseMs, this.#closing.signal);
		}

		if (untilMs > progress.untilMs) {
			await this.#options.objectApi.write(SWEPT_KEY, {untilMs}, progress.condition, this.#callOptions());
		}
	}

	/** Start of the first bucket that is not known to be deleted. No claim can be older than the retention before the first one. */
	async #readProgress(layout: ClaimLayout): Promise<{readonly untilMs: number; readonly condition: WriteCondition} | undefined> {
		const outcome = await this.#options.objectApi.read(SWEPT_KEY, this.#callOptions());
		switch (outcome.kind) {
			case 'unavailable': {
				return undefined;
			}

			case 'absent': {
				return {untilMs: claimBucket(layout.createdAtMs - layout.retentionMs - DELETION_DELAY_MS), condition: {kind: 'absent'}};
			}

			case 'found': {
				const swept = sweptSchema.safeParse(outcome.object.value);
				return swept.success ? {...swept.data, condition: {kind: 'version', version: outcome.object.version}} : undefined;
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

/** Whether no key of a bucket can still be accepted at any daemon. `wallNow` is Unix time in ms. */
export const isDue = (bucketMs: number, layout: ClaimLayout, wallNow: number): boolean =>
	bucketMs + CLAIM_BUCKET_MS + layout.retentionMs + DELETION_DELAY_MS <= wallNow;
