import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {requestRank, UrgencyScale, type RankedRoute} from '../src/scheduling/request-rank.js';

const route = (service: string, priority: number, isAnonymous = false): RankedRoute => ({priority, services: [{service}], isAnonymous});

describe('rank of a request', () => {
	it('should be the priority of the workspace, or else that of the route', () => {
		expect(requestRank({priority: 2}, {priority: 0})).toBe(0);
		expect(requestRank({priority: 2}, {priority: undefined})).toBe(2);
		expect(requestRank({priority: 2}, undefined)).toBe(2);
	});
});

describe('urgency', () => {
	it('should be absent where all requests to a service have one rank, so that engines are asked as before', () => {
		const scale = UrgencyScale.create({routes: [route('a', 1), route('a', 1), route('b', 2)], workspaces: [{priority: undefined}]});
		expect(scale.urgency('a', 1)).toBeUndefined();
		expect(scale.urgency('b', 2)).toBeUndefined();
		expect(scale.urgency('unknown', 1)).toBeUndefined();
	});

	it('should be absent where every workspace overrides routes that differ by one priority', () => {
		const routes = [route('a', 1), route('a', 3)];
		const workspaces = [{priority: 4}, {priority: 4}];
		expect(UrgencyScale.create({routes, workspaces}).urgency('a', 4)).toBeUndefined();
		expect(UrgencyScale.create({routes: [route('a', 1, true)], workspaces}).urgency('a', 1)).toBe(0);
		expect(UrgencyScale.create({routes: [route('a', 1, true)], workspaces}).urgency('a', 4)).toBe(9);
	});

	it('should keep the order of all ranks of a service, from 0 to 9', () => {
		fc.assert(fc.property(fc.uniqueArray(fc.nat(50), {minLength: 2, maxLength: 14}), fc.array(fc.option(fc.nat(50), {nil: undefined}), {maxLength: 5}), (priorities, own) => {
			const workspaces = [{priority: undefined}, ...own.map(priority => ({priority}))];
			const scale = UrgencyScale.create({routes: priorities.map(priority => route('a', priority)), workspaces});
			const ranks = [...new Set([...priorities, ...own.filter(priority => priority !== undefined)])].sort((a, b) => a - b);
			const urgencies = ranks.map(rank => scale.urgency('a', rank)!);
			expect(urgencies).toEqual([...urgencies].sort((a, b) => a - b));
			expect([urgencies[0], urgencies.at(-1)]).toEqual([0, 9]);
			if (ranks.length <= 10) {
				expect(new Set(urgencies).size).toBe(ranks.length);
			}
		}));
	});
});
