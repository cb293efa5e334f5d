import {
	describe, expect, it, vi,
} from 'vitest';
import fc from 'fast-check';
import {EngineClient} from '../src/backend/engine-client.js';
import type {EngineLoad, EngineOrder} from '../src/backend/engine-protocol.js';
import type {ModelService} from '../src/configuration/schema.js';
import {createOrderSender} from '../src/daemon/order-sender.js';
import {EngineOrders, type LeaseRenewal} from '../src/orders/engine-orders.js';
import {LoadPermits} from '../src/orders/load-permits.js';
import {ORDER_REPEAT_MS} from '../src/orders/order-plan.js';
import {EngineStandIn} from '../testing/stand-ins/engine/engine-stand-in.js';
import {modelService} from './fixtures/capacity-fixtures.js';

const service: ModelService = {...modelService, models: [{name: 'fio-lm', version: '3'}], fencing: 'ignored'};

const load = (models: readonly string[]): EngineLoad =>
	({
		boot: 'b', warm: true, ageMs: 0, runningRequests: 0, pendingPrefillTokens: 0, kvTokensUsed: 0, kvTokensTotal: 1, models, role: 'mixed',
	});

function createFixture(renewLease: () => LeaseRenewal) {
	let now = 0;
	const sent: EngineOrder[] = [];
	const orders = EngineOrders.create({
		lease: {renew: async () => renewLease()},
		permits: LoadPermits.create(60, 1, -1000),
		async send(_address, order) {
			sent.push(order);
			return {kind: 'accepted'};
		},
		clock: () => now,
	});
	return {
		sent,
		async reconcileAt(time: number, models: readonly string[]) {
			now = time;
			return orders.reconcile(service, [{id: 'e1', address: '127.0.0.1:1', load: load(models)}], now);
		},
	};
}

describe('engine orders', () => {
	it('should send the epoch as fencing token and not repeat an order before load reports can show its effect', async () => {
		const fixture = createFixture(() => ({
			kind: 'held', epoch: 7, validUntil: 1e9, ordersAllowedFrom: 0,
		}));
		await fixture.reconcileAt(0, []);
		await fixture.reconcileAt(1000, []);
		await fixture.reconcileAt(ORDER_REPEAT_MS, []);
		expect(fixture.sent).toEqual(Array.from({length: 2}, () => ({
			kind: 'load-model', model: 'fio-lm', version: '3', fencing: 7,
		})));
	});

	it('should send nothing when a paused holder resumes after its lease was taken over', async () => {
		const fixture = createFixture(() => ({kind: 'lost', message: 'epoch 8 is held by d2'}));
		expect(await fixture.reconcileAt(0, [])).toMatchObject([{kind: 'withheld', reason: 'lease_lost'}]);
		expect(fixture.sent).toEqual([]);
	});

	it('should wait until orders of the predecessor have ended, and withhold orders when the lease expires within the order timeout and margin', async () => {
		const fixture = createFixture(() => ({
			kind: 'held', epoch: 7, validUntil: 12_000, ordersAllowedFrom: 8000,
		}));
		expect(await fixture.reconcileAt(7999, [])).toMatchObject([{reason: 'predecessor'}]);
		expect(await fixture.reconcileAt(9501, [])).toMatchObject([{reason: 'lease_too_short'}]);
		expect(await fixture.reconcileAt(9500, [])).toMatchObject([{kind: 'sent'}]);
	});

	it('should unload a model that is no longer configured', async () => {
		const fixture = createFixture(() => ({
			kind: 'held', epoch: 7, validUntil: 1e9, ordersAllowedFrom: 0,
		}));
		await fixture.reconcileAt(0, ['fio-lm', 'old']);
		expect(fixture.sent).toEqual([{kind: 'unload-model', model: 'old', fencing: 7}]);
	});
});

describe('an order that a paused coordinator sends after the order of its successor', () => {
	it.each([['checked', 'stale', ['new']], ['ignored', 'accepted', []]] as const)('should be refused or corrected if fencing is %s', async (fencing, outcome, modelsAfter) => {
		const engine = await EngineStandIn.create({fencing, loadMs: 0});
		const client = EngineClient.create();
		const send = createOrderSender(client);
		let resume: (() => void) | undefined;
		const paused = new Promise<void>(resolve => {
			resume = resolve;
		});
		let now = 0;
		const coordinator = (epoch: number, beforeWrite?: Promise<void>) => EngineOrders.create({
			lease: {
				renew: async () => ({
					kind: 'held', epoch, validUntil: 1e9, ordersAllowedFrom: 0,
				}),
			},
			permits: LoadPermits.create(6000, 1, -1000),
			async send(...order) {
				await beforeWrite;
				return send(...order);
			},
			clock: () => now,
		});
		const reconcile = async (orders: EngineOrders, model: string, models: readonly string[]) =>
			orders.reconcile({...service, fencing, models: [{name: model, version: '1'}]}, [{id: 'e1', address: engine.address, load: load(models)}], now);
		const reportedModels = async () => {
			const answer = await client.load(engine.address, {timeoutMs: 1000});
			return answer.kind === 'answered' ? answer.value.models : undefined;
		};

		try {
			const late = reconcile(coordinator(1, paused), 'old', ['old', 'new']);
			const successor = coordinator(2);
			await reconcile(successor, 'new', []);
			await vi.waitFor(async () => {
				expect(await reportedModels()).toEqual(['new']);
			});
			resume!();
			expect(await late).toMatchObject([{kind: 'sent', outcome: {kind: outcome}}]);
			await vi.waitFor(async () => {
				expect(await reportedModels()).toEqual(modelsAfter);
			});
			now = ORDER_REPEAT_MS;
			await reconcile(successor, 'new', modelsAfter);
			await vi.waitFor(async () => {
				expect(await reportedModels()).toEqual(['new']);
			});
		} finally {
			await client.close();
			await engine.close();
		}
	});
});

describe('load permits', () => {
	it('should stay within the rate limit of the weight store over all pools and takeovers', () => {
		fc.assert(fc.property(
			fc.integer({min: 1, max: 12}),
			fc.integer({min: 1, max: 30}),
			fc.array(fc.record({pool: fc.nat(11), stepMs: fc.nat(20_000), takeover: fc.boolean()}), {maxLength: 200}),
			(pools, loadsPerMinute, steps) => {
				const permits = Array.from({length: pools}, () => LoadPermits.create(loadsPerMinute, pools, 0));
				let now = 0;
				let loads = 0;
				for (const step of steps) {
					now += step.stepMs;
					const pool = step.pool % pools;
					if (step.takeover) {
						permits[pool] = LoadPermits.create(loadsPerMinute, pools, now);
					}

					loads += permits[pool]!.tryTake(now) ? 1 : 0;
				}

				expect(loads).toBeLessThanOrEqual((loadsPerMinute * now / 60_000) + 1e-6);
			},
		));
	});
});
