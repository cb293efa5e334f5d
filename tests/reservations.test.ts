import {
	describe, expect, it, vi,
} from 'vitest';
import type {
	Grant, ReservationOutcome, ReservationRequest, ReserveOptions,
} from '../src/routing/reservation.js';
import {Reservations} from '../src/routing/reservations.js';
import {monotonicMs} from '../src/util/clock.js';
import {sampleConfiguration, sampleModelService} from './fixtures/configurations.js';
import {singleDaemonDirectory} from './fixtures/http-daemon-fixture.js';
import {GrantingPoolClient} from './fixtures/granting-pool-client.js';

/** Pools, one of which accepts reservation requests but does not answer them until they are cancelled. */
class PoolsWithSilentCoordinator extends GrantingPoolClient {
	/** Number of further requests that the silent pool leaves unanswered. */
	remainingUnanswered = Infinity;
	readonly requestedPools: string[] = [];

	constructor(private readonly silentPool: string, private readonly answersProbes: boolean) {
		super(['127.0.0.1:1']);
	}

	override async isAlive(pool: string): Promise<boolean> {
		return pool !== this.silentPool || this.answersProbes;
	}

	override async reserve(request: ReservationRequest, {signal}: ReserveOptions): Promise<ReservationOutcome> {
		this.requestedPools.push(request.pool);
		if (request.pool !== this.silentPool || this.remainingUnanswered-- <= 0) {
			return super.reserve(request);
		}

		return new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve({kind: 'unreachable', message: 'cancelled'});
			});
		});
	}
}

function createReservations(pools: PoolsWithSilentCoordinator): Reservations {
	const configuration = sampleConfiguration();
	return Reservations.create({
		client: pools,
		directory: singleDaemonDirectory('d1', 'i1'),
		configuration: {current: () => ({version: 1, configuration}), onChange: () => () => undefined},
		clock: monotonicMs,
	});
}

function createReserve(pools: PoolsWithSilentCoordinator, failureDomains = sampleModelService.failureDomains) {
	const reservations = createReservations(pools);
	return async (signal = new AbortController().signal) => reservations.reserve({...sampleModelService, failureDomains}, {
		workspace: 'mills', priority: 0, weight: 1, lengthClass: 'short', promptTokens: 10, kvTokens: 20, prefixHashes: [], exclude: [], deadline: monotonicMs() + 20_000,
	}, signal);
}

describe('reservations', () => {
	it('should abandon a coordinator that stops responding, and try it last for some time', async () => {
		const pools = new PoolsWithSilentCoordinator('braga/fio-lm/0', false);
		const reserve = createReserve(pools);
		expect(await reserve()).toMatchObject({kind: 'granted'});
		expect(pools.requestedPools[0]).toBe('braga/fio-lm/0');
		const before = pools.requestedPools.length;
		expect(await reserve()).toMatchObject({kind: 'granted'});
		expect(pools.requestedPools.slice(before)).not.toContain('braga/fio-lm/0');
	});

	it('should send a request again on another connection when the coordinator responds to probes but not to the request', async () => {
		const pools = new PoolsWithSilentCoordinator('braga/fio-lm/0', true);
		pools.remainingUnanswered = 1;
		expect(await createReserve(pools, ['braga'])()).toMatchObject({kind: 'granted', pool: 'braga/fio-lm/0'});
		expect(pools.requestedPools).toHaveLength(2);
	});

	it('should give up the activation of a split prompt when the coordinator stops responding', async () => {
		const pools = new PoolsWithSilentCoordinator('braga/fio-lm/0', false);
		const grant = await createReserve(pools)();
		expect(grant).toMatchObject({kind: 'granted'});
		const grantOfSilentPool: Grant = {
			...grant as Grant,
			pool: 'braga/fio-lm/0',
			activate: async (_server, signal) => new Promise(resolve => {
				signal.addEventListener('abort', () => {
					resolve({kind: 'refused', message: 'cancelled'});
				});
			}),
		};
		expect(await createReservations(pools).activate(grantOfSilentPool, 's2', new AbortController().signal)).toMatchObject({kind: 'refused'});
	});

	it('should cancel its requests when the client disconnects', async () => {
		const pools = new PoolsWithSilentCoordinator('braga/fio-lm/0', true);
		const abortController = new AbortController();
		const outcome = createReserve(pools)(abortController.signal);
		await vi.waitFor(() => {
			expect(pools.requestedPools).toHaveLength(1);
		});
		abortController.abort();
		expect(await outcome).toMatchObject({kind: 'failure', code: 'caller_left', ran: 'not_run'});
		expect(pools.requestedPools).toHaveLength(1);
	});
});
