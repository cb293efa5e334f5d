/**
 * Decides which request gets which backend servers of one pool. Holds the queue, the reservations and the servers of
 * one epoch; makes no calls and reads no clock.
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
import {demandAt, type KeepAliveEntry, stateAt} from './open-entry.js';
import {PrefixIndex} from './prefix-index.js';
import {type OpenReservation, ReservationRegistry} from './reservation-book.js';
import type {Demand, ServerReservationState} from './server-load.js';
import type {GrantMode} from './usable-share.js';
import {estimateFinishMs, type PoolView, summarize} from './wait-estimate.js';
import {WaitQueue} from './wait-queue.js';
import {toWaitingRequest, queueId, type WaitingRequest} from './waiting-request.js';
import {WorkspaceLimits} from './workspace-limits.js';

/** Requests that wait in one pool at most. */
export const QUEUE_CAPACITY = 256;

/** Time after a takeover in which daemons register their reservations; limits stay cold meanwhile. */
export const REGISTRATION_MS = 5000;

const RETRY_AFTER_OVERLOAD_MS = 1000;

type RefusalReason = Extract<ReserveAnswer, {kind: 'refused'}>['reason'];
export type Refused = Extract<ReserveAnswer, {kind: 'refused'}>;
export type Granted = Extract<ReserveAnswer, {kind: 'granted'}>;

/** Result of {@link PoolAdmission.dispatch}. */
export type DispatchResult = {
	readonly answers: ReadonlyArray<{readonly id: string; readonly answer: ReserveAnswer}>;
	/** Servers whose `/health` has to be asked before a waiting request may go there. */
	readonly probes: readonly BackendServerState[];
};

