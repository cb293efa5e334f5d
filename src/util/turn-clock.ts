/**
 * Clock that stands still during one turn of the event loop. Events that were waiting to be read in the same turn get the same time,
 * however long each of them takes to handle.
 */
import type {Clock} from './clock.js';

/** `onTurnEnd` calls its argument once, after the events that are ready now. */
export function createTurnClock(clock: Clock, onTurnEnd: (callback: () => void) => void = callback => {
	setImmediate(callback);
}): Clock {
	let turnAt: number | undefined;
	return () => {
		if (turnAt === undefined) {
			turnAt = clock();
			onTurnEnd(() => {
				turnAt = undefined;
			});
		}

		return turnAt;
	};
}
