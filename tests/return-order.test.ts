import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {MAX_TIME_SHARE, ReturnOrder, type RejectedRequest} from '../src/scheduling/return-order.js';

const rejected: RejectedRequest = {
	service: 'model', rank: 1, timeLeftMs: 60_000, dueInMs: -1, usualMs: 700,
};
const intervalMs = 1000;
const now = 50;

/** Rejects a request as a daemon does that forecasts a place each second, 0.5 s from now first. */
function reject(order: ReturnOrder, request: Partial<RejectedRequest> = {}, {ahead = 0, random = 0.5, at = now} = {}) {
	const advice = order.advise({...rejected, ...request}, {intervalMs, ahead}, random, at);
	order.promise({...rejected, ...request}, advice, at);
	return advice;
}

describe('order of returns', () => {
	it('should give each rejected request the next place behind what waits here and what was promised, and forget a promise when its place has passed', () => {
		const order = ReturnOrder.create();
		expect([0, 1, 2].map(() => reject(order).ms)).toEqual([700, 1700, 2700]);
		expect(reject(order, {service: 'other'}, {ahead: 3}).ms).toBe(3500);
		expect(order.promised(now)).toBe(4);
		expect([reject(order, {}, {at: now + 2000}).ms, order.promised(now + 2000)]).toEqual([1700, 4]);
	});

	it('should place more urgent requests before less urgent ones that were rejected earlier', () => {
		const order = ReturnOrder.create();
		expect([3, 3, 0, 1].map(rank => reject(order, {rank}).ms)).toEqual([700, 1700, 700, 1700]);
	});

	it('should leave a request the usual time if that meets its target and its place does not', () => {
		// Guards against advice that makes a request late: with places alone, fewer contracts of the load were on time than with the usual time.
		const order = ReturnOrder.create();
		reject(order);
		expect(reject(order, {dueInMs: 1500})).toMatchObject({kind: 'target', ms: 700, placeMs: 1700});
		expect(reject(order, {dueInMs: 1800})).toMatchObject({kind: 'place', ms: 1700});
	});

	it('should begin anew in a daemon that has restarted and forgotten its promises', () => {
		reject(ReturnOrder.create());
		expect(reject(ReturnOrder.create()).ms).toBe(700);
	});

	it('should never tell a client more than it honours or a place that is promised, and say which clients compete', () => {
		const request = fc.record({
			rank: fc.nat(3), timeLeftMs: fc.integer({min: -100, max: 30_000}), dueInMs: fc.integer({min: -1000, max: 4000}), usualMs: fc.integer({min: 0, max: 3000}), random: fc.nat(99),
		});
		fc.assert(fc.property(fc.array(request, {maxLength: 400}), requests => {
			const order = ReturnOrder.create();
			const places: Array<{readonly rank: number; readonly ms: number}> = [];
			for (const {random, ...fields} of requests) {
				const {kind, ms, placeMs} = reject(order, fields, {random: random / 100});
				const latestMs = Math.max(0, MAX_TIME_SHARE * fields.timeLeftMs);
				expect(ms).toBeLessThanOrEqual(latestMs);
				expect(ms).toBeGreaterThanOrEqual(Math.min(fields.usualMs, latestMs));
				expect(kind === 'place').toBe(ms === placeMs && placeMs < latestMs && !(placeMs > fields.dueInMs && fields.usualMs < fields.dueInMs));
				if (kind === 'place') {
					expect(places.filter(other => other.rank <= fields.rank && Math.abs(other.ms - ms) < intervalMs - 0.001)).toEqual([]);
					places.push({rank: fields.rank, ms});
				}
			}
		}));
	});
});
