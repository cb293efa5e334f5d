/** What a model engine is expected to do next, from the placements that are known to be on it. */
import type {BoardEntry} from '../fleet/load-board.js';
import type {EngineProfile} from '../gateway/serving-configuration.js';
import {writingPassMs} from './engine-model.js';

/**
 * Share of the time by which a first event is overdue that its engine is expected to need still. An engine that is behind
 * its forecast has work, or a lack of memory, that this daemon does not know; how long it lasts is best told by how long
 * it has lasted.
 */
const OVERRUN_SHARE = 0.3;

/** A request whose prompt is still being prefilled. */
export type PendingEntry = {
	readonly entry: BoardEntry;
	/** Expected time in ms to its first event. */
	readonly startsInMs: number;
	/** Time in ms left to a first event that is on time; negative when it is late already. */
	readonly dueInMs: number;
};

export type ServerForecast = {
	readonly writers: readonly BoardEntry[];
	readonly pending: readonly PendingEntry[];
	/** Duration of a pass without prefill in ms. */
	readonly passMs: number;
	/** Prefill in ms that is known and not yet done. */
	readonly backlogMs: number;
	/** Requests that occupy one of its slots. */
	readonly requests: number;
	/** Prompts of requests at other engines that it helps to prefill. */
	readonly helping: number;
	readonly usedTokens: number;
};

/** Forecast for the engine `server` at `now`. `entries` are oldest first. */
export function forecastServer(server: string, entries: readonly BoardEntry[], profile: EngineProfile, now: number): ServerForecast {
	const writers: BoardEntry[] = [];
	const reading: BoardEntry[] = [];
	let usedTokens = 0;
	let requests = 0;
	for (const entry of entries) {
		const isOwn = entry.server === server;
		usedTokens += entry.reserved.find(held => held.server === server)?.tokens ?? 0;
		if (isOwn) {
			requests++;
			usedTokens += entry.contextTokens;
		}

		if (entry.startedAt === undefined) {
			reading.push(entry);
		} else if (isOwn) {
			writers.push(entry);
		}
	}

	const passMs = writingPassMs(profile, writers.map(({contextTokens}) => contextTokens));
	let freeAt = -Infinity;
	const pending = reading.map((entry): PendingEntry => {
		freeAt = Math.max(freeAt, entry.placedAt) + entry.prefillMs;
		// At a helper, the part may long be done while the request waits for another engine.
		const overdueMs = entry.server === server ? now - freeAt - passMs : 0;
		freeAt = overdueMs > 0 ? now + (OVERRUN_SHARE * overdueMs) : freeAt;
		return {
			entry,
			startsInMs: Math.max(0, freeAt - now) + (writers.length > 0 ? passMs : 0),
			dueInMs: entry.placedAt + entry.targetMs - now,
		};
	});
	return {
		writers,
		pending,
		passMs,
		backlogMs: Math.max(0, freeAt - now),
		requests,
		helping: reading.filter(entry => entry.server !== server).length,
		usedTokens,
	};
}
