import fc from 'fast-check';
import {
	describe, expect, it,
} from 'vitest';
import {EnginePace} from '../src/placement/engine-pace.js';

function recordNormal(pace: EnginePace): void {
	for (const server of otherEngines) {
		record(pace, server, {count: 5, slowness: 1});
	}
}

/** Records `count` first events of prompts on `server` and `helpers` that took `slowness` times as long as expected. */
function record(pace: EnginePace, server: string, options: {readonly count: number; readonly slowness: number; readonly helpers?: readonly string[]}): void {
	for (let index = 0; index < options.count; index++) {
		pace.recordStart({
			server, helpers: options.helpers ?? [], expectedMs: 100, placedAt: 0, startedAt: 100 * options.slowness,
		});
	}
}

/** An engine is judged beside others that run normally. */
const otherEngines = ['e-1', 'e-2', 'e-3', 'e-4'];

describe('pace of engines', () => {
	it('should find an engine that takes several times as long as expected, and no other', () => {
		const pace = EnginePace.create();
		recordNormal(pace);
		record(pace, 'slow', {count: 5, slowness: 4});
		record(pace, 'normal', {count: 5, slowness: 1.2});
		expect(pace.paceOf('slow', 400)).toBeGreaterThan(2);
		expect(pace.paceOf('normal', 400)).toBe(1);
		expect(pace.paceOf('unknown', 400)).toBe(1);
	});

	it('should not blame an engine for single late events or for a slow one in some of its groups', () => {
		const pace = EnginePace.create();
		recordNormal(pace);
		record(pace, 'normal', {count: 5, slowness: 1});
		record(pace, 'normal', {count: 3, slowness: 6, helpers: ['slow']});
		expect(pace.paceOf('normal', 600)).toBe(1);
		expect(pace.paceOf('slow', 600)).toBeGreaterThan(2);
	});

	it('should not call engines slow when the whole fleet is late', () => {
		const pace = EnginePace.create();
		for (const server of otherEngines) {
			record(pace, server, {count: 5, slowness: 4});
		}

		expect(otherEngines.map(server => pace.paceOf(server, 400))).toEqual([1, 1, 1, 1]);
	});

	it('should not judge from fewer than three events', () => {
		const pace = EnginePace.create();
		record(pace, 'e-1', {count: 2, slowness: 10});
		expect(pace.paceOf('e-1', 1000)).toBe(1);
	});

	it('should try an avoided engine again after some seconds', () => {
		const pace = EnginePace.create();
		recordNormal(pace);
		record(pace, 'slow', {count: 5, slowness: 4});
		expect(pace.paceOf('slow', 400 + 20_000)).toBeLessThan(1.2);
	});

	it('should stay between 1 and its maximum, whatever is recorded', () => {
		fc.assert(fc.property(fc.array(fc.record({expectedMs: fc.double({noNaN: true}), startedAt: fc.double({noNaN: true})})), fc.double({noNaN: true}), (events, now) => {
			const pace = EnginePace.create();
			for (const event of events) {
				pace.recordStart({
					server: 'e-1', helpers: [], placedAt: 0, ...event,
				});
			}

			const estimate = pace.paceOf('e-1', now);
			expect(estimate).toBeGreaterThanOrEqual(1);
			expect(estimate).toBeLessThanOrEqual(8);
		}));
	});
});
