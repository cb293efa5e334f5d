/** Coordinates one pool while this daemon holds the pool's lease. */
import type {Configuration, Service} from '../configuration/schema.js';
import type {Host} from '../object-api/host-list.js';
import type {
	Acknowledge, KeepAlive, KeepAliveAnswer, Release, Reserve, ReserveAnswer,
} from '../peer/protocol.js';
import type {ReconciledPool} from '../orders/order-reconciler.js';
import type {IncarnationState} from '../membership/member-view.js';
import type {PoolLease} from '../membership/directory.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import type {BackendProbe} from './backend-probe.js';
import {GRANT_VALID_MS} from './lease-takeover.js';
import {PoolAdmission} from './pool-admission.js';
import {CoordinatorLease, type CoordinatorLeaseOptions} from './coordinator-lease.js';
import {LOAD_INTERVAL_MS, ServerPoller} from './server-poller.js';
import {queueId} from './waiting-request.js';

/** Interval of dispatching while requests wait and no other event triggers it. */
const DISPATCH_INTERVAL_MS = 50;

const EXPIRY_INTERVAL_MS = 500;

/** Interval at which a drain checks whether all granted requests have been acknowledged. */
const ACKNOWLEDGEMENT_CHECK_INTERVAL_MS = 10;

export type PoolCoordinatorOptions = {
	readonly lease: Omit<CoordinatorLeaseOptions, 'onAcquired' | 'onPredecessorEnded' | 'onShareReturned' | 'onLost'>;
	readonly service: Service;
	readonly configuration: Configuration;
	readonly hosts: () => readonly Host[];
	readonly incarnationState: (daemon: string, incarnation: string) => IncarnationState;
	readonly probe: BackendProbe;
	readonly clock: Clock;
	readonly logger: Logger;
	/** False places long prompts like any other prompt, for comparison. */
	readonly longPromptQuota: boolean;
};

/** State for one epoch of the lease. */
type Term = {
	readonly admission: PoolAdmission;
	readonly poller: ServerPoller;
	readonly waiting: Map<string, (answer: ReserveAnswer) => void>;
};

export class PoolCoordinator {
	static create(options: PoolCoordinatorOptions): PoolCoordinator {
		return new PoolCoordinator(options);
	}

	readonly pool: string;
	readonly lease: CoordinatorLease;
	#term: Term | undefined;
	#service: Service;
	#configuration: Configuration;
	#draining = false;
	#timers: NodeJS.Timeout[] = [];
	#dispatchTimer: NodeJS.Timeout | undefined;

	private constructor(private readonly options: PoolCoordinatorOptions) {
		this.pool = options.lease.pool;
		this.#service = options.service;
		this.#configuration = options.configuration;
		this.lease = CoordinatorLease.create({
			...options.lease,
			onAcquired: (lease, clean) => {
				this.#startTerm(lease, clean);
			},
			onPredecessorEnded: listedFromMs => {
				this.#term?.admission.servers.requireListing(listedFromMs);
			},
			onShareReturned: () => {
				this.#term?.admission.servers.suspendUnlisted();
			},
			onLost: () => {
				this.#endTerm();
			},
		});
	}

	/** Whether this daemon currently grants reservations of the pool. */
	get isCoordinating(): boolean {
		return this.#term !== undefined && this.lease.mode(this.options.clock()).kind !== 'none';
	}

	/** Summary of the pool; undefined while another daemon coordinates it. */
	summary(now: number) {
		return this.#term?.admission.summary(now);
	}

	/** Input for orders to the engines of the pool. Undefined unless the lease is held, the full limits apply and the daemon is not draining. */
	get orderedPool(): ReconciledPool | undefined {
		const now = this.options.clock();
		const term = this.#term;
		const service = this.#service;
		if (!term || service.kind !== 'model' || this.#draining || this.lease.mode(now).kind !== 'full') {
			return undefined;
		}

		const eligible = term.admission.servers.all().filter(server => !server.leaving && server.address !== '');
		return {
			pool: this.pool,
			epoch: term.admission.epoch,
			service,
			engines: eligible.map(({id, address, models}) => ({id, address, load: models.recentReport(now)})),
			renewLease: async () => this.lease.renew(),
		};
	}

	start(): void {
		this.lease.start();
	}

	/** Waits for capacity. Aborting `signal` withdraws the request, even if it was granted just before. */
	async reserve(message: Reserve, signal?: AbortSignal): Promise<ReserveAnswer> {
		const now = this.options.clock();
		const term = this.#term;
		const refused = this.#admit(message, now);
		if (!term || refused) {
			return refused ?? {kind: 'refused', reason: 'not_coordinator', message: `this daemon does not coordinate pool ${this.pool}`};
		}

		if (signal?.aborted) {
			term.admission.cancel(message, now);
			return term.admission.refuse('deadline', 'the caller cancelled the reservation', now);
		}

		return new Promise(resolve => {
			const id = queueId(message);
			signal?.addEventListener('abort', () => {
				term.waiting.delete(id);
				term.admission.cancel(message, this.options.clock());
				resolve(term.admission.refuse('deadline', 'the caller cancelled the reservation', this.options.clock()));
				this.#dispatch();
			}, {once: true});
			term.waiting.set(id, resolve);
			this.#dispatch();
		});
	}

	acknowledge(message: Acknowledge): void {
		this.#term?.admission.acknowledge(message, this.options.clock());
		this.#dispatch();
	}

