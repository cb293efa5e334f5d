/** Forecasts the work of a model engine from the placements known to be on it. */
import type {PlacementEntry} from '../fleet/placement-table.js';
import type {EngineProfile} from '../gateway/serving-configuration.js';
import {decodingPassMs} from './engine-model.js';

/**
 * Remaining time of an overdue prefill, as a share of the time by which its first event is overdue. An engine behind its
 * forecast has work, or a shortage of memory, that this daemon does not know of; the delay so far is the best estimate of
 * how long it will last.
 */
const OVERRUN_SHARE = 0.3;

/** A request whose prompt is still being prefilled. */
export type PendingPrefill = {
	readonly entry: PlacementEntry;
	/** Expected time in ms until its first event. */
	readonly firstEventInMs: number;
	/** Time left in ms until its first event is late; negative if it is late already. */
	readonly dueInMs: number;
};

export type ServerForecast = {
	readonly decoding: readonly PlacementEntry[];
	readonly pending: readonly PendingPrefill[];
	/** Duration of a pass without prefill in ms. */
	readonly passMs: number;
	/** Known prefill work in ms that is not done yet. */
	readonly backlogMs: number;
	/** Requests that occupy a slot of the engine. */
	readonly requests: number;
	/** Requests on other engines whose prompts this engine helps to prefill. */
	readonly helperRequests: number;
	readonly usedTokens: number;
};

/** Forecasts the work of engine `server` at `now`. `entries` are sorted from oldest to newest. */
export function forecastServer(server: string, entries: readonly PlacementEntry[], profile: EngineProfile, now: number): ServerForecast {
	const decoding: PlacementEntry[] = [];
	const prefilling: PlacementEntry[] = [];
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
			prefilling.push(entry);
		} else if (isOwn) {
			decoding.push(entry);
		}
	}

	const passMs = decodingPassMs(profile, decoding.map(({contextTokens}) => contextTokens));
	let freeAt = -Infinity;
	const pending = prefilling.map((entry): PendingPrefill => {
		freeAt = Math.max(freeAt, entry.placedAt) + entry.prefillMs;
		// A helper's part may be finished long ago while the request still waits for another engine.
		const overdueMs = entry.server === server ? now - freeAt - passMs : 0;
		freeAt = overdueMs > 0 ? now + (OVERRUN_SHARE * overdueMs) : freeAt;
		return {
			entry,
			firstEventInMs: Math.max(0, freeAt - now) + (decoding.length > 0 ? passMs : 0),
			dueInMs: entry.placedAt + entry.targetMs - now,
		};
	});
	return {
		decoding,
		pending,
		passMs,
		backlogMs: Math.max(0, freeAt - now),
		requests,
		helperRequests: prefilling.filter(entry => entry.server !== server).length,
		usedTokens,
	};
}
