import {describe, expect, it} from 'vitest';
import * as frialia from '../examples/frialia.js';
import * as sacaria from '../examples/sacaria.js';
import {checkConfiguration} from '../src/configuration/check-configuration.js';
import {
	branches, DeclarationError, deployment, digestApiKey, modelService, type Branch, type DeploymentDeclaration,
} from '../src/operator/index.js';

const sharedRules = {
	services: ['loom'],
	priorities: {
		short: 'first', medium: 'first', long: 'second', huge: 'second',
	},
	weight: 2,
	limits: {requestsPerSecond: 10, concurrentRequests: 5, promptTokensPerMinute: 1000},
};

const branch = (name: string, exceptions: Partial<Branch> = {}): Branch => ({apiKeyDigests: [digestApiKey(name)], ...exceptions});

const declaration: DeploymentDeclaration = {
	name: 'weave',
	regions: {north: ['a', 'b']},
	priorities: ['first', 'second'],
	services: {
		loom: modelService({
			models: [{name: 'loom', version: '1'}],
			warm: {requests: 8, prefillTokens: 1000},
			cold: {requests: 1, prefillTokens: 100},
			kvTokens: 1000,
			prefillTokensPerSecond: 1000,
			decodeTokensPerSecond: 10,
			fencing: 'checked',
		}),
	},
	objectives: {},
	workspaces: branches(sharedRules, {mills: branch('mills')}),
	weightStore: {loadsPerMinute: 1},
};

describe('operator library', () => {
	it('should apply the exceptions of a branch to the shared rules and keep the other fields', () => {
		const [plain, special] = branches(sharedRules, {
			plain: branch('plain'),
			special: branch('special', {priorities: {long: 'first'}, weight: shared => shared + 1, limits: {requestsPerSecond: shared => shared * 3, concurrentRequests: 7}}),
		});
		expect(plain).toEqual({name: 'plain', apiKeyDigests: [digestApiKey('plain')], ...sharedRules});
		expect(special).toMatchObject({
			priorities: {...sharedRules.priorities, long: 'first'},
			weight: 3,
			limits: {requestsPerSecond: 30, concurrentRequests: 7, promptTokensPerMinute: 1000},
		});
	});

	it('should report every fault with its branch or service and its field', () => {
		const faultyDeclaration = {
			...declaration,
			out: ['c'],
			workspaces: branches(sharedRules, {
				mills: branch('mills', {limits: {requestsPerSecond: () => 0}}),
				agents: branch('agents', {colour: 'red'} as Partial<Branch>),
			}),
		};
		const error = (() => {
			try {
				return deployment(faultyDeclaration);
			} catch (err) {
				return err;
			}
		})();
		expect(error).toBeInstanceOf(DeclarationError);
		expect((error as DeclarationError).faults).toMatchObject([
			{item: 'deployment', field: 'out', value: 'c'},
			{item: 'branch mills', field: 'limits.requestsPerSecond', value: 0},
			{item: 'branch agents', field: 'colour', value: 'red'},
		]);
		expect((error as DeclarationError).message).toContain('- branch mills, limits.requestsPerSecond:');
	});
});

describe.each([['sacaria', sacaria], ['frialia', frialia]] as const)('example %s', (_name, {configuration, exampleKeys}) => {
	it('should be accepted, hold digests only and need three engines for the longest prompts', () => {
		expect(checkConfiguration(structuredClone(configuration), {allowUnserved: false}).kind).toBe('accepted');
		const text = JSON.stringify(configuration);
		for (const key of Object.values(exampleKeys)) {
			expect(text).not.toContain(key);
			expect(text).toContain(digestApiKey(key));
		}

		const engines = configuration.services.flatMap(service => service.kind === 'model' ? [Math.ceil(1_000_000 / service.kvTokens)] : []);
		expect(engines).toEqual([3]);
	});
});
