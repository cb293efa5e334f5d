import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PoolAdmission} from '../src/capacity/pool-admission.js';
import type {ReservationRequest} from '../src/capacity/pool-reservation.js';
import type {ModelService} from '../src/configuration/schema.js';
import type {ReserveAnswer} from '../src/peer/protocol.js';
import {configurationOf, modelService, requestOf} from './fixtures/capacity-fixtures.js';
import {liveHosts} from './fixtures/pool-daemon-fixture.js';

const sender = {id: 'd1', incarnation: 'i1', peerAddress: 'x'};
const FULL_MODE = {kind: 'full', unconfirmed: 0} as const;
const listing = {
	boot: 'b1', warm: true, streams: [], segments: [],
};

/** Admission control for a pool of warm engines. Records its answers. */
class PoolFixture {
	readonly answers = new Map<string, ReserveAnswer>();
	readonly admission: PoolAdmission;
	now = 0;

	constructor(engines: number, service: ModelService = modelService, longPromptQuota = true) {
		this.admission = PoolAdmission.create({
			pool: 'braga/fio-lm/0', epoch: 1, service, configuration: configurationOf({services: [service]}), clean: true, longPromptQuota, startedAtMs: 0,
		});
		this.admission.servers.applyHosts(liveHosts(...Array.from({length: engines}, (_, index) => `e${index}`)));
		for (const server of this.admission.servers.all()) {
			server.applyListing(listing, 0, 0);
		}

		this.now = 10_000;
	}

	request(id: string, promptTokens: number, fields: Partial<ReservationRequest> = {}): void {
		const message = {...requestOf(id, {promptTokens, remainingMs: 100_000, ...fields}), sender};
		const refused = this.admission.admit(message, FULL_MODE, this.now);
		if (refused) {
			this.answers.set(id, refused);
		}

		this.dispatch();
	}

	/** Dispatches queued requests. Probed engines report that they are warm, and each grant is acknowledged at once. */
	dispatch(ms = 0): void {
		this.now += ms;
		for (let round = 0; round < 20; round++) {
			const {answers, probes} = this.admission.dispatch(FULL_MODE, this.now);
			for (const {id, answer} of answers) {
				this.answers.set(id, answer);
				if (answer.kind === 'granted') {
					this.admission.acknowledge({
						sender, pool: 'braga/fio-lm/0', id: id.split('@')[0]!, server: id.split('@')[1] ?? answer.servers[0]!.id, boot: 'b1', warm: true,
					}, this.now);
				}
			}

			for (const server of probes) {
				server.applyHealth({boot: 'b1', warm: true}, this.now, this.now);
			}
		}
	}

	acknowledgePrefill(id: string): void {
		for (const server of this.grantedServers(id)) {
			this.admission.acknowledge({
				sender, pool: 'braga/fio-lm/0', id, server, boot: 'b1', warm: true, prefilled: true,
			}, this.now);
		}
	}

	releaseRequest(id: string): void {
		this.admission.release({
			sender, pool: 'braga/fio-lm/0', id, outcome: 'finished',
		}, this.now);
		this.dispatch();
	}

	grantedServers(id: string): readonly string[] {
		const answer = this.answers.get(id);
		return answer?.kind === 'granted' ? answer.servers.map(server => server.id) : [];
	}
}

