/** Reserves capacity for a request in the first pool that grants it. Serves model and plain services. */
import type {ConfigurationSource} from '../configuration/configuration-source.js';
import type {Service} from '../configuration/schema.js';
import type {Directory} from '../membership/directory.js';
import type {Clock} from '../util/clock.js';
import {failure, type Failure} from '../util/failure.js';
import {LimitedSignal} from '../util/limited-signal.js';
import {pause} from '../util/pause.js';
import {TimeLimitError} from '../util/time-limit.js';
import {orderPools, poolsOf, PoolSummaries} from './pool-choice.js';
import {isTransient, refusalFailure, type NotGranted} from './refusals.js';
import type {Grant, PoolClient, ReservationRequest} from './reservation.js';

/** How long a request waits for a coordinator to appear, for example while a failed one is replaced. */
const COORDINATOR_PATIENCE_MS = 10_000;
/** Pools asked in one round, so that an overload does not multiply reservations. */
const MAX_POOLS_ASKED = 6;
/** Time in one pool's queue after which the next pool is asked. Doubles in each round, so that a general overload does not cause moves. */
const FIRST_QUEUE_LIMIT_MS = 1000;
/** Huge prompts collect memory while they wait at the head of a queue, which a move gives up. */
const FIRST_HUGE_QUEUE_LIMIT_MS = 10_000;
const FIRST_ROUND_DELAY_MS = 50;
const LAST_ROUND_DELAY_MS = 500;

/** What a request needs, without the parts that differ between pools and tries. */
export type CapacityRequest = Omit<ReservationRequest, 'id' | 'pool' | 'remainingMs'> & {
	/** Monotonic ms. */
	readonly deadline: number;
};

/** Answers of all pools, none of which granted. `moved`: in some queue the time limit passed. */
type Refusals = {readonly kind: 'refusals'; readonly outcomes: readonly NotGranted[]; readonly moved: boolean};

type RoundOptions = {
	readonly signal: AbortSignal;
	/** Longest time in the queue of one pool. */
	readonly queueLimitMs: number;
};

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
	#sequence = 0;

	private constructor(private readonly parts: ReservationParts) {}

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

	/** Asks each pool once. Returns a grant, a failure that ends the request, or the refusals of all pools. */
	async #round(service: Service, request: CapacityRequest, {signal, queueLimitMs}: RoundOptions): Promise<Grant | Failure | Refusals> {
		const outcomes: NotGranted[] = [];
		let moved = false;
		const pools = this.#pools(service, request);
		const mayMove = pools.filter(pool => this.parts.directory.poolLease(pool)?.owner).length > 1;
		for (const pool of pools) {
			const now = this.parts.clock();
			const ended = endedBefore(request.deadline, now, signal);
			if (ended) {
				return ended;
			}

			const limit = LimitedSignal.create(mayMove ? queueLimitMs : request.deadline - now, signal);
			try {
				const outcome = await this.#ask(pool, request, limit.signal, now);
				if (outcome.kind === 'granted') {
					return outcome;
				}

				const waitedMs = this.parts.clock() - now;
				if (limit.signal.aborted && !signal.aborted) {
					this.#summaries.recordWait(pool, request.lengthClass, waitedMs, this.parts.clock());
					moved = true;
				} else {
					outcomes.push(outcome);
				}
			} finally {
				limit.close();
			}
		}

		return endedBefore(request.deadline, this.parts.clock(), signal) ?? {kind: 'refusals', outcomes, moved};
	}

	async #ask(pool: string, request: CapacityRequest, signal: AbortSignal, now: number) {
		const {deadline, ...rest} = request;
		const {client, directory, clock} = this.parts;
		const outcome = await client.reserve({
			...rest, id: this.#nextId(), pool, remainingMs: deadline - now,
		}, {signal, now});
		if (outcome.kind !== 'unreachable' && outcome.summary) {
			this.#summaries.record(outcome.summary, clock());
		}

		if (outcome.kind !== 'granted' && isTransient(outcome)) {
			directory.refresh();
		}

		return outcome;
	}

	#pools(service: Service, {lengthClass}: CapacityRequest): readonly string[] {
		const {directory, configuration, clock} = this.parts;
		const {region, failureDomain: ownDomain} = directory.self;
		const now = clock();
		const candidates = poolsOf(service, configuration.current()?.configuration.failureDomains ?? [], region).map(({pool, failureDomain}) => ({
			pool,
			failureDomain,
			coordinated: Boolean(directory.poolLease(pool)?.owner),
			waitMs: this.#summaries.waitMs(pool, lengthClass, now),
		}));
		return orderPools(candidates, ownDomain, this.#sequence).slice(0, MAX_POOLS_ASKED);
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
