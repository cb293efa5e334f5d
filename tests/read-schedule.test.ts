import fc from 'fast-check';
import {
	describe, expect, it,
} from 'vitest';
import {HEARTBEAT_DELAY_MS, ReadSchedule, WATCH_TIMEOUT_MARGIN_MS} from '../src/store/read-schedule.js';

const ROUND_TRIPS_MS = 100;

describe('reading of the store', () => {
	it('should put a change in force within its bound at a daemon whose relay has lost the store', () => {
		fc.assert(fc.property(fc.integer({min: 1800, max: 20_000}), fc.integer({min: 1000, max: 20_000}), (changeBoundMs, stableWindowMs) => {
			const {maxStoreAgeMs} = ReadSchedule.create({changeBoundMs, stableWindowMs});
			// The follower then reads the store itself, on a host that may be busy.
			expect(maxStoreAgeMs + HEARTBEAT_DELAY_MS + ROUND_TRIPS_MS).toBeLessThanOrEqual(changeBoundMs);
		}));
	});

	it('should confirm the copy of a relay before its followers consider it too old', () => {
		fc.assert(fc.property(fc.integer({min: 1800, max: 20_000}), fc.integer({min: 1000, max: 20_000}), (changeBoundMs, stableWindowMs) => {
			const {maxStoreAgeMs, relayWatchWaitMs} = ReadSchedule.create({changeBoundMs, stableWindowMs});
			expect(relayWatchWaitMs + WATCH_TIMEOUT_MARGIN_MS + HEARTBEAT_DELAY_MS).toBeLessThanOrEqual(maxStoreAgeMs);
		}));
	});

	it('should find a broken connection in time to read the store again within the stable window', () => {
		fc.assert(fc.property(fc.integer({min: 1700, max: 20_000}), stableWindowMs => {
			const {watchWaitMs} = ReadSchedule.create({changeBoundMs: 2000, stableWindowMs});
			expect(watchWaitMs + WATCH_TIMEOUT_MARGIN_MS + ROUND_TRIPS_MS).toBeLessThan(stableWindowMs);
		}));
	});

	it('should use relays in small fleets only where they save at least half of the calls', () => {
		const strict = ReadSchedule.create({changeBoundMs: 2000, stableWindowMs: 3000});
		expect(strict.hasStoreRelays(9, 3)).toBe(false);
		const relaxed = ReadSchedule.create({changeBoundMs: 4000, stableWindowMs: 5000});
		expect(relaxed.hasStoreRelays(22, 5)).toBe(true);
		expect(relaxed.hasStoreRelays(5, 5)).toBe(false);
	});
});