export type PoolAdmissionOptions = {
	readonly pool: string;
	readonly epoch: number;
	readonly service: Service;
	readonly configuration: Configuration;
	/** False after a predecessor that may still have unregistered reservations. */
	readonly clean: boolean;
	/** False places long prompts like any other, for comparison. */
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
		// What a predecessor granted last may reach a backend server until its validity ends.
		this.servers = new PoolServers(options.service, options.startedAtMs + (options.clean ? 0 : GRANT_VALID_MS));
		this.#planner = GrantPlanner.create(this.servers);
		this.#limits = WorkspaceLimits.create({pool: options.pool, configuration: options.configuration, fresh: options.clean});
		this.#queue = WaitQueue.create({capacity: QUEUE_CAPACITY, ranks: options.configuration.priorities.map(priority => priority.rank)});
	}

	get queued(): number {
		return this.#queue.size;
	}

	/** Requests that were granted and that no backend server has accepted yet. */
	get unacknowledged(): number {
		return this.servers.all().reduce((sum, server) => sum + server.totals.unacknowledgedRequests, 0);
	}

	/** Whether limits stay cold because reservations of the predecessor may not have been registered yet. */
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

	/** Puts a request into the queue, or refuses it. The answer to a queued one comes from {@link dispatch}. */
	admit(message: Reserve, mode: GrantMode, now: number): Refused | undefined {
		if (message.activate !== undefined) {
			return this.#admitActivation(message, now);
		}

		const item = toWaitingRequest(message, this.#service, now);
		const refused = this.#refusalOf(item, mode, now);
		if (refused) {
			return refused;
		}

		const check = this.#limits.enter(message.workspace, message.promptTokens, mode, now);
		if (check.kind === 'exceeded') {
			return this.refuse('limit', `workspace ${message.workspace} is at its share of ${check.limit} in pool ${this.#pool}`, now, check.retryAfterMs);
		}

		if (this.#queue.get(item.id) !== undefined || !this.#queue.add(item)) {
			this.#limits.leave(message.workspace, now);
			return this.refuse('overloaded', `the queue of pool ${this.#pool} is full`, now, RETRY_AFTER_OVERLOAD_MS);
		}

		return undefined;
	}

	/** Grants what fits now, and refuses what has waited until its deadline. */
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

	/** Takes a request out of the queue, or ends its reservation when it was granted and not used. */
	cancel(message: Reserve, now: number): void {
		const item = this.#queue.remove(queueId(message));
		if (item) {
			this.#discard(item, now);
		} else if (message.activate === undefined) {
			this.#endReservation(message.id, false, now);
		}
	}

	/** Empties the queue and returns the ids that waited. */
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

	/** Renews the reservations that a daemon lists. Returns those that were not known; they count from now on. */
	keepAlive(message: KeepAlive, now: number): readonly string[] {
		const unknown: string[] = [];
		for (const open of message.open) {
			if (this.#reservations.get(open.id)) {
				this.#reservations.noteSeen(open.id, now);
				this.#noteProgress(open, now);
			} else {
				unknown.push(open.id);
				this.#register(open, message, now);
			}
		}

		return unknown;
	}

	/** Turns reservations that no daemon answers for into orphans. */
	expire(now: number): readonly OpenReservation[] {
		const expired = this.#reservations.removeExpired(now);
		for (const reservation of expired) {
			this.#limits.leave(reservation.workspace, now);
			for (const id of reservation.servers) {
				this.servers.get(id)?.markOrphaned(reservation.id, now);
			}
		}

		return expired;
	}

	/** The failure domain returned: admission grows again from the cold limit. */
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

		const remaining = this.servers.all().filter(server => !server.leaving && !message.exclude.includes(server.id));
		if (remaining.every(server => server.isBackingOff(now) || !server.models.mayServe(message.model))) {
			return this.refuse('no_servers', `no backend server of pool ${pool} takes ${message.model ?? 'work'} now`, now, RETRY_AFTER_OVERLOAD_MS);
		}

		if (!couldEverFit(item.gang, this.servers.servingModel(message.model))) {
			return this.refuse('too_large', `${message.kvTokens} tokens do not fit into pool ${pool}`, now);
		}

		const finishMs = estimateFinishMs(this.#view(), {
			rank: item.rank, promptTokens: message.promptTokens, generatedTokens: message.kvTokens - message.promptTokens,
		}, now);
		if (finishMs > message.remainingMs) {
			return this.refuse('deadline', `pool ${pool} needs ${Math.ceil(finishMs)} ms, ${Math.floor(message.remainingMs)} ms are left`, now);
		}

		return undefined;
	}

	#admitActivation(message: Reserve, now: number): Refused | undefined {
		const open = this.#reservations.get(message.id);
		const held = this.servers.get(message.activate!)?.inactiveDemand(message.id);
		if (!open || !held) {
			return this.refuse('not_coordinator', `reservation ${message.id} is not held at ${message.activate} in pool ${this.#pool}`, now);
		}

		const item = {
			...toWaitingRequest(message, this.#service, now), demand: held, lane: `activate@${message.activate}`, cost: 0,
		};
		return this.#queue.add(item) ? undefined : this.refuse('overloaded', `the queue of pool ${this.#pool} is full`, now, RETRY_AFTER_OVERLOAD_MS);
	}

	#grant(item: WaitingRequest, members: readonly GangMember[], now: number): Granted {
		this.#queue.take(item.id);
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
			// Chunks of short prompts go before those of long ones; the priority class decides within a length class.
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

	#register(open: KeepAliveEntry, {sender}: KeepAlive, now: number): void {
		const {id, workspace, lengthClass, servers} = open;
		if (this.#reservations.wasClosed(id, now)) {
			// The release overtook this keep-alive.
			return;
		}

		for (const [index, server] of servers.entries()) {
			this.servers.getOrCreate(server).register(demandAt(open, index), stateAt(open, index), now);
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
			this.#limits.leave(reservation.workspace, now);
		}

		// Without an open reservation it may still count as an orphan somewhere.
		for (const server of this.servers.all()) {
			server.release(id, failed && reservation?.servers.length === 1, now);
		}
	}

	/** The daemon's messages about it may have been lost. */
	#noteProgress(open: KeepAliveEntry, now: number): void {
		for (const [index, id] of open.servers.entries()) {
			const server = this.servers.get(id);
			const state = stateAt(open, index);
			if (state === 'acknowledged' || state === 'prefilled') {
				server?.markAcknowledged(open.id, now);
			}

			if (state === 'prefilled') {
				server?.markPrefilled(open.id);
				this.#notePrefilled(open.id);
			}
		}
	}

	#notePrefilled(id: string): void {
		const reservation = this.#reservations.get(id);
		if (reservation?.servers.every(server => this.servers.get(server)?.isPrefilled(id))) {
			this.#reservations.notePrefilled(id);
		}
	}

	/** Undoes what a request that leaves the queue without a grant had in use. */
	#discard(item: WaitingRequest, now: number): void {
		this.#planner.discard(item);
		if (item.message.activate === undefined) {
			this.#limits.leave(item.workspace, now);
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