	release(message: Release): void {
		this.#term?.admission.release(message, this.options.clock());
		this.#dispatch();
	}

	keepAlive(message: KeepAlive): KeepAliveAnswer {
		const now = this.options.clock();
		if (!this.#term || this.lease.mode(now).kind === 'none') {
			return {kind: 'not_coordinator', epoch: this.lease.epoch ?? 0};
		}

		const {admission} = this.#term;
		return {kind: 'accepted', epoch: admission.epoch, unknown: admission.keepAlive(message, now)};
	}

	/** Applies a changed configuration. */
	setConfiguration(service: Service, configuration: Configuration, now: number): void {
		const wasOut = this.#isDomainOut();
		this.#service = service;
		this.#configuration = configuration;
		this.#term?.admission.setConfiguration(service, configuration, now);
		if (this.#isDomainOut()) {
			this.#refuseWaiting('domain_out', `failure domain ${this.options.lease.failureDomain} is out`, now);
		} else if (wasOut) {
			this.#term?.admission.restartRamps(now);
		}

		this.#dispatch();
	}

	/** Refuses new requests, waits up to the validity of a grant for outstanding acknowledgements, and releases the lease. */
	async drain(): Promise<void> {
		const {clock} = this.options;
		this.#draining = true;
		this.lease.drain();
		this.#refuseWaiting('draining', `the coordinator of pool ${this.pool} is shutting down`, clock());
		const untilMs = clock() + GRANT_VALID_MS;
		while ((this.#term?.admission.unacknowledged ?? 0) > 0 && clock() < untilMs) {
			await new Promise(resolve => {
				setTimeout(resolve, ACKNOWLEDGEMENT_CHECK_INTERVAL_MS);
			});
		}

		await this.lease.release((this.#term?.admission.unacknowledged ?? 0) === 0);
	}

	/** Stops all activity without releasing the lease. */
	async close(): Promise<void> {
		await this.lease.close();
		this.#endTerm();
	}

	#admit(message: Reserve, now: number): ReserveAnswer | undefined {
		const admission = this.#term?.admission;
		if (!admission) {
			return undefined;
		}

		// Activating a gang member belongs to a request that is already running.
		const isNew = message.activate === undefined;
		if (isNew && this.#draining) {
			return admission.refuse('draining', `the coordinator of pool ${this.pool} is shutting down`, now);
		}

		if (isNew && this.#isDomainOut()) {
			return admission.refuse('domain_out', `failure domain ${this.options.lease.failureDomain} is out`, now);
		}

		return admission.admit(message, this.lease.mode(now), now);
	}

	#startTerm(lease: PoolLease, clean: boolean): void {
		const {clock, probe, logger, incarnationState} = this.options;
		this.#endTerm();
		const admission = PoolAdmission.create({
			pool: this.pool,
			epoch: lease.epoch,
			service: this.#service,
			configuration: this.#configuration,
			clean,
			longPromptQuota: this.options.longPromptQuota,
			startedAtMs: clock(),
		});
		const poller = ServerPoller.create({
			kind: this.#service.kind,
			admission,
			probe,
			incarnationState,
			clock,
			logger,
			onProgress: () => {
				this.#dispatch();
			},
		});
		this.#term = {admission, poller, waiting: new Map()};
		this.#timers = [setInterval(() => {
			this.#poll();
		}, LOAD_INTERVAL_MS), setInterval(() => {
			this.#expire();
		}, EXPIRY_INTERVAL_MS)];
		this.#poll();
	}

	#endTerm(): void {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		clearTimeout(this.#dispatchTimer);
		this.#dispatchTimer = undefined;
		this.#term?.poller.close();
		this.#refuseWaiting('not_coordinator', `this daemon no longer coordinates pool ${this.pool}`, this.options.clock());
		this.#term = undefined;
	}

	#poll(): void {
		const term = this.#term;
		term?.admission.servers.applyHosts(this.options.hosts());
		term?.poller.poll();
		this.#dispatch();
	}

	#expire(): void {
		const now = this.options.clock();
		for (const {id, sender} of this.#term?.admission.expire(now) ?? []) {
			this.options.logger.warn('reservation_expired', {pool: this.pool, reservation: id, peer: sender.peerAddress});
		}
	}

	#refuseWaiting(reason: 'domain_out' | 'draining' | 'not_coordinator', message: string, now: number): void {
		const term = this.#term;
		for (const id of term?.admission.abandonQueue(now) ?? []) {
			this.#answer(id, term!.admission.refuse(reason, message, now));
		}
	}

	#dispatch(): void {
		const term = this.#term;
		if (!term) {
			return;
		}

		const now = this.options.clock();
		const {answers, probes} = term.admission.dispatch(this.lease.mode(now), now);
		for (const {id, answer} of answers) {
			this.#answer(id, answer);
		}

		for (const server of probes) {
			void term.poller.probeHealth(server);
		}

		if (term.admission.queued > 0) {
			this.#dispatchTimer ??= setTimeout(() => {
				this.#dispatchTimer = undefined;
				this.#dispatch();
			}, DISPATCH_INTERVAL_MS);
		}
	}

	#answer(id: string, answer: ReserveAnswer): void {
		const resolve = this.#term?.waiting.get(id);
		this.#term?.waiting.delete(id);
		resolve?.(answer);
	}

	#isDomainOut(): boolean {
		const domain = this.#configuration.failureDomains.find(({name}) => name === this.options.lease.failureDomain);
		return domain?.state !== 'in';
	}
}
