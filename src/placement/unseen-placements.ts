/**
 * Placements that other daemons make while this one decides, and that it cannot know yet.
 *
 * All daemons prefer the same engines, so a last free slot is often given away several times at once; the others then wait
 * for an answer to end. Answers a load at which most slots are taken.
 */
import type {BoardEntry} from '../fleet/load-board.js';

/** Time in ms over which the rate of placements is measured: some dozens of them at the load that this answers. */
const RATE_WINDOW_MS = 500;
/**
 * Time in ms in which other daemons choose the same engine unseen: the delay of news, 5 to 45 ms over relays, times the
 * share of placements that go to one engine. Of 2, 4, 6, 8 and 12 ms, 6 kept the most prompts on time in
 * tests/placement-load.test.ts.
 */
const CONTENTION_MS = 6;

/** Expected number of placements on the most attractive engine that are not known yet. */
export function unseenPlacements(engines: ReadonlyArray<{readonly server: {readonly id: string}; readonly entries: readonly BoardEntry[]}>, now: number): number {
	let recent = 0;
	for (const {server, entries} of engines) {
		for (const entry of entries) {
			recent += entry.server === server.id && now - entry.placedAt < RATE_WINDOW_MS ? 1 : 0;
		}
	}

	return recent / RATE_WINDOW_MS * CONTENTION_MS;
}

/** Chance that `free` or more requests arrive where `mean` are expected (Poisson), so that one more finds no slot. */
export function overflowChance(free: number, mean: number): number {
	let term = Math.exp(-mean);
	let fits = 0;
	for (let count = 0; count < free; count++) {
		fits += term;
		term *= mean / (count + 1);
	}

	return 1 - fits;
}
