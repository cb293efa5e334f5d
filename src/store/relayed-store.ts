/**
 * A store that is read through the relay of the failure domain where there is one, and directly otherwise.
 *
 * The store limits the rate of calls and operators pay for each one, so not every daemon watches it. The relay of a
 * failure domain watches on behalf of its followers, announces its revisions in each heartbeat and serves the changes
 * that a follower lacks. A follower reads the store directly when its relay sends no heartbeats or has itself had no
 * answer from the store for too long. A failing relay thus delays a change by at most {@link MAX_STORE_AGE_MS} and never
 * loses one.
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
 * Age in ms up to which a relay's copy of the store is used: one watch of the relay, its timeout margin and one heartbeat
 * interval. The strictest deployment requires changes to take effect within two seconds; a direct read takes a few ms.
 */
export const MAX_STORE_AGE_MS = 1600;
/**
 * Wait in ms of a direct watch by a daemon with followers. Shorter watches cost more calls; longer ones let its copy
 * become stale.
 */
const WATCH_WAIT_WITH_FOLLOWERS_MS = 800;
/**
 * Interval in ms at which a waiting follower checks whether its relay is still fresh; equals the heartbeat interval of a
 * relay.
 */
const RELAY_CHECK_INTERVAL_MS = 300;

/** Reads another daemon's copy of the store. Methods do not throw; they return failures. */
export type ReplicaReader = {
	list(relay: string, kind: string, options: CallOptions): Promise<KindList>;
	changesSince(relay: string, kind: string, revision: number, options: CallOptions): Promise<KindEvents>;
};

export type RelayedStoreOptions = {
	readonly store: KindStore;
	readonly reader: ReplicaReader;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Object kinds that are read through the relay. */
	readonly kinds: readonly string[];
	hasFollowers(): boolean;
	/** Called when this daemon's copy of the store has changed. */
	onChanged(now: number): void;
};

type RelayState = {readonly relay: string; readonly confirmedAt: number; readonly revisions: Readonly<Record<string, number>>};

/** This daemon's copy of one kind, and the monotonic time in ms at which the store last confirmed it. */
type KindState = {readonly replica: KindReplica; confirmedAt: number};

export class RelayedStore implements KindStore {
	static create(options: RelayedStoreOptions): RelayedStore {
		return new RelayedStore(options);
	}

	readonly #kinds: ReadonlyMap<string, KindState>;
	readonly #waiters = new Set<() => void>();
	#relayState: RelayState | undefined;
	#loggedRelay: string | undefined;

	private constructor(private readonly options: RelayedStoreOptions) {
		this.#kinds = new Map(options.kinds.map(kind => [kind, {replica: KindReplica.create(), confirmedAt: -Infinity}]));
	}

	/** This daemon's copy of `kind`, to be served to its followers. */
	replica(kind: string): KindReplica | undefined {
		return this.#kinds.get(kind)?.replica;
	}

