/** Reserves capacity for requests to model and plain services, in the first pool that grants it. */
import type {ConfigurationSource} from '../configuration/configuration-source.js';
import type {Service} from '../configuration/schema.js';
import type {Directory} from '../membership/directory.js';
import type {Clock} from '../util/clock.js';
import {failure, type Failure} from '../util/failure.js';
import {LimitedSignal, TimeLimitError} from '../util/limited-signal.js';
import {pause} from '../util/pause.js';
import {reserveInPools, type Refusals} from './hedged-reservation.js';
import {CoordinatorMonitor} from './coordinator-monitor.js';
import {
	sortPools, activePoolsOf, PoolSummaries, type CoordinatorState,
} from './pool-choice.js';
import {isTransient, refusalFailure} from './refusals.js';
import type {
	Activation, Grant, PoolClient, ReservationOutcome, ReservationRequest,
} from './reservation.js';

/** Longest time that a request waits for a coordinator to become available, for example during a failover. */
const COORDINATOR_WAIT_MS = 10_000;
/** Pools tried in one round. Limited so that an overload does not multiply the reservation requests. */
const MAX_POOLS_PER_ROUND = 6;
/** Time in the queue of one pool after which the next pool is tried. Doubles in each round, so that requests stay in their queues when all pools are overloaded. */
const INITIAL_QUEUE_LIMIT_MS = 1000;
/** Longer for huge prompts: memory accumulates for the prompt at the head of a queue and is lost when it leaves the queue. */
const INITIAL_HUGE_QUEUE_LIMIT_MS = 10_000;
/** Bounded because the other servers of a split prompt hold memory during the wait, and a server that crashed may stay cold for long. */
const ACTIVATION_TIMEOUT_MS = 10_000;
const INITIAL_ROUND_DELAY_MS = 50;
const MAX_ROUND_DELAY_MS = 500;

/** A reservation request without the fields that differ between pools and attempts. */
export type CapacityRequest = Omit<ReservationRequest, 'id' | 'pool' | 'remainingMs'> & {
	/** Monotonic ms. */
	readonly deadline: number;
};

type RoundOptions = {
	readonly signal: AbortSignal;
	/** Longest time that the request waits in the queue of one pool. */
	readonly queueLimitMs: number;
};

/** Result of a round. `anyQueueTimedOut`: the request was withdrawn from at least one queue at the time limit. */
type RoundResult = Grant | Failure | (Refusals & {readonly anyQueueTimedOut: boolean});

export type ReservationParts = {
	readonly client: PoolClient;
	readonly directory: Directory;
	readonly configuration: ConfigurationSource;
	readonly clock: Clock;
};

/** Reserves capacity for one daemon. Reservation ids are unique across daemons and restarts. */
export class Reservations {
	static create(parts: ReservationParts): Reservations {
		return new Reservations(parts);
	}

	readonly #summaries = PoolSummaries.create();
	readonly #monitor: CoordinatorMonitor;
	#sequence = 0;

	private constructor(private readonly parts: ReservationParts) {
		this.#monitor = CoordinatorMonitor.create(async (pool, timeoutMs) => parts.client.isAlive(pool, timeoutMs), parts.clock);
	}

	/** Tries the pools of `service` in order of preference. Returns the first grant, or a failure. `signal` cancels the wait. */
	async reserve(service: Service, request: CapacityRequest, signal: AbortSignal): Promise<Grant | Failure> {
		const {clock} = this.parts;
		const startedAt = clock();
		const retryUntil = startedAt + Math.min(COORDINATOR_WAIT_MS, (request.deadline - startedAt) / 2);
		let delayMs = INITIAL_ROUND_DELAY_MS;
		let queueLimitMs = request.lengthClass === 'huge' ? INITIAL_HUGE_QUEUE_LIMIT_MS : INITIAL_QUEUE_LIMIT_MS;
		for (;;) {
			const round = await this.#tryPools(service, request, {signal, queueLimitMs});
			if (round.kind !== 'refusals') {
				return round;
			}

			const {outcomes} = round;
			queueLimitMs *= 2;
			if (round.anyQueueTimedOut) {
				continue;
			}

			const areAllTransient = outcomes.length > 0 && outcomes.every(outcome => isTransient(outcome));
			if (!areAllTransient || clock() + delayMs > retryUntil) {
				return refusalFailure(service.name, outcomes);
			}

			this.parts.directory.refresh();
			await pause(delayMs, signal);
			delayMs = Math.min(MAX_ROUND_DELAY_MS, delayMs * 2);
		}
	}

	/**
	 * Waits until a further server of a split prompt is activated, for at most {@link ACTIVATION_TIMEOUT_MS} and only while
	 * the coordinator responds to liveness probes.
	 */
	async activate(grant: Grant, server: string, signal: AbortSignal): Promise<Activation> {
		const limit = LimitedSignal.create(ACTIVATION_TIMEOUT_MS, signal);
		try {
			return await this.#callWhileResponsive(grant.pool, limit.signal, async callSignal => grant.activate(server, callSignal));
		} finally {
			limit.close();
		}
	}

