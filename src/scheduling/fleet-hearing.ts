/** Tells which part of the fleet a daemon hears, by failure domain: relays pass on the messages of all daemons of theirs. */

/** A failure domain of busy daemons that is silent for this time in ms may be partitioned from this one. */
const SILENCE_MS = 100;

/** Daemons other than this one, by failure domain. */
export type OtherDaemons = ReadonlyMap<string, number>;

export class FleetHearing {
	static create(others: () => OtherDaemons): FleetHearing {
		return new FleetHearing(others);
	}

	readonly #heardAt = new Map<string, number>();

	private constructor(private readonly others: () => OtherDaemons) {}

	/** Records a message of a daemon of the failure domain. */
	record(failureDomain: string, now: number): void {
		this.#heardAt.set(failureDomain, now);
	}

	/** Time of the last message of another daemon. */
	get lastHeardAt(): number {
		return Math.max(-Infinity, ...this.#heardAt.values());
	}

	/** Number of daemons, including this one, that were heard after `at` or have not been silent for long. */
	daemonsHeardSince(at: number, now: number): number {
		const since = Math.min(at, now - SILENCE_MS);
		let daemons = 1;
		for (const [domain, count] of this.others()) {
			daemons += (this.#heardAt.get(domain) ?? -Infinity) >= since ? count : 0;
		}

		return daemons;
	}
}
