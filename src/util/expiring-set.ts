/** Set whose members expire individually. */
export class ExpiringSet {
	static create(): ExpiringSet {
		return new ExpiringSet();
	}

	readonly #expiryTimes = new Map<string, number>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Adds a member that expires at `expiresAt`, or extends its expiry. Returns whether it was absent or had expired. */
	add(member: string, expiresAt: number, now: number): boolean {
		for (const [other, end] of this.#expiryTimes) {
			if (end <= now) {
				this.#expiryTimes.delete(other);
			}
		}

		const known = this.#expiryTimes.get(member);
		this.#expiryTimes.set(member, Math.max(expiresAt, known ?? -Infinity));
		return known === undefined;
	}

	has(member: string, now: number): boolean {
		return now < (this.#expiryTimes.get(member) ?? -Infinity);
	}
}
