import {describe, expect, it} from 'vitest';
import {CrashEvidence} from '../src/quarantine/crash-evidence.js';
import {lateSends, MAX_LATE_REQUESTS, STABLE_WINDOW_MS} from './fixtures/crash-rules.js';
import {calmScenario, simulateCrashes, type CrashScenario} from './fixtures/crash-simulation.js';

const SEEDS = 12;
const SEEDS_OF_LARGE_FLEETS = 3;
/** The simulations compute for seconds, and for longer on a busy machine. */
const SIMULATION_TIMEOUT_MS = 120_000;

function play(changes: Partial<CrashScenario>, {excusedUntil = 0, seeds = SEEDS} = {}): void {
	for (let seed = 1; seed <= seeds; seed++) {
		const scenario = {...calmScenario, ...changes, seed};
		const result = simulateCrashes(scenario);
		for (const part of scenario.crashingParts) {
			expect(lateSends(result, part, excusedUntil), `seed ${seed}, ${part}`).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
		}

		const condemned = [...result.quarantined].filter(part => !scenario.crashingParts.includes(part));
		expect(condemned, `seed ${seed}`).toEqual([]);
	}
}

describe('evidence about crashing prompt parts', {timeout: SIMULATION_TIMEOUT_MS}, () => {
	it('should quarantine one crashing part and no sound one', () => {
		play({crashingParts: ['dead-1']});
		play({crashingParts: ['dead-1'], crashingShare: 0.3});
		play({crashingParts: ['dead-1'], firstParts: 4});
		play({crashingParts: ['dead-1'], isCrashingPartFirst: true});
	});

	it('should quarantine several crashing parts that share their first part', () => {
		play({crashingParts: ['dead-1', 'dead-2', 'dead-3']});
	});

	it('should quarantine a part whose requests are rare', () => {
		play({crashingParts: ['dead-1'], crashingShare: 0.01, durationMs: 90_000});
	});

	it('should condemn no sound part when engines crash for other reasons', () => {
		play({ordinaryCrashEveryMs: 500, ordinaryCrashes: 1, durationMs: 60_000});
		play({ordinaryCrashEveryMs: 4000, ordinaryCrashes: 6, durationMs: 60_000});
		play({ordinaryCrashEveryMs: 2000, ordinaryCrashes: 16, durationMs: 60_000});
	});

	it('should tell crashing parts from ordinary crashes at the same time', () => {
		play({crashingParts: ['dead-1', 'dead-2'], ordinaryCrashEveryMs: 700, ordinaryCrashes: 2});
	});

	it('should decide alike in a fleet whose daemons each see a few requests', () => {
		play({
			daemons: 195, engines: 135, requestsPerSecond: 150, crashingParts: ['dead-1', 'dead-2'], crashingShare: 0.01, durationMs: 15_000, ordinaryCrashEveryMs: 1000, ordinaryCrashes: 3,
		}, {seeds: SEEDS_OF_LARGE_FLEETS});
	});

	it('should keep the quarantine when all daemons restart', () => {
		play({crashingParts: ['dead-1'], restartAt: 8000});
		play({crashingParts: ['dead-1'], restartAt: 1500}, {excusedUntil: 1500 + STABLE_WINDOW_MS});
	});

	it('should quarantine on both sides of a cut and condemn no sound part', () => {
		play({crashingParts: ['dead-1'], cutAt: 1000}, {excusedUntil: 6000 + STABLE_WINDOW_MS});
		play({ordinaryCrashEveryMs: 600, ordinaryCrashes: 2, cutAt: 3000});
	});

	it('should clear a part of its crashes each time it is written', () => {
		const evidence = CrashEvidence.create();
		for (let index = 0; index < 20; index++) {
			evidence.recordStart(index * 500);
			evidence.recordCrash({server: `i-${index}`, request: `r-${index}`, subjects: ['a']}, index * 500);
			evidence.recordSound('a', (index * 500) + 200);
		}

		expect(evidence.findCrashing(10_000)).toBeUndefined();
	});
});
