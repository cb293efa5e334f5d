/** Computes how long to wait for the next event of a stream before its connection is replaced. */

/** Limits of one stream in ms. */
export type SilenceLimits = {
	/**
	 * Time without an event, before the first token, after which a new connection is tried. Doubles with each consecutive
	 * timeout.
	 */
	readonly firstCheckMs: number;
	/** Time without a first token, across all connections, after which the stream is lost. */
	readonly giveUpMs: number;
	/** Minimum time without an event, between tokens, after which a new connection is tried. */
	readonly betweenTokensMs: number;
};

/** Upper limit of the doubled wait in ms. A larger undoubled wait is used as it is. */
const MAX_DOUBLED_WAIT_MS = 4000;

/** Wait between tokens as a multiple of the average observed gap, for engines that are slower than expected. */
const OBSERVED_GAP_FACTOR = 3;
/** Weight of a new gap in the exponential moving average. */
const GAP_WEIGHT = 0.3;

/**
 * A first token within this time in ms after a resume was produced before it, so the gap before it does not show the
 * engine's speed.
 */
const BUFFERED_TOKEN_MS = 20;

export class SilenceDetector {
	static create(limits: SilenceLimits, now: number): SilenceDetector {
		return new SilenceDetector(limits, now);
	}

	/** Consecutive waits without an event. Each doubles the limit, since an engine may be slower than estimated. */
	#consecutiveSilences = 0;
	#tokenCount = 0;
	#averageGapMs = 0;
	#lastTokenAt: number;
	#connectedAt: number;

	private constructor(private readonly limits: SilenceLimits, now: number) {
		this.#lastTokenAt = now;
		this.#connectedAt = now;
	}

	/** Returns the time in ms to wait for the next event. */
	limitMs(now: number): number {
		const {firstCheckMs, giveUpMs, betweenTokensMs} = this.limits;
		const base = this.#tokenCount === 0 ? firstCheckMs : Math.max(betweenTokensMs, OBSERVED_GAP_FACTOR * this.#averageGapMs);
		const checkMs = Math.min(base * (2 ** this.#consecutiveSilences), Math.max(base, MAX_DOUBLED_WAIT_MS));
		return this.#tokenCount === 0 ? Math.max(1, Math.min(checkMs, this.#lastTokenAt + giveUpMs - now)) : checkMs;
	}

	/**
	 * Whether to give up on the engine. After the first token no other engine can continue the stream, so only the deadline
	 * ends it.
	 */
	isLost(now: number): boolean {
		return this.#tokenCount === 0 && now - this.#lastTokenAt >= this.limits.giveUpMs;
	}

	recordSilence(): void {
		this.#consecutiveSilences++;
	}

	recordConnection(now: number): void {
		this.#connectedAt = now;
	}

	recordToken(now: number): void {
		const gapMs = now - this.#lastTokenAt;
		const isBuffered = this.#lastTokenAt < this.#connectedAt && now - this.#connectedAt < BUFFERED_TOKEN_MS;
		if (this.#tokenCount > 0 && !isBuffered) {
			this.#averageGapMs += GAP_WEIGHT * (gapMs - this.#averageGapMs);
		}

		this.#tokenCount++;
		this.#consecutiveSilences = 0;
		this.#lastTokenAt = now;
	}
}
