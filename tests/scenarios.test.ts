import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {
	describe, expect, it,
} from 'vitest';
import {parseScenario} from '../testing/scenario/parse-scenario.js';
import {runScenario} from '../testing/scenario/run-scenario.js';

const scenarioFolder = path.join(import.meta.dirname, 'scenarios');
const readScenario = (name: string) => parseScenario(readFileSync(path.join(scenarioFolder, name), 'utf8'));

const SEED = 1;

/** Scenarios of at most ten seconds; `npm run scenario` runs the others. They start the built programs, so `npm test` builds first. */
const shortScenarios = ['booking-at-most-once', 'planned-shutdown', 'domain-out', 'cold-engine', 'leaving-engine', 'silent-connections'];

describe('scenario files', () => {
	it.each(readdirSync(scenarioFolder))('should parse: %s', name => {
		expect(readScenario(name).expectations.length).toBeGreaterThan(0);
	});
});

describe('scenarios', () => {
	it.each(shortScenarios)(`should pass: %s, seed ${SEED}`, async name => {
		const {violations, expectations, summary} = await runScenario(readScenario(`${name}.scenario`), {seed: SEED});
		const notMet = expectations.filter(({ok}) => !ok).map(({text, detail}) => `${text} (${detail})`);
		expect({violations, notMet, summary: notMet.length > 0 ? summary : ''}).toEqual({violations: [], notMet: [], summary: ''});
	}, 60_000);
});
