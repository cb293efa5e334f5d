/** Reservations that ended lately at one backend server: a listing that was under way may still show them. */

const RETENTION_MS = 5000;

/** Entries are looked through for expired ones from this number on. */
const SWEEP_FROM_ENTRIES = 256;

export class ReleasedIds {
	readonly #releasedAtMs = new Map<string, number>();

	has(id: string): boolean {
		return this.#releasedAtMs.has(id);
	}

	add(id: string, now: number): void {
		this.#releasedAtMs.set(id, now);
		if (this.#releasedAtMs.size >= SWEEP_FROM_ENTRIES) {
			this.removeExpired(now);
		}
	}

	/** Forgets what ended longer ago than any listing takes. */
	removeExpired(now: number): void {
		for (const [id, releasedAtMs] of this.#releasedAtMs) {
			if (now - releasedAtMs > RETENTION_MS) {
				this.#releasedAtMs.delete(id);
			}
		}
	}
}
