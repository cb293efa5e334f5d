/**
 * A store that is read through the relay of the failure domain where there is one, and directly otherwise.
 *
 * The store limits the rate of calls and operators pay for each one, so not every daemon watches it. The relay of a
 * failure domain watches on behalf of its followers, announces its revisions in each heartbeat and serves the changes
 * that a follower lacks. A follower reads the store directly when its relay sends no heartbeats or has itself had no
 * answer from the store for too long. A failing relay thus delays a change by a bounded time and never
 * loses one.
 */
import type {StoreState} from '../fleet/load-exchange.js';
import type {CallOptions} from '../object-api/object-api.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import {KindReplica, type RetainedChanges} from './kind-replica.js';
import type {
	CreateOutcome, KindEvents, KindList, KindStore, ReadOptions,
} from './kind-store.js';
import {isLater, type StorePosition} from './store-position.js';
import type {ReadSchedule} from './read-schedule.js';

/**
 * Time in ms for which the first list waits for a heartbeat of the relay. Relays are the strongest hosts, so after a restart
 * of the whole fleet they have read the store before most of their followers have started.
 */
const FIRST_HEARTBEAT_WAIT_MS = 400;

/** Reads another daemon's copy of the store. Methods do not throw; they return failures. */
export type ReplicaReader = {
	list(relay: string, kind: string, options: CallOptions): Promise<KindList>;
	changesSince(relay: string, kind: string, position: StorePosition, options: CallOptions): Promise<KindEvents>;
};

export type RelayedStoreOptions = {
	readonly store: KindStore;
	readonly reader: ReplicaReader;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Object kinds that are read through the relay, and the changes of each that are kept for followers. */
	readonly kinds: Readonly<Record<string, RetainedChanges>>;
	readonly schedule: ReadSchedule;
	hasFollowers(): boolean;
	/** Whether this daemon knows of a relay, also if no heartbeat of it has arrived yet. */
	hasRelay(): boolean;
	/** Called when this daemon's copy of the store has changed. */
	onChanged(now: number): void;
};

type RelayState = {readonly relay: string; readonly confirmedAt: number; readonly positions: ReadonlyMap<string, StorePosition>};

/** A watch that waits for the relay to announce a later position. */
type RelayWaiter = {
	readonly kind: string;
	readonly position: StorePosition;
	readonly finish: (isChanged: boolean) => void;
	readonly checkAge: () => void;
};

/** This daemon's copy of one kind, and the monotonic time in ms at which the store last confirmed it. */
type KindState = {
	readonly replica: KindReplica;
	confirmedAt: number;
	/** Changes were last waited for at the relay, so a connection to the store that is still open may have gone silent meanwhile. */
	isRelayed: boolean;
};

export class RelayedStore implements KindStore {
	static create(options: RelayedStoreOptions): RelayedStore {
		return new RelayedStore(options);
	}

	readonly #kinds: ReadonlyMap<string, KindState>;
	readonly #waiters = new Set<RelayWaiter>();
	/** Aborted by the first heartbeat of a relay that has read the store. */
	readonly #firstHeartbeat = new AbortController();
	#relayState: RelayState | undefined;
	#loggedRelay: string | undefined;
	/** Era of the store's latest answer to this daemon itself. */
	#storeEra = 0;

	private constructor(private readonly options: RelayedStoreOptions) {
		this.#kinds = new Map(Object.entries(options.kinds).map(([kind, retained]) => [kind, {replica: KindReplica.create(retained), confirmedAt: -Infinity, isRelayed: false}]));
	}

	/** This daemon's copy of `kind`, to be served to its followers. */
	replica(kind: string): KindReplica | undefined {
		return this.#kinds.get(kind)?.replica;
	}

