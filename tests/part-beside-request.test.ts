import {expect, it} from 'vitest';
import {lateSends, MAX_LATE_REQUESTS} from './fixtures/crash-rules.js';
import {calmScenario, simulateCrashes, type CrashScenario} from './fixtures/crash-simulation.js';

const both: CrashScenario = {
	...calmScenario, crashingRequests: ['d1'], crashingParts: ['dead-1'], clientAttempts: 3, soundRepeats: 5,
};
const threeRequests: CrashScenario = {
	...calmScenario, crashingRequests: ['d1', 'd2', 'd3'], clientAttempts: 3, crashingFrom: 5000,
};

it('should quarantine a crashing part in time beside a crashing request', () => {
	expect(lateSends(simulateCrashes({...both, seed: 16}), 'dead-1')).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
});

it.each([
	{...both, seed: 10},
	{...both, seed: 15},
	{...threeRequests, seed: 15},
])('should quarantine no sound subject beside several reasons of crashes (seed $seed)', scenario => {
	const {quarantined, causes} = simulateCrashes(scenario);
	const reasons = new Set([...scenario.crashingParts, ...[...causes].map(identity => `request-${identity}`)]);
	expect([...quarantined].filter(subject => !reasons.has(subject))).toEqual([]);
});
