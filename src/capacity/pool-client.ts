/** Reserves pool capacity for the requests of this daemon, from coordinators in this process or at peers. */
import type {Directory} from '../membership/directory.js';
import type {
	Acknowledge, KeepAlive, Release, Reserve, ReserveAnswer, Sender,
} from '../peer/protocol.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {withTimeLimit} from '../util/time-limit.js';
import type {PoolService} from './pool-coordinators.js';
import {
	type Activation, PoolReservation, type ReservationLink, type ReservationRequest,
} from './pool-reservation.js';

const KEEP_ALIVE_INTERVAL_MS = 1000;

/** A grant with less remaining validity is confirmed before use. */
const MIN_VALIDITY_MS = 200;

/** Maximum attempts to send a release. After the last one the reservation expires at the coordinator. */
const RELEASE_ATTEMPTS = 4;

export type PoolClientOptions = {
	readonly directory: Directory;
	/** Coordinators in this process. */
	readonly local: PoolService & {isCoordinating(pool: string): boolean};
	/** Returns the client for a peer address. */
	readonly peer: (address: string) => PoolService;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Result of a reservation. `unreachable`: no coordinator responded, so nothing may be sent to a backend server. */
export type ReserveResult =
	| PoolReservation
	| Extract<ReserveAnswer, {kind: 'refused'}>
	| {readonly kind: 'unreachable'; readonly message: string; readonly peer?: string};

export type ReserveOptions = {
	readonly signal: AbortSignal;
	/** Monotonic ms at which the reservation is requested. Its grant expires 500 ms later unless it is confirmed. */
	readonly now: number;
};

type Target = {
	readonly service: PoolService;
	/** Address of the coordinator, or `local`. */
	readonly peer: string;
};

type PendingRelease = {
	readonly message: Release;
	readonly attempts: number;
};

export class PoolClient implements ReservationLink {
	static create(options: PoolClientOptions): PoolClient {
		return new PoolClient(options);
	}

	readonly #open = new Map<string, PoolReservation>();
	readonly #keepingAlive = new Set<string>();
	#pendingReleases: PendingRelease[] = [];
	readonly #timer: NodeJS.Timeout;

	private constructor(private readonly options: PoolClientOptions) {
		this.#timer = setInterval(() => {
			this.#tick();
		}, KEEP_ALIVE_INTERVAL_MS);
	}

	/** Number of reservations that were granted and not released. */
	get openReservations(): number {
		return this.#open.size;
	}

	/** Waits until capacity is granted or refused. Aborting `signal` withdraws the request. */
	async reserve(request: ReservationRequest, {signal, now}: ReserveOptions): Promise<ReserveResult> {
		const target = this.#target(request.pool);
		if (!target) {
			this.options.directory.refresh();
			return {kind: 'unreachable', message: `no coordinator is known for pool ${request.pool}`};
		}

		const message: Reserve = {...request, sender: this.#sender};
		try {
			const answer = await withScopedSignal(signal, async scoped => target.service.reserve(message, scoped));
			return answer.kind === 'granted' ? await this.#accept(request, answer, target, now) : this.#handleRefusal(answer);
		} catch (err) {
			this.#releaseUnused(message);
			this.options.directory.refresh();
			return {kind: 'unreachable', message: err instanceof Error ? err.message : String(err), peer: target.peer};
		}
	}

	/** Whether the coordinator of `pool` accepts a keep-alive within `timeoutMs`. Never rejects. */
	async isAlive(pool: string, timeoutMs: number): Promise<boolean> {
		const target = this.#target(pool);
		if (!target) {
			return false;
		}

		try {
			const message: KeepAlive = {sender: this.#sender, pool, open: []};
			const answer = await withTimeLimit({timeoutMs}, async () => target.service.keepAlive(message));
			return answer.kind === 'accepted';
		} catch {
			return false;
		}
	}

	acknowledge(reservation: PoolReservation, server: string, answer: {readonly boot: string; readonly warm: boolean; readonly prefilled?: boolean}): void {
		const {id, pool} = reservation;
		const message: Acknowledge = {
			sender: this.#sender, pool, id, server, ...answer,
		};
		// The next keep-alive repeats the state if this message is lost.
		this.#send(pool, async service => service.acknowledge(message));
	}

	async activate(reservation: PoolReservation, server: string, signal: AbortSignal): Promise<Activation> {
		const now = this.options.clock();
		const target = this.#target(reservation.pool);
		if (!target) {
			return {kind: 'refused', message: `no coordinator is known for pool ${reservation.pool}`};
		}

		const message: Reserve = {...reservation.activationRequest(server, now), sender: this.#sender};
		try {
			const answer = await withScopedSignal(signal, async scoped => target.service.reserve(message, scoped));
			if (answer.kind === 'refused') {
				return answer;
			}

			const validUntil = await this.#validUntil(reservation, answer, target, now);
			return validUntil === undefined ? {kind: 'refused', message: `the grant of ${server} expired before it could be used`} : {kind: 'activated', validUntil};
		} catch (err) {
			return {kind: 'refused', message: err instanceof Error ? err.message : String(err)};
		}
	}

	release(reservation: PoolReservation, outcome: Release['outcome'], firstTokenMs?: number): void {
		const {id, pool} = reservation;
		this.#open.delete(id);
		void this.#release({
			message: {
				sender: this.#sender, pool, id, outcome, firstTokenMs,
			}, attempts: 0,
		});
	}

	/** Stops the keep-alives. Open reservations expire at their coordinators. */
	async close(): Promise<void> {
		clearInterval(this.#timer);
	}

	get #sender(): Sender {
		const {id, incarnation, peerAddress} = this.options.directory.self;
		return {id, incarnation, peerAddress};
	}

	#target(pool: string): Target | undefined {
		const {local, directory, peer} = this.options;
		if (local.isCoordinating(pool)) {
			return {service: local, peer: 'local'};
		}

		const lease = directory.poolLease(pool);
		if (!lease || lease.owner === '' || lease.owner === directory.self.id) {
			return undefined;
		}

		return {service: peer(lease.peerAddress), peer: lease.peerAddress};
	}

	async #accept(request: ReservationRequest, answer: Extract<ReserveAnswer, {kind: 'granted'}>, target: Target, requestedAtMs: number): Promise<ReserveResult> {
		const provisional = new PoolReservation(request, {...answer, validUntil: requestedAtMs + answer.validForMs}, this, requestedAtMs);
		const validUntil = await this.#validUntil(provisional, answer, target, requestedAtMs);
		if (validUntil === undefined) {
			provisional.release('not_sent');
			return {
				kind: 'refused', reason: 'not_coordinator', message: `the grant of pool ${request.pool} expired before it could be used`, retryAfterMs: 0,
			};
		}

		const reservation = new PoolReservation(request, {...answer, validUntil}, this, requestedAtMs);
		this.#open.set(reservation.id, reservation);
		return reservation;
	}

	/**
	 * Time until which a grant may be used; undefined when it is void. A grant that spent most of its validity in the
	 * queue is confirmed first, because the coordinator may have let it expire while this process was paused.
	 */
	async #validUntil(reservation: PoolReservation, answer: {readonly epoch: number; readonly validForMs: number}, target: Target, requestedAtMs: number): Promise<number | undefined> {
		const untilMs = requestedAtMs + answer.validForMs;
		const sentAtMs = this.options.clock();
		if (untilMs - sentAtMs >= MIN_VALIDITY_MS) {
			return untilMs;
		}

		const confirmed = await target.service.keepAlive({sender: this.#sender, pool: reservation.pool, open: [reservation.keepAliveEntry(sentAtMs)]});
		const isHeld = confirmed.kind === 'accepted' && confirmed.epoch === answer.epoch && !confirmed.unknown?.includes(reservation.id);
		return isHeld ? sentAtMs + answer.validForMs : undefined;
	}

	#handleRefusal(answer: Extract<ReserveAnswer, {kind: 'refused'}>): ReserveResult {
		if (answer.reason === 'not_coordinator' || answer.reason === 'draining') {
			this.options.directory.refresh();
		}

		return answer;
	}

	/** Releases a grant that the coordinator may have given although its answer was lost or cancelled. */
	#releaseUnused({sender, pool, id}: Reserve): void {
		void this.#release({
			message: {
				sender, pool, id, outcome: 'not_sent',
			}, attempts: RELEASE_ATTEMPTS - 1,
		});
	}

	async #release({message, attempts}: PendingRelease): Promise<void> {
		try {
			await this.#target(message.pool)?.service.release(message);
		} catch {
			if (attempts + 1 < RELEASE_ATTEMPTS) {
				this.#pendingReleases.push({message, attempts: attempts + 1});
			}
		}
	}

	#send(pool: string, call: (service: PoolService) => Promise<void>): void {
		const target = this.#target(pool);
		const send = async (): Promise<void> => {
			try {
				await (target && call(target.service));
			} catch (err) {
				this.options.logger.debug('pool_message_failed', {pool, peer: target?.peer, message: String(err)});
			}
		};

		void send();
	}

	#tick(): void {
		const releases = this.#pendingReleases;
		this.#pendingReleases = [];
		for (const release of releases) {
			void this.#release(release);
		}

		const open = [...this.#open.values()];
		for (const pool of new Set(open.map(reservation => reservation.pool))) {
			void this.#keepAlive(pool, open.filter(reservation => reservation.pool === pool));
		}
	}

	async #keepAlive(pool: string, reservations: readonly PoolReservation[]): Promise<void> {
		const target = this.#target(pool);
		if (!target || this.#keepingAlive.has(pool)) {
			return;
		}

		this.#keepingAlive.add(pool);
		const now = this.options.clock();
		const message: KeepAlive = {sender: this.#sender, pool, open: reservations.map(reservation => reservation.keepAliveEntry(now))};
		try {
			const answer = await target.service.keepAlive(message);
			if (answer.kind === 'not_coordinator') {
				this.options.directory.refresh();
			}
		} catch (err) {
			this.options.logger.warn('keep_alive_failed', {pool, peer: target.peer, message: String(err)});
			this.options.directory.refresh();
		} finally {
			this.#keepingAlive.delete(pool);
		}
	}
}

/** Runs `call` with a signal that follows `signal` only until the call ends, so that a later abort does not cancel a granted reservation. */
async function withScopedSignal<T>(signal: AbortSignal, call: (scoped: AbortSignal) => Promise<T>): Promise<T> {
	const controller = new AbortController();
	const cancel = () => {
		controller.abort(signal.reason);
	};

	signal.addEventListener('abort', cancel);
	if (signal.aborted) {
		cancel();
	}

	try {
		return await call(controller.signal);
	} finally {
		signal.removeEventListener('abort', cancel);
	}
}
