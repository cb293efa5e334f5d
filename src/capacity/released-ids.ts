/** Ids of reservations that ended recently at one backend server. A listing that was in flight may still contain them. */

const RETENTION_MS = 5000;

/** Number of entries from which each insertion removes expired ones. */
const CLEANUP_MIN_ENTRIES = 256;

export class ReleasedIds {
	readonly #releasedAtMs = new Map<string, number>();

	has(id: string): boolean {
		return this.#releasedAtMs.has(id);
	}

	add(id: string, now: number): void {
		this.#releasedAtMs.set(id, now);
		if (this.#releasedAtMs.size >= CLEANUP_MIN_ENTRIES) {
			this.removeExpired(now);
		}
	}

	/** Removes ids that were released longer ago than any listing can take. */
	removeExpired(now: number): void {
		for (const [id, releasedAtMs] of this.#releasedAtMs) {
			if (now - releasedAtMs > RETENTION_MS) {
				this.#releasedAtMs.delete(id);
			}
		}
	}
}
