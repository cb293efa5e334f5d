import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {orderPools, poolsOf, type PoolCandidate} from '../src/routing/pool-choice.js';
import {splitPrompt} from '../src/routing/split-prompt.js';
import {sampleModelService} from './fixtures/configurations.js';

const candidate = fc.record({
	failureDomain: fc.constantFrom('a', 'b', 'c'), coordinator: fc.constantFrom('known', 'unknown', 'silent'), waitMs: fc.constantFrom(0, 20, 100, 500),
});

describe('choice of pools', () => {
	it('should put the own failure domain first without a wait, else the smallest wait', () => {
		fc.assert(fc.property(fc.array(candidate, {minLength: 1, maxLength: 8}), fc.nat(), (drafts, turn) => {
			const candidates: readonly PoolCandidate[] = drafts.map((draft, index) => ({...draft, pool: String(index)}));
			const ordered = orderPools(candidates, 'a', turn).map(pool => candidates[Number(pool)]!);
			expect(ordered.map(({pool}) => pool).toSorted()).toEqual(candidates.map(({pool}) => pool).toSorted());
			const states = new Set(candidates.map(({coordinator}) => coordinator));
			const state = (['known', 'unknown', 'silent'] as const).find(value => states.has(value));
			const usable = candidates.filter(({coordinator}) => coordinator === state);
			const near = usable.filter(({failureDomain, waitMs}) => failureDomain === 'a' && waitMs <= 50);
			const best = near.length > 0 ? near : usable;
			expect(best).toContain(ordered[0]);
			expect(ordered[0]!.waitMs).toBe(Math.min(...best.map(({waitMs}) => waitMs)));
		}));
	});

	it('should leave out failure domains that are out, of another region, or not of the service', () => {
		const domains = [
			{name: 'guimaraes', region: 'pt-norte', state: 'in'},
			{name: 'famalicao', region: 'pt-norte', state: 'out'},
			{name: 'braga', region: 'mx-centro', state: 'in'},
			{name: 'porto', region: 'pt-norte', state: 'in'},
		] as const;
		const pools = poolsOf({...sampleModelService, poolShards: 2}, domains, 'pt-norte').map(({pool}) => pool);
		expect(pools).toEqual(['guimaraes/fio-lm/0', 'guimaraes/fio-lm/1']);
	});
});

describe('split prompts', () => {
	it('should be whole again when their parts are joined', () => {
		const text = fc.string({unit: 'grapheme', maxLength: 200});
		fc.assert(fc.property(text, fc.array(fc.nat(20), {minLength: 1, maxLength: 5}), (prompt, tokens) => {
			const parts = splitPrompt(prompt, tokens);
			expect(parts).toHaveLength(tokens.length);
			expect(parts.join('')).toBe(prompt);
		}));
	});
});
