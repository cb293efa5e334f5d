/**
 * The work that all daemons have placed on backend servers, as far as this daemon knows.
 *
 * Load reports of backend servers lag by hundreds of ms; daemons therefore tell each other of each placement as they
 * make it. The board is soft state: a lost message is corrected by the next report of its daemon, and the entries of a
 * daemon that has fallen silent are dropped.
 */

/** Entries of a daemon are dropped after this silence in ms: three of its reports. */
export const DAEMON_SILENCE_MS = 3500;

/** One request on a backend server. */
export type Placement = {
	/** Unique for each send of a request. */
	readonly id: string;
	/** Id of the backend server that answers. */
	readonly server: string;
	/** Ids of the engines that prefill parts of its prompt. */
	readonly helpers: readonly string[];
	/** Prefill time in ms at each participant; 0 for calls. */
	readonly prefillMs: number;
	/** Tokens of memory at `server`: prompt and expected output, without what `reserved` holds. */
	readonly contextTokens: number;
	/** Tokens of the prompt's memory that helpers hold. */
	readonly reserved: ReadonlyArray<{readonly server: string; readonly tokens: number}>;
	/** Longest pause between events in ms that is still on time; 0 for calls. */
	readonly gapTargetMs: number;
	/** Weight of the request against others when one of them has to be late. */
	readonly weight: number;
	/** Time in ms, from its placement, to the first event that is on time. */
	readonly targetMs: number;
};

/** A placement as seen by this daemon. Times are on its monotonic clock. */
export type BoardEntry = Placement & {
	readonly daemon: string;
	readonly placedAt: number;
	/** Time of the first event; undefined while the prompt is being prefilled. */
	readonly startedAt: number | undefined;
};

/** A placement in a report of its daemon. */
export type OpenPlacement = Pick<BoardEntry, 'id' | 'startedAt'>;

type DaemonEntries = {
	lastHeardAt: number;
	readonly entries: Map<string, BoardEntry>;
};

const noEntries: readonly BoardEntry[] = [];

export class LoadBoard {
	static create(): LoadBoard {
		return new LoadBoard();
	}

	readonly #daemons = new Map<string, DaemonEntries>();
	readonly #byServer = new Map<string, Map<string, BoardEntry>>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Records a placement, or replaces it under the same id. */
	open(daemon: string, placement: Placement, now: number, startedAt?: number): void {
		const known = this.#of(daemon, now).entries.get(placement.id);
		if (known) {
			if (startedAt !== undefined && known.startedAt === undefined) {
				this.start(daemon, placement.id, startedAt);
			}

			return;
		}

		this.#put({
			...placement, daemon, placedAt: now, startedAt,
		});
	}

	/** Records the first event. */
	start(daemon: string, id: string, now: number): void {
		const entry = this.#daemons.get(daemon)?.entries.get(id);
		if (entry && entry.startedAt === undefined) {
			this.#put({...entry, startedAt: now});
		}
	}

	close(daemon: string, id: string): void {
		const entries = this.#daemons.get(daemon)?.entries;
		const entry = entries?.get(id);
		if (entry) {
			entries!.delete(id);
			for (const server of participants(entry)) {
				this.#byServer.get(server)?.delete(id);
			}
		}
	}

	/** Drops what `daemon` no longer lists as open. Returns the ids of listed placements that are not known. */
	retain(daemon: string, open: readonly OpenPlacement[], now: number): readonly string[] {
		const {entries} = this.#of(daemon, now);
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

	/** Drops the entries of daemons other than `own` that have been silent. Returns those that had placements open. */
	dropSilent(own: string, now: number): readonly string[] {
		const silent = [...this.#daemons].filter(([daemon, {lastHeardAt}]) => daemon !== own && now - lastHeardAt > DAEMON_SILENCE_MS);
		const withOpen = silent.filter(([, {entries}]) => entries.size > 0).map(([daemon]) => daemon);
		for (const [daemon, {entries}] of silent) {
			for (const id of entries.keys()) {
				this.close(daemon, id);
			}

			this.#daemons.delete(daemon);
		}

		return withOpen;
	}

	/** Requests in which a backend server takes part, oldest first. */
	on(server: string): readonly BoardEntry[] {
		const entries = this.#byServer.get(server);
		return entries === undefined || entries.size === 0 ? noEntries : [...entries.values()];
	}

	entriesOf(daemon: string): readonly BoardEntry[] {
		return [...this.#daemons.get(daemon)?.entries.values() ?? noEntries];
	}

	heard(daemon: string, now: number): void {
		this.#of(daemon, now);
	}

	#of(daemon: string, now: number): DaemonEntries {
		let known = this.#daemons.get(daemon);
		if (!known) {
			known = {lastHeardAt: now, entries: new Map()};
			this.#daemons.set(daemon, known);
		}

		known.lastHeardAt = now;
		return known;
	}

	#put(entry: BoardEntry): void {
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
