import {
	describe, expect, it, vi,
} from 'vitest';
import type {
	Grant, ReservationOutcome, ReservationRequest, ReserveOptions,
} from '../src/routing/reservation.js';
import {Reservations} from '../src/routing/reservations.js';
import {monotonicMs} from '../src/util/clock.js';
import {sampleConfiguration, sampleModelService} from './fixtures/configurations.js';
import {soloDirectory} from './fixtures/front.js';
import {GrantingPools} from './fixtures/pools.js';

/** Pools of which one takes reservations and never answers, until they are cancelled. */
class SilentPool extends GrantingPools {
	/** Number of reservations that the silent pool leaves without an answer. */
	unanswered = Infinity;
	readonly tried: string[] = [];

	constructor(private readonly silent: string, private readonly answersQuestions: boolean) {
		super(['127.0.0.1:1']);
	}

	override async isAlive(pool: string): Promise<boolean> {
		return pool !== this.silent || this.answersQuestions;
	}

	override async reserve(request: ReservationRequest, {signal}: ReserveOptions): Promise<ReservationOutcome> {
		this.tried.push(request.pool);
		if (request.pool !== this.silent || this.unanswered-- <= 0) {
			return super.reserve(request);
		}

		return new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve({kind: 'unreachable', message: 'cancelled'});
			});
		});
	}
}

function createReservations(pools: SilentPool): Reservations {
	const configuration = sampleConfiguration();
	return Reservations.create({
		client: pools,
		directory: soloDirectory('d1', 'i1'),
		configuration: {current: () => ({version: 1, configuration}), onChange: () => () => undefined},
		clock: monotonicMs,
	});
}

function reserveFrom(pools: SilentPool, failureDomains = sampleModelService.failureDomains) {
	const reservations = createReservations(pools);
	return async (signal = new AbortController().signal) => reservations.reserve({...sampleModelService, failureDomains}, {
		workspace: 'mills', priority: 0, weight: 1, lengthClass: 'short', promptTokens: 10, kvTokens: 20, prefixHashes: [], exclude: [], deadline: monotonicMs() + 20_000,
	}, signal);
}

describe('reservations', () => {
	it('should leave a coordinator that falls silent, and ask it last for a while', async () => {
		const pools = new SilentPool('braga/fio-lm/0', false);
		const reserve = reserveFrom(pools);
		expect(await reserve()).toMatchObject({kind: 'granted'});
		expect(pools.tried[0]).toBe('braga/fio-lm/0');
		const before = pools.tried.length;
		expect(await reserve()).toMatchObject({kind: 'granted'});
		expect(pools.tried.slice(before)).not.toContain('braga/fio-lm/0');
	});

	it('should ask on another connection when an answer does not come although the coordinator lives', async () => {
		const pools = new SilentPool('braga/fio-lm/0', true);
		pools.unanswered = 1;
		expect(await reserveFrom(pools, ['braga'])()).toMatchObject({kind: 'granted', pool: 'braga/fio-lm/0'});
		expect(pools.tried).toHaveLength(2);
	});

	it('should give up the turn of a split prompt at a coordinator that falls silent', async () => {
		const pools = new SilentPool('braga/fio-lm/0', false);
		const grant = await reserveFrom(pools)();
		expect(grant).toMatchObject({kind: 'granted'});
		const waiting: Grant = {
			...grant as Grant,
			pool: 'braga/fio-lm/0',
			activate: async (_server, signal) => new Promise(resolve => {
				signal.addEventListener('abort', () => {
					resolve({kind: 'refused', message: 'cancelled'});
				});
			}),
		};
		expect(await createReservations(pools).activate(waiting, 's2', new AbortController().signal)).toMatchObject({kind: 'refused'});
	});

	it('should cancel what it asked when the caller leaves', async () => {
		const pools = new SilentPool('braga/fio-lm/0', true);
		const left = new AbortController();
		const reserved = reserveFrom(pools)(left.signal);
		await vi.waitFor(() => {
			expect(pools.tried).toHaveLength(1);
		});
		left.abort();
		expect(await reserved).toMatchObject({kind: 'failure', code: 'caller_left', ran: 'not_run'});
		expect(pools.tried).toHaveLength(1);
	});
});
