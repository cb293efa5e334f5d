import {describe, expect, it} from 'vitest';
import {EventSplitter} from '../src/forwarding/event-splitter.js';
import {nextStep, type RetryState} from '../src/gateway/retry-policy.js';

const state = (more: Partial<RetryState> = {}): RetryState => ({
	kind: {kind: 'idempotent'}, maxAttempts: 2, runs: 1, sends: 1, receivedSends: 1, timeLeftMs: 1000, tryBudget: () => true, ...more,
});
const nonIdempotent = {kind: 'non_idempotent'} as const;

describe('repeat policy', () => {
	it('should repeat what may run again, within its attempts, time and the budget', () => {
		const broken = {kind: 'broken', reason: 'reset'} as const;
		expect(nextStep(broken, state()).kind).toBe('repeat');
		expect(nextStep(broken, state({kind: {kind: 'stream', resumable: true, gapTargetMs: 200}})).kind).toBe('repeat');
		expect(nextStep(broken, state({runs: 2})).kind).toBe('fail');
		expect(nextStep(broken, state({timeLeftMs: 10})).kind).toBe('fail');
		expect(nextStep(broken, state({tryBudget: () => false})).kind).toBe('fail');
	});

	it('should never repeat a non-idempotent request that may have run, nor call it not run', () => {
		expect(nextStep({kind: 'broken', reason: 'reset'}, state({kind: nonIdempotent}))).toMatchObject({kind: 'fail', ran: 'unknown'});
		expect(nextStep({kind: 'answered', status: 500}, state({kind: nonIdempotent})).kind).toBe('deliver');
		expect(nextStep({kind: 'broken', reason: 'reset'}, state({kind: {kind: 'stream', resumable: false, gapTargetMs: 200}})).kind).toBe('fail');
	});

	it('should repeat a rejection of any kind, and say not run only if nothing ran before', () => {
		const rejected = {kind: 'rejected', reason: 'full'} as const;
		expect(nextStep(rejected, state({kind: nonIdempotent, runs: 0})).kind).toBe('repeat');
		expect(nextStep(rejected, state({runs: 0, sends: 4}))).toMatchObject({kind: 'fail', ran: 'not_run'});
		expect(nextStep(rejected, state({runs: 1, sends: 4}))).toMatchObject({kind: 'fail', ran: 'unknown'});
	});

	it('should not spend the budget on servers that could not be reached', () => {
		const rejected = {kind: 'rejected', reason: 'no connection'} as const;
		const empty = {tryBudget: () => false};
		expect(nextStep(rejected, state({runs: 0, receivedSends: 0, ...empty})).kind).toBe('repeat');
		expect(nextStep(rejected, state({runs: 0, receivedSends: 1, ...empty})).kind).toBe('fail');
	});

	it('should tell a request that expired before it was sent from one that was sent', () => {
		expect(nextStep({kind: 'expired', wasSent: false}, state({runs: 0}))).toMatchObject({ran: 'not_run', isExpired: true});
		expect(nextStep({kind: 'expired', wasSent: true}, state({runs: 1}))).toMatchObject({ran: 'unknown', isExpired: true});
	});
});

describe('event splitter', () => {
	it('should return whole events unchanged, however the bytes are cut', () => {
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