describe('split prompts', () => {
	it('should reserve all required engines at once or none, within the memory of each', () => {
		const pool = new PoolFixture(3);
		pool.request('small', 60_000);
		pool.request('gang', 220_000);
		expect(pool.grantedServers('gang')).toEqual([]);
		pool.acknowledgePrefill('small');
		pool.releaseRequest('small');
		expect(new Set(pool.grantedServers('gang')).size).toBe(3);
		const answer = pool.answers.get('gang');
		const tokens = answer?.kind === 'granted' ? answer.servers.map(server => server.tokens) : [];
		expect(tokens.reduce((sum, count) => sum + count, 0)).toBe(220_000);
		for (const server of pool.admission.servers.all()) {
			expect(server.totals.kvTokens).toBeLessThanOrEqual(modelService.kvTokens);
		}
	});

	it('should be refused as too large only if no permitted set of engines could hold them when idle', () => {
		const pool = new PoolFixture(3);
		pool.request('busy', 90_000);
		pool.request('fits', 290_000);
		pool.request('too large', 299_950);
		expect(pool.answers.get('fits')).toBeUndefined();
		expect(pool.answers.get('too large')).toMatchObject({kind: 'refused', reason: 'too_large'});
		pool.request('excluded', 290_000, {exclude: ['e0']});
		expect(pool.answers.get('excluded')).toMatchObject({kind: 'refused', reason: 'too_large'});
	});

	it('should keep the reservation at a later engine inactive until it is activated, and admit short prompts there meanwhile', () => {
		const pool = new PoolFixture(2);
		pool.request('gang', 150_000);
		const last = pool.grantedServers('gang')[1]!;
		expect(pool.admission.servers.get(last)!.totals).toMatchObject({unacknowledgedRequests: 0, prefillTokens: 0});
		pool.request('short', 1000, {exclude: [pool.grantedServers('gang')[0]!]});
		expect(pool.grantedServers('short')).toEqual([last]);
		pool.admission.admit({...requestOf('gang', {promptTokens: 150_000}), activate: last, sender}, FULL_MODE, pool.now);
		pool.dispatch();
		expect(pool.answers.get(`gang@${last}`)).toMatchObject({kind: 'granted', servers: [{id: last}]});
	});

	it('should accumulate freed memory for one request at a time, and be granted one after the other', () => {
		const pool = new PoolFixture(3);
		for (const id of ['e0', 'e1', 'e2']) {
			pool.request(`busy ${id}`, 30_000, {kvTokens: 80_000});
			pool.acknowledgePrefill(`busy ${id}`);
		}

		pool.request('first', 250_000);
		// A request that excludes a server waits in a separate lane.
		pool.request('second', 150_000, {exclude: ['e0']});
		expect(pool.admission.servers.all().map(server => server.accumulatingDemand?.id)).toEqual(['first', 'first', 'first']);
		for (const id of ['busy e0', 'busy e1', 'busy e2', 'first']) {
			expect(pool.grantedServers('second')).toEqual([]);
			pool.releaseRequest(id);
		}

		expect(pool.grantedServers('first')).toHaveLength(3);
		expect(pool.grantedServers('second')).toHaveLength(2);
	});

	it('should eventually all be granted when several of them compete with short prompts for all engines', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 110_000, max: 280_000}), {minLength: 2, maxLength: 4}), fc.integer({min: 3, max: 4}), (promptSizes, engines) => {
			const pool = new PoolFixture(engines);
			for (const [index, tokens] of promptSizes.entries()) {
				pool.request(`gang${index}`, tokens);
			}

			let shortCount = 0;
			for (let step = 0; step < 60; step++) {
				pool.request(`short${shortCount++}`, 5000);
				pool.dispatch(500);
				for (const id of pool.answers.keys()) {
					pool.acknowledgePrefill(id);
				}

				// Short prompts finish after ten steps, split prompts as soon as they are granted.
				pool.releaseRequest(`short${shortCount - 10}`);
				for (const index of promptSizes.keys()) {
					if (pool.grantedServers(`gang${index}`).length > 0) {
						pool.releaseRequest(`gang${index}`);
					}
				}
			}

			expect(promptSizes.map((_, index) => pool.answers.get(`gang${index}`)?.kind)).toEqual(promptSizes.map(() => 'granted'));
		}), {numRuns: 30});
	});
});

