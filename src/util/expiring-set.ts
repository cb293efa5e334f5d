/** Members that each count until a time of their own. */
export class ExpiringSet {
	static create(): ExpiringSet {
		return new ExpiringSet();
	}

	readonly #until = new Map<string, number>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Adds a member until `until`, or extends its time. Returns whether it did not count before. */
	add(member: string, until: number, now: number): boolean {
		for (const [other, end] of this.#until) {
			if (end <= now) {
				this.#until.delete(other);
			}
		}

		const known = this.#until.get(member);
		this.#until.set(member, Math.max(until, known ?? -Infinity));
		return known === undefined;
	}

	has(member: string, now: number): boolean {
		return now < (this.#until.get(member) ?? -Infinity);
	}
}
