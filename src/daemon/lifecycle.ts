/** Phases of a daemon. They only go forward. */

/**
 * - `serving`: takes requests
 * - `leaving`: takes requests, but `/readyz` fails, so that the balancer stops sending them
 * - `refusing`: takes no new requests; running ones finish
 */
export type Phase = 'serving' | 'leaving' | 'refusing';

const order: readonly Phase[] = ['serving', 'leaving', 'refusing'];

/** The phase that a daemon is in. */
export class Lifecycle {
	static create(): Lifecycle {
		return new Lifecycle();
	}

	#phase: Phase = 'serving';

	get phase(): Phase {
		return this.#phase;
	}

	/** Goes on to `phase`, unless it has been reached before. */
	advance(phase: Phase): void {
		if (order.indexOf(phase) > order.indexOf(this.#phase)) {
			this.#phase = phase;
		}
	}
}