describe('long prompts', () => {
	it('should occupy at most their quota of the engines until they are prefilled', () => {
		const pool = new PoolFixture(4);
		for (const id of ['a', 'b', 'c']) {
			pool.request(id, 40_000);
		}

		expect(['a', 'b', 'c'].map(id => pool.grantedServers(id).length)).toEqual([1, 1, 0]);
		expect(pool.grantedServers('a')).not.toEqual(pool.grantedServers('b'));
		pool.request('short', 1000);
		expect([...pool.grantedServers('a'), ...pool.grantedServers('b')]).not.toContain(pool.grantedServers('short')[0]);
		pool.acknowledgePrefill('a');
		pool.dispatch();
		expect(pool.grantedServers('c')).toHaveLength(1);
	});

	it('should not be starved by a continuous load of short prompts', () => {
		const pool = new PoolFixture(2, {...modelService, kvTokens: 50_000, maxGangSize: 1});
		for (let index = 0; index < 16; index++) {
			pool.request(`old${index}`, 5000);
		}

		pool.request('long', 45_000, {remainingMs: 60_000});
		for (let step = 0; step < 100; step++) {
			pool.request(`new${step}`, 5000);
			pool.dispatch(500);
			pool.acknowledgePrefill(`old${step}`);
			pool.releaseRequest(`old${step}`);
			pool.acknowledgePrefill(`new${step - 8}`);
			pool.releaseRequest(`new${step - 8}`);
		}

		expect(pool.grantedServers('long')).toHaveLength(1);
	});
});

describe('placement', () => {
	it('should prefer the engine that caches the prefix, until its queue takes longer than the cached prefix saves', () => {
		const pool = new PoolFixture(2);
		const prefixHashes = ['p1', 'p2', 'p3', 'p4'];
		pool.request('first', 5000, {prefixHashes});
		const [cached] = pool.grantedServers('first');
		pool.dispatch(2000);
		pool.request('same prefix', 5000, {prefixHashes});
		expect(pool.grantedServers('same prefix')).toEqual([cached]);
		pool.request('same prefix again', 5000, {prefixHashes});
		expect(pool.grantedServers('same prefix again')).not.toEqual([cached]);
	});

	it('should place no requests on a leaving engine, and remove it after its last request ends', () => {
		const pool = new PoolFixture(2);
		pool.request('running', 1000);
		const [leaving] = pool.grantedServers('running');
		pool.admission.servers.applyHosts(liveHosts('e0', 'e1').map(host => host.id === leaving ? {...host, state: 'leaving' as const} : host));
		for (let index = 0; index < 8; index++) {
			pool.request(`next${index}`, 1000);
			expect(pool.grantedServers(`next${index}`)).not.toContain(leaving);
		}

		pool.admission.servers.applyHosts(liveHosts('e0', 'e1').filter(host => host.id !== leaving));
		expect(pool.admission.servers.get(leaving!)?.totals.requests).toBe(1);
		pool.releaseRequest('running');
		pool.admission.servers.applyHosts(liveHosts('e0', 'e1').filter(host => host.id !== leaving));
		expect(pool.admission.servers.get(leaving!)).toBeUndefined();
	});

	it('should back off from an engine that failed, and use it again after the backoff', () => {
		const pool = new PoolFixture(1);
		pool.request('failed', 1000);
		pool.admission.release({
			sender, pool: 'braga/fio-lm/0', id: 'failed', outcome: 'silent',
		}, pool.now);
		pool.request('too early', 1000);
		expect(pool.answers.get('too early')).toMatchObject({kind: 'refused', reason: 'no_servers'});
		pool.dispatch(300);
		pool.request('later', 1000);
		expect(pool.grantedServers('later')).toEqual(['e0']);
	});
});

describe('requests that cannot be served in time', () => {
	it('should be refused without being queued', () => {
		const pool = new PoolFixture(1);
		pool.request('unservable', 50_000, {remainingMs: 2000});
		expect(pool.answers.get('unservable')).toMatchObject({kind: 'refused', reason: 'deadline'});
	});

	it('should be removed from the queue and refused at their deadline', () => {
		const pool = new PoolFixture(1);
		pool.request('first', 90_000);
		pool.request('second', 80_000, {remainingMs: 30_000});
		pool.dispatch(29_000);
		expect(pool.answers.has('second')).toBe(false);
		pool.dispatch(1000);
		expect(pool.answers.get('second')).toMatchObject({kind: 'refused', reason: 'deadline'});
		expect(pool.admission.queued).toBe(0);
	});
});
