import {describe, expect, it} from 'vitest';
import {EventSplitter} from '../src/forwarding/event-splitter.js';
import {nextStep, type AttemptOutcome, type RetryState} from '../src/gateway/retry-policy.js';

const createState = (overrides: Partial<RetryState> = {}): RetryState => ({
	kind: {kind: 'idempotent'},
	maxAttempts: 2,
	runs: 1,
	sends: 1,
	receivedSends: 1,
	unconnectedSends: 0,
	hasPatience: true,
	waits: 0,
	timeLeftMs: 1000,
	isOtherRunning: false,
	tryBudget: () => true,
	...overrides,
});
const nonIdempotent = {kind: 'non_idempotent'} as const;

describe('retry policy', () => {
	it('should retry a request that may run again, within the limits of attempts, time and retry budget', () => {
		const interrupted = {kind: 'broken', reason: 'reset'} as const;
		expect(nextStep(interrupted, createState()).kind).toBe('repeat');
		expect(nextStep(interrupted, createState({kind: {kind: 'stream', resumable: true, gapTargetMs: 200}})).kind).toBe('repeat');
		expect(nextStep(interrupted, createState({runs: 2})).kind).toBe('fail');
		expect(nextStep(interrupted, createState({timeLeftMs: 10})).kind).toBe('fail');
		expect(nextStep(interrupted, createState({tryBudget: () => false})).kind).toBe('fail');
	});

	it('should never retry a non-idempotent request that may have run, nor report it as not run', () => {
		expect(nextStep({kind: 'broken', reason: 'reset'}, createState({kind: nonIdempotent}))).toMatchObject({kind: 'fail', ran: 'unknown'});
		expect(nextStep({kind: 'answered', status: 500}, createState({kind: nonIdempotent})).kind).toBe('deliver');
		expect(nextStep({kind: 'broken', reason: 'reset'}, createState({kind: {kind: 'stream', resumable: false, gapTargetMs: 200}})).kind).toBe('fail');
	});

	it('should retry a rejected request of any kind, and report it as not run only if no earlier attempt may have run', () => {
		const rejected = {kind: 'rejected', reason: 'full'} as const;
		expect(nextStep(rejected, createState({kind: nonIdempotent, runs: 0})).kind).toBe('repeat');
		expect(nextStep(rejected, createState({runs: 0, sends: 4}))).toMatchObject({kind: 'fail', ran: 'not_run'});
		expect(nextStep(rejected, createState({runs: 1, sends: 4}))).toMatchObject({kind: 'fail', ran: 'unknown'});
	});

	it('should not charge the retry budget for servers that could not be reached', () => {
		const rejected = {kind: 'rejected', reason: 'no connection'} as const;
		const exhaustedBudget = {tryBudget: () => false};
		expect(nextStep(rejected, createState({runs: 0, receivedSends: 0, ...exhaustedBudget})).kind).toBe('repeat');
		expect(nextStep(rejected, createState({runs: 0, receivedSends: 1, ...exhaustedBudget})).kind).toBe('fail');
	});

	// Guards against a decision on the end of one attempt that ignores what the other one may still show.
	it.each([
		['has delivered', {kind: 'delivered'}, 'finished', 'finished'],
		['has found that the client has all events', {kind: 'nothing_left'}, 'finished', 'finished'],
		['has an answer', {kind: 'answered', status: 200}, 'deliver', 'deliver'],
		['has a refusal that the server means', {kind: 'answered', status: 400}, 'deliver', 'deliver'],
		['has failed at the server', {kind: 'answered', status: 500}, 'wait', 'repeat'],
		['was refused', {kind: 'rejected', reason: 'full'}, 'wait', 'repeat'],
		['broke off', {kind: 'broken', reason: 'reset'}, 'wait', 'repeat'],
		['was overtaken', {kind: 'aborted'}, 'wait', 'finished'],
		['has expired', {kind: 'expired', wasSent: true}, 'wait', 'fail'],
	] as ReadonlyArray<readonly [string, AttemptOutcome, string, string]>)('should decide on an attempt that %s by whether another one is going on', (_, outcome, beside, alone) => {
		const tokens: string[] = [];
		const tryBudget = (): boolean => tokens.push('token') > 0;
		expect(nextStep(outcome, createState({isOtherRunning: true, tryBudget})).kind).toBe(beside);
		expect(tokens).toEqual([]);
		expect(nextStep(outcome, createState()).kind).toBe(alone);
	});

	it('should distinguish a request that expired before it was sent from one that had been sent', () => {
		expect(nextStep({kind: 'expired', wasSent: false}, createState({runs: 0}))).toMatchObject({ran: 'not_run', isExpired: true});
		expect(nextStep({kind: 'expired', wasSent: true}, createState({runs: 1}))).toMatchObject({ran: 'unknown', isExpired: true});
	});
});

describe('event splitter', () => {
	it('should return complete events unchanged for any chunk size', () => {
		const text = 'id: 1\ndata: a\n\nfireflyport-weight-versions: 2\nid: 2\ndata: b\r\n\r\nid:3\ndata: c\n\nid: 4\nda';
		for (let size = 1; size < 20; size++) {
			const splitter = EventSplitter.create();
			const events = [];
			for (let start = 0; start < text.length; start += size) {
				events.push(...splitter.push(new TextEncoder().encode(text.slice(start, start + size))));
			}

			expect(events.map(({id}) => id)).toEqual([1, 2, 3]);
			expect(events.map(({bytes}) => new TextDecoder().decode(bytes)).join('')).toBe(text.slice(0, -8));
			expect(splitter.pendingBytes).toBe(8);
		}
	});
});
