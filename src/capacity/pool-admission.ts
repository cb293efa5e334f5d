/**
 * Admission control of one pool: assigns backend servers to requests. Holds the queue, the reservations and the servers
 * for one epoch. Makes no calls and reads no clock.
 */
import type {Configuration, Service} from '../configuration/schema.js';
import type {
	Acknowledge, GrantedServer, KeepAlive, PoolSummary, Release, Reserve, ReserveAnswer,
} from '../peer/protocol.js';
import {isLong, lengthClasses} from '../util/length-class.js';
import type {BackendServerState} from './backend-server-state.js';
import {couldEverFit, type GangMember} from './gang.js';
import {GrantPlanner} from './grant-planner.js';
import {GRANT_VALID_MS} from './lease-takeover.js';
import type {PlacementContext} from './placement.js';
import {PoolServers} from './pool-servers.js';
import {demandAt, type KeepAliveEntry, stateAt} from './keep-alive-entry.js';
import {PrefixIndex} from './prefix-index.js';
import {type OpenReservation, ReservationRegistry} from './reservation-registry.js';
import type {Demand, ServerReservationState} from './server-load.js';
import type {GrantMode} from './usable-share.js';
import {estimateFinishMs, type PoolView, summarize} from './wait-estimate.js';
import {WaitQueue} from './wait-queue.js';
import {toWaitingRequest, queueId, type WaitingRequest} from './waiting-request.js';
import {WorkspaceLimits} from './workspace-limits.js';

/** Maximum number of requests waiting in one pool. */
export const QUEUE_CAPACITY = 256;

/** Time after a takeover for daemons to register their reservations. The cold limits apply meanwhile. */
export const REGISTRATION_MS = 5000;

const RETRY_AFTER_OVERLOAD_MS = 1000;

type RefusalReason = Extract<ReserveAnswer, {kind: 'refused'}>['reason'];
export type Refused = Extract<ReserveAnswer, {kind: 'refused'}>;
export type Granted = Extract<ReserveAnswer, {kind: 'granted'}>;

/** Result of {@link PoolAdmission.dispatch}. */
export type DispatchResult = {
	readonly answers: ReadonlyArray<{readonly id: string; readonly answer: ReserveAnswer}>;
	/** Servers whose `/health` has to be called before a waiting request may be granted there. */
	readonly probes: readonly BackendServerState[];
};

export type PoolAdmissionOptions = {
	readonly pool: string;
	readonly epoch: number;
	readonly service: Service;
	readonly configuration: Configuration;
	/** False when a predecessor may have left reservations that are not registered yet. */
	readonly clean: boolean;
	/** False places long prompts like any other prompt, for comparison. */
	readonly longPromptQuota: boolean;
	readonly startedAtMs: number;
};

export class PoolAdmission {
	static create(options: PoolAdmissionOptions): PoolAdmission {
		return new PoolAdmission(options);
	}

	readonly servers: PoolServers;
	readonly prefixes = new PrefixIndex();
	readonly epoch: number;
	readonly #pool: string;
	readonly #reservations = new ReservationRegistry();
	readonly #limits: WorkspaceLimits;
	readonly #queue: WaitQueue<WaitingRequest>;
	readonly #longPromptQuota: boolean;
	readonly #recoveredAtMs: number;
	readonly #planner: GrantPlanner;
	#service: Service;
	private constructor(options: PoolAdmissionOptions) {
		this.#pool = options.pool;
		this.epoch = options.epoch;
		this.#service = options.service;
		this.#longPromptQuota = options.longPromptQuota;
		this.#recoveredAtMs = options.startedAtMs + (options.clean ? 0 : REGISTRATION_MS);
		// The last grants of a predecessor may reach a backend server until they expire.
		this.servers = new PoolServers(options.service, options.startedAtMs + (options.clean ? 0 : GRANT_VALID_MS));
		this.#planner = GrantPlanner.create(this.servers);
		this.#limits = WorkspaceLimits.create({pool: options.pool, configuration: options.configuration, startsFull: options.clean});
		this.#queue = WaitQueue.create({capacity: QUEUE_CAPACITY, ranks: options.configuration.priorities.map(priority => priority.rank)});
	}

