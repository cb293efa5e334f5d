/**
 * Table of the requests that all daemons have placed on backend servers, as far as this daemon knows.
 *
 * Load reports of backend servers lag by hundreds of ms; daemons therefore notify each other of each placement at once.
 * The table is soft state: a lost message is corrected by the next report of its daemon, and the entries of a daemon that
 * has stopped sending are dropped.
 */

/** Time in ms without a message after which the entries of a daemon are dropped: three of its reports. */
export const DAEMON_TIMEOUT_MS = 3500;

/** One request on a backend server. */
export type Placement = {
	/** Unique for each attempt of a request. */
	readonly id: string;
	/** Id of the backend server that responds. */
	readonly server: string;
	/** Ids of the engines that prefill parts of the prompt. */
	readonly helpers: readonly string[];
	/** Prefill time in ms on each participating engine; 0 for plain requests. */
	readonly prefillMs: number;
	/** Tokens of memory on `server`: prompt and expected output, without the tokens in `reserved`. */
	readonly contextTokens: number;
	/** Tokens of the prompt's memory that are reserved on helpers. */
	readonly reserved: ReadonlyArray<{readonly server: string; readonly tokens: number}>;
	/** Longest pause between events in ms that counts as on time; 0 for plain requests. */
	readonly gapTargetMs: number;
	/** Weight of the request relative to others, used when one of them has to be late. */
	readonly weight: number;
	/** Time in ms from the placement until the first event is late. */
	readonly targetMs: number;
	/** An earlier attempt of the request may have reached a server. Daemons of earlier versions, which make few retries, do not tell. */
	readonly isRepeat?: boolean;
	/** 32-bit hash of the name of its workspace; absent where room is not shared between workspaces. Daemons of earlier versions do not tell. */
	readonly workspace?: number;
};

/** A placement as known to this daemon. Times are on its monotonic clock. */
export type PlacementEntry = Placement & {
	readonly daemon: string;
	readonly placedAt: number;
	/** Time of the first event; undefined while the prompt is being prefilled. */
	readonly startedAt: number | undefined;
};

/** An open placement, as listed in a report of its daemon. */
export type OpenPlacement = Pick<PlacementEntry, 'id' | 'startedAt'>;

/** Called with a server on which something may have become free. `entry` is the placement as it was before. */
export type ReleaseListener = (server: string, kind: 'started' | 'closed', entry: PlacementEntry) => void;

/** Learns how the placements of all daemons go. A placement whose daemon has fallen silent ends without a call. */
export type PlacementListener = {
	opened(entry: PlacementEntry, now: number): void;
	/** Called at the first event. */
	started(entry: PlacementEntry, now: number): void;
	/** `isAnswered`: a server has run the request and sent a whole answer that is no stream. */
	closed(entry: PlacementEntry, isAnswered: boolean, now: number): void;
};

/** A placement without an event counts as served if it was open for this time in ms; servers refuse a request within some ms. */
const MIN_SERVED_MS = 100;

/** Whether a placement that ends now has held a place; a server that refuses a request gives it none. */
export const wasServed = ({startedAt, placedAt}: Pick<PlacementEntry, 'startedAt' | 'placedAt'>, now: number): boolean =>
	startedAt !== undefined || now - placedAt >= MIN_SERVED_MS;

type DaemonRecord = {
	lastContactAt: number;
	readonly entries: Map<string, PlacementEntry>;
};

const noEntries: readonly PlacementEntry[] = [];

export class PlacementTable {
	/** `onReleased` is called for each server of a placement that has started, or has ended, after that. */
	static create(onReleased: ReleaseListener = () => undefined): PlacementTable {
		return new PlacementTable(onReleased);
	}

	readonly #daemons = new Map<string, DaemonRecord>();
	readonly #byServer = new Map<string, Map<string, PlacementEntry>>();
	readonly #listeners: PlacementListener[] = [];

	private constructor(private readonly onReleased: ReleaseListener) {}

	listen(listener: PlacementListener): void {
		this.#listeners.push(listener);
	}

