/** A count of events, or a sum of amounts, in which older ones weigh less. Times are in ms. */
export class DecayingCount {
	static create(halfLifeMs: number): DecayingCount {
		return new DecayingCount(halfLifeMs);
	}

	#count = 0;
	#at = -Infinity;

	private constructor(private readonly halfLifeMs: number) {}

	/** Adds `amount` at the time `at`, which may be earlier than that of others. */
	add(at: number, amount = 1): void {
		if (at < this.#at) {
			this.#count += amount * (0.5 ** ((this.#at - at) / this.halfLifeMs));
			return;
		}

		this.#count = this.count(at) + amount;
		this.#at = at;
	}

	count(now: number): number {
		return this.#count === 0 ? 0 : this.#count * (0.5 ** ((now - this.#at) / this.halfLifeMs));
	}

	/** Estimated events per second. */
	perSecond(now: number): number {
		return this.count(now) * Math.LN2 * 1000 / this.halfLifeMs;
	}
}
