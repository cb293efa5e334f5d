/** An abort signal with a time limit, linked to the signal of a caller. */

/** The reason with which a limited signal is aborted when the time is over. */
export class TimeLimitError extends Error {
	override readonly name = 'TimeLimitError';

	constructor(readonly timeoutMs: number) {
		super(`no answer within ${timeoutMs} ms`);
	}
}

/** Aborts after a time with a {@link TimeLimitError}, or together with its parent. Used where the work goes on to end by itself. */
export class LimitedSignal {
	static create(timeoutMs: number, parent?: AbortSignal): LimitedSignal {
		return new LimitedSignal(timeoutMs, parent);
	}

	readonly #controller = new AbortController();
	readonly #timer: NodeJS.Timeout;

	private constructor(timeoutMs: number, private readonly parent: AbortSignal | undefined) {
		this.#timer = setTimeout(() => {
			this.#controller.abort(new TimeLimitError(timeoutMs));
		}, timeoutMs);
		parent?.addEventListener('abort', this.#follow);
		if (parent?.aborted) {
			this.#follow();
		}
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Ends the time limit; the link to the parent stays. */
	stopTimer(): void {
		clearTimeout(this.#timer);
	}

	/** Leaves no timer and no listener behind. */
	close(): void {
		this.stopTimer();
		this.parent?.removeEventListener('abort', this.#follow);
	}

	readonly #follow = (): void => {
		this.#controller.abort(this.parent?.reason);
	};
}
