/** Runs a call under a time limit and a caller's cancellation, and leaves no timer or listener behind. */

/** Time limit and cancellation of one call. */
export type TimeLimit = {
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

/** The reason with which the signal of {@link withTimeLimit} is aborted when the time is over. */
export class TimeLimitError extends Error {
	override readonly name = 'TimeLimitError';

	constructor(readonly timeoutMs: number) {
		super(`no answer within ${timeoutMs} ms`);
	}
}

/**
 * Calls `call` with a signal that aborts after `timeoutMs` or together with `signal`, and then rejects with its reason,
 * even when `call` does not heed the signal.
 */
export async function withTimeLimit<T>(limit: TimeLimit, call: (signal: AbortSignal) => Promise<T>): Promise<T> {
	const controller = new AbortController();
	const cancel = () => {
		controller.abort(limit.signal?.reason);
	};

	const timer = setTimeout(() => {
		controller.abort(new TimeLimitError(limit.timeoutMs));
	}, limit.timeoutMs);
	limit.signal?.addEventListener('abort', cancel);
	if (limit.signal?.aborted) {
		cancel();
	}

	try {
		return await Promise.race([call(controller.signal), rejectOnAbort(controller.signal)]);
	} finally {
		clearTimeout(timer);
		limit.signal?.removeEventListener('abort', cancel);
	}
}

async function rejectOnAbort(signal: AbortSignal): Promise<never> {
	return new Promise((_resolve, reject) => {
		const rejectWithReason = () => {
			reject(signal.reason as Error);
		};

		if (signal.aborted) {
			rejectWithReason();
		} else {
			signal.addEventListener('abort', rejectWithReason, {once: true});
		}
	});
}
