/** A count of events in which older ones weigh less. Times are in ms. */
export class DecayingCount {
	static create(halfLifeMs: number): DecayingCount {
		return new DecayingCount(halfLifeMs);
	}

	#count = 0;
	#at = -Infinity;

	private constructor(private readonly halfLifeMs: number) {}

	add(now: number): void {
		this.#count = this.count(now) + 1;
		this.#at = now;
	}

	count(now: number): number {
		return this.#count === 0 ? 0 : this.#count * (0.5 ** ((now - this.#at) / this.halfLifeMs));
	}

	/** Estimated events per second. */
	perSecond(now: number): number {
		return this.count(now) * Math.LN2 * 1000 / this.halfLifeMs;
	}
}
