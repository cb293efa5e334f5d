import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RouteDurations} from '../src/gateway/route-durations.js';
import {isTakenDuringStop, planStop, type LateRequest} from '../src/gateway/stop-policy.js';

const GRACE_MS = 8000;
const CALL_MS = 90;

const call: LateRequest = {
	kind: {kind: 'non_idempotent'}, timeoutMs: 10_000, targetLatencyMs: 300, usualMs: CALL_MS,
};
const stream: LateRequest = {...call, kind: {kind: 'stream', resumable: true, gapTargetMs: 200}};

const anyRequest = fc.record({
	kind: fc.constantFrom(call.kind, stream.kind, {kind: 'idempotent'} as const),
	timeoutMs: fc.double({min: 0, max: 30_000, noNaN: true}),
	targetLatencyMs: fc.double({min: 1, max: 15_000, noNaN: true}),
	usualMs: fc.option(fc.double({min: 0, max: 30_000, noNaN: true}), {nil: undefined}),
});

describe('plan of a stop', () => {
	it('should answer in the last sixth of any grace, and exit before its end', () => {
		fc.assert(fc.property(fc.double({min: 1, max: 120_000, noNaN: true}), fc.double({min: 0, max: 1e9, noNaN: true}), (graceMs, now) => {
			const {balancedUntil, answersAt, exitAt} = planStop(graceMs, now);
			const tolerance = 1e-6;
			expect(balancedUntil).toBeGreaterThanOrEqual(now);
			expect(answersAt).toBeGreaterThanOrEqual(balancedUntil);
			expect(answersAt - now).toBeGreaterThanOrEqual((graceMs * 5 / 6) - tolerance);
			expect(exitAt).toBeGreaterThanOrEqual(answersAt);
			expect(exitAt).toBeLessThanOrEqual(now + graceMs);
		}));
	});
});

describe('requests during a stop', () => {
	const plan = planStop(GRACE_MS, 0);

	it('should serve short calls during nearly all of the grace, and begin none that ends after the final responses', () => {
		const taken: number[] = [];
		for (let now = 0; now < GRACE_MS; now += 10) {
			if (isTakenDuringStop(call, plan, now)) {
				taken.push(now);
			}
		}

		expect(taken.at(-1)! + CALL_MS).toBeLessThan(plan.answersAt);
		expect(taken.length * 10).toBeGreaterThan(GRACE_MS * 0.8);
	});

	it('should refuse a call whose usual time does not fit, and one without history by its target', () => {
		expect(isTakenDuringStop({...call, usualMs: 2800}, plan, 4000)).toBe(false);
		expect(isTakenDuringStop({...call, usualMs: 2800}, plan, 2500)).toBe(true);
		expect(isTakenDuringStop({...call, usualMs: undefined, targetLatencyMs: 5000}, plan, 0)).toBe(false);
		expect(isTakenDuringStop({...call, usualMs: undefined}, plan, 0)).toBe(true);
	});

	it('should leave less room to a request that may be repeated than to one that may not', () => {
		const now = plan.answersAt - 1000;
		expect(isTakenDuringStop({...call, usualMs: 800}, plan, now)).toBe(false);
		expect(isTakenDuringStop({...call, kind: {kind: 'idempotent'}, usualMs: 800}, plan, now)).toBe(true);
	});

	it('should begin no stream that might be broken off once clients have another daemon', () => {
		expect(isTakenDuringStop(stream, plan, plan.balancedUntil)).toBe(true);
		expect(isTakenDuringStop(stream, plan, plan.balancedUntil + 1)).toBe(false);
		expect(isTakenDuringStop({...stream, timeoutMs: 2000}, plan, plan.balancedUntil + 1)).toBe(true);
	});

	it('should take a request at any earlier time if it takes it at a later one', () => {
		fc.assert(fc.property(anyRequest, fc.double({min: 0, max: GRACE_MS, noNaN: true}), fc.double({min: 0, max: GRACE_MS, noNaN: true}), (request, a, b) => {
			fc.pre(isTakenDuringStop(request, plan, Math.max(a, b)));
			expect(isTakenDuringStop(request, plan, Math.min(a, b))).toBe(true);
		}));
	});

	it('should take nothing after the final responses', () => {
		fc.assert(fc.property(anyRequest, request => {
			expect(isTakenDuringStop({...request, timeoutMs: request.timeoutMs + 1}, plan, plan.answersAt)).toBe(false);
		}));
	});
});

describe('durations of a route', () => {
	it('should tell the longest of the last requests, and forget routes that are gone', () => {
		const durations = RouteDurations.create();
		expect(durations.longestMs('book')).toBeUndefined();
		durations.record('book', 3000);
		durations.record('book', 90);
		expect(durations.longestMs('book')).toBe(3000);
		for (let index = 0; index < 20; index++) {
			durations.record('book', 80);
		}

		expect(durations.longestMs('book')).toBe(80);
		durations.keepOnly(new Set(['look']));
		expect(durations.longestMs('book')).toBeUndefined();
	});
});
