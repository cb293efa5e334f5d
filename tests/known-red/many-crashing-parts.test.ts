import {expect, it} from 'vitest';
import {lateSends, MAX_LATE_REQUESTS} from '../fixtures/crash-rules.js';
import {calmScenario, simulateCrashes} from '../fixtures/crash-simulation.js';

it('should quarantine six crashing parts that begin at once and leave few engines', () => {
	const crashingParts = ['dead-1', 'dead-2', 'dead-3', 'dead-4', 'dead-5', 'dead-6'];
	const result = simulateCrashes({
		...calmScenario, seed: 103, crashingParts, crashingShare: 0.03,
	});
	for (const part of crashingParts) {
		expect(lateSends(result, part), part).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
	}
});

it('should quarantine three crashing parts that begin at once and come before the first part of their prompts', () => {
	const crashingParts = ['dead-1', 'dead-2', 'dead-3'];
	const result = simulateCrashes({
		...calmScenario, seed: 138, crashingParts, crashingFrom: 4000, isCrashingPartFirst: true,
	});
	for (const part of crashingParts) {
		expect(lateSends(result, part), part).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
	}
});

it.each([
	{seed: 105, crashingParts: ['dead-1', 'dead-2', 'dead-3'], crashingFrom: 4000},
	{
		seed: 102, crashingParts: ['dead-1', 'dead-2'], ordinaryCrashEveryMs: 700, ordinaryCrashes: 2,
	},
])('should quarantine no sound part in a fleet with few engines left (seed $seed)', scenario => {
	const {quarantined} = simulateCrashes({...calmScenario, ...scenario});
	expect([...quarantined].filter(part => !scenario.crashingParts.includes(part))).toEqual([]);
});
