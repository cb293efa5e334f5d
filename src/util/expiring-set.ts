/** Set whose members expire individually. */

const MIN_PRUNED_MEMBERS = 64;

export class ExpiringSet {
	static create(): ExpiringSet {
		return new ExpiringSet();
	}

	readonly #expiryTimes = new Map<string, number>();
	/** Number of members from which on expired ones are looked for, so that each addition costs the same on average. */
	#pruneAt = MIN_PRUNED_MEMBERS;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Adds a member that expires at `expiresAt`, or extends its expiry. Returns whether it was absent or had expired. */
	add(member: string, expiresAt: number, now: number): boolean {
		this.#prune(now);
		const known = this.#expiryTimes.get(member) ?? -Infinity;
		this.#expiryTimes.set(member, Math.max(expiresAt, known));
		return known <= now;
	}

	has(member: string, now: number): boolean {
		return now < (this.#expiryTimes.get(member) ?? -Infinity);
	}

	#prune(now: number): void {
		if (this.#expiryTimes.size < this.#pruneAt) {
			return;
		}

		for (const [member, end] of this.#expiryTimes) {
			if (end <= now) {
				this.#expiryTimes.delete(member);
			}
		}

		this.#pruneAt = Math.max(MIN_PRUNED_MEMBERS, 2 * this.#expiryTimes.size);
	}
}
