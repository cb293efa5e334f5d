/** Exponential backoff after failures of a backend server: the pause doubles with each consecutive failure. */

const MIN_MS = 250;
const MAX_MS = 30_000;

export class ServerBackoff {
	#failures = 0;
	#untilMs = -Infinity;

	/** Whether the pause is in effect at `now`, so that nothing should be sent. */
	isActive(now: number): boolean {
		return now < this.#untilMs;
	}

	noteFailure(now: number): void {
		this.#untilMs = now + Math.min(MAX_MS, MIN_MS * (2 ** this.#failures));
		this.#failures++;
	}

	noteSuccess(): void {
		this.#failures = 0;
		this.#untilMs = -Infinity;
	}
}
