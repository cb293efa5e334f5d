/**
 * Forecasts when a waiting request gets a place, from the rate at which the placements of all daemons have ended lately.
 *
 * A daemon does not know how many requests wait at the others. Daemons get equal parts of the requests, so each is taken to hold as many as
 * this one, half a request less on average.
 */

/** Window in ms in which ends are counted: a busy service has dozens of them, and a shortage lasts some seconds. */
const RATE_WINDOW_MS = 1000;
/** Fewer ends in the window say nothing of a rate. */
const MIN_ENDS = 10;
/** Most ends that are remembered for one server; more do not change a decision. */
const MAX_ENDS = 64;

export class PlaceForecast {
	static create(): PlaceForecast {
		return new PlaceForecast();
	}

	/** Times of the latest ends by server, oldest first. */
	readonly #ends = new Map<string, number[]>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Records that a placement on `server` has ended, at any daemon. */
	recordEnd(server: string, now: number): void {
		const ends = this.#ends.get(server) ?? [];
		ends.push(now);
		if (ends.length > MAX_ENDS) {
			ends.shift();
		}

		this.#ends.set(server, ends);
	}

	/** Number of placements that have ended on `servers` within the window. */
	recentEnds(servers: Iterable<string>, now: number): number {
		let count = 0;
		for (const server of servers) {
			count += (this.#ends.get(server) ?? []).filter(at => now - at < RATE_WINDOW_MS).length;
		}

		return count;
	}

	/** Time in ms between two places of one of `daemons` daemons; undefined if too few placements ended lately. */
	intervalMs(servers: Iterable<string>, daemons: number, now: number): number | undefined {
		const ends = this.recentEnds(servers, now);
		return ends < MIN_ENDS ? undefined : daemons * RATE_WINDOW_MS / ends;
	}

	/** Time in ms until the request with `ahead` others before it here gets a place; undefined if too few placements ended lately. */
	placeInMs(servers: Iterable<string>, {ahead, daemons}: {readonly ahead: number; readonly daemons: number}, now: number): number | undefined {
		const intervalMs = this.intervalMs(servers, daemons, now);
		return intervalMs === undefined ? undefined : (ahead + 0.5) * intervalMs;
	}

	/** Forgets servers that are not in `known`. */
	retain(known: ReadonlySet<string>): void {
		for (const server of this.#ends.keys()) {
			if (!known.has(server)) {
				this.#ends.delete(server);
			}
		}
	}
}
