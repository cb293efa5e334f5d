import {describe, expect, it} from 'vitest';
import fc from 'fast-check';
import {estimateTokens, lengthClassOf, lengthClasses} from '../src/util/length-class.js';
import {formatPool, parsePool} from '../src/membership/directory.js';

describe('length classes', () => {
	it('should treat class bounds as exclusive upper bounds', () => {
		expect([7999, 8000, 31_999, 32_000, 99_999, 100_000].map(tokens => lengthClassOf(tokens)))
			.toEqual(['short', 'medium', 'medium', 'long', 'long', 'huge']);
	});

	it('should never assign a longer prompt to a shorter class', () => {
		fc.assert(fc.property(fc.nat(4_000_000), fc.nat(4_000_000), (a, b) => {
			const [low, high] = [Math.min(a, b), Math.max(a, b)].map(bytes => lengthClasses.indexOf(lengthClassOf(estimateTokens(bytes))));
			expect(low).toBeLessThanOrEqual(high!);
		}));
	});
});

describe('pool identity', () => {
	it('should parse what it formats and reject other text', () => {
		const pool = {failureDomain: 'braga', service: 'fio-lm', shard: 2};
		expect(parsePool(formatPool(pool))).toEqual(pool);
		expect(() => parsePool('braga/fio-lm')).toThrow('not a pool identity: braga/fio-lm');
	});
});
