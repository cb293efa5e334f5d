/** Whether a backend server is warm, and the limit that follows from it. */

/** What a backend server bears at once. */
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

const RAMP_STEP_MS = 1000;

/** For this long, answers with a boot id that was just replaced count as delayed answers of the process that ended. */
const REPLACED_BOOT_MS = 10_000;

type Warmth =
	| {readonly kind: 'cold'}
	| {readonly kind: 'ramping'; readonly sinceMs: number}
	| {readonly kind: 'warm'};

/** Follows boot ids and warm reports. After a cold start the limit doubles every second from cold to warm. */
export class ServerWarmth {
	#state: Warmth = {kind: 'cold'};
	#boot: string | undefined;
	#changedAtMs = -Infinity;
	#replacedBoot: {readonly boot: string; readonly atMs: number} | undefined;

	/** Time at which the server last became cold or changed its boot id. */
	get changedAtMs(): number {
		return this.#changedAtMs;
	}

	get isCold(): boolean {
		return this.#state.kind === 'cold';
	}

	get boot(): string | undefined {
		return this.#boot;
	}

	/** Takes over what an answer of the backend server stated. A new boot id means that it was restarted and is cold. */
	observe(boot: string, warm: boolean, now: number): void {
		if (this.#replacedBoot?.boot === boot && now - this.#replacedBoot.atMs < REPLACED_BOOT_MS) {
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

	/** Starts the ramp again for a server that is not cold, for example when its failure domain returns. */
	restartRamp(now: number): void {
		if (this.#state.kind !== 'cold') {
			this.#state = {kind: 'ramping', sinceMs: now};
		}
	}

	/** Limit at `now`. */
	limit(limits: ServerLimits, now: number): LoadLimit {
		if (this.#state.kind === 'ramping') {
			const factor = 2 ** Math.floor(Math.max(0, now - this.#state.sinceMs) / RAMP_STEP_MS);
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
