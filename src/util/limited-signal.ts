/** An abort signal that combines a time limit with the signal of a caller. */

/** The abort reason of a limited signal whose time limit was exceeded. */
export class TimeLimitError extends Error {
	override readonly name = 'TimeLimitError';

	constructor(readonly timeoutMs: number) {
		super(`no answer within ${timeoutMs} ms`);
	}
}

/**
 * Aborts with a {@link TimeLimitError} after a time, or when its parent aborts. Use `withTimeLimit` instead where the time
 * limit covers the whole work.
 */
export class LimitedSignal {
	static create(timeoutMs: number, parent?: AbortSignal): LimitedSignal {
		return new LimitedSignal(timeoutMs, parent);
	}

	readonly #controller = new AbortController();
	#timer: NodeJS.Timeout | undefined;

	private constructor(timeoutMs: number, private readonly parent: AbortSignal | undefined) {
		this.restartTimer(timeoutMs);
		parent?.addEventListener('abort', this.#abortWithParent);
		if (parent?.aborted) {
			this.#abortWithParent();
		}
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Replaces the time limit by one of `timeoutMs` from now on. */
	restartTimer(timeoutMs: number): void {
		this.stopTimer();
		this.#timer = setTimeout(() => {
			this.#controller.abort(new TimeLimitError(timeoutMs));
		}, timeoutMs);
	}

	/** Cancels the time limit. The signal still aborts with its parent. */
	stopTimer(): void {
		clearTimeout(this.#timer);
	}

	/** Removes the timer and the listener on the parent. */
	close(): void {
		this.stopTimer();
		this.parent?.removeEventListener('abort', this.#abortWithParent);
	}

	readonly #abortWithParent = (): void => {
		this.#controller.abort(this.parent?.reason);
	};
}
