/**
 * Follows the objects of one kind: lists them, then watches for changes, and lists again when the store has compacted
 * its history or has come back from an older copy. Only `close` ends a feed; after an exception it lists again.
 */
import type {Clock} from '../util/clock.js';
import type {AnswerLimit} from '../object-api/answer-body.js';
import {Backoff} from '../util/backoff.js';
import {stackOf} from '../util/stack-of.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import {
	latestEvents, type KindEvent, type KindObject, type KindStore, type Unavailable,
} from './kind-store.js';
import type {StorePosition} from './store-position.js';
import {WATCH_TIMEOUT_MARGIN_MS} from './read-schedule.js';

/** Timeout in ms of calls that are answered at once. */
const READ_TIMEOUT_MS = 1000;
const BACKOFF_BASE_MS = 150;
/** Longest time in ms for the body of an answer, of which some has to arrive within each `READ_TIMEOUT_MS`: a megabyte over a link of 1 Mbit/s. */
const MAX_TRANSFER_MS = 10_000;
/** Largest size in bytes of a list, several times that of a page, or of an object, of the store. */
const MAX_LIST_BYTES = 8 * 1024 * 1024;
/** Size in bytes up to which changes are read in any case. They may show what a list does not, such as an entry that has come and gone. */
const MIN_CHANGES_BYTES = 1024 * 1024;
/** The same for objects of which only the latest version counts. */
const MIN_LATEST_CHANGES_BYTES = 64 * 1024;
/** Changes may be this much larger than the latest list, which allows for an object that has grown. */
const CHANGES_PER_LIST = 1.5;
/** Upper limit in ms of the back-off after an exception, which may have come from `retryMs`. */
const FAILURE_RETRY_MS = 1500;

/** A complete list. `isRestored`: the store has come back from an older copy since the objects before it were read. */
export type FeedList = {readonly objects: readonly KindObject[]; readonly isRestored: boolean};

/** Receives the lists and changes that a feed reads. */
export type FeedSink = {
	/** Only the latest version of each object counts, so a list replaces any number of changes. */
	readonly isLatestOnly?: boolean;
	/** A complete list, which replaces everything before it. The store is listed again if this throws. */
	onList(list: FeedList, now: number): void;
	/** A change. It is skipped if this throws. */
	onEvent(event: KindEvent, now: number): void;
	/** The store could not be read until `now`. A sink without this method keeps using the data it received last. */
	onOutage?(now: number): void;
};

export type FeedOptions = {
	readonly kind: string;
	readonly store: KindStore;
	readonly sink: FeedSink;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Seed of the retry jitter. */
	readonly seed: number;
	/** Time in ms for which a watch waits for a change. A dead connection is detected when the answer of the watch is overdue. */
	readonly waitMs: number;
	/** Pause in ms after changes, before the next watch. Bounds the total call rate of all daemons during a burst of changes. */
	pauseMs(): number;
	/** Upper limit in ms of the back-off while the store is unavailable. */
	retryMs(): number;
	/** Called when the store answers again after it was unavailable. */
	onRegained(): void;
	/** Called when this feed finds the store in another era than before. */
	onRestored(era: number): void;
};

export class KindFeed {
	static start(options: FeedOptions): KindFeed {
		const feed = new KindFeed(options);
		void feed.#run();
		return feed;
	}

	readonly #controller = new AbortController();
	readonly #backoff: Backoff;
	/** Aborted to end a call or a pause early: while the store is unavailable, and by `close`. */
	#interruption = new AbortController();
	/** Whether the latest failed read had a part of its answer; undefined while the store answers. */
	#isIncomplete: boolean | undefined;
	/** Whether the next watch is to be answered at once, to show the era of the store. */
	#isEraInDoubt = false;
	/** Era of the latest list, or of an answer that showed that the store has come back from an older copy. */
	#era: number | undefined;
	/** Era of the latest list that was applied. */
	#listedEra: number | undefined;
	/** Size of the latest list, if known. */
	#listBytes = 0;
	/** The changes that this feed has missed exceed a list, which is read in their place. */
	#isBehind = false;
	/** Whether a watch has succeeded since the latest list. */
	#hasWatched = true;

	private constructor(private readonly options: FeedOptions) {
		this.#backoff = Backoff.create({baseMs: BACKOFF_BASE_MS, maxMs: FAILURE_RETRY_MS, seed: options.seed});
	}

	close(): void {
		this.#controller.abort();
		this.#interruption.abort();
	}

	/** Tries again at once if the store was unavailable, instead of waiting for a call that may hang or for a pause to end. */
	retry(): void {
		if (this.#isUnavailable) {
			this.#interrupt();
		}
	}

	/** Finds out at once whether the store has come back from an older copy, unless this feed knows that it is in `era`. */
	checkEra(era: number): void {
		if (this.#era !== undefined && this.#era !== era) {
			this.#isEraInDoubt = true;
			this.#interrupt();
		}
	}

