/** Judges backend servers by the outcomes of this daemon's own requests. */

/** Weight of a new outcome in the moving average of failures. */
const OUTCOME_WEIGHT = 0.35;
/** The average is halved in this time, so that a server that is avoided comes back. */
const HALF_LIFE_MS = 3000;
/** Above this share of failures a server is suspect: other servers are preferred. One failure alone exceeds it for 1.5 s. */
const SUSPECT_SHARE = 0.25;

type Record = {share: number; updatedAt: number};

export class ServerHealth {
	static create(): ServerHealth {
		return new ServerHealth();
	}

	readonly #records = new Map<string, Record>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	note(server: string, isSuccess: boolean, now: number): void {
		const share = this.#share(server, now);
		this.#records.set(server, {share: share + (OUTCOME_WEIGHT * ((isSuccess ? 0 : 1) - share)), updatedAt: now});
	}

	isSuspect(server: string, now: number): boolean {
		return this.#share(server, now) > SUSPECT_SHARE;
	}

	/** Forgets servers that are not in `known`. */
	retain(known: ReadonlySet<string>): void {
		for (const server of this.#records.keys()) {
			if (!known.has(server)) {
				this.#records.delete(server);
			}
		}
	}

	#share(server: string, now: number): number {
		const record = this.#records.get(server);
		return record ? record.share * (0.5 ** ((now - record.updatedAt) / HALF_LIFE_MS)) : 0;
	}
}
