import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {checkConfiguration} from '../src/configuration/check-configuration.js';
import {applyDelta, diffConfigurations} from '../src/configuration/configuration-delta.js';
import {ConfigurationStore} from '../src/configuration/configuration-store.js';
import {
	sampleConfiguration, sampleModelService, samplePlainService, sampleWorkspace,
} from './fixtures/configurations.js';

const check = (input: unknown, allowUnserved = false) => checkConfiguration(input, {allowUnserved});

/** Paths and values of the findings on `input`. */
function findings(input: unknown) {
	const outcome = check(input);
	return outcome.kind === 'refused' ? outcome.findings.map(({path, value}) => [path, value]) : [];
}

describe('configuration check', () => {
	it('should accept the sample configuration', () => {
		expect(check(sampleConfiguration())).toMatchObject({kind: 'accepted'});
	});

	it('should report path, value and rule of all schema errors at once', () => {
		const sample = sampleConfiguration();
		const outcome = check({
			...sample,
			deployment: 'Bad Name',
			colour: 'red',
			services: [{...sample.services[0], warm: {requests: 0, prefillTokens: 1}}],
		});
		expect(outcome).toEqual({
			kind: 'refused',
			findings: [
				{path: 'deployment', value: 'Bad Name', rule: expect.stringContaining('lower-case') as string},
				{path: 'services[0].warm.requests', value: 0, rule: expect.stringContaining('>0') as string},
				{path: 'colour', value: 'red', rule: 'not a field of the configuration'},
			],
		});
	});

	it('should report all broken references at once', () => {
		const mills = sampleWorkspace('mills');
		expect(findings(sampleConfiguration({
			services: [
				{...sampleModelService, failureDomains: ['lisboa', 'braga'], cold: {requests: 33, prefillTokens: 8000}},
				{...samplePlainService, name: 'fio-lm'},
			],
			workspaces: [mills, {
				...mills, name: 'agents', services: ['loom'], priorities: {...mills.priorities, huge: 'later'},
			}],
			objectives: [...sampleConfiguration().objectives, {...sampleConfiguration().objectives[0]!, service: 'loom'}],
		}))).toEqual([
			['services[1].name', 'fio-lm'],
			['services[0].failureDomains[0]', 'lisboa'],
			['services[0].cold.requests', 33],
			['objectives[1].service', 'loom'],
			['workspaces[0].services[1]', 'balcao'],
			['workspaces[1].services[0]', 'loom'],
			['workspaces[1].priorities.huge', 'later'],
			['workspaces[1].apiKeyDigests[0]', mills.apiKeyDigests[0]],
		]);
	});

	it('should refuse a service whose failure domains are all out, unless that is allowed', () => {
		const {failureDomains} = sampleConfiguration();
		const partlyOut = sampleConfiguration({failureDomains: failureDomains.map(domain => ({...domain, state: domain.name === 'guimaraes' ? 'out' : 'in'}))});
		expect(findings(partlyOut)).toEqual([['services[1].failureDomains', ['guimaraes']]]);
		expect(check(partlyOut, true).kind).toBe('accepted');
		const allOut = sampleConfiguration({failureDomains: failureDomains.map(domain => ({...domain, state: 'out'}))});
		expect(findings(allOut)[0]).toEqual(['failureDomains', ['out', 'out', 'out']]);
	});
});

const versions = fc.array(fc.record({version: fc.integer({min: 1, max: 20}), valid: fc.boolean()}));

describe('ConfigurationStore', () => {
	it('should never revert to an older version, in whatever order versions arrive', () => {
		fc.assert(fc.property(versions, offers => {
			const applied: number[] = [];
			const reported: number[] = [];
			const store = ConfigurationStore.create({onInvalid: version => reported.push(version)});
			store.onChange(accepted => applied.push(accepted.version));
			for (const {version, valid} of offers) {
				const before = store.version();
				const isApplied = store.applyIfNewer({version, configuration: valid ? sampleConfiguration() : {}});
				expect(isApplied).toBe(valid && version > before);
				expect(store.version()).toBe(isApplied ? version : before);
			}

			expect(applied).toEqual([...applied].toSorted((a, b) => a - b));
			expect(new Set(reported).size).toBe(reported.length);
		}));
	});
});

/** Configurations that differ in workspaces, failure domains and a section that is not an array. */
const arbitraryConfiguration = fc.record({
	workspaces: fc.uniqueArray(fc.record({name: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), weight: fc.integer({min: 1, max: 2})}), {selector: item => item.name}),
	states: fc.array(fc.constantFrom('in' as const, 'out' as const), {minLength: 1, maxLength: 4}),
	partitions: fc.integer({min: 1, max: 3}),
}).map(({workspaces, states, partitions}) => sampleConfiguration({
	workspaces: workspaces.map(({name, weight}) => sampleWorkspace(name, weight)),
	failureDomains: states.map((state, index) => ({name: `domain-${index}`, region: 'pt-norte', state})),
	claims: {retentionMs: 1000, partitions},
}));

describe('configuration delta', () => {
	it('should produce the target configuration when applied', () => {
		fc.assert(fc.property(arbitraryConfiguration, arbitraryConfiguration, (from, to) => {
			const delta = diffConfigurations(from, to);
			if (delta) {
				expect(applyDelta(from, delta)).toEqual(to);
			} else {
				const before = new Set(from.workspaces.map(({name}) => name));
				expect(to.workspaces.filter(({name}) => before.has(name)).length).toBeGreaterThan(1);
			}
		}));
	});

	it('should contain a single entry for a workspace inserted in the middle', () => {
		const from = sampleConfiguration({workspaces: ['a', 'c'].map(name => sampleWorkspace(name))});
		const to = sampleConfiguration({workspaces: ['a', 'b', 'c'].map(name => sampleWorkspace(name))});
		expect(diffConfigurations(from, to)).toEqual({
			set: [{
				section: 'workspaces', name: 'b', value: sampleWorkspace('b'), at: 1,
			}], removed: [],
		});
	});
});
