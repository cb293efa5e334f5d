import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PoolAdmission} from '../src/capacity/pool-admission.js';
import type {ReservationRequest} from '../src/capacity/pool-reservation.js';
import type {ModelService} from '../src/configuration/schema.js';
import type {ReserveAnswer} from '../src/peer/protocol.js';
import {configurationOf, modelService, requestOf} from './fixtures/capacity-fixtures.js';
import {hostsOf} from './fixtures/daemon-fixture.js';

const sender = {id: 'd1', incarnation: 'i1', peerAddress: 'x'};
const FULL = {kind: 'full', unconfirmed: 0} as const;
const listing = {
	boot: 'b1', warm: true, streams: [], segments: [],
};

/** A pool of warm engines, and the answers that it gave. */
class Pool {
	readonly answers = new Map<string, ReserveAnswer>();
	readonly admission: PoolAdmission;
	now = 0;

	constructor(engines: number, service: ModelService = modelService, longPromptQuota = true) {
		this.admission = PoolAdmission.create({
			pool: 'braga/fio-lm/0', epoch: 1, service, configuration: configurationOf({services: [service]}), clean: true, longPromptQuota, startedAtMs: 0,
		});
		this.admission.servers.applyHosts(hostsOf(...Array.from({length: engines}, (_, index) => `e${index}`)));
		for (const server of this.admission.servers.all()) {
			server.applyListing(listing, 0, 0);
		}

		this.now = 10_000;
	}

	ask(id: string, promptTokens: number, fields: Partial<ReservationRequest> = {}): void {
		const message = {...requestOf(id, {promptTokens, remainingMs: 100_000, ...fields}), sender};
		const refused = this.admission.admit(message, FULL, this.now);
		if (refused) {
			this.answers.set(id, refused);
		}

		this.run();
	}

	/** Dispatches; probed engines answer that they are warm. Everything granted is accepted at once. */
	run(ms = 0): void {
		this.now += ms;
		for (let round = 0; round < 20; round++) {
			const {answers, probes} = this.admission.dispatch(FULL, this.now);
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

	prefill(id: string): void {
		for (const server of this.servers(id)) {
			this.admission.acknowledge({
				sender, pool: 'braga/fio-lm/0', id, server, boot: 'b1', warm: true, prefilled: true,
			}, this.now);
		}
	}

	release(id: string): void {
		this.admission.release({
			sender, pool: 'braga/fio-lm/0', id, outcome: 'finished',
		}, this.now);
		this.run();
	}

	servers(id: string): readonly string[] {
		const answer = this.answers.get(id);
		return answer?.kind === 'granted' ? answer.servers.map(server => server.id) : [];
	}
}

describe('split prompts', () => {
	it('should reserve all engines at once or none, within the memory of each', () => {
		const pool = new Pool(3);
		pool.ask('small', 60_000);
		pool.ask('gang', 220_000);
		expect(pool.servers('gang')).toEqual([]);
		pool.prefill('small');
		pool.release('small');
		expect(new Set(pool.servers('gang')).size).toBe(3);
		const answer = pool.answers.get('gang');
		const tokens = answer?.kind === 'granted' ? answer.servers.map(server => server.tokens) : [];
		expect(tokens.reduce((sum, count) => sum + count, 0)).toBe(220_000);
		for (const server of pool.admission.servers.all()) {
			expect(server.totals.kvTokens).toBeLessThanOrEqual(modelService.kvTokens);
		}
	});

	it('should refuse only what no permitted set of engines could hold when empty', () => {
		const pool = new Pool(3);
		pool.ask('busy', 90_000);
		pool.ask('fits', 290_000);
		pool.ask('too large', 299_950);
		expect(pool.answers.get('fits')).toBeUndefined();
		expect(pool.answers.get('too large')).toMatchObject({kind: 'refused', reason: 'too_large'});
		pool.ask('excluded', 290_000, {exclude: ['e0']});
		expect(pool.answers.get('excluded')).toMatchObject({kind: 'refused', reason: 'too_large'});
	});

	it('should hold back a later engine until its turn, and admit short prompts there meanwhile', () => {
		const pool = new Pool(2);
		pool.ask('gang', 150_000);
		const last = pool.servers('gang')[1]!;
		expect(pool.admission.servers.get(last)!.totals).toMatchObject({unacknowledgedRequests: 0, prefillTokens: 0});
		pool.ask('short', 1000, {exclude: [pool.servers('gang')[0]!]});
		expect(pool.servers('short')).toEqual([last]);
		pool.admission.admit({...requestOf('gang', {promptTokens: 150_000}), activate: last, sender}, FULL, pool.now);
		pool.run();
		expect(pool.answers.get(`gang@${last}`)).toMatchObject({kind: 'granted', servers: [{id: last}]});
	});

	it('should let only one request collect freed memory, and grant the others after it', () => {
		const pool = new Pool(3);
		for (const id of ['e0', 'e1', 'e2']) {
			pool.ask(`busy ${id}`, 30_000, {kvTokens: 80_000});
			pool.prefill(`busy ${id}`);
		}

		pool.ask('first', 250_000);
		// A request that excludes a server waits in a lane of its own.
		pool.ask('second', 150_000, {exclude: ['e0']});
		expect(pool.admission.servers.all().map(server => server.accumulatingDemand?.id)).toEqual(['first', 'first', 'first']);
		for (const id of ['busy e0', 'busy e1', 'busy e2', 'first']) {
			expect(pool.servers('second')).toEqual([]);
			pool.release(id);
		}

		expect(pool.servers('first')).toHaveLength(3);
		expect(pool.servers('second')).toHaveLength(2);
	});

	it('should finally grant every one of several that compete with short prompts for all engines', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 110_000, max: 280_000}), {minLength: 2, maxLength: 4}), fc.integer({min: 3, max: 4}), (gangs, engines) => {
			const pool = new Pool(engines);
			for (const [index, tokens] of gangs.entries()) {
				pool.ask(`gang${index}`, tokens);
			}

			let short = 0;
			for (let step = 0; step < 60; step++) {
				pool.ask(`short${short++}`, 5000);
				pool.run(500);
				for (const id of pool.answers.keys()) {
					pool.prefill(id);
				}

				// Short prompts end after ten steps, split ones at once.
				pool.release(`short${short - 10}`);
				for (const index of gangs.keys()) {
					if (pool.servers(`gang${index}`).length > 0) {
						pool.release(`gang${index}`);
					}
				}
			}

			expect(gangs.map((_, index) => pool.answers.get(`gang${index}`)?.kind)).toEqual(gangs.map(() => 'granted'));
		}), {numRuns: 30});
	});
});

