import {describe, expect, it} from 'vitest';
import {ExpiringSet} from '../src/util/expiring-set.js';
import {chooseWeighted} from '../src/util/weighted-choice.js';

describe('expiring set', () => {
	it('should contain a member until its expiry time, which can be extended but not shortened', () => {
		const set = ExpiringSet.create();
		expect(set.add('a', 100, 0)).toBe(true);
		expect(set.add('a', 50, 10)).toBe(false);
		expect([set.has('a', 99), set.has('a', 100), set.has('b', 0)]).toEqual([true, false, false]);
		expect(set.add('a', 200, 100)).toBe(true);
	});
});

describe('weighted choice', () => {
	it('should choose in proportion to the weights, whatever their sum', () => {
		const items = [['a', 1], ['b', 3]] as const;
		const choose = (uniform: number) => chooseWeighted(items, ([, weight]) => weight, uniform)?.[0];
		expect([0, 0.24, 0.26, 0.999].map(uniform => choose(uniform))).toEqual(['a', 'a', 'b', 'b']);
		expect(chooseWeighted<number>([], weight => weight, 0)).toBeUndefined();
	});
});
