/** Waiting that an abort ends early. */
import {setTimeout as delay} from 'node:timers/promises';

/** Waits `ms`, or until `signal` is aborted. Does not throw. */
export async function wait(ms: number, signal?: AbortSignal): Promise<void> {
	try {
		await delay(Math.max(0, ms), undefined, {signal});
	} catch {
		// Aborted: the caller looks at its signal.
	}
}
