/**
 * The lease of one pool. It is acquired, renewed, taken over and released with conditional updates.
 *
 * The holder counts the TTL from before it sent the renewal, other daemons from after they saw it. A takeover therefore
 * never precedes the end of the holder's TTL, provided that monotonic clocks run at the same rate.
 */
import {type PoolLease, poolLeaseSchema} from '../membership/directory.js';
import type {ObservedLease} from '../membership/region-directory.js';
import type {ObjectApi, WriteCondition} from '../object-api/object-api.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {stackOf} from '../util/stack-of.js';
import {LeaseCandidates} from './lease-candidates.js';
import {
	askForPromises, askToStepDown, type LeaseDirectory, type LeasePeers, type Predecessor, predecessorName,
} from './lease-peers.js';
import {
	DISCONNECTED_MAX_MS, GRANT_VALID_MS, LEASE_TTL_MS, mayTakeOver, grantModeOf, TAKEOVER_MARGIN_MS,
} from './lease-takeover.js';
import type {GrantMode} from './usable-share.js';

const RENEWAL_INTERVAL_MS = 2000;

/** Interval at which a daemon without the lease checks whether it may take over. */
const WATCH_INTERVAL_MS = 500;

const CALL_TIMEOUT_MS = 1500;

/** Time allowed for new listings of the backend servers after a predecessor has ended. */
const LISTING_MARGIN_MS = 1500;

export type CoordinatorLeaseOptions = {
	readonly pool: string;
	readonly failureDomain: string;
	readonly objects: ObjectApi;
	readonly directory: LeaseDirectory;
	readonly peers: LeasePeers;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Called after each acquisition with the new lease. `clean` is true for a first lease and after a release with no request unacknowledged. */
	readonly onAcquired: (lease: PoolLease, clean: boolean) => void;
	/** Called when a predecessor has ended. Listings taken at `listedFromMs` or later include all its grants. */
	readonly onPredecessorEnded: (listedFromMs: number) => void;
	/** Called when ended predecessors no longer reduce the share that may be granted. */
	readonly onShareReturned: () => void;
	/** Called when this daemon learns that it no longer holds the lease. */
	readonly onLost: () => void;
};

/** A lease whose possession was proven by a conditional update. Times are monotonic ms. */
export type HeldLease = {
	readonly epoch: number;
	readonly validUntil: number;
	/** Time of the acquisition if the predecessor neither released the lease nor was known to have ended; undefined otherwise. */
	readonly tookOverAt: number | undefined;
};

type LeaseRecord = {
	readonly lease: PoolLease;
	readonly version: number;
	readonly renewedAtMs: number;
};

/** Writes that were sent and whose outcome is unknown. */
type UnresolvedWrites = {
	readonly epoch: number;
	/** Time just before the first of them was sent. */
	readonly sentAtMs: number;
	readonly candidates: ReadonlySet<string>;
	readonly renewal: number;
};

export class CoordinatorLease {
	static create(options: CoordinatorLeaseOptions): CoordinatorLease {
		return new CoordinatorLease(options);
	}

	#held: LeaseRecord | undefined;
	#unresolved: UnresolvedWrites | undefined;
	#promisedToOthersUntilMs = -Infinity;
	/** Time just before the last promises that all candidates gave were requested. */
	#promisesRequestedAtMs = -Infinity;
	#acquiredAtMs = -Infinity;
	#tookOverAt: number | undefined;
	/** This daemon has stepped down from all epochs below this one. */
	#minEpoch = 0;
	#absentSinceMs: number | undefined;
	/** Predecessors that have ended, with the time at which this daemon learned it. */
	#endedPredecessors = new Map<string, number>();
	#releasing = false;
	#draining = false;
	#closed = false;
	#timer: NodeJS.Timeout | undefined;
	#pendingStep: Promise<void> = Promise.resolve();

	readonly #candidates: LeaseCandidates;

	private constructor(private readonly options: CoordinatorLeaseOptions) {
		this.#candidates = new LeaseCandidates(options);
	}

	/** Epoch of the lease that this daemon holds, or held last without knowing of a successor; undefined otherwise. */
	get epoch(): number | undefined {
		return this.#held?.lease.epoch;
	}

