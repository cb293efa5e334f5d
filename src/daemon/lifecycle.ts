/** Lifecycle phases of a daemon. A daemon never returns to an earlier phase. */

/**
 * - `serving`: accepts requests
 * - `leaving`: accepts requests, but `/readyz` fails so that the load balancer stops sending them
 * - `refusing`: refuses new requests; open ones finish
 */
export type Phase = 'serving' | 'leaving' | 'refusing';

const phases: readonly Phase[] = ['serving', 'leaving', 'refusing'];

/** Tracks the current phase of a daemon. */
export class Lifecycle {
	static create(): Lifecycle {
		return new Lifecycle();
	}

	#phase: Phase = 'serving';

	get phase(): Phase {
		return this.#phase;
	}

	/** Advances to `phase`, unless that or a later phase has been reached. */
	advance(phase: Phase): void {
		if (phases.indexOf(phase) > phases.indexOf(this.#phase)) {
			this.#phase = phase;
		}
	}
}
