/** Tasks that continue after a request has been answered, such as freeing memory at an engine. */

/** Tracks running tasks, so that a shutdown can wait for them. */
export class BackgroundTasks {
	static create(onError: (err: unknown) => void): BackgroundTasks {
		return new BackgroundTasks(onError);
	}

	readonly #running = new Set<Promise<void>>();
	readonly #onError: (err: unknown) => void;

	private constructor(onError: (err: unknown) => void) {
		this.#onError = onError;
	}

	/** Number of running tasks. */
	get size(): number {
		return this.#running.size;
	}

	/** Starts a task. If it rejects, the error is passed to `onError`. */
	run(task: () => Promise<void>): void {
		const running = (async () => {
			try {
				await task();
			} catch (err) {
				this.#onError(err);
			}
		})();
		this.#running.add(running);
		void (async () => {
			await running;
			this.#running.delete(running);
		})();
	}

	/** Resolves when no task is running. */
	async waitUntilIdle(): Promise<void> {
		while (this.#running.size > 0) {
			await Promise.all(this.#running);
		}
	}
}
