/** Work that goes on after a request was answered, such as freeing memory at an engine. */

/** Keeps track of running tasks, so that a shutdown can wait for them. */
export class BackgroundTasks {
	static create(onError: (err: unknown) => void): BackgroundTasks {
		return new BackgroundTasks(onError);
	}

	readonly #running = new Set<Promise<void>>();
	readonly #onError: (err: unknown) => void;

	private constructor(onError: (err: unknown) => void) {
		this.#onError = onError;
	}

	/** Number of tasks under way. */
	get size(): number {
		return this.#running.size;
	}

	/** Starts a task. An error of it goes to `onError`. */
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

	/** Resolves when no task is under way. */
	async settled(): Promise<void> {
		while (this.#running.size > 0) {
			await Promise.all(this.#running);
		}
	}
}