	/** Age and revisions of this daemon's copy of the store, for the heartbeats to its followers. */
	state(now: number): StoreState {
		const confirmedAt = Math.min(...[...this.#kinds.values()].map(known => known.confirmedAt));
		const revisions: Record<string, number> = {};
		const eras: Record<string, number> = {};
		for (const [kind, {replica: {lastChange}}] of this.#kinds) {
			if (lastChange) {
				revisions[kind] = lastChange.revision;
				eras[kind] = lastChange.era;
			}
		}

		return {storeAgeMs: confirmedAt === -Infinity ? undefined : Math.round(now - confirmedAt), revisions, eras};
	}

	/** Records the state that the relay of this daemon announced in a heartbeat. */
	recordRelayState(relay: string, {storeAgeMs, revisions, eras}: StoreState, now: number): void {
		if (storeAgeMs === undefined) {
			return;
		}

		const confirmedAt = now - storeAgeMs;
		const isOlder = this.#relayState !== undefined && confirmedAt < this.#relayState.confirmedAt;
		const positions = new Map(Object.entries(revisions).map(([kind, revision]) => [kind, {era: eras[kind] ?? 0, revision}]));
		this.#relayState = {relay, confirmedAt, positions};
		this.#firstHeartbeat.abort();
		for (const [kind, kindState] of this.#kinds) {
			// The relay's confirmation also covers this daemon's copy when that is at least as new as the relay's.
			const own = kindState.replica.position;
			const announced = positions.get(kind);
			if (own && announced?.era === own.era && own.revision >= announced.revision) {
				kindState.confirmedAt = Math.max(kindState.confirmedAt, confirmedAt);
			}
		}

		for (const waiter of this.#waiters) {
			if (this.#isAnnounced(waiter.kind, waiter.position)) {
				waiter.finish(true);
			} else if (!this.#hasRelayReached(waiter.kind, waiter.position.era)) {
				waiter.finish(false);
			} else if (isOlder) {
				waiter.checkAge();
			}
		}
	}

	/** The relay, if its copy of the store is fresh enough to be used. */
	freshRelay(now: number): string | undefined {
		return now <= this.#staleAt ? this.#relayState?.relay : undefined;
	}

	async list(kind: string, options: ReadOptions & {readonly isStaleAllowed?: boolean}): Promise<KindList> {
		const kindState = this.#kinds.get(kind);
		if (!kindState) {
			return this.#listDirectly(kind, options);
		}

		const relay = await this.#relayForList(kindState, options);
		const relayed = relay === undefined ? undefined : await this.options.reader.list(relay, kind, options);
		// A relay may be behind this daemon. An older list is not used, so that applied data never goes back to an older revision.
		const known = kindState.replica.position;
		const isUsable = relayed?.kind === 'listed' && relayed.era >= this.#storeEra && (!known || !isLater(known, relayed));
		const listed = isUsable ? relayed : await this.#listDirectly(kind, options);
		if (listed.kind === 'listed') {
			const {replica} = kindState;
			if (!replica.replace(listed.objects, listed)) {
				this.options.logger.info('list_outdated', {
					kind, revision: listed.revision, era: listed.era, kept_revision: replica.position?.revision, relay: isUsable ? relay : undefined,
				});
			}

			this.#confirm(kindState, isUsable ? 'relay' : listed);
		}

		return listed;
	}

	async watch(kind: string, position: StorePosition, waitMs: number, options: ReadOptions): Promise<KindEvents> {
		const kindState = this.#kinds.get(kind);
		const relay = this.freshRelay(this.options.clock());
		this.#logSourceChange(relay);
		if (!kindState) {
			return this.#watchDirectly(kind, position, waitMs, options);
		}

		const readAtOnce = async () => this.#watchDirectly(kind, position, 0, {...options, timeoutMs: options.timeoutMs - waitMs});
		const wasRelayed = kindState.isRelayed;
		kindState.isRelayed = relay !== undefined && this.#hasRelayReached(kind, position.era);
		if (relay === undefined || !kindState.isRelayed) {
			return wasRelayed ? readAtOnce() : this.#watchDirectly(kind, position, waitMs, options);
		}

		if (!await this.#waitForRelayChange(kind, position, waitMs, options)) {
			return {kind: 'events', events: [], ...position};
		}

		const outcome = await this.options.reader.changesSince(relay, kind, position, options);
		if (outcome.kind === 'restored' && outcome.era > position.era) {
			return outcome;
		}

		if (outcome.kind !== 'events') {
			// The relay has too little history or did not answer: this one read bypasses it.
			return readAtOnce();
		}

		kindState.replica.apply(position, outcome.events, outcome.revision);
		this.#confirm(kindState, 'relay');
		return outcome;
	}

	async create(kind: string, name: string, value: unknown, options: CallOptions): Promise<CreateOutcome> {
		return this.options.store.create(kind, name, value, options);
	}

	async close(): Promise<void> {
		for (const waiter of this.#waiters) {
			waiter.finish(false);
		}

		await this.options.store.close();
	}

	/** The relay to list from. Before its first list, a daemon that knows of a relay waits for a heartbeat of it. */
	async #relayForList({replica}: KindState, {signal}: CallOptions): Promise<string | undefined> {
		const {clock, hasRelay} = this.options;
		if (replica.position === undefined && this.freshRelay(clock()) === undefined && hasRelay()) {
			await pause(FIRST_HEARTBEAT_WAIT_MS, signal ? AbortSignal.any([signal, this.#firstHeartbeat.signal]) : this.#firstHeartbeat.signal);
		}

		return this.freshRelay(clock());
	}

	async #watchDirectly(kind: string, position: StorePosition, waitMs: number, options: ReadOptions): Promise<KindEvents> {
		const {hasFollowers, schedule} = this.options;
		const wait = hasFollowers() ? Math.min(waitMs, schedule.relayWatchWaitMs) : waitMs;
		const outcome = await this.options.store.watch(kind, position, wait, {...options, timeoutMs: options.timeoutMs - waitMs + wait});
		if (outcome.kind === 'events' || outcome.kind === 'restored') {
			this.#storeEra = outcome.era;
		}

		const kindState = this.#kinds.get(kind);
		if (kindState && outcome.kind === 'events') {
			kindState.replica.apply(position, outcome.events, outcome.revision);
			this.#confirm(kindState, outcome, outcome.events.length > 0);
		}

		return outcome;
	}

	/**
	 * Waits up to `waitMs`, as long as the relay is fresh, until it announces a later position. Returns whether it did.
	 */
	async #waitForRelayChange(kind: string, position: StorePosition, waitMs: number, {signal}: CallOptions): Promise<boolean> {
		const {clock} = this.options;
		if (this.#isAnnounced(kind, position)) {
			return true;
		}

		return new Promise(resolve => {
			const until = clock() + waitMs;
			let timer: NodeJS.Timeout | undefined;
			const finish = (isChanged: boolean): void => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', onAbort);
				this.#waiters.delete(waiter);
				resolve(isChanged);
			};

			const onAbort = (): void => {
				finish(false);
			};

			const waiter: RelayWaiter = {
				kind,
				position,
				finish,
				/** Waits until the relay's copy becomes too old, which each heartbeat postpones. */
				checkAge: () => {
					const now = clock();
					const leftMs = Math.min(until, this.#staleAt) - now;
					clearTimeout(timer);
					if (leftMs <= 0 || signal?.aborted) {
						finish(false);
					} else {
						timer = setTimeout(waiter.checkAge, Math.ceil(leftMs));
					}
				},
			};

			this.#waiters.add(waiter);
			signal?.addEventListener('abort', onAbort);
			waiter.checkAge();
		});
	}

	#isAnnounced(kind: string, position: StorePosition): boolean {
		const announced = this.#relayState?.positions.get(kind);
		return announced !== undefined && isLater(announced, position);
	}

	/** Whether the relay has read the history of `era`. If not, it cannot tell about changes in it. */
	#hasRelayReached(kind: string, era: number): boolean {
		const announced = this.#relayState?.positions.get(kind);
		return announced !== undefined && announced.era >= era;
	}

	async #listDirectly(kind: string, options: ReadOptions & {readonly isStaleAllowed?: boolean}): Promise<KindList> {
		const listed = await this.options.store.list(kind, options);
		this.#storeEra = listed.kind === 'listed' ? listed.era : this.#storeEra;
		return listed;
	}

	/** Monotonic time in ms after which the relay's copy is too old to be used. */
	get #staleAt(): number {
		return this.#relayState ? this.#relayState.confirmedAt + this.options.schedule.maxStoreAgeMs : -Infinity;
	}

	/** Records that the copy is as new as `source`: the relay's copy, or an answer of the store, which is as old as its transfer was long. */
	#confirm(kindState: KindState, source: 'relay' | {readonly transferMs?: number}, hasChanged = true): void {
		const now = this.options.clock();
		const confirmedAt = source === 'relay' ? this.#relayState?.confirmedAt ?? -Infinity : now - (source.transferMs ?? 0);
		kindState.confirmedAt = Math.max(kindState.confirmedAt, confirmedAt);
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
}
