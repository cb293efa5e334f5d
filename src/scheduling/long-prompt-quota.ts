/**
 * Keeps engines clear of long prefills for the short prompts that arrive meanwhile.
 *
 * Designed for a fleet that is short of engines for some seconds. A prompt of hundreds of thousands of tokens takes some engines for seconds, and
 * every short prompt behind it is late; its own target leaves it time. While long prompts already hold their share of the engines, a further one
 * waits for as long as its target allows, and then goes on.
 */
import type {PlacementEntry} from '../fleet/placement-table.js';

/** A prefill that takes an engine longer than this in ms is long: half of the time after which the client of a short prompt leaves. */
export const LONG_PREFILL_MS = 1000;
/** Share of the engines that long prefills may hold while others wait; at least one engine. */
const LONG_PREFILL_SHARE = 0.5;
/** Shortest time in ms after which a hold is looked at again, for a prefill that is behind its forecast. */
const MIN_HOLD_MS = 100;

export type LongPrompt = {
	/** Prefill time in ms on each engine of its group. */
	readonly prefillMs: number;
	/** Engines of its group. */
	readonly engines: number;
	/** Latest time at which it can be placed and meet its target. */
	readonly dueAt: number;
};

/** Whether a prefill of `prefillMs` on each engine is long. */
export const isLongPrefill = (prefillMs: number): boolean => prefillMs >= LONG_PREFILL_MS;

/**
 * Returns the time in ms for which the prompt waits before its placement is looked at again; 0 if it may be placed now. `engines` has the
 * placements on each engine that the prompt may use.
 */
export function longPromptHoldMs({prefillMs, engines: needed, dueAt}: LongPrompt, engines: ReadonlyArray<readonly PlacementEntry[]>, now: number): number {
	if (!isLongPrefill(prefillMs) || now >= dueAt) {
		return 0;
	}

	const held = engines.map(entries => entries.filter(entry => entry.startedAt === undefined && isLongPrefill(entry.prefillMs))).filter(entries => entries.length > 0);
	const quota = Math.max(1, Math.floor(LONG_PREFILL_SHARE * engines.length));
	if (held.length === 0 || held.length + needed <= quota) {
		return 0;
	}

	const endsInMs = held.flat().map(entry => entry.placedAt + entry.prefillMs - now);
	return Math.min(dueAt - now, Math.max(MIN_HOLD_MS, Math.min(...endsInMs)));
}