	/** Age and revisions of this daemon's copy of the store, for the heartbeats to its followers. */
	state(now: number): StoreState {
		const confirmedAt = Math.min(...[...this.#kinds.values()].map(known => known.confirmedAt));
		const revisions: Record<string, number> = {};
		for (const [kind, {replica}] of this.#kinds) {
			if (replica.lastChangeRevision !== undefined) {
				revisions[kind] = replica.lastChangeRevision;
			}
		}

		return {storeAgeMs: confirmedAt === -Infinity ? undefined : Math.round(now - confirmedAt), revisions};
	}

	/** Records the state that the relay of this daemon announced in a heartbeat. */
	recordRelayState(relay: string, {storeAgeMs, revisions}: StoreState, now: number): void {
		if (storeAgeMs === undefined) {
			return;
		}

		const confirmedAt = now - storeAgeMs;
		this.#relayState = {relay, confirmedAt, revisions};
		for (const [kind, kindState] of this.#kinds) {
			// The relay's confirmation also covers this daemon's copy when that is at least as new as the relay's.
			if (kindState.replica.revision !== undefined && kindState.replica.revision >= (revisions[kind] ?? Infinity)) {
				kindState.confirmedAt = Math.max(kindState.confirmedAt, confirmedAt);
			}
		}

		this.#wakeWaiters();
	}

	/** The relay, if its copy of the store is fresh enough to be used. */
	freshRelay(now: number): string | undefined {
		return this.#relayState && now - this.#relayState.confirmedAt <= MAX_STORE_AGE_MS ? this.#relayState.relay : undefined;
	}

	async list(kind: string, options: CallOptions & {readonly isStaleAllowed?: boolean}): Promise<KindList> {
		const kindState = this.#kinds.get(kind);
		if (!kindState) {
			return this.options.store.list(kind, options);
		}

		const relay = this.freshRelay(this.options.clock());
		const relayed = relay === undefined ? undefined : await this.options.reader.list(relay, kind, options);
		// A relay may be behind this daemon. An older list is not used, so that applied data never goes back to an older revision.
		const isUsable = relayed?.kind === 'listed' && relayed.revision >= (kindState.replica.revision ?? 0);
		const listed = isUsable ? relayed : await this.options.store.list(kind, options);
		if (listed.kind === 'listed') {
			kindState.replica.replace(listed.objects, listed.revision);
			this.#confirm(kindState, isUsable);
		}

		return listed;
	}

	async watch(kind: string, revision: number, waitMs: number, options: CallOptions): Promise<KindEvents> {
		const kindState = this.#kinds.get(kind);
		const relay = this.freshRelay(this.options.clock());
		this.#logSourceChange(relay);
		if (!kindState || relay === undefined) {
			return this.#watchDirectly(kind, revision, waitMs, options);
		}

		if (!await this.#waitForRelayChange(kind, revision, waitMs, options)) {
			return {kind: 'events', events: [], revision};
		}

		const outcome = await this.options.reader.changesSince(relay, kind, revision, options);
		if (outcome.kind !== 'events') {
			// The relay has too little history or did not answer: this one read bypasses it.
			return this.#watchDirectly(kind, revision, 0, options);
		}

		kindState.replica.apply(revision, outcome.events, outcome.revision);
		this.#confirm(kindState, true);
		return outcome;
	}

	async create(kind: string, name: string, value: unknown, options: CallOptions): Promise<CreateOutcome> {
		return this.options.store.create(kind, name, value, options);
	}

	async close(): Promise<void> {
		this.#wakeWaiters();
		await this.options.store.close();
	}

	async #watchDirectly(kind: string, revision: number, waitMs: number, options: CallOptions): Promise<KindEvents> {
		const wait = this.options.hasFollowers() ? Math.min(waitMs, WATCH_WAIT_WITH_FOLLOWERS_MS) : waitMs;
		const outcome = await this.options.store.watch(kind, revision, wait, {...options, timeoutMs: options.timeoutMs - waitMs + wait});
		const kindState = this.#kinds.get(kind);
		if (kindState && outcome.kind === 'events') {
			kindState.replica.apply(revision, outcome.events, outcome.revision);
			this.#confirm(kindState, false, outcome.events.length > 0);
		}

		return outcome;
	}

	/**
	 * Waits up to `waitMs`, as long as the relay is fresh, until it announces a revision after `revision`. Returns whether
	 * it did.
	 */
	async #waitForRelayChange(kind: string, revision: number, waitMs: number, {signal}: CallOptions): Promise<boolean> {
		const {clock} = this.options;
		const until = clock() + waitMs;
		for (let now = clock(); now < until && !signal?.aborted; now = clock()) {
			if ((this.#relayState?.revisions[kind] ?? 0) > revision) {
				return true;
			}

			if (this.freshRelay(now) === undefined) {
				return false;
			}

			await this.#waitForHeartbeat(Math.min(RELAY_CHECK_INTERVAL_MS, until - now), signal);
		}

		return false;
	}

	async #waitForHeartbeat(ms: number, signal: AbortSignal | undefined): Promise<void> {
		const wakeController = new AbortController();
		const wake = () => {
			wakeController.abort();
		};

		this.#waiters.add(wake);
		await pause(ms, signal ? AbortSignal.any([signal, wakeController.signal]) : wakeController.signal);
		this.#waiters.delete(wake);
	}

	#confirm(kindState: KindState, isRelayed: boolean, hasChanged = true): void {
		const now = this.options.clock();
		kindState.confirmedAt = isRelayed ? Math.max(kindState.confirmedAt, this.#relayState?.confirmedAt ?? -Infinity) : now;
		if (hasChanged) {
			this.options.onChanged(now);
		}
	}

	/** Logs a change between reading through a relay and reading the store directly. */
	#logSourceChange(relay: string | undefined): void {
		if (relay !== this.#loggedRelay) {
			this.#loggedRelay = relay;
			this.options.logger.info('store_source', {relay, news_age_ms: this.#relayState && Math.round(this.options.clock() - this.#relayState.confirmedAt)});
		}
	}

	#wakeWaiters(): void {
		for (const wake of this.#waiters) {
			wake();
		}
	}
}
