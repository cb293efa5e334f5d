/** A delay that ends early, without an error, when its signal is aborted. */
import {setTimeout as delay} from 'node:timers/promises';

/** Resolves after `ms` or as soon as `signal` is aborted. */
export async function pause(ms: number, signal?: AbortSignal): Promise<void> {
	try {
		await delay(Math.max(0, ms), undefined, {signal});
	} catch {
		// The delay rejects only when it is aborted, which ends the pause.
	}
}
