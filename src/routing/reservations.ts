/** Reserves capacity for a request in the first pool that grants it. Serves model and plain services. */
import type {ConfigurationSource} from '../configuration/configuration-source.js';
import type {Service} from '../configuration/schema.js';
import type {Directory} from '../membership/directory.js';
import type {Clock} from '../util/clock.js';
import {failure, type Failure} from '../util/failure.js';
import {LimitedSignal, TimeLimitError} from '../util/limited-signal.js';
import {pause} from '../util/pause.js';
import {askPools, type Refusals} from './ask-race.js';
import {CoordinatorWatch} from './coordinator-watch.js';
import {
	orderPools, poolsOf, PoolSummaries, type CoordinatorState,
} from './pool-choice.js';
import {isTransient, refusalFailure} from './refusals.js';
import type {
	Activation, Grant, PoolClient, ReservationOutcome, ReservationRequest,
} from './reservation.js';

/** How long a request waits for a coordinator to appear, for example while a failed one is replaced. */
const COORDINATOR_PATIENCE_MS = 10_000;
/** Pools asked in one round, so that an overload does not multiply reservations. */
const MAX_POOLS_ASKED = 6;
/** Time in one pool's queue after which the next pool is asked. Doubles in each round, so that a general overload does not cause moves. */
const FIRST_QUEUE_LIMIT_MS = 1000;
/** Huge prompts collect memory while they wait at the head of a queue, which a move gives up. */
const FIRST_HUGE_QUEUE_LIMIT_MS = 10_000;
/** The other members of a split prompt hold memory meanwhile, and a member that crashed may stay cold for long. */
const TURN_LIMIT_MS = 10_000;
const FIRST_ROUND_DELAY_MS = 50;
const LAST_ROUND_DELAY_MS = 500;

/** What a request needs, without the parts that differ between pools and tries. */
export type CapacityRequest = Omit<ReservationRequest, 'id' | 'pool' | 'remainingMs'> & {
	/** Monotonic ms. */
	readonly deadline: number;
};

type RoundOptions = {
	readonly signal: AbortSignal;
	/** Longest time in the queue of one pool. */
	readonly queueLimitMs: number;
};

/** What a round found; `moved`: in some queue the time limit passed. */
type Round = Grant | Failure | (Refusals & {readonly moved: boolean});

export type ReservationParts = {
	readonly client: PoolClient;
	readonly directory: Directory;
	readonly configuration: ConfigurationSource;
	readonly clock: Clock;
};

/** Reservations of one daemon. Ids are unique over all daemons and restarts. */
export class Reservations {
	static create(parts: ReservationParts): Reservations {
		return new Reservations(parts);
	}

	readonly #summaries = PoolSummaries.create();
	readonly #watch: CoordinatorWatch;
	#sequence = 0;

	private constructor(private readonly parts: ReservationParts) {
		this.#watch = CoordinatorWatch.create(async (pool, timeoutMs) => parts.client.isAlive(pool, timeoutMs), parts.clock);
	}

	/** Reserves in the best pool of `service` that grants, or says why none does. `signal` cancels waiting. */
	async reserve(service: Service, request: CapacityRequest, signal: AbortSignal): Promise<Grant | Failure> {
		const {clock} = this.parts;
		const startedAt = clock();
		const patientUntil = startedAt + Math.min(COORDINATOR_PATIENCE_MS, (request.deadline - startedAt) / 2);
		let delayMs = FIRST_ROUND_DELAY_MS;
		let queueLimitMs = request.lengthClass === 'huge' ? FIRST_HUGE_QUEUE_LIMIT_MS : FIRST_QUEUE_LIMIT_MS;
		for (;;) {
			const round = await this.#round(service, request, {signal, queueLimitMs});
			if (round.kind !== 'refusals') {
				return round;
			}

			const {outcomes} = round;
			queueLimitMs *= 2;
			if (round.moved) {
				continue;
			}

			const worthWaiting = outcomes.length > 0 && outcomes.every(outcome => isTransient(outcome));
			if (!worthWaiting || clock() + delayMs > patientUntil) {
				return refusalFailure(service.name, outcomes);
			}

			this.parts.directory.refresh();
			await pause(delayMs, signal);
			delayMs = Math.min(LAST_ROUND_DELAY_MS, delayMs * 2);
		}
	}

