/** Rates backend servers by the outcomes of this daemon's own requests. */

/** Weight of a new outcome in the moving average of failures. */
const OUTCOME_WEIGHT = 0.35;
/** Half-life of the average in ms, so that an avoided server is used again. */
const HALF_LIFE_MS = 3000;
/** Above this failure share a server is suspect and others are preferred. A single failure exceeds it for 1.5 s. */
const SUSPECT_FAILURE_SHARE = 0.25;

type HealthRecord = {failureShare: number; updatedAt: number};

export class ServerHealth {
	static create(): ServerHealth {
		return new ServerHealth();
	}

	readonly #records = new Map<string, HealthRecord>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	recordOutcome(server: string, isSuccess: boolean, now: number): void {
		const failureShare = this.#failureShare(server, now);
		this.#records.set(server, {failureShare: failureShare + (OUTCOME_WEIGHT * ((isSuccess ? 0 : 1) - failureShare)), updatedAt: now});
	}

	isSuspect(server: string, now: number): boolean {
		return this.#failureShare(server, now) > SUSPECT_FAILURE_SHARE;
	}

	/** Removes servers that are not in `known`. */
	retain(known: ReadonlySet<string>): void {
		for (const server of this.#records.keys()) {
			if (!known.has(server)) {
				this.#records.delete(server);
			}
		}
	}

	#failureShare(server: string, now: number): number {
		const record = this.#records.get(server);
		return record ? record.failureShare * (0.5 ** ((now - record.updatedAt) / HALF_LIFE_MS)) : 0;
	}
}
