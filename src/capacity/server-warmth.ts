/** Tracks whether a backend server is warm, and derives its current load limit. */

/** Maximum concurrent load of a backend server. */
export type LoadLimit = {
	readonly requests: number;
	/** Prompt tokens not yet prefilled. */
	readonly prefillTokens: number;
};

/** Limits of the backend servers of a pool. */
export type ServerLimits = {
	readonly warm: LoadLimit;
	readonly cold: LoadLimit;
	readonly kvTokens: number;
	readonly prefillTokensPerSecond: number;
};

const RAMP_DOUBLING_MS = 1000;

/** For this long, responses with a boot id that was just replaced count as delayed responses of the process that ended. */
const REPLACED_BOOT_RETENTION_MS = 10_000;

type Warmth =
	| {readonly kind: 'cold'}
	| {readonly kind: 'ramping'; readonly sinceMs: number}
	| {readonly kind: 'warm'};

/** Tracks boot ids and reported warm states. After a cold start the limit doubles every second from the cold to the warm limit (slow start). */
export class ServerWarmth {
	#state: Warmth = {kind: 'cold'};
	#boot: string | undefined;
	#changedAtMs = -Infinity;
	#replacedBoot: {readonly boot: string; readonly atMs: number} | undefined;

	/** Time at which the server last became cold or got a new boot id. */
	get changedAtMs(): number {
		return this.#changedAtMs;
	}

	get isCold(): boolean {
		return this.#state.kind === 'cold';
	}

	get boot(): string | undefined {
		return this.#boot;
	}

	/** Applies the boot id and warm state of a response. A new boot id means that the server was restarted and is cold. */
	observe(boot: string, warm: boolean, now: number): void {
		if (this.#replacedBoot?.boot === boot && now - this.#replacedBoot.atMs < REPLACED_BOOT_RETENTION_MS) {
			this.#state = {kind: 'cold'};
			return;
		}

		const restarted = this.#boot !== undefined && this.#boot !== boot;
		if (restarted || !warm) {
			this.#changedAtMs = this.#state.kind === 'cold' && !restarted ? this.#changedAtMs : now;
			this.#state = {kind: 'cold'};
		}

		if (restarted) {
			this.#replacedBoot = {boot: this.#boot!, atMs: now};
		}

		this.#boot = boot;
		if (warm && !restarted && this.#state.kind === 'cold') {
			this.#state = {kind: 'ramping', sinceMs: now};
		}
	}

	/** Restarts the slow start of a server that is not cold, for example after its failure domain has returned. */
	restartRamp(now: number): void {
		if (this.#state.kind !== 'cold') {
			this.#state = {kind: 'ramping', sinceMs: now};
		}
	}

	/** Load limit at `now`. */
	limit(limits: ServerLimits, now: number): LoadLimit {
		if (this.#state.kind === 'ramping') {
			const factor = 2 ** Math.floor(Math.max(0, now - this.#state.sinceMs) / RAMP_DOUBLING_MS);
			const requests = Math.min(limits.warm.requests, limits.cold.requests * factor);
			const prefillTokens = Math.min(limits.warm.prefillTokens, limits.cold.prefillTokens * factor);
			if (requests === limits.warm.requests && prefillTokens === limits.warm.prefillTokens) {
				this.#state = {kind: 'warm'};
			}

			return {requests, prefillTokens};
		}

		return this.#state.kind === 'warm' ? limits.warm : limits.cold;
	}
}