	/**
	 * Waits for the turn of a further server of a split prompt, for a limited time and as long as the coordinator shows
	 * signs of life.
	 */
	async activate(grant: Grant, server: string, signal: AbortSignal): Promise<Activation> {
		const limit = LimitedSignal.create(TURN_LIMIT_MS, signal);
		try {
			return await this.#whileAlive(grant.pool, limit.signal, async own => grant.activate(server, own));
		} finally {
			limit.close();
		}
	}

	/** Asks each pool once. Returns a grant, a failure that ends the request, or the refusals of all pools. */
	async #round(service: Service, request: CapacityRequest, {signal, queueLimitMs}: RoundOptions): Promise<Round> {
		const now = this.parts.clock();
		const before = endedBefore(request.deadline, now, signal);
		if (before) {
			return before;
		}

		const pools = this.#pools(service, request);
		const mayMove = pools.filter(pool => this.parts.directory.poolLease(pool)?.owner).length > 1;
		const limitMs = mayMove ? queueLimitMs : request.deadline - now;
		let moved = false;
		const asked = await askPools(pools, async (pool, own) => {
			const {outcome, isLate} = await this.#askWithin(pool, request, own, limitMs);
			moved ||= isLate;
			return outcome;
		}, signal);
		return asked.kind === 'granted' ? asked : endedBefore(request.deadline, this.parts.clock(), signal) ?? {...asked, moved};
	}

	/** Asks one pool. `isLate`: the request was taken back because it waited for `limitMs` in the queue. */
	async #askWithin(pool: string, request: CapacityRequest, signal: AbortSignal, limitMs: number) {
		const {clock} = this.parts;
		const startedAt = clock();
		const limit = LimitedSignal.create(limitMs, signal);
		try {
			const outcome = await this.#ask(pool, request, limit.signal);
			const isLate = outcome.kind !== 'granted' && limit.signal.aborted && !signal.aborted;
			if (isLate) {
				this.#summaries.recordWait(pool, request.lengthClass, clock() - startedAt, clock());
			}

			return {outcome, isLate};
		} finally {
			limit.close();
		}
	}

	async #ask(pool: string, request: CapacityRequest, signal: AbortSignal): Promise<ReservationOutcome> {
		const {deadline, ...rest} = request;
		const {client, directory, clock} = this.parts;
		const now = clock();
		const outcome = await this.#whileAlive(pool, signal, async own => client.reserve({
			...rest, id: this.#nextId(), pool, remainingMs: Math.max(1, deadline - now),
		}, {signal: own, now}));
		if (outcome.kind !== 'unreachable' && outcome.summary) {
			this.#summaries.record(outcome.summary, clock());
		}

		if (outcome.kind !== 'granted' && isTransient(outcome)) {
			directory.refresh();
		}

		return outcome;
	}

	/** Makes a call that waits at the coordinator of `pool`. Its signal is aborted when the coordinator falls silent. */
	async #whileAlive<T>(pool: string, signal: AbortSignal, call: (own: AbortSignal) => Promise<T>): Promise<T> {
		const silent = new AbortController();
		const giveUp = (): void => {
			silent.abort(new Error(`the coordinator of pool ${pool} does not answer`));
		};

		signal.addEventListener('abort', giveUp);
		const unwatch = this.#watch.watch(pool, giveUp);
		try {
			return await call(silent.signal);
		} finally {
			unwatch();
			signal.removeEventListener('abort', giveUp);
		}
	}

	#pools(service: Service, {lengthClass}: CapacityRequest): readonly string[] {
		const {directory, configuration, clock} = this.parts;
		const {region, failureDomain: ownDomain} = directory.self;
		const now = clock();
		const candidates = poolsOf(service, configuration.current()?.configuration.failureDomains ?? [], region).map(({pool, failureDomain}) => ({
			pool,
			failureDomain,
			coordinator: this.#coordinatorOf(pool, now),
			waitMs: this.#summaries.waitMs(pool, lengthClass, now),
		}));
		return orderPools(candidates, ownDomain, this.#sequence).slice(0, MAX_POOLS_ASKED);
	}

	#coordinatorOf(pool: string, now: number): CoordinatorState {
		if (this.#watch.isSuspect(pool, now)) {
			return 'silent';
		}

		return this.parts.directory.poolLease(pool)?.owner ? 'known' : 'unknown';
	}

	#nextId(): string {
		const {id, incarnation} = this.parts.directory.self;
		return `${id}.${incarnation}.${++this.#sequence}`;
	}
}

/** The failure of a request whose caller left or whose deadline passed before it was sent. */
function endedBefore(deadline: number, now: number, signal: AbortSignal): Failure | undefined {
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
