/** Runs a call under a time limit and a caller's cancellation, and leaves no timer or listener behind. */
import {LimitedSignal} from './limited-signal.js';

/** Time limit and cancellation of one call. */
export type TimeLimit = {
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

/**
 * Calls `call` with a signal that aborts after `timeoutMs` or together with `signal`, and then rejects with its reason,
 * even when `call` does not heed the signal.
 */
export async function withTimeLimit<T>(limit: TimeLimit, call: (signal: AbortSignal) => Promise<T>): Promise<T> {
	const limited = LimitedSignal.create(limit.timeoutMs, limit.signal);
	try {
		return await Promise.race([call(limited.signal), rejectOnAbort(limited.signal)]);
	} finally {
		limited.close();
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
