/**
 * A store that is read through the daemon's relay where it has one, and directly otherwise.
 *
 * Each watch of each daemon is a call that the store bounds and operators pay for. The relay of a failure domain watches
 * for its followers, tells them the revisions that it has with each beat, and hands out what they lack. A follower whose
 * relay is silent, or has itself not heard the store for too long, reads the store directly; so a relay that fails delays
 * a change by {@link MAX_STORE_AGE_MS} and never loses one.
 */
import type {StoreState} from '../fleet/load-exchange.js';
import type {CallOptions} from '../object-api/object-api.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import {KindReplica} from './kind-replica.js';
import type {
	CreateOutcome, KindEvents, KindList, KindStore,
} from './kind-store.js';

/**
 * A relay's knowledge of the store may be this old in ms: a watch of a relay, its slack and a beat. Changes have to be in
 * force within two seconds on the strictest deployment, and a direct read takes some ms.
 */
export const MAX_STORE_AGE_MS = 1600;
/** A watch of a daemon with followers waits this long in ms: shorter watches cost calls, longer ones let knowledge age. */
const RELAY_WAIT_MS = 800;
/** How often in ms a waiting follower looks whether its relay is still fresh: as often as a relay's beat. */
const CHECK_MS = 300;

/** Reads what another daemon has of the store. Methods do not throw; they return failures. */
export type ReplicaReader = {
	list(relay: string, kind: string, options: CallOptions): Promise<KindList>;
	since(relay: string, kind: string, revision: number, options: CallOptions): Promise<KindEvents>;
};

export type RelayedStoreOptions = {
	readonly store: KindStore;
	readonly reader: ReplicaReader;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Kinds that are read through the relay. */
	readonly kinds: readonly string[];
	hasFollowers(): boolean;
	/** More is known of the store. */
	onChanged(now: number): void;
};

type RelayNews = {readonly relay: string; readonly confirmedAt: number; readonly revisions: Readonly<Record<string, number>>};

/** A kind as this daemon knows it. */
type Known = {readonly replica: KindReplica; confirmedAt: number};

export class RelayedStore implements KindStore {
	static create(options: RelayedStoreOptions): RelayedStore {
		return new RelayedStore(options);
	}

	readonly #kinds: ReadonlyMap<string, Known>;
	readonly #waiting = new Set<() => void>();
	#news: RelayNews | undefined;
	#source: string | undefined;

	private constructor(private readonly options: RelayedStoreOptions) {
		this.#kinds = new Map(options.kinds.map(kind => [kind, {replica: KindReplica.create(), confirmedAt: -Infinity}]));
	}

	/** What this daemon knows of `kind`, for its followers. */
	replica(kind: string): KindReplica | undefined {
		return this.#kinds.get(kind)?.replica;
	}

