import {describe, expect, it} from 'vitest';
import {CrashEvidence} from '../src/quarantine/crash-evidence.js';
import {
	lateRequestSends, lateSends, MAX_LATE_REQUESTS, STABLE_WINDOW_MS,
} from './fixtures/crash-rules.js';
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

		for (const request of scenario.crashingRequests) {
			expect(lateRequestSends(result, request, excusedUntil), `seed ${seed}, ${request}`).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
		}

		const reasons = new Set([...scenario.crashingParts, ...[...result.causes].map(identity => `request-${identity}`)]);
		const condemned = [...result.quarantined].filter(subject => !reasons.has(subject));
		expect(condemned, `seed ${seed}`).toEqual([]);
	}
}

describe('evidence about crashing prompt parts and requests', {timeout: SIMULATION_TIMEOUT_MS}, () => {
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

	it('should quarantine a crashing part although clients repeat each of its requests', () => {
		play({crashingParts: ['dead-1'], clientAttempts: 3});
		play({crashingParts: ['dead-1'], clientAttempts: 3, isCrashingPartFirst: true});
		play({
			crashingParts: ['dead-1'], clientAttempts: 3, crashingShare: 0.01, durationMs: 60_000,
		});
	});

	it('should keep the quarantine when all daemons restart', () => {
		play({crashingParts: ['dead-1'], restartAt: 8000});
		play({crashingParts: ['dead-1'], restartAt: 1500}, {excusedUntil: 1500 + STABLE_WINDOW_MS});
	});

	it('should quarantine on both sides of a cut and condemn no sound part', () => {
		play({crashingParts: ['dead-1'], cutAt: 1000}, {excusedUntil: 6000 + STABLE_WINDOW_MS});
		play({ordinaryCrashEveryMs: 600, ordinaryCrashes: 2, cutAt: 3000});
	});

	it('should quarantine a crashing request whose client repeats it, and no sound subject', () => {
		play({crashingRequests: ['d1'], clientAttempts: 3});
		play({crashingRequests: ['d1'], clientAttempts: 3, crashingRequestShare: 0.1});
		play({
			crashingRequests: ['d1'], clientAttempts: 3, crashingRequestShare: 0.01, durationMs: 60_000,
		});
	});

	it('should quarantine several crashing requests that share their first part', () => {
		play({
			crashingRequests: ['d1', 'd2'], clientAttempts: 3, crashingFrom: 5000, crashingRequestShare: 0.05, soundRepeats: 5,
		});
		play({
			crashingRequests: ['d1', 'd2', 'd3'], clientAttempts: 3, crashingFrom: 5000, crashingRequestShare: 0.03,
		});
	});

	it('should tell crashing requests from ordinary crashes and from a failure domain that loses power', () => {
		play({
			crashingRequests: ['d1'], clientAttempts: 3, ordinaryCrashEveryMs: 700, ordinaryCrashes: 2, soundRepeats: 5,
		});
		play({
			crashingRequests: ['d1'], clientAttempts: 3, ordinaryCrashEveryMs: 4000, ordinaryCrashes: 6, soundRepeats: 5,
		});
	});

	it('should condemn no sound request that comes again and again while engines crash for other reasons', () => {
		play({
			ordinaryCrashEveryMs: 500, ordinaryCrashes: 1, clientAttempts: 3, soundRepeats: 10, durationMs: 60_000,
		});
		play({
			ordinaryCrashEveryMs: 4000, ordinaryCrashes: 6, clientAttempts: 3, soundRepeats: 10, durationMs: 60_000,
		});
		play({
			ordinaryCrashEveryMs: 600, ordinaryCrashes: 2, clientAttempts: 3, soundRepeats: 1, soundRepeatShare: 0.6,
		});
	});

	it('should keep the quarantine of a request when daemons restart, are cut off or miss messages', () => {
		play({crashingRequests: ['d1'], clientAttempts: 3, restartAt: 8000});
		play({crashingRequests: ['d1'], clientAttempts: 3, cutAt: 1000}, {excusedUntil: 6000 + STABLE_WINDOW_MS});
		play({crashingRequests: ['d1'], clientAttempts: 3, messageLoss: 0.2});
	});

	it('should hold a request back after three crashes until it is written, and crash it no more within an attempt after two', () => {
		const evidence = CrashEvidence.create();
		for (let at = 0; at < 2000; at += 20) {
			evidence.recordStart(at);
		}

		const kinds = [0, 1, 2].map(index => {
			evidence.recordCrash({server: `i-${index}`, request: `a-${index}`, subjects: ['request-d']}, 2000 + (index * 200));
			return evidence.judgeRequest('request-d', 2000 + (index * 200)).kind;
		});
		expect(kinds).toEqual(['none', 'suspect', 'held']);
		expect(evidence.findCrashing(3000)).toBeUndefined();
		expect(evidence.findCrashing(4000)).toBe('request-d');
		evidence.recordSound('request-d', 4000);
		expect(evidence.judgeRequest('request-d', 4001).kind).toBe('none');
	});

	it('should tell a crashing request from one that met the same crashes beside it', () => {
		for (const [crashing, sound] of [['request-a', 'request-b'], ['request-b', 'request-a']] as const) {
			const evidence = CrashEvidence.create();
			for (let at = 0; at < 2000; at += 20) {
				evidence.recordStart(at);
			}

			for (let index = 0; index < 3; index++) {
				evidence.recordCrash({server: `i-${index}`, request: `c-${index}`, subjects: [crashing]}, 2000 + (index * 200));
				evidence.recordCrash({server: `i-${index}`, request: `s-${index}`, subjects: [sound]}, 2000 + (index * 200));
			}

			expect(['request-a', 'request-b'].map(subject => evidence.judgeRequest(subject, 2400).kind)).toEqual(['suspect', 'held']);
			expect(evidence.findCrashing(4200)).toBeUndefined();
			if (sound === 'request-a') {
				evidence.recordSound(sound, 4200);
			} else {
				evidence.recordCrash({server: 'i-3', request: 'c-3', subjects: [crashing]}, 2700);
			}

			expect(evidence.findCrashing(4300)).toBe(crashing);
			evidence.removeCrashesWith(crashing, 4300);
			expect(evidence.judgeRequest(sound, 4300).kind).toBe('none');
			expect(evidence.findCrashing(6500)).toBeUndefined();
		}
	});

	it('should not take the parts of one repeated request for the reason of its crashes', () => {
		const evidence = CrashEvidence.create();
		for (let index = 0; index < 40; index++) {
			evidence.recordStart(index * 50);
		}

		for (let index = 0; index < 8; index++) {
			evidence.recordCrash({server: `i-${index}`, request: `a-${index}`, subjects: ['first', 'session', 'request-d']}, 2000 + (index * 500));
		}

		expect(evidence.findCrashing(9000)).toBe('request-d');
		evidence.removeCrashesWith('request-d', 9000);
		expect(evidence.findCrashing(9000)).toBeUndefined();
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
