/** Decides how long to wait for the next event of a stream before its connection is given up. */

/** Limits of one stream in ms. */
export type SilenceLimits = {
	/** Silence before the first token after which a new connection is tried. Doubles with each silence in a row. */
	readonly firstCheckMs: number;
	/** Time without a first token, over all connections, after which the stream counts as lost. */
	readonly giveUpMs: number;
	/** Least silence between tokens after which a new connection is tried. */
	readonly betweenTokensMs: number;
};

/** Longest time to the next check. */
const MAX_CHECK_MS = 4000;

/** An engine that is slower than expected is checked after this multiple of the gap that it shows. */
const OBSERVED_GAP_FACTOR = 3;
/** Weight of a new gap in the moving average. */
const GAP_WEIGHT = 0.3;

/** A token this soon after a resume had been produced before, so the time until it says nothing about the engine. */
const HELD_TOKEN_MS = 20;

export class SilenceWatch {
	static create(limits: SilenceLimits, now: number): SilenceWatch {
		return new SilenceWatch(limits, now);
	}

	/** Silences in a row; each doubles the limit, since an engine may be slower than estimated. */
	#silences = 0;
	#tokens = 0;
	#averageGapMs = 0;
	#lastTokenAt: number;
	#connectedAt: number;

	private constructor(private readonly limits: SilenceLimits, now: number) {
		this.#lastTokenAt = now;
		this.#connectedAt = now;
	}

	/** Time in ms to wait for the next event. */
	limitMs(now: number): number {
		const {firstCheckMs, giveUpMs, betweenTokensMs} = this.limits;
		const base = this.#tokens === 0 ? firstCheckMs : Math.max(betweenTokensMs, OBSERVED_GAP_FACTOR * this.#averageGapMs);
		const checkMs = Math.min(base * (2 ** this.#silences), Math.max(base, MAX_CHECK_MS));
		return this.#tokens === 0 ? Math.max(1, Math.min(checkMs, this.#lastTokenAt + giveUpMs - now)) : checkMs;
	}

	/** Whether the engine is to be given up. Once a token has reached the caller no other engine can continue, so the deadline decides. */
	isLost(now: number): boolean {
		return this.#tokens === 0 && now - this.#lastTokenAt >= this.limits.giveUpMs;
	}

	silent(): void {
		this.#silences++;
	}

	connected(now: number): void {
		this.#connectedAt = now;
	}

	token(now: number): void {
		const gapMs = now - this.#lastTokenAt;
		const isHeld = this.#lastTokenAt < this.#connectedAt && now - this.#connectedAt < HELD_TOKEN_MS;
		if (this.#tokens > 0 && !isHeld) {
			this.#averageGapMs += GAP_WEIGHT * (gapMs - this.#averageGapMs);
		}

		this.#tokens++;
		this.#silences = 0;
		this.#lastTokenAt = now;
	}
}
