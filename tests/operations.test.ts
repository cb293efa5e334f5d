import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {parseOperationKey} from '../src/operations/operation-key.js';
import type {PlainResult} from '../src/operations/plain-call.js';
import {FaultyObjectApi, type ClaimWriteBehavior} from './fixtures/faulty-object-api.js';
import {
	CountingService, DaemonFleet, executionStatusOf, outcomeSummary, uuidV7, type HookPoint,
} from './fixtures/operation-daemons.js';

const fleets: DaemonFleet[] = [];

function start(options: {readonly checked?: boolean; readonly latencyMs?: number} = {}) {
	const api = new FaultyObjectApi();
	const service = new CountingService(options.checked ?? false, () => options.latencyMs ?? 0);
	const fleet = new DaemonFleet(api, service, 3);
	fleets.push(fleet);
	const [a, b, c] = fleet.daemons;
	return {
		api, service, fleet, a: a!, b: b!, c: c!, key: uuidV7(Date.now()),
	};
}

const executionCount = (service: CountingService): number => [...service.executions.values()].reduce((sum, count) => sum + count, 0);

/** Counts callers that received the answer of the only execution (`first`) and those that were told of an earlier request (`others`). */
function countAnswers(results: ReadonlyArray<PlainResult | undefined>) {
	const summaries = results.map(result => outcomeSummary(result) ?? 'none');
	return {
		first: summaries.filter(summary => summary === '201').length,
		others: summaries.filter(summary => ['operation_in_progress', 'repeated 201'].includes(summary)).length,
	};
}

afterEach(() => {
	for (const fleet of fleets.splice(0)) {
		fleet.close();
	}
});

describe('operation key', () => {
	const context = {workspace: 'w', service: 's', retentionMs: 1000};
	const now = 1_800_000_000_000;

	it.each([
		['a missing key', undefined, 'operation_key_invalid', 'not_run'],
		['a UUID of version 4', '3bbcee75-cecc-4b56-8031-b6641c1ed1f1', 'operation_key_invalid', 'not_run'],
		['a key more than 5 min in the future', uuidV7(now + 300_001), 'operation_key_invalid', 'not_run'],
		['a key whose claim may be deleted', uuidV7(now - 1001), 'operation_expired', 'unknown'],
	])('should refuse %s', (_, header, code, ran) => {
		expect(parseOperationKey(header, context, now)).toMatchObject({code, ran});
	});

	it('should distinguish workspaces and services, but not the case of the key', () => {
		const key = uuidV7(now, 0xAB);
		const same = parseOperationKey(key.toUpperCase(), context, now);
		expect(same).toEqual(parseOperationKey(key, context, now));
		expect(parseOperationKey(key, {...context, workspace: 'v'}, now)).not.toEqual(same);
		expect(parseOperationKey(key, {...context, service: 't'}, now)).not.toEqual(same);
	});
});