	/** Grant mode of this daemon at `now`. */
	mode(now: number): GrantMode {
		if (!this.#held || this.#releasing) {
			return {kind: 'none'};
		}

		const {lease, renewedAtMs} = this.#held;
		return grantModeOf({renewalMs: now - renewedAtMs, promiseMs: now - this.#promisesRequestedAtMs}, lease.unconfirmed.length);
	}

	/** Starts to watch the lease and, once acquired, to renew it. */
	start(): void {
		this.#schedule(0);
	}

	/** Handles a successor's request to step down. True when this daemon no longer grants under epochs below `epoch`. */
	stepDown(epoch: number): boolean {
		if (this.#held && this.#held.lease.epoch >= epoch) {
			return false;
		}

		this.#minEpoch = Math.max(this.#minEpoch, epoch);
		this.#endHolding('stepped_down');
		return true;
	}

	/** Promises not to take over for `forMs`, unless this daemon may already have taken over or knows a newer epoch. */
	promise(epoch: number, forMs: number, now: number): boolean {
		const observed = this.options.directory.observedLease(this.options.pool);
		const mayHoldLease = this.#held !== undefined || this.#unresolved !== undefined;
		if (mayHoldLease || (observed?.lease.epoch ?? 0) > epoch) {
			return false;
		}

		this.#promisedToOthersUntilMs = Math.max(this.#promisedToOthersUntilMs, now + forMs);
		return true;
	}

	/** Stops acquiring. A lease that is held stays until {@link release}. */
	drain(): void {
		this.#draining = true;
	}

	/** Resumes acquiring after {@link drain}. */
	resume(): void {
		this.#draining = false;
	}

	/** Renews the lease immediately. Undefined when it is not held or the renewal is not known to have succeeded. */
	async renew(): Promise<HeldLease | undefined> {
		const requestedAtMs = this.options.clock();
		this.#enqueue(async () => {
			if (this.#held) {
				await this.#renew(this.#held);
			}
		});
		await this.#pendingStep;
		const held = this.#held;
		return held && !this.#releasing && held.renewedAtMs >= requestedAtMs
			? {epoch: held.lease.epoch, validUntil: held.renewedAtMs + LEASE_TTL_MS, tookOverAt: this.#tookOverAt}
			: undefined;
	}

	/** Releases the lease immediately. `settled` states that every granted request was acknowledged. */
	async release(settled: boolean): Promise<void> {
		this.#releasing = true;
		await this.#pendingStep;
		const held = this.#held;
		if (held) {
			const lease: PoolLease = {
				...held.lease, owner: '', incarnation: '', peerAddress: '', renewal: held.lease.renewal + 1, settled: settled && !this.#unresolved,
			};
			const outcome = await this.#write(lease, {kind: 'version', version: held.version});
			this.options.logger.info('pool_lease_released', {pool: this.options.pool, epoch: lease.epoch, outcome: outcome.kind});
		}

		this.#endHolding('released');
		this.#releasing = false;
	}

	/** Stops all activity without releasing the lease. */
	async close(): Promise<void> {
		this.#closed = true;
		clearTimeout(this.#timer);
		await this.#pendingStep;
	}

	#schedule(delayMs: number): void {
		clearTimeout(this.#timer);
		if (!this.#closed) {
			this.#timer = setTimeout(() => {
				this.#enqueue(async () => this.#runStep());
			}, delayMs);
		}
	}

	/**
	 * Runs steps one after another, since each write of the lease is conditional on the previous version. One that fails, for example on a
	 * stored lease that cannot be read, must not prevent the next.
	 */
	#enqueue(next: () => Promise<void>): void {
		const previous = this.#pendingStep;
		const run = async (): Promise<void> => {
			await previous;
			try {
				await next();
			} catch (err) {
				this.options.logger.error('pool_lease_step_failed', {pool: this.options.pool, message: stackOf(err)});
			}
		};