	get queued(): number {
		return this.#queue.size;
	}

	/** Number of granted requests that no backend server has accepted yet. */
	get unacknowledged(): number {
		return this.servers.all().reduce((sum, server) => sum + server.totals.unacknowledgedRequests, 0);
	}

	/** Whether the cold limits still apply because reservations of the predecessor may not be registered yet. */
	isRecovering(now: number): boolean {
		return now < this.#recoveredAtMs;
	}

	isOpen(id: string): boolean {
		return this.#reservations.get(id) !== undefined;
	}

	setConfiguration(service: Service, configuration: Configuration, now: number): void {
		this.#service = service;
		this.servers.setService(service);
		this.#limits.setConfiguration(configuration, now);
	}

	/** Queues a request or refuses it. {@link dispatch} returns the answer to a queued request. */
	admit(message: Reserve, mode: GrantMode, now: number): Refused | undefined {
		if (message.activate !== undefined) {
			return this.#admitActivation(message, now);
		}

		const item = toWaitingRequest(message, this.#service, now);
		const refused = this.#refusalOf(item, mode, now);
		if (refused) {
			return refused;
		}

		const check = this.#limits.tryAcquire(message.workspace, message.promptTokens, mode, now);
		if (check.kind === 'exceeded') {
			return this.refuse('limit', `workspace ${message.workspace} has reached its share of the limit on ${check.limit} in pool ${this.#pool}`, now, check.retryAfterMs);
		}

		if (this.#queue.get(item.id) !== undefined || !this.#queue.add(item)) {
			this.#limits.release(message.workspace, now);
			return this.refuse('overloaded', `the queue of pool ${this.#pool} is full`, now, RETRY_AFTER_OVERLOAD_MS);
		}

		return undefined;
	}

	/** Grants the requests that fit now and refuses those whose deadline has passed. */
	dispatch(mode: GrantMode, now: number): DispatchResult {
		const answers: Array<{id: string; answer: ReserveAnswer}> = [];
		for (const item of this.#queue.removeExpired(now)) {
			this.#discard(item, now);
			answers.push({id: item.id, answer: this.refuse('deadline', `no capacity in pool ${this.#pool} before the deadline`, now)});
		}

		this.#planner.checkExclusive(this.#queue, this.#context(mode, now));
		const probes = new Set<BackendServerState>();
		const blocked = new Set<string>();
		for (let item = this.#queue.next(blocked, now); item; item = this.#queue.next(blocked, now)) {
			const plan = this.#planner.plan(item, this.#context(mode, now));
			if (plan.kind === 'grant') {
				answers.push({id: item.id, answer: this.#grant(item, plan.members, now)});
			} else {
				blocked.add(item.lane);
			}

			if (plan.kind === 'probe') {
				probes.add(plan.server);
			}
		}

		return {answers, probes: [...probes]};
	}

	/** Removes a request from the queue, or ends its reservation when it was granted but not used. */
	cancel(message: Reserve, now: number): void {
		const item = this.#queue.remove(queueId(message));
		if (item) {
			this.#discard(item, now);
		} else if (message.activate === undefined) {
			this.#endReservation(message.id, false, now);
		}
	}

	/** Empties the queue and returns the ids of the removed requests. */
	abandonQueue(now: number): readonly string[] {
		const items = this.#queue.items();
		for (const item of items) {
			this.#queue.remove(item.id);
			this.#discard(item, now);
		}

		return items.map(item => item.id);
	}

	acknowledge(message: Acknowledge, now: number): void {
		const server = this.servers.get(message.server);
		server?.acknowledge(message.id, message, now);
		if (message.prefilled === true) {
			server?.markPrefilled(message.id);
			this.#notePrefilled(message.id);
		}
	}

	release(message: Release, now: number): void {
		this.#endReservation(message.id, message.outcome === 'failed' || message.outcome === 'silent', now);
	}

	/** Renews the reservations that a daemon lists. Registers those that were not known, and returns their ids. */
	keepAlive(message: KeepAlive, now: number): readonly string[] {
		const unknown: string[] = [];
		for (const entry of message.open) {
			if (this.#reservations.get(entry.id)) {
				this.#reservations.noteSeen(entry.id, now);
				this.#noteProgress(entry, now);
			} else {
				unknown.push(entry.id);
				this.#register(entry, message, now);
			}
		}

		return unknown;
	}

	/** Marks reservations that no daemon lists any more as orphaned, and returns them. */
	expire(now: number): readonly OpenReservation[] {
		const expired = this.#reservations.removeExpired(now);
		for (const reservation of expired) {
			this.#limits.release(reservation.workspace, now);
			for (const id of reservation.servers) {
				this.servers.get(id)?.markOrphaned(reservation.id, now);
			}
		}

		return expired;
	}

	/** Restarts the slow start of all servers after the failure domain has returned: limits grow again from the cold limit. */
	restartRamps(now: number): void {
		for (const server of this.servers.all()) {
			server.restartRamp(now);
		}
	}

	summary(now: number): PoolSummary {
		return summarize(this.#view(), now);
	}

	refuse(reason: RefusalReason, message: string, now: number, retryAfterMs?: number): Refused {
		return {
			kind: 'refused', reason, message, retryAfterMs, summary: this.summary(now),
		};
	}

	#refusalOf(item: WaitingRequest, mode: GrantMode, now: number): Refused | undefined {
		const {message} = item;
		const pool = this.#pool;
		if (mode.kind === 'none') {
			return this.refuse('not_coordinator', `this daemon does not coordinate pool ${pool}`, now);
		}

		const eligible = this.servers.all().filter(server => !server.leaving && !message.exclude.includes(server.id));
		if (eligible.every(server => server.isBackingOff(now) || !server.models.mayServe(message.model))) {
			return this.refuse('no_servers', `no backend server of pool ${pool} currently accepts ${message.model ?? 'requests'}`, now, RETRY_AFTER_OVERLOAD_MS);
		}

		if (!couldEverFit(item.gang, this.servers.servingModel(message.model))) {
			return this.refuse('too_large', `${message.kvTokens} tokens exceed the capacity of pool ${pool}`, now);
		}

		const finishMs = estimateFinishMs(this.#view(), {
			rank: item.rank, promptTokens: message.promptTokens, generatedTokens: message.kvTokens - message.promptTokens,
		}, now);
		if (finishMs > message.remainingMs) {
			return this.refuse('deadline', `pool ${pool} needs an estimated ${Math.ceil(finishMs)} ms, but only ${Math.floor(message.remainingMs)} ms remain until the deadline`, now);
		}

		return undefined;
	}

	#admitActivation(message: Reserve, now: number): Refused | undefined {
		const reservation = this.#reservations.get(message.id);
		const inactiveDemand = this.servers.get(message.activate!)?.inactiveDemand(message.id);
		if (!reservation || !inactiveDemand) {
			return this.refuse('not_coordinator', `reservation ${message.id} has no inactive member at backend server ${message.activate} in pool ${this.#pool}`, now);
		}

		const item = {
			...toWaitingRequest(message, this.#service, now), demand: inactiveDemand, lane: `activate@${message.activate}`, cost: 0,
		};
		return this.#queue.add(item) ? undefined : this.refuse('overloaded', `the queue of pool ${this.#pool} is full`, now, RETRY_AFTER_OVERLOAD_MS);
	}

	#grant(item: WaitingRequest, members: readonly GangMember[], now: number): Granted {
		this.#queue.removeGranted(item.id);
		this.#planner.discard(item);
		const last = members.at(-1)!;
		const firstTokenMs = last.server.estimateMs(item.rank, last.demand.prefillTokens, now);
		for (const [index, {server, demand}] of members.entries()) {
			server.reserve(demand, index === 0 ? 'unacknowledged' : 'inactive', now);
		}

		if (item.message.activate === undefined) {
			this.#recordGrant(item.message, members, now);
		}

		return {
			kind: 'granted',
			epoch: this.epoch,
			servers: members.map(({server, demand}) => ({id: server.id, address: server.address, tokens: demand.prefillTokens})),
			validForMs: GRANT_VALID_MS,
			// Prefill chunks of shorter prompts run before those of longer ones; within a length class, the priority class decides.
			enginePriority: (lengthClasses.indexOf(item.lengthClass) * 10) + item.rank,
			firstTokenMs,
			summary: this.summary(now),
		};
	}

	#recordGrant(message: Reserve, members: readonly GangMember[], now: number): void {
		for (const {server} of members) {
			this.prefixes.noteStored(server.id, message.prefixHashes);
		}

		const {id, sender, workspace, lengthClass} = message;
		this.#reservations.put({
			id, sender, workspace, lengthClass, servers: members.map(member => member.server.id), lastSeenMs: now, prefilling: true,
		});
	}

	#register(entry: KeepAliveEntry, {sender}: KeepAlive, now: number): void {
		const {id, workspace, lengthClass, servers} = entry;
		if (this.#reservations.wasClosed(id, now)) {
			// The release arrived before this keep-alive.
			return;
		}

		for (const [index, server] of servers.entries()) {
			this.servers.getOrCreate(server).register(demandAt(entry, index), stateAt(entry, index), now);
		}

		this.#limits.register(workspace, now);
		this.#reservations.put({
			id, sender, workspace, lengthClass, servers, lastSeenMs: now, prefilling: true,
		});
		this.#notePrefilled(id);
	}

	#endReservation(id: string, failed: boolean, now: number): void {
		const reservation = this.#reservations.remove(id);
		this.#reservations.noteClosed(id, now);
		if (reservation) {
			this.#limits.release(reservation.workspace, now);
		}

		// Without an open reservation it may still count as an orphan at a server.
		for (const server of this.servers.all()) {
			server.release(id, failed && reservation?.servers.length === 1, now);
		}
	}

	/** Applies progress that a keep-alive reports, since the daemon's earlier messages may have been lost. */
	#noteProgress(entry: KeepAliveEntry, now: number): void {
		for (const [index, id] of entry.servers.entries()) {
			const server = this.servers.get(id);
			const state = stateAt(entry, index);
			if (state === 'acknowledged' || state === 'prefilled') {
				server?.markAcknowledged(entry.id, now);
			}

			if (state === 'prefilled') {
				server?.markPrefilled(entry.id);
				this.#notePrefilled(entry.id);
			}
		}
	}

	#notePrefilled(id: string): void {
		const reservation = this.#reservations.get(id);
		if (reservation?.servers.every(server => this.servers.get(server)?.isPrefilled(id))) {
			this.#reservations.notePrefilled(id);
		}
	}

	/** Releases what a request used while it was queued, after it left the queue without a grant. */
	#discard(item: WaitingRequest, now: number): void {
		this.#planner.discard(item);
		if (item.message.activate === undefined) {
			this.#limits.release(item.workspace, now);
		}
	}

	#context(mode: GrantMode, now: number): PlacementContext {
		return {
			mode,
			now,
			recovering: this.isRecovering(now),
			prefixes: this.prefixes,
			longPromptShare: this.#longPromptQuota && this.#service.kind === 'model' ? this.#service.longPromptShare : undefined,
			longPrefills: this.#reservations.longPrefills(),
		};
	}

	#view(): PoolView {
		return {
			pool: this.#pool,
			epoch: this.epoch,
			service: this.#service,
			servers: this.servers.all(),
			waiting: this.#queue.items(),
			running: this.#reservations.size,
		};
	}
}