describe('operations', () => {
	it('should run once and answer repeats at any daemon with the stored answer', async () => {
		const {service, a, b, key} = start();
		expect(outcomeSummary(await a.call(key, 'r1'))).toBe('201');
		await a.claims.drain(2000);
		expect(outcomeSummary(await b.call(key, 'r2'))).toBe('repeated 201');
		expect(outcomeSummary(await b.call(key, 'r3', 'other body'))).toBe('operation_key_reused');
		expect(executionCount(service)).toBe(1);
	});

	it('should answer a repeat that arrives while the operation runs with the answer of that run', async () => {
		const {service, a, b, key} = start({latencyMs: 15});
		const first = a.call(key, 'r1');
		await expect.poll(() => executionCount(service), {interval: 1}).toBe(1);
		expect(outcomeSummary(await b.call(key, 'r2'))).toBe('repeated 201');
		expect(outcomeSummary(await first)).toBe('201');
		expect(executionCount(service)).toBe(1);
	});

	it('should run once when three daemons receive it at the same time', async () => {
		const {service, a, b, c, key} = start();
		const results = await Promise.all([a, b, c].map(async (daemon, index) => daemon.call(key, `r${index}`)));
		expect(countAnswers(results)).toEqual({first: 1, others: 2});
		expect(executionCount(service)).toBe(1);
	});

	it.each([
		['between claim and send', 'send', 0],
		['between send and answer', 'answered', 1],
	] as const)('should not run again when the daemon is killed %s', async (_, moment: HookPoint, executions) => {
		const {
			service, fleet, a, b, key,
		} = start();
		a.hooks.onPoint = reached => {
			if (reached === moment) {
				a.kill();
			}
		};

		expect(await a.call(key, 'r1')).toBeUndefined();
		expect(outcomeSummary(await b.call(key, 'r2'))).toBe('operation_in_progress');
		for (const daemon of fleet.daemons) {
			daemon.clockOffsetMs = 10_000;
		}

		expect([outcomeSummary(await b.call(key, 'r3')), executionStatusOf(await b.call(key, 'r4'))]).toEqual(['operation_in_doubt', 'unknown']);
		expect(executionCount(service)).toBe(executions);
	});

	it('should not run again when the daemon is killed before the answer is recorded', async () => {
		const {service, a, b, key} = start();
		expect(outcomeSummary(await a.call(key, 'r1'))).toBe('201');
		a.kill();
		expect(['operation_in_progress', 'repeated 201']).toContain(outcomeSummary(await b.call(key, 'r2')));
		expect(executionCount(service)).toBe(1);
	});

	it('should send again under the same identity when the claim holder has ended and the service checks identities', async () => {
		const {service, a, b, key} = start({checked: true});
		a.hooks.onPoint = moment => {
			if (moment === 'answered') {
				a.kill();
			}
		};

		await a.call(key, 'r1');
		expect(outcomeSummary(await b.call(key, 'r2'))).toBe('201');
		expect(executionCount(service)).toBe(1);
	});

	it.each<[string, ClaimWriteBehavior[]]>([
		['with effect', ['lost-after-effect']],
		['without effect', ['lost-before-effect']],
		['with late effect', ['late']],
		['several times', ['late', 'lost-after-effect', 'rejected', 'lost-before-effect']],
	])('should run once when the answer to the claim is lost %s', async (_, fates) => {
		const {api, service, a, b, key} = start();
		api.claimWriteBehaviors.push(...fates);
		expect(outcomeSummary(await a.call(key, 'r1'))).toBe('201');
		await a.claims.drain(2000);
		// Longer than the 20 ms after which a late write is applied; the condition of that write must fail.
		await delay(40);
		expect(outcomeSummary(await b.call(key, 'r2'))).toBe('repeated 201');
		expect(executionCount(service)).toBe(1);
	});

	it('should not send after a pause of more than 2 s, and allow a repeat to run', async () => {
		const {service, a, b, key} = start();
		a.hooks.onPoint = moment => {
			a.clockOffsetMs += moment === 'send' ? 2001 : 0;
		};

		expect(executionStatusOf(await a.call(key, 'r1'))).toBe('not_run');
		expect(executionCount(service)).toBe(0);
		await a.claims.drain(2000);
		expect(outcomeSummary(await b.call(key, 'r2'))).toBe('201');
		expect(executionCount(service)).toBe(1);
	});

	it('should refuse with not_run while the object API is down, and run a repeat afterwards', async () => {
		const {api, service, a, b, key} = start();
		await a.claims.layout();
		api.isDown = true;
		expect(await a.call(key, 'r1')).toMatchObject({code: 'claim_unavailable', ran: 'not_run'});
		expect(executionCount(service)).toBe(0);
		api.isDown = false;
		expect(outcomeSummary(await b.call(key, 'r2'))).toBe('201');
	});

	it('should release a claim whose recording was in doubt at the deadline', async () => {
		const {api, service, a, b, key} = start();
		await a.claims.layout();
		api.claimWriteBehaviors.push('lost-then-down');
		expect(executionStatusOf(await a.call(key, 'r1'))).toBe('not_run');
		api.isDown = false;
		await a.claims.drain(5000);
		expect(outcomeSummary(await b.call(key, 'r2'))).toBe('201');
		expect(executionCount(service)).toBe(1);
	});

	it('should report unknown when the answer of the service is lost, and never run again', async () => {
		const {service, a, b, key} = start();
		service.behaviors.push('lost');
		expect(await a.call(key, 'r1')).toMatchObject({code: 'backend_failed', ran: 'unknown'});
		expect(executionStatusOf(await b.call(key, 'r2'))).toBe('unknown');
		expect(executionCount(service)).toBe(1);
	});

	it('should use another backend server only after proof that the first one did not run the operation', async () => {
		const {service, a, key} = start();
		service.behaviors.push('refused', 'no-connection');
		expect(outcomeSummary(await a.call(key, 'r1'))).toBe('201');
		service.behaviors.push('refused', 'refused', 'no-connection');
		expect(executionStatusOf(await a.call(uuidV7(Date.now(), 2), 'r2'))).toBe('not_run');
		expect(executionCount(service)).toBe(1);
	});

	it('should write the claim itself when the relay cannot be reached', async () => {
		const {fleet, service, a, b, c, key} = start();
		for (const {member} of fleet.daemons) {
			fleet.unreachableAddresses.add(member.peerAddress);
		}

		const results = await Promise.all([a, b, c].map(async daemon => daemon.call(key, daemon.member.id)));
		expect(countAnswers(results)).toEqual({first: 1, others: 2});
		expect(executionCount(service)).toBe(1);
	});
});