	#interrupt(): void {
		const interrupted = this.#interruption;
		this.#interruption = new AbortController();
		interrupted.abort();
	}

	async #run(): Promise<void> {
		const {signal} = this.#controller;
		let position: StorePosition | undefined;
		while (!signal.aborted) {
			try {
				position = position ? await this.#watch(position) : await this.#list();
			} catch (err) {
				position = undefined;
				this.options.logger.error('feed_failed', {kind: this.options.kind, message: stackOf(err)});
				await pause(this.#backoff.nextMs(), this.#interruption.signal);
			}
		}
	}

	async #list(): Promise<StorePosition | undefined> {
		const {store, kind, sink, clock} = this.options;
		const {signal} = this.#controller;
		const interruption = this.#interruption.signal;
		const listed = await store.list(kind, {timeoutMs: READ_TIMEOUT_MS, signal: interruption, answer: answerLimit(MAX_LIST_BYTES)});
		if (signal.aborted) {
			return undefined;
		}

		if (listed.kind === 'unavailable') {
			await this.#handleUnavailable(listed, interruption);
			return undefined;
		}

		this.#handleAvailable();
		const {era, revision} = listed;
		this.#recordEra(era);
		const isRestored = this.#listedEra !== undefined && this.#listedEra !== era;
		sink.onList({objects: listed.objects, isRestored}, clock());
		this.#listedEra = era;
		this.#listBytes = listed.bytes ?? 0;
		this.#hasWatched = false;
		if (this.#isBehind) {
			this.#isBehind = false;
			await pause(this.options.pauseMs(), signal);
		}

		return {era, revision};
	}

	async #watch(position: StorePosition): Promise<StorePosition | undefined> {
		const {
			store, kind, logger, waitMs,
		} = this.options;
		const {signal} = this.#controller;
		const interruption = this.#interruption.signal;
		// While the store is unavailable, an answer at once shows when it is back; a watch would only answer at the next change.
		const isCheck = this.#isUnavailable || this.#isEraInDoubt;
		this.#isEraInDoubt = false;
		const answer = answerLimit(this.#maxChangesBytes);
		const outcome = isCheck
			? await store.watch(kind, position, 0, {timeoutMs: READ_TIMEOUT_MS, signal: interruption, answer})
			: await store.watch(kind, position, waitMs, {timeoutMs: waitMs + WATCH_TIMEOUT_MARGIN_MS, signal: interruption, answer});
		if (signal.aborted) {
			return undefined;
		}

		switch (outcome.kind) {
			case 'events': {
				this.#handleAvailable();
				this.#hasWatched = true;
				this.#backoff.reset();
				this.#applyAll(outcome.events, this.options.clock());

				if (outcome.events.length > 0) {
					await pause(this.options.pauseMs(), signal);
				}

				return {era: position.era, revision: Math.max(position.revision, outcome.revision)};
			}

			case 'compacted': {
				logger.info('feed_compacted', {kind, ...position});
				await this.#pauseBeforeRelisting(interruption);
				return undefined;
			}

			case 'oversized': {
				this.#handleAvailable();
				this.#isBehind = true;
				logger.info('feed_behind', {kind, ...position, message: outcome.message});
				return undefined;
			}

			case 'restored': {
				this.#recordEra(outcome.era, position.revision);
				await this.#pauseBeforeRelisting(interruption);
				return undefined;
			}

			case 'unavailable': {
				await this.#handleUnavailable(outcome, interruption);
				// The changes may be too many for the link; a list is not.
				return outcome.isIncomplete ? undefined : position;
			}
		}
	}

	get #isUnavailable(): boolean {
		return this.#isIncomplete !== undefined;
	}

	/** Size in bytes up to which changes are read: beyond it, a list is. */
	get #maxChangesBytes(): number {
		return Math.max(this.options.sink.isLatestOnly ? MIN_LATEST_CHANGES_BYTES : MIN_CHANGES_BYTES, CHANGES_PER_LIST * this.#listBytes);
	}

	/** Applies changes that were read at `now`, together, so that a sink can tell them from changes that were read one after the other. */
	#applyAll(events: readonly KindEvent[], now: number): void {
		for (const event of this.options.sink.isLatestOnly ? latestEvents(events) : events) {
			this.#apply(event, now);
		}
	}

	#apply(event: KindEvent, now: number): void {
		const {kind, sink, logger} = this.options;
		try {
			sink.onEvent(event, now);
		} catch (err) {
			const {name, revision} = event.kind === 'changed' ? event.object : {...event, revision: undefined};
			logger.error('object_skipped', {
				kind, object: name, revision, message: stackOf(err),
			});
		}
	}

	/** Lists at once, unless no watch from the previous list has succeeded: the next one may fail in the same way. */
	async #pauseBeforeRelisting(interruption: AbortSignal): Promise<void> {
		if (!this.#hasWatched) {
			await pause(this.#backoff.nextMs(), interruption);
		}
	}

	async #handleUnavailable({message, isIncomplete = false}: Unavailable, interruption: AbortSignal): Promise<void> {
		if (interruption.aborted) {
			return;
		}

		const {
			kind, sink, clock, logger,
		} = this.options;
		sink.onOutage?.(clock());
		if (this.#isIncomplete !== isIncomplete) {
			this.#isIncomplete = isIncomplete;
			logger.warn('store_lost', {kind, incomplete: isIncomplete, message});
		}

		await pause(this.#backoff.nextMs(this.options.retryMs()), interruption);
	}

	/** `position` is the revision of a watch that showed the change of the era. */
	#recordEra(era: number, position?: number): void {
		const before = this.#era;
		this.#era = era;
		if (before === undefined || before === era) {
			return;
		}

		const {kind, logger, onRestored} = this.options;
		logger.warn('store_restored', {
			kind, era, before, position,
		});
		onRestored(era);
	}

	#handleAvailable(): void {
		const {
			kind, sink, clock, logger, onRegained,
		} = this.options;
		if (this.#isUnavailable) {
			this.#isIncomplete = undefined;
			sink.onOutage?.(clock());
			logger.info('store_regained', {kind});
			onRegained();
		}
	}
}

const answerLimit = (maxBytes: number): AnswerLimit => ({maxBytes, silenceMs: READ_TIMEOUT_MS, maxMs: MAX_TRANSFER_MS});