	/** Tries each pool once. Returns a grant, a failure that ends the request, or the refusals of all pools. */
	async #tryPools(service: Service, request: CapacityRequest, {signal, queueLimitMs}: RoundOptions): Promise<RoundResult> {
		const now = this.parts.clock();
		const failedBefore = failureIfEnded(request.deadline, now, signal);
		if (failedBefore) {
			return failedBefore;
		}

		const pools = this.#pools(service, request);
		const hasAlternative = pools.filter(pool => this.parts.directory.poolLease(pool)?.owner).length > 1;
		const limitMs = hasAlternative ? queueLimitMs : request.deadline - now;
		let anyQueueTimedOut = false;
		const result = await reserveInPools(pools, async (pool, poolSignal) => {
			const {outcome, queueTimedOut} = await this.#reserveWithin(pool, request, poolSignal, limitMs);
			anyQueueTimedOut ||= queueTimedOut;
			return outcome;
		}, signal);
		return result.kind === 'granted' ? result : failureIfEnded(request.deadline, this.parts.clock(), signal) ?? {...result, anyQueueTimedOut};
	}

	/** Tries one pool. `queueTimedOut`: the request was withdrawn after it had waited for `limitMs` in the queue. */
	async #reserveWithin(pool: string, request: CapacityRequest, signal: AbortSignal, limitMs: number) {
		const {clock} = this.parts;
		const startedAt = clock();
		const limit = LimitedSignal.create(limitMs, signal);
		try {
			const outcome = await this.#reserveInPool(pool, request, limit.signal);
			const queueTimedOut = outcome.kind !== 'granted' && limit.signal.aborted && !signal.aborted;
			if (queueTimedOut) {
				this.#summaries.recordWait(pool, request.lengthClass, clock() - startedAt, clock());
			}

			return {outcome, queueTimedOut};
		} finally {
			limit.close();
		}
	}

	async #reserveInPool(pool: string, request: CapacityRequest, signal: AbortSignal): Promise<ReservationOutcome> {
		const {deadline, ...rest} = request;
		const {client, directory, clock} = this.parts;
		const now = clock();
		const outcome = await this.#callWhileResponsive(pool, signal, async callSignal => client.reserve({
			...rest, id: this.#nextId(), pool, remainingMs: Math.max(1, deadline - now),
		}, {signal: callSignal, now}));
		if (outcome.kind !== 'unreachable' && outcome.summary) {
			this.#summaries.record(outcome.summary, clock());
		}

		if (outcome.kind !== 'granted' && isTransient(outcome)) {
			directory.refresh();
		}

		return outcome;
	}

	/** Makes a call that waits at the coordinator of `pool`. The signal of the call is aborted when the coordinator stops responding. */
	async #callWhileResponsive<T>(pool: string, signal: AbortSignal, call: (callSignal: AbortSignal) => Promise<T>): Promise<T> {
		const unresponsive = new AbortController();
		const abortCall = (): void => {
			unresponsive.abort(new Error(`the coordinator of pool ${pool} does not answer`));
		};

		signal.addEventListener('abort', abortCall);
		const unwatch = this.#monitor.watch(pool, abortCall);
		try {
			return await call(unresponsive.signal);
		} finally {
			unwatch();
			signal.removeEventListener('abort', abortCall);
		}
	}

	#pools(service: Service, {lengthClass}: CapacityRequest): readonly string[] {
		const {directory, configuration, clock} = this.parts;
		const {region, failureDomain: ownDomain} = directory.self;
		const now = clock();
		const candidates = activePoolsOf(service, configuration.current()?.configuration.failureDomains ?? [], region).map(({pool, failureDomain}) => ({
			pool,
			failureDomain,
			coordinator: this.#coordinatorOf(pool, now),
			waitMs: this.#summaries.waitMs(pool, lengthClass, now),
		}));
		return sortPools(candidates, ownDomain, this.#sequence).slice(0, MAX_POOLS_PER_ROUND);
	}

	#coordinatorOf(pool: string, now: number): CoordinatorState {
		if (this.#monitor.isSuspect(pool, now)) {
			return 'silent';
		}

		return this.parts.directory.poolLease(pool)?.owner ? 'known' : 'unknown';
	}

	#nextId(): string {
		const {id, incarnation} = this.parts.directory.self;
		return `${id}.${incarnation}.${++this.#sequence}`;
	}
}

/** Failure of a request whose caller disconnected or whose deadline passed before it was sent; otherwise undefined. */
function failureIfEnded(deadline: number, now: number, signal: AbortSignal): Failure | undefined {
	const timedOut = signal.aborted && signal.reason instanceof TimeLimitError;
	if (now >= deadline || timedOut) {
		return failure({
			code: 'deadline_exceeded', message: 'the deadline passed while the request waited for capacity', ran: 'not_run', step: 'reserve',
		});
	}

	return signal.aborted
		? failure({
			code: 'caller_left', message: 'the caller closed the connection while the request waited for capacity', ran: 'not_run', step: 'reserve',
		})
		: undefined;
}