	/** Adds a placement. For a known id, only the time of the first event is added. Returns whether the id was not known. */
	open(daemon: string, placement: Placement, now: number, startedAt?: number): boolean {
		const known = this.#recordsOf(daemon, now).entries.get(placement.id);
		if (known) {
			if (startedAt !== undefined && known.startedAt === undefined) {
				this.start(daemon, placement.id, startedAt);
			}

			return false;
		}

		const entry = {
			...placement, daemon, placedAt: now, startedAt,
		};
		this.#put(entry);
		for (const listener of this.#listeners) {
			listener.opened(entry, now);
		}

		return true;
	}

	/** Records the first event of a placement. */
	start(daemon: string, id: string, now: number): void {
		const entry = this.#daemons.get(daemon)?.entries.get(id);
		if (entry && entry.startedAt === undefined) {
			const started = {...entry, startedAt: now};
			this.#put(started);
			for (const listener of this.#listeners) {
				listener.started(started, now);
			}

			this.#announce(entry, 'started');
		}
	}

	/** `end`: what its daemon tells about it; undefined if only the entry is dropped. */
	close(daemon: string, id: string, end?: {readonly isAnswered: boolean; readonly now: number}): void {
		const entries = this.#daemons.get(daemon)?.entries;
		const entry = entries?.get(id);
		if (entry) {
			entries!.delete(id);
			for (const server of participants(entry)) {
				this.#byServer.get(server)?.delete(id);
			}

			if (end) {
				for (const listener of this.#listeners) {
					listener.closed(entry, end.isAnswered, end.now);
				}
			}

			this.#announce(entry, 'closed');
		}
	}

	/** Drops placements that `daemon` no longer lists as open. Returns the listed ids that are not in the table. */
	retain(daemon: string, open: readonly OpenPlacement[], now: number): readonly string[] {
		const {entries} = this.#recordsOf(daemon, now);
		const ids = new Set(open.map(({id}) => id));
		for (const id of entries.keys()) {
			if (!ids.has(id)) {
				this.close(daemon, id);
			}
		}

		for (const {id, startedAt} of open) {
			if (startedAt !== undefined) {
				this.start(daemon, id, startedAt);
			}
		}

		return [...ids].filter(id => !entries.has(id));
	}

	/** Drops all daemons except `own` that have stopped sending. Returns those that had open placements. */
	dropTimedOut(own: string, now: number): readonly string[] {
		const timedOut = [...this.#daemons].filter(([daemon, {lastContactAt}]) => daemon !== own && now - lastContactAt > DAEMON_TIMEOUT_MS);
		const withOpen = timedOut.filter(([, {entries}]) => entries.size > 0).map(([daemon]) => daemon);
		for (const [daemon, {entries}] of timedOut) {
			for (const id of entries.keys()) {
				this.close(daemon, id);
			}

			this.#daemons.delete(daemon);
		}

		return withOpen;
	}

	/** Placements that a backend server participates in, oldest first. */
	entriesOn(server: string): readonly PlacementEntry[] {
		const entries = this.#byServer.get(server);
		return entries === undefined || entries.size === 0 ? noEntries : [...entries.values()];
	}

	/** Number of placements that a backend server participates in. */
	countOn(server: string): number {
		return this.#byServer.get(server)?.size ?? 0;
	}

	entriesOf(daemon: string): readonly PlacementEntry[] {
		return [...this.#daemons.get(daemon)?.entries.values() ?? noEntries];
	}

	recordContact(daemon: string, now: number): void {
		this.#recordsOf(daemon, now);
	}

	#recordsOf(daemon: string, now: number): DaemonRecord {
		let known = this.#daemons.get(daemon);
		if (!known) {
			known = {lastContactAt: now, entries: new Map()};
			this.#daemons.set(daemon, known);
		}

		known.lastContactAt = now;
		return known;
	}

	#announce(entry: PlacementEntry, kind: 'started' | 'closed'): void {
		for (const server of participants(entry)) {
			this.onReleased(server, kind, entry);
		}
	}

	#put(entry: PlacementEntry): void {
		this.#daemons.get(entry.daemon)!.entries.set(entry.id, entry);
		for (const server of participants(entry)) {
			let entries = this.#byServer.get(server);
			if (!entries) {
				entries = new Map();
				this.#byServer.set(server, entries);
			}

			entries.set(entry.id, entry);
		}
	}
}

const participants = ({server, helpers}: Placement): ReadonlySet<string> => new Set([server, ...helpers]);
