/** Runs a call with a time limit and the cancellation of its caller, and removes the timer and the listener afterwards. */
import {LimitedSignal} from './limited-signal.js';

/** Time limit and cancellation of one call. */
export type TimeLimit = {
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

/**
 * Calls `call` with a signal that aborts after `timeoutMs` or together with `signal`. On abort it rejects with the reason
 * immediately, even if `call` ignores the signal. `restart` gives the call a further time in ms from now on.
 */
export async function withTimeLimit<T>(limit: TimeLimit, call: (signal: AbortSignal, restart: (timeoutMs: number) => void) => Promise<T>): Promise<T> {
	const limited = LimitedSignal.create(limit.timeoutMs, limit.signal);
	const restart = (timeoutMs: number): void => {
		limited.restartTimer(timeoutMs);
	};

	try {
		return await Promise.race([call(limited.signal, restart), rejectOnAbort(limited.signal)]);
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
