import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {sortPools, activePoolsOf, type PoolCandidate} from '../src/routing/pool-choice.js';
import {splitPrompt} from '../src/routing/split-prompt.js';
import type {Directory, PoolLease} from '../src/membership/directory.js';
import {Reservations} from '../src/routing/reservations.js';
import type {ReservationOutcome} from '../src/routing/reservation.js';
import {monotonicMs} from '../src/util/clock.js';
import {sampleConfiguration, sampleModelService} from './fixtures/configurations.js';
import {GrantingPoolClient} from './fixtures/granting-pool-client.js';
import {requestOf} from './fixtures/capacity-fixtures.js';

const candidate = fc.record({
	failureDomain: fc.constantFrom('a', 'b', 'c'), coordinator: fc.constantFrom('known', 'unknown', 'silent'), waitMs: fc.constantFrom(0, 20, 100, 500),
});

describe('order of pools', () => {
	it('should put a pool of the local failure domain first if its wait is short, otherwise the pool with the shortest wait', () => {
		fc.assert(fc.property(fc.array(candidate, {minLength: 1, maxLength: 8}), fc.nat(), (drafts, rotation) => {
			const candidates: readonly PoolCandidate[] = drafts.map((draft, index) => ({...draft, pool: String(index)}));
			const ordered = sortPools(candidates, 'a', rotation).map(pool => candidates[Number(pool)]!);
			expect(ordered.map(({pool}) => pool).toSorted()).toEqual(candidates.map(({pool}) => pool).toSorted());
			const presentStates = new Set(candidates.map(({coordinator}) => coordinator));
			const bestState = (['known', 'unknown', 'silent'] as const).find(value => presentStates.has(value));
			const usable = candidates.filter(({coordinator}) => coordinator === bestState);
			const local = usable.filter(({failureDomain, waitMs}) => failureDomain === 'a' && waitMs <= 50);
			const best = local.length > 0 ? local : usable;
			expect(best).toContain(ordered[0]);
			expect(ordered[0]!.waitMs).toBe(Math.min(...best.map(({waitMs}) => waitMs)));
		}));
	});

	it('should exclude failure domains that are out, in another region, or not used by the service', () => {
		const domains = [
			{name: 'guimaraes', region: 'pt-norte', state: 'in'},
			{name: 'famalicao', region: 'pt-norte', state: 'out'},
			{name: 'braga', region: 'mx-centro', state: 'in'},
			{name: 'porto', region: 'pt-norte', state: 'in'},
		] as const;
		const pools = activePoolsOf({...sampleModelService, poolShards: 2}, domains, 'pt-norte').map(({pool}) => pool);
		expect(pools).toEqual(['guimaraes/fio-lm/0', 'guimaraes/fio-lm/1']);
	});
});

describe('reservations', () => {
	it('should leave the queue of a pool that grants nothing, try another pool, and avoid the first one afterwards', async () => {
		const self = {
			id: 'd1', incarnation: 'i1', peerAddress: '', address: '', region: 'pt-norte', failureDomain: 'braga', renewal: 1, draining: false,
		};
		const lease: PoolLease = {
			pool: '', owner: 'd1', incarnation: 'i1', peerAddress: '', epoch: 1, renewal: 1, unconfirmed: [],
		};
		const directory: Directory = {
			self, members: () => [self], poolLease: () => lease, hosts: () => [], refresh: () => undefined,
		};
		const grantingPools = new GrantingPoolClient(['127.0.0.1:1']);
		const requestedDomains: string[] = [];
		const reservations = Reservations.create({
			directory,
			clock: monotonicMs,
			configuration: {current: () => ({version: 1, configuration: sampleConfiguration()}), onChange: () => () => undefined},
			client: {
				isAlive: async () => true,
				async reserve(request, {signal}): Promise<ReservationOutcome> {
					requestedDomains.push(request.pool.split('/')[0]!);
					return request.pool.startsWith('braga')
						? new Promise(resolve => {
							signal.addEventListener('abort', () => {
								resolve({kind: 'unreachable', message: 'cancelled'});
							});
						})
						: grantingPools.reserve(request);
				},
			},
		});
		const {id, pool, remainingMs, ...rest} = requestOf('x', {promptTokens: 50_000});
		const reserve = async () => reservations.reserve(sampleModelService, {...rest, deadline: monotonicMs() + 20_000}, new AbortController().signal);
		expect(await reserve()).toMatchObject({kind: 'granted'});
		expect(await reserve()).toMatchObject({kind: 'granted'});
		expect(requestedDomains).toHaveLength(3);
		expect(requestedDomains.filter(domain => domain === 'braga')).toHaveLength(1);
	});
});

describe('split prompts', () => {
	it('should equal the original prompt when their parts are joined', () => {
		const text = fc.string({unit: 'grapheme', maxLength: 200});
		fc.assert(fc.property(text, fc.array(fc.nat(20), {minLength: 1, maxLength: 5}), (prompt, tokens) => {
			const parts = splitPrompt(prompt, tokens);
			expect(parts).toHaveLength(tokens.length);
			expect(parts.join('')).toBe(prompt);
		}));
	});
});
