/**
 * Estimates the placements that other daemons make concurrently and that this daemon has not been notified of yet.
 *
 * All daemons prefer the same engines, so under a load that occupies most slots, several daemons often assign the last
 * free slot of an engine at once. All but one of these requests then wait until another response ends.
 */
import type {PlacementEntry} from '../fleet/placement-table.js';

/** Window in ms for measuring the placement rate: some dozens of placements when most slots are occupied. */
const RATE_WINDOW_MS = 500;
/**
 * Time in ms during which other daemons may choose the same engine unnoticed: the notification delay (5 to 45 ms over
 * relays) times the share of placements that go to one engine. Guarded by tests/placement-load.test.ts.
 */
const CONTENTION_MS = 6;

/** Expected number of placements on the preferred engine that this daemon has not been notified of yet. */
export function expectedConcurrentPlacements(engines: ReadonlyArray<{readonly server: {readonly id: string}; readonly entries: readonly PlacementEntry[]}>, now: number): number {
	let recent = 0;
	for (const {server, entries} of engines) {
		for (const entry of entries) {
			recent += entry.server === server.id && now - entry.placedAt < RATE_WINDOW_MS ? 1 : 0;
		}
	}

	return recent / RATE_WINDOW_MS * CONTENTION_MS;
}

/** Probability that `free` or more requests arrive when `mean` are expected (Poisson), so that one more finds no slot. */
export function overflowProbability(free: number, mean: number): number {
	let term = Math.exp(-mean);
	let fitProbability = 0;
	for (let count = 0; count < free; count++) {
		fitProbability += term;
		term *= mean / (count + 1);
	}

	return 1 - fitProbability;
}
