import {describe, expect, it} from 'vitest';
import {expectedText} from '../testing/expected-token.js';
import {
	checkInvariants, invariants, type ObservedCompletion, type ObservedEngine, type ObservedPlainCall, type ObservedService, type Observations,
} from '../testing/invariants.js';
import type {CompletionRecord} from '../testing/load/completion-client.js';

const record: CompletionRecord = {
	target: 'd',
	lengthClass: 'short',
	promptTokens: 1,
	startedAt: 0,
	firstTokenMs: 5,
	tokenGapsMs: [],
	totalMs: 900,
	tokens: [expectedText('p1', 2)],
	requestId: 'r',
	outcome: {kind: 'finished'},
};
const completion: ObservedCompletion = {
	record, prompt: 'p1', promptHead: 'p1', maxTokens: 2, lengthClass: 'short', deadlineMs: 1000, daemonUnavailable: false,
};
const booking: ObservedPlainCall = {
	operation: 'o1',
	daemon: 'd',
	startedAt: 0,
	totalMs: 20,
	deadlineMs: 1000,
	outcome: {
		kind: 'answered', status: 200, repeated: false, body: '{"operation":"o1"}',
	},
	daemonUnavailable: false,
};
const engine: ObservedEngine = {
	id: 'e', coldRequests: 2, maxColdRequests: 2, overloadCrashes: 0, coldPrefillTokens: 8000, maxColdPrefillTokens: 8000, held: 0, startsByPrompt: {p1: 1, p2: 1},
};
const service: ObservedService = {
	id: 's', coldRequests: 2, maxColdRequests: 0, overloadCrashes: 0, operations: {o1: 1},
};
const validRun: Observations = {
	completions: [completion], plainCalls: [booking], engines: [engine], services: [service], configurationVersions: {'d.i': [1, 1, 4]},
};
const refusedNotRun = {
	kind: 'refused', code: 'overloaded', ran: 'not_run', status: 429,
} as const;

describe('invariants', () => {
	it('should report no violation for a valid run', () => {
		expect(checkInvariants(validRun)).toEqual([]);
		expect(invariants).toHaveLength(8);
	});

	const violatingCases: ReadonlyArray<readonly [string, string, Partial<Observations>]> = [
		['an operation executed at two services', 'operations run at most once', {services: [service, {...service, id: 's2'}]}],
		['an executed operation that was answered not_run', 'not_run is true', {
			plainCalls: [{
				...booking, outcome: {
					kind: 'refused', code: 'claim_unavailable', ran: 'not_run', message: '',
				},
			}],
		}],
		['a started prompt that was answered not_run', 'not_run is true', {completions: [{...completion, record: {...record, tokens: [], outcome: refusedNotRun}}]}],
		['a missing token', 'answers are whole', {completions: [{...completion, record: {...record, tokens: [expectedText('p1', 1)]}}]}],
		['tokens of another prompt', 'answers are whole', {completions: [{...completion, record: {...record, tokens: [expectedText('p2', 2)]}}]}],
		['a broken answer that does not start with the expected text', 'answers are whole', {completions: [{...completion, record: {...record, tokens: ['x'], outcome: {kind: 'cut', message: ''}}}]}],
		['a booking with the answer of another caller', 'bookings receive their own answer', {plainCalls: [{...booking, operation: 'o2'}]}],
		['a cold engine with too many requests', 'cold limits are kept', {engines: [{...engine, maxColdRequests: 3}]}],
		['a cold engine with too many prefill tokens', 'cold limits are kept', {engines: [{...engine, maxColdPrefillTokens: 8001}]}],
		['a crash due to overload', 'cold limits are kept', {services: [{...service, overloadCrashes: 1}]}],
		['a stream that is still held by an engine', 'engines free their memory', {engines: [{...engine, held: 1}]}],
		['a decreasing configuration version', 'configuration versions never decrease', {configurationVersions: {'d.i': [1, 4, 3]}}],
		['a prompt that ended after its deadline', 'requests end by their deadline', {completions: [{...completion, record: {...record, totalMs: 2001}}]}],
		['a booking that ended after its deadline', 'requests end by their deadline', {plainCalls: [{...booking, totalMs: 2001}]}],
	];

	it.each(violatingCases)('should report %s', (_, invariant, changes) => {
		expect(checkInvariants({...validRun, ...changes}).map(violation => violation.invariant)).toEqual([invariant]);
	});

	it('should have a violating case for each invariant', () => {
		expect(new Set(violatingCases.map(([, invariant]) => invariant))).toEqual(new Set(invariants));
	});

	it('should allow a late end when the daemon of the request was frozen', () => {
		expect(checkInvariants({...validRun, completions: [{...completion, daemonUnavailable: true, record: {...record, totalMs: 60_000}}]})).toEqual([]);
	});
});
