/**
 * Tells coordinators that answer from those that do not. A paused process keeps its connections, so a reservation that
 * waits there would otherwise wait until its deadline.
 */

/** Watches the coordinators that this daemon reserves at, by peer address. */
export class CoordinatorLiveness {
	static create(): CoordinatorLiveness {
		return new CoordinatorLiveness();
	}

	/** Cancels for the reservations that wait at each peer. */
	readonly #waiting = new Map<string, Set<(reason: Error) => void>>();
	/** A pool by which each silent peer can be asked. */
	readonly #silent = new Map<string, string>();

	/** Whether the last keep-alive to `peer` got no answer. Nothing is reserved there until it answers one. */
	isSilent(peer: string): boolean {
		return this.#silent.has(peer);
	}

	/** Silent peers, each with a pool by which it can be asked. */
	silent(): ReadonlyMap<string, string> {
		return this.#silent;
	}

	/** Whether reservations wait at `peer`. */
	isWaitedFor(peer: string): boolean {
		return this.#waiting.has(peer);
	}

	/** Calls `cancel` when `peer` turns silent. Returns a function that ends this. */
	watch(peer: string, cancel: (reason: Error) => void): () => void {
		const cancels = this.#waiting.get(peer) ?? new Set();
		this.#waiting.set(peer, cancels.add(cancel));
		return () => {
			cancels.delete(cancel);
			if (cancels.size === 0 && this.#waiting.get(peer) === cancels) {
				this.#waiting.delete(peer);
			}
		};
	}

	answered(peer: string): void {
		this.#silent.delete(peer);
	}

	/** Takes back what waits at `peer`, so that it can go to another pool. */
	unanswered(peer: string, pool: string): void {
		this.#silent.set(peer, pool);
		for (const cancel of this.#waiting.get(peer) ?? []) {
			cancel(new Error(`the coordinator at ${peer} does not answer`));
		}
	}

	/** Forgets a peer that coordinates nothing any more. */
	forget(peer: string): void {
		this.#silent.delete(peer);
	}
}
