import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {
	describe, expect, it,
} from 'vitest';
import {parseScenario} from '../testing/scenario/parse-scenario.js';
import {runScenario} from '../testing/scenario/run-scenario.js';

const folder = path.join(import.meta.dirname, 'scenarios');
const read = (name: string) => parseScenario(readFileSync(path.join(folder, name), 'utf8'));

const SEED = 1;

/** They start the built programs, so `npm test` builds first. Scenarios of at most ten seconds; the others are run by `npm run scenario`. */
const fast = ['booking-at-most-once', 'planned-shutdown', 'domain-out', 'cold-engine', 'leaving-engine', 'silent-connections'];

describe('scenario files', () => {
	it.each(readdirSync(folder))('should be readable: %s', name => {
		expect(read(name).expectations.length).toBeGreaterThan(0);
	});
});

describe('scenarios', () => {
	it.each(fast)(`should pass: %s, seed ${SEED}`, async name => {
		const {violations, expectations, summary} = await runScenario(read(`${name}.scenario`), {seed: SEED});
		const notMet = expectations.filter(({ok}) => !ok).map(({text, detail}) => `${text} (${detail})`);
		expect({violations, notMet, summary: notMet.length > 0 ? summary : ''}).toEqual({violations: [], notMet: [], summary: ''});
	}, 60_000);
});