		this.#pendingStep = run();
	}

	async #runStep(): Promise<void> {
		const startedAtMs = this.options.clock();
		try {
			if (this.#held) {
				await this.#renew(this.#held);
				await this.#confirmPredecessors();
			} else {
				await this.#considerTakeover();
			}
		} finally {
			const intervalMs = this.#held ? RENEWAL_INTERVAL_MS : WATCH_INTERVAL_MS;
			this.#schedule(Math.max(0, startedAtMs + intervalMs - this.options.clock()));
		}
	}

	async #renew(held: LeaseRecord): Promise<void> {
		if (this.#releasing) {
			return;
		}

		const renewal = Math.max(held.lease.renewal, this.#unresolved?.renewal ?? 0) + 1;
		const lease: PoolLease = {
			...held.lease,
			renewal,
			unconfirmed: held.lease.unconfirmed.filter(predecessor => !this.#isSettled(predecessor)),
			candidates: this.#candidates.names(),
		};
		await this.#tryWrite(lease, {kind: 'version', version: held.version});
		if (this.#held?.lease.epoch === held.lease.epoch && this.options.clock() - this.#held.renewedAtMs >= RENEWAL_INTERVAL_MS) {
			await this.#askForPromises(this.#held);
		}
	}

	/** Takes over the lease if the rules allow it. */
	async #considerTakeover(): Promise<void> {
		const now = this.options.clock();
		const {pool, failureDomain, directory} = this.options;
		const {self} = directory;
		const isRegistered = directory.incarnationState(self.id, self.incarnation) === 'live';
		const hasPromised = now < this.#promisedToOthersUntilMs;
		const isLeaving = this.#draining ? true : self.draining;
		if (isLeaving || hasPromised || !isRegistered || !directory.leasesKnown(failureDomain)) {
			return;
		}

		const observed = directory.observedLease(pool);
		if (observed && observed.lease.epoch >= (this.#unresolved?.epoch ?? Infinity) && !this.#isOwn(observed.lease)) {
			// A takeover that is still in flight is conditional on an older version and will fail.
			this.#unresolved = undefined;
		}

		this.#absentSinceMs = observed ? undefined : this.#absentSinceMs ?? now;
		const sinceMs = observed?.firstSeenMs ?? this.#absentSinceMs ?? now;
		const ownerSuperseded = observed !== undefined && this.#isSuperseded(observed.lease.owner, observed.lease.incarnation, sinceMs);
		if (mayTakeOver({
			lease: observed?.lease, unchangedMs: now - sinceMs, self, rank: this.#candidates.rank(observed?.lease.owner), ownerSuperseded,
		})) {
			await this.#takeOver(observed, ownerSuperseded);
		}
	}

	async #takeOver(observed: ObservedLease | undefined, ownerSuperseded: boolean): Promise<void> {
		const {pool, directory: {self}} = this.options;
		const previous = observed?.lease;
		const hasOwnerEnded = !previous || previous.owner === '' || previous.owner === self.id || ownerSuperseded;
		const lease: PoolLease = {
			pool,
			owner: self.id,
			incarnation: self.incarnation,
			peerAddress: self.peerAddress,
			epoch: (previous?.epoch ?? 0) + 1,
			renewal: (this.#unresolved?.renewal ?? 0) + 1,
			unconfirmed: hasOwnerEnded
				? previous?.unconfirmed ?? []
				: [...previous.unconfirmed, {
					owner: previous.owner, incarnation: previous.incarnation, peerAddress: previous.peerAddress,
				}],
			candidates: this.#candidates.names(),
		};
		await this.#tryWrite(lease, observed ? {kind: 'version', version: observed.version} : {kind: 'absent'});
		if (this.#held) {
			this.#acquiredAtMs = this.options.clock();
			this.#tookOverAt = hasOwnerEnded ? undefined : this.#acquiredAtMs;
			const clean = previous === undefined || (previous.owner === '' && previous.settled === true);
			this.options.logger.info('pool_lease_acquired', {
				pool, epoch: lease.epoch, unconfirmed: lease.unconfirmed.length, clean,
			});
			this.options.onAcquired(lease, clean);
		}
	}

	/** Writes a lease of this daemon. An unknown outcome is resolved by reading the lease. */
	async #tryWrite(lease: PoolLease, condition: WriteCondition): Promise<void> {
		const sentAtMs = this.options.clock();
		const previous = this.#unresolved?.epoch === lease.epoch ? this.#unresolved : undefined;
		this.#unresolved = {
			epoch: lease.epoch,
			sentAtMs: previous?.sentAtMs ?? sentAtMs,
			candidates: new Set([...previous?.candidates ?? [], ...lease.candidates ?? []]),
			renewal: lease.renewal,
		};
		const outcome = await this.#write(lease, condition);
		if (outcome.kind === 'written') {
			this.#recordLease(lease, outcome.version, sentAtMs);
		} else if (outcome.kind === 'rejected') {
			this.#unresolved = previous;
		} else {
			await this.#resolveOutcome();
		}
	}

	/** Reads the lease after a conflict or a lost response. */
	async #resolveOutcome(): Promise<void> {
		const {pool, objects, directory, clock} = this.options;
		const outcome = await objects.read(`pools/${pool}`, {timeoutMs: CALL_TIMEOUT_MS});
		if (outcome.kind !== 'found') {
			return;
		}

		const lease = poolLeaseSchema.parse(outcome.object.value);
		directory.recordLease(pool, lease, outcome.object.version, clock());
		const unresolved = this.#unresolved;
		if (unresolved && this.#isOwn(lease) && lease.epoch === unresolved.epoch) {
			this.#recordLease(lease, outcome.object.version, unresolved.sentAtMs);
			return;
		}

		if (lease.epoch >= (this.#held?.lease.epoch ?? 0) && !this.#isOwn(lease)) {
			// Any write that is still in flight is conditional on an older version and will fail.
			this.#unresolved = undefined;
			this.#endHolding('replaced');
		}
	}

	#recordLease(lease: PoolLease, version: number, renewedAtMs: number): void {
		if (lease.epoch < this.#minEpoch) {
			return;
		}

		const isShareReturned = this.#held !== undefined && lease.unconfirmed.length < this.#held.lease.unconfirmed.length;
		this.#held = {lease, version, renewedAtMs};
		this.#unresolved = undefined;
		if (isShareReturned) {
			this.options.onShareReturned();
		}

		this.options.directory.recordLease(this.options.pool, lease, version, this.options.clock());
	}

	#endHolding(reason: string): void {
		const held = this.#held;
		this.#held = undefined;
		this.#endedPredecessors = new Map();
		this.#promisesRequestedAtMs = -Infinity;
		if (held) {
			this.options.logger.info('pool_lease_lost', {pool: this.options.pool, epoch: held.lease.epoch, reason});
			this.options.onLost();
		}
	}

	async #askForPromises(held: LeaseRecord): Promise<void> {
		const sentAtMs = this.options.clock();
		const candidates = new Set([...held.lease.candidates ?? [], ...this.#unresolved?.candidates ?? []]);
		const allPromised = await askForPromises(this.options, held.lease, candidates);
		if (allPromised && this.#held?.lease.epoch === held.lease.epoch) {
			this.#promisesRequestedAtMs = sentAtMs;
		}
	}

	async #confirmPredecessors(): Promise<void> {
		const held = this.#held;
		await Promise.all((held?.lease.unconfirmed ?? []).map(async predecessor => {
			const name = predecessorName(predecessor);
			if (!this.#endedPredecessors.has(name) && await this.#hasEnded(predecessor, held!.lease.epoch)) {
				const now = this.options.clock();
				this.#endedPredecessors.set(name, now);
				this.options.onPredecessorEnded(now + GRANT_VALID_MS);
			}
		}));
	}

	/** Whether a predecessor ended long enough ago for its last grants to appear in listings. */
	#isSettled(predecessor: Predecessor): boolean {
		const endedAtMs = this.#endedPredecessors.get(predecessorName(predecessor)) ?? Infinity;
		return this.options.clock() - endedAtMs >= GRANT_VALID_MS + LISTING_MARGIN_MS;
	}

	async #hasEnded(predecessor: Predecessor, epoch: number): Promise<boolean> {
		const heldForMs = this.options.clock() - this.#acquiredAtMs;
		return heldForMs >= DISCONNECTED_MAX_MS + TAKEOVER_MARGIN_MS
			|| this.#isSuperseded(predecessor.owner, predecessor.incarnation, this.#acquiredAtMs)
			|| askToStepDown(this.options, predecessor, {pool: this.options.pool, epoch});
	}

	/** Whether a listing of members taken after `sinceMs` contains a newer incarnation. Each incarnation registers before it acquires a lease. */
	#isSuperseded(id: string, incarnation: string, sinceMs: number): boolean {
		const {directory} = this.options;
		return (directory.membersListedAtMs ?? -Infinity) > sinceMs && directory.incarnationState(id, incarnation) === 'replaced';
	}

	#isOwn(lease: PoolLease): boolean {
		const {self} = this.options.directory;
		return lease.owner === self.id && lease.incarnation === self.incarnation;
	}

	async #write(lease: PoolLease, condition: WriteCondition) {
		return this.options.objects.write(`pools/${this.options.pool}`, lease, condition, {timeoutMs: CALL_TIMEOUT_MS});
	}
}