	/** What this daemon knows of the store, for the beats to its followers. */
	state(now: number): StoreState {
		const confirmedAt = Math.min(...[...this.#kinds.values()].map(known => known.confirmedAt));
		const revisions: Record<string, number> = {};
		for (const [kind, {replica}] of this.#kinds) {
			if (replica.changedAt !== undefined) {
				revisions[kind] = replica.changedAt;
			}
		}

		return {storeAgeMs: confirmedAt === -Infinity ? undefined : Math.round(now - confirmedAt), revisions};
	}

	/** The relay that this daemon follows told what it knows. */
	noteRelay(relay: string, {storeAgeMs, revisions}: StoreState, now: number): void {
		if (storeAgeMs === undefined) {
			return;
		}

		const confirmedAt = now - storeAgeMs;
		this.#news = {relay, confirmedAt, revisions};
		for (const [kind, known] of this.#kinds) {
			// What the relay has confirmed holds for this daemon as well, once it has caught up.
			if (known.replica.revision !== undefined && known.replica.revision >= (revisions[kind] ?? Infinity)) {
				known.confirmedAt = Math.max(known.confirmedAt, confirmedAt);
			}
		}

		this.#wake();
	}

	/** The relay whose knowledge is fresh enough to rely on. */
	freshRelay(now: number): string | undefined {
		return this.#news && now - this.#news.confirmedAt <= MAX_STORE_AGE_MS ? this.#news.relay : undefined;
	}

	async list(kind: string, options: CallOptions & {readonly isStaleAllowed?: boolean}): Promise<KindList> {
		const known = this.#kinds.get(kind);
		if (!known) {
			return this.options.store.list(kind, options);
		}

		const relay = this.freshRelay(this.options.clock());
		const relayed = relay === undefined ? undefined : await this.options.reader.list(relay, kind, options);
		// A relay may know less than this daemon did before; what is in force never becomes older.
		const isUsable = relayed?.kind === 'listed' && relayed.revision >= (known.replica.revision ?? 0);
		const listed = isUsable ? relayed : await this.options.store.list(kind, options);
		if (listed.kind === 'listed') {
			known.replica.replace(listed.objects, listed.revision);
			this.#confirm(known, isUsable);
		}

		return listed;
	}

	async watch(kind: string, revision: number, waitMs: number, options: CallOptions): Promise<KindEvents> {
		const known = this.#kinds.get(kind);
		const relay = this.freshRelay(this.options.clock());
		this.#noteSource(relay);
		if (!known || relay === undefined) {
			return this.#watchDirectly(kind, revision, waitMs, options);
		}

		if (!await this.#waitForNews(kind, revision, waitMs, options)) {
			return {kind: 'events', events: [], revision};
		}

		const outcome = await this.options.reader.since(relay, kind, revision, options);
		if (outcome.kind !== 'events') {
			// A relay that has too little history, or does not answer, is passed over this once.
			return this.#watchDirectly(kind, revision, 0, options);
		}

		known.replica.apply(revision, outcome.events, outcome.revision);
		this.#confirm(known, true);
		return outcome;
	}

	async create(kind: string, name: string, value: unknown, options: CallOptions): Promise<CreateOutcome> {
		return this.options.store.create(kind, name, value, options);
	}

	async close(): Promise<void> {
		this.#wake();
		await this.options.store.close();
	}

	async #watchDirectly(kind: string, revision: number, waitMs: number, options: CallOptions): Promise<KindEvents> {
		const wait = this.options.hasFollowers() ? Math.min(waitMs, RELAY_WAIT_MS) : waitMs;
		const outcome = await this.options.store.watch(kind, revision, wait, {...options, timeoutMs: options.timeoutMs - waitMs + wait});
		const known = this.#kinds.get(kind);
		if (known && outcome.kind === 'events') {
			known.replica.apply(revision, outcome.events, outcome.revision);
			this.#confirm(known, false, outcome.events.length > 0);
		}

		return outcome;
	}

	/** Whether the relay has told of something after `revision`, within `waitMs` and as long as it is fresh. */
	async #waitForNews(kind: string, revision: number, waitMs: number, {signal}: CallOptions): Promise<boolean> {
		const {clock} = this.options;
		const until = clock() + waitMs;
		for (let now = clock(); now < until && !signal?.aborted; now = clock()) {
			if ((this.#news?.revisions[kind] ?? 0) > revision) {
				return true;
			}

			if (this.freshRelay(now) === undefined) {
				return false;
			}

			await this.#nextNews(Math.min(CHECK_MS, until - now), signal);
		}

		return false;
	}

	async #nextNews(ms: number, signal: AbortSignal | undefined): Promise<void> {
		const woken = new AbortController();
		const wake = () => {
			woken.abort();
		};

		this.#waiting.add(wake);
		await pause(ms, signal ? AbortSignal.any([signal, woken.signal]) : woken.signal);
		this.#waiting.delete(wake);
	}

	#confirm(known: Known, isRelayed: boolean, hasChanged = true): void {
		const now = this.options.clock();
		known.confirmedAt = isRelayed ? Math.max(known.confirmedAt, this.#news?.confirmedAt ?? -Infinity) : now;
		if (hasChanged) {
			this.options.onChanged(now);
		}
	}

	/** Logs whether the store is read through a relay or directly when that changes. */
	#noteSource(relay: string | undefined): void {
		if (relay !== this.#source) {
			this.#source = relay;
			this.options.logger.info('store_source', {relay, news_age_ms: this.#news && Math.round(this.options.clock() - this.#news.confirmedAt)});
		}
	}

	#wake(): void {
		for (const wake of this.#waiting) {
			wake();
		}
	}
}
