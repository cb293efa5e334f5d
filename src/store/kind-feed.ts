/** Follows one kind of objects: lists it, then watches for changes, and lists again when history is lost. */
import type {Clock} from '../util/clock.js';
import {Backoff} from '../util/backoff.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import type {KindEvent, KindObject, KindStore} from './kind-store.js';

/** Time in ms beyond the wait after which a watch counts as lost: many times the store's 4 ms. */
export const WATCH_SLACK_MS = 500;
const LIST_TIMEOUT_MS = 1000;
const BACKOFF_BASE_MS = 150;

/** Receives what a feed learns. */
export type FeedSink = {
	/** A complete list, which replaces everything before it. */
	onList(objects: readonly KindObject[], now: number): void;
	onEvent(event: KindEvent, now: number): void;
	/** The store could not be read until `now`. Without it, what was learned last stays in force. */
	onOutage?(now: number): void;
};

export type FeedOptions = {
	readonly kind: string;
	readonly store: KindStore;
	readonly sink: FeedSink;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Seed of the jitter between attempts. */
	readonly seed: number;
	/** A watch waits this long in ms for a change. A connection that went silent is found when its answer is overdue. */
	readonly waitMs: number;
	/** Pause in ms after changes, before the next watch: bounds the calls of all daemons together when changes come in series. */
	pauseMs(): number;
	/** Longest pause in ms between attempts while the store is away. */
	retryMs(): number;
};

type Position = {readonly revision: number};

export class KindFeed {
	static start(options: FeedOptions): KindFeed {
		const feed = new KindFeed(options);
		void feed.#run();
		return feed;
	}

	readonly #controller = new AbortController();
	readonly #backoff: Backoff;
	#isAway = false;

	private constructor(private readonly options: FeedOptions) {
		this.#backoff = Backoff.create({baseMs: BACKOFF_BASE_MS, maxMs: options.retryMs(), seed: options.seed});
	}

	close(): void {
		this.#controller.abort();
	}

	async #run(): Promise<void> {
		const {signal} = this.#controller;
		let position: Position | undefined;
		while (!signal.aborted) {
			position = position ? await this.#watch(position) : await this.#list();
		}
	}

	async #list(): Promise<Position | undefined> {
		const {store, kind, sink, clock} = this.options;
		const {signal} = this.#controller;
		const listed = await store.list(kind, {timeoutMs: LIST_TIMEOUT_MS, signal});
		if (signal.aborted) {
			return undefined;
		}

		if (listed.kind === 'unavailable') {
			await this.#away(listed.message);
			return undefined;
		}

		this.#returned();
		sink.onList(listed.objects, clock());
		return {revision: listed.revision};
	}

	async #watch({revision}: Position): Promise<Position | undefined> {
		const {
			store, kind, sink, clock, logger, waitMs,
		} = this.options;
		const {signal} = this.#controller;
		const outcome = await store.watch(kind, revision, waitMs, {timeoutMs: waitMs + WATCH_SLACK_MS, signal});
		if (signal.aborted) {
			return undefined;
		}

		switch (outcome.kind) {
			case 'events': {
				this.#returned();
				for (const event of outcome.events) {
					sink.onEvent(event, clock());
				}

				if (outcome.events.length > 0) {
					await pause(this.options.pauseMs(), signal);
				}

				return {revision: Math.max(revision, outcome.revision)};
			}

			case 'compacted': {
				logger.info('feed_compacted', {kind, revision});
				return undefined;
			}

			case 'unavailable': {
				await this.#away(outcome.message);
				return {revision};
			}
		}
	}

	async #away(message: string): Promise<void> {
		const {
			kind, sink, clock, logger,
		} = this.options;
		sink.onOutage?.(clock());
		if (!this.#isAway) {
			this.#isAway = true;
			logger.warn('store_lost', {kind, message});
		}

		await pause(this.#backoff.nextMs(this.options.retryMs()), this.#controller.signal);
	}

	#returned(): void {
		const {kind, sink, clock, logger} = this.options;
		this.#backoff.reset();
		if (this.#isAway) {
			this.#isAway = false;
			sink.onOutage?.(clock());
			logger.info('store_regained', {kind});
		}
	}
}
