import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {shareOf, WorkspaceLimits} from '../src/capacity/workspace-limits.js';
import {configurationOf, modelService, workspaceOf} from './fixtures/capacity-fixtures.js';

const POOL = 'braga/fio-lm/0';
const MODE = {kind: 'full', unconfirmed: 0} as const;

const configurations = fc.record({
	concurrentRequests: fc.integer({min: 1, max: 6}),
	poolShards: fc.integer({min: 1, max: 3}),
	failureDomains: fc.constantFrom(['braga'], ['braga', 'guimaraes']),
}).map(({concurrentRequests, ...pools}) => configurationOf({
	failureDomains: [{name: 'braga', region: 'pt-norte', state: 'in'}, {name: 'guimaraes', region: 'pt-norte', state: 'in'}],
	services: [{...modelService, ...pools}],
	workspaces: [workspaceOf('orders', 1, {requestsPerSecond: 1000, promptTokensPerMinute: 1e9, concurrentRequests})],
}));

describe('workspace limits', () => {
	// Guards against enforcing an outdated share after the limit or the number of pools changed.
	it('should enforce the share of the current configuration after any changes', () => {
		fc.assert(fc.property(fc.array(configurations, {minLength: 2, maxLength: 4}), changes => {
			const [first, ...others] = changes;
			const limits = WorkspaceLimits.create({pool: POOL, configuration: first!, startsFull: true});
			limits.register('orders', 0);
			limits.release('orders', 0);
			for (const configuration of others) {
				limits.setConfiguration(configuration, 0);
			}

			const last = changes.at(-1)!;
			const share = shareOf(last.workspaces[0]!, POOL, last).concurrentRequests;
			const checks = Array.from({length: share + 1}, () => limits.tryAcquire('orders', 1, MODE, 0).kind);
			expect(checks).toEqual([...Array.from({length: share}, () => 'within'), 'exceeded']);
		}));
	});

	// Guards against assigning prompt tokens to pools of plain services, which use none.
	it('should divide prompt tokens among the pools of model services only', () => {
		const plain = {
			kind: 'plain' as const,
			name: 'balcao',
			failureDomains: ['braga'],
			warm: {requests: 8},
			cold: {requests: 2},
			operationIdentity: 'unchecked' as const,
			routes: [{
				method: 'GET' as const, pathPrefix: '/', idempotent: true, timeoutMs: 1000,
			}],
			poolShards: 1,
		};
		const workspace = {...workspaceOf('orders', 1, {requestsPerSecond: 10, promptTokensPerMinute: 60_000, concurrentRequests: 4}), services: ['fio-lm', 'balcao']};
		const configuration = configurationOf({services: [modelService, plain], workspaces: [workspace]});
		expect(shareOf(workspace, POOL, configuration)).toMatchObject({promptTokensPerMs: 1, concurrentRequests: 2});
	});
});