describe('long prompts', () => {
	it('should occupy at most their share of the engines until they are prefilled', () => {
		const pool = new Pool(4);
		for (const id of ['a', 'b', 'c']) {
			pool.ask(id, 40_000);
		}

		expect(['a', 'b', 'c'].map(id => pool.servers(id).length)).toEqual([1, 1, 0]);
		expect(pool.servers('a')).not.toEqual(pool.servers('b'));
		pool.ask('short', 1000);
		expect([...pool.servers('a'), ...pool.servers('b')]).not.toContain(pool.servers('short')[0]);
		pool.prefill('a');
		pool.run();
		expect(pool.servers('c')).toHaveLength(1);
	});

	it('should not be starved by a steady flow of short prompts', () => {
		const pool = new Pool(2, {...modelService, kvTokens: 50_000, maxGangSize: 1});
		for (let index = 0; index < 16; index++) {
			pool.ask(`old${index}`, 5000);
		}

		pool.ask('long', 45_000, {remainingMs: 60_000});
		for (let step = 0; step < 100; step++) {
			pool.ask(`new${step}`, 5000);
			pool.run(500);
			pool.prefill(`old${step}`);
			pool.release(`old${step}`);
			pool.prefill(`new${step - 8}`);
			pool.release(`new${step - 8}`);
		}

		expect(pool.servers('long')).toHaveLength(1);
	});
});

describe('placement', () => {
	it('should prefer the engine that has the prefix, until its queue costs more than the prefix saves', () => {
		const pool = new Pool(2);
		const prefixHashes = ['p1', 'p2', 'p3', 'p4'];
		pool.ask('first', 5000, {prefixHashes});
		const [cached] = pool.servers('first');
		pool.run(2000);
		pool.ask('same prefix', 5000, {prefixHashes});
		expect(pool.servers('same prefix')).toEqual([cached]);
		pool.ask('same prefix again', 5000, {prefixHashes});
		expect(pool.servers('same prefix again')).not.toEqual([cached]);
	});

	it('should send nothing to an engine that is leaving, and forget it once it is empty', () => {
		const pool = new Pool(2);
		pool.ask('running', 1000);
		const [leaving] = pool.servers('running');
		pool.admission.servers.applyHosts(hostsOf('e0', 'e1').map(host => host.id === leaving ? {...host, state: 'leaving' as const} : host));
		for (let index = 0; index < 8; index++) {
			pool.ask(`next${index}`, 1000);
			expect(pool.servers(`next${index}`)).not.toContain(leaving);
		}

		pool.admission.servers.applyHosts(hostsOf('e0', 'e1').filter(host => host.id !== leaving));
		expect(pool.admission.servers.get(leaving!)?.totals.requests).toBe(1);
		pool.release('running');
		pool.admission.servers.applyHosts(hostsOf('e0', 'e1').filter(host => host.id !== leaving));
		expect(pool.admission.servers.get(leaving!)).toBeUndefined();
	});

	it('should rest an engine that failed, and send the first request after the rest', () => {
		const pool = new Pool(1);
		pool.ask('failed', 1000);
		pool.admission.release({
			sender, pool: 'braga/fio-lm/0', id: 'failed', outcome: 'silent',
		}, pool.now);
		pool.ask('too early', 1000);
		expect(pool.answers.get('too early')).toMatchObject({kind: 'refused', reason: 'no_servers'});
		pool.run(300);
		pool.ask('later', 1000);
		expect(pool.servers('later')).toEqual(['e0']);
	});
});

describe('requests that cannot be served in time', () => {
	it('should be refused before they wait', () => {
		const pool = new Pool(1);
		pool.ask('hopeless', 50_000, {remainingMs: 2000});
		expect(pool.answers.get('hopeless')).toMatchObject({kind: 'refused', reason: 'deadline'});
	});

	it('should leave the queue at their deadline', () => {
		const pool = new Pool(1);
		pool.ask('first', 90_000);
		pool.ask('second', 80_000, {remainingMs: 30_000});
		pool.run(29_000);
		expect(pool.answers.has('second')).toBe(false);
		pool.run(1000);
		expect(pool.answers.get('second')).toMatchObject({kind: 'refused', reason: 'deadline'});
		expect(pool.admission.queued).toBe(0);
	});
});
