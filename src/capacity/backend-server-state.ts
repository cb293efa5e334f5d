/** State of one backend server as its pool coordinator sees it, and the capacity that is left to grant. */
import type {EngineListing} from '../backend/engine-protocol.js';
import {isLong, lengthClassOf} from '../util/length-class.js';
import {PrefillBacklog} from './prefill-backlog.js';
import {ReleasedIds} from './released-ids.js';
import {parseReservationId} from './reservation-id.js';
import {ServerBackoff} from './server-backoff.js';
import {
	addToTotals, type Demand, zeroTotals, type ServerReservation, type ServerReservationState, type LoadTotals,
} from './server-load.js';
import {type ModelReport, ServerModels} from './server-models.js';
import {type ServerLimits, ServerWarmth} from './server-warmth.js';
import {type GrantMode, usableShare} from './usable-share.js';

/** Maximum age of a warm `/health` response on which a request above the cold limit may be sent. */
export const PROBE_MAX_AGE_MS = 50;

/** Share of the request slots reserved for short prompts. Longer prompts could otherwise occupy every slot and block short ones until one finishes. */
const SHORT_SLOT_SHARE = 0.25;

/**
 * Whether a demand fits now.
 * - `probe`: it fits once a new `/health` response reports the server as warm
 * - `exclusive`: it fits once no other request is unacknowledged
 */
export type Fit = 'yes' | 'no' | 'probe' | 'exclusive';

/** A load report of an engine or a plain service. */
export type LoadReport = ModelReport & {
	readonly warm: boolean;
	readonly ageMs: number;
	readonly runningRequests: number;
	readonly pendingPrefillTokens?: number;
};

export type BackendServerOptions = {
	readonly id: string;
	readonly address: string;
	readonly limits: ServerLimits;
	/** True for engines, which list their streams and segments; plain services report only a count. */
	readonly supportsListing: boolean;
};

/** All times are monotonic ms of this daemon. The limits hold for any order of calls. */
export class BackendServerState {
	static create(options: BackendServerOptions): BackendServerState {
		return new BackendServerState(options);
	}

	readonly id: string;
	address: string;
	leaving = false;
	/** Demand of a request that accumulates freed memory here. Other demands are granted only if this one still fits afterwards. */
	accumulatingDemand: Demand | undefined;
	/** Reservation that waits until no other request is unacknowledged here. No other reservation is granted meanwhile. */
	exclusiveFor: string | undefined;
	readonly models = new ServerModels();
	readonly #supportsListing: boolean;
	readonly #reservations = new Map<string, ServerReservation>();
	readonly #released = new ReleasedIds();
	readonly #warmth = new ServerWarmth();
	#limits: ServerLimits;
	readonly #backoff = new ServerBackoff();
	readonly #totals: LoadTotals = zeroTotals();
	#backlog: PrefillBacklog;
	/** Running requests of a plain service that belong to no known reservation. */
	#untracked = 0;
	/** Whether the grants of other coordinators are known, from a listing or a load report. */
	#otherGrantsKnown = false;
	/** Listings requested before this time may miss grants of another coordinator. */
	#listedFromMs = -Infinity;
	#listed = false;
	#warmProbeAtMs = -Infinity;

	private constructor(options: BackendServerOptions) {
		this.id = options.id;
		this.address = options.address;
		this.#supportsListing = options.supportsListing;
		this.#limits = options.limits;
		this.#backlog = new PrefillBacklog(options.limits.prefillTokensPerSecond);
	}

	get totals(): Readonly<LoadTotals> {
		return this.#totals;
	}

	get limits(): ServerLimits {
		return this.#limits;
	}

	/** Whether the backend server is in cold start, according to its last response. */
	get isCold(): boolean {
		return this.#warmth.isCold;
	}

	/** Whether a new listing (a load report for a plain service) is needed. */
	get needsListing(): boolean {
		return !this.#listed || this.#totals.orphans > 0;
	}

	/** Whether grants are possible: the grants of other coordinators are known, and the server is neither leaving nor backing off. */
	isUsable(now: number): boolean {
		return this.#otherGrantsKnown && !this.leaving && !this.#backoff.isActive(now);
	}

	isBackingOff(now: number): boolean {
		return this.#backoff.isActive(now);
	}

	isPrefilled(id: string): boolean {
		return this.#reservations.get(id)?.state === 'prefilled';
	}

	/** Demand of a reservation that is inactive here; undefined in any other state. */
	inactiveDemand(id: string): Demand | undefined {
		const reservation = this.#reservations.get(id);
		return reservation?.state === 'inactive' ? reservation.demand : undefined;
	}

	/** Requires a listing requested at `listedFromMs` or later. Grants continue meanwhile if they were possible before. */
	requireListing(listedFromMs: number): void {
		this.#listedFromMs = listedFromMs;
		this.#listed = false;
	}

	/** Suspends grants until the last required listing has arrived. */
	suspendUnlisted(): void {
		this.#otherGrantsKnown &&= this.#listed;
	}

	setLimits(limits: ServerLimits): void {
		if (limits.prefillTokensPerSecond !== this.#limits.prefillTokensPerSecond) {
			this.#backlog = new PrefillBacklog(limits.prefillTokensPerSecond);
		}

		this.#limits = limits;
	}

	/** Limit on requests and prefill tokens at `now`. While `recovering`, this is the cold limit. */
	limitAt(now: number, recovering: boolean): ServerLimits['warm'] {
		return recovering ? this.#limits.cold : this.#warmth.limit(this.#limits, now);
	}

	/** KV tokens that are free for a new demand. The other limits are not considered. */
	freeKvTokens(mode: GrantMode): number {
		return Math.max(0, usableShare(this.#limits.kvTokens, mode) - this.#totals.kvTokens - (this.accumulatingDemand?.kvTokens ?? 0));
	}

	/** Whether `demand` may be granted. The accumulating demand itself and the activation of an inactive gang member do not count the accumulating demand. */
	canAccept(demand: Demand, mode: GrantMode, now: number, recovering: boolean): Fit {
		const isReservedForOther = this.exclusiveFor !== undefined && this.exclusiveFor !== demand.id;
		if (!this.isUsable(now) || isReservedForOther) {
			return 'no';
		}

		const inactive = this.#reservations.get(demand.id);
		const accumulating = this.accumulatingDemand?.id === demand.id || inactive ? undefined : this.accumulatingDemand;
		const limit = this.limitAt(now, recovering);
		const totals = this.#totals;
		const requests = totals.requests + this.#untracked + (inactive ? 0 : 1) + (accumulating ? 1 : 0);
		const prefillTokens = totals.prefillTokens + demand.prefillTokens + (accumulating?.prefillTokens ?? 0);
		const kvTokens = totals.kvTokens + (inactive ? 0 : demand.kvTokens) + (accumulating?.kvTokens ?? 0);
		const fits = requests <= usableSlots(demand, usableShare(limit.requests, mode))
			&& prefillTokens <= usableShare(limit.prefillTokens, mode)
			&& kvTokens <= usableShare(this.#limits.kvTokens, mode);
		return fits ? this.#checkUnacknowledgedLimit(demand, mode, now) : 'no';
	}

	/** Whether memory for `demand` may be reserved without starting its prefill. */
	canReserveMemory(demand: Demand, mode: GrantMode, now: number, recovering: boolean): boolean {
		const accumulating = this.accumulatingDemand?.id === demand.id ? undefined : this.accumulatingDemand;
		const requests = this.#totals.requests + this.#untracked + 1 + (accumulating ? 1 : 0);
		const kvTokens = this.#totals.kvTokens + demand.kvTokens + (accumulating?.kvTokens ?? 0);
		return this.isUsable(now)
			&& requests <= usableShare(this.limitAt(now, recovering).requests, mode)
			&& kvTokens <= usableShare(this.#limits.kvTokens, mode);
	}

	/** Records a grant. The caller must have checked {@link canAccept} (for an inactive gang member, {@link canReserveMemory}). */
	reserve(demand: Demand, state: 'inactive' | 'unacknowledged', now: number): void {
		this.#put({demand, state, sinceMs: now});
		if (state === 'unacknowledged') {
			this.#backlog.add(demand.rank, demand.prefillTokens, now);
			this.#warmProbeAtMs = demand.prefillTokens > this.#limits.cold.prefillTokens ? -Infinity : this.#warmProbeAtMs;
		}
	}

	/** Records a reservation that a daemon reported, whether or not it fits. */
	register(demand: Demand, state: ServerReservationState, now: number): void {
		this.#put({demand, state, sinceMs: now});
	}

	/** Records that the backend server accepted the request; the response headers carry its boot id and warm state. */
	acknowledge(id: string, answer: {readonly boot: string; readonly warm: boolean}, now: number): void {
		this.#warmth.observe(answer.boot, answer.warm, now);
		this.models.noteBoot(answer.boot);
		this.#backoff.noteSuccess();
		this.markAcknowledged(id, now);
	}

	/** Records that the backend server accepted the request when its response headers are not known. */
	markAcknowledged(id: string, now: number): void {
		const reservation = this.#reservations.get(id);
		if (reservation?.state === 'unacknowledged') {
			this.#put({...reservation, state: 'acknowledged', sinceMs: now});
		}
	}

	/** Records the end of the prefill; the prompt no longer counts towards the prefill tokens. */
	markPrefilled(id: string): void {
		const reservation = this.#reservations.get(id);
		if (reservation && reservation.state !== 'prefilled' && reservation.state !== 'inactive') {
			this.#put({...reservation, state: 'prefilled'});
		}
	}

	/** Ends a reservation. If it failed without a response, the server backs off for an exponentially growing time. */
	release(id: string, failed: boolean, now: number): void {
		const reservation = this.#reservations.get(id);
		if (!reservation) {
			return;
		}

		this.#remove(id);
		this.#released.add(id, now);
		if (failed) {
			this.noteFailure(now);
		}
	}

	/** Records an error or a missing response: no grants for a time that doubles with each consecutive failure. */
	noteFailure(now: number): void {
		this.#backoff.noteFailure(now);
	}

	/** Marks a reservation whose daemon no longer lists it. It counts until the server is known to have dropped it. */
	markOrphaned(id: string, now: number): void {
		const reservation = this.#reservations.get(id);
		if (reservation) {
			this.#put({...reservation, orphanedAtMs: now});
		}
	}

	/** Applies a `/health` response to a request sent at `requestedAtMs`. */
	applyHealth(health: {readonly boot: string; readonly warm: boolean}, requestedAtMs: number, now: number): void {
		this.#warmth.observe(health.boot, health.warm, now);
		this.#warmProbeAtMs = health.warm ? requestedAtMs : -Infinity;
	}

	/** Applies a load report. A report older than the last change of boot id or warm state is ignored. */
	applyLoad(report: LoadReport, now: number): void {
		const takenAtMs = now - report.ageMs;
		if (takenAtMs <= this.#warmth.changedAtMs) {
			return;
		}

		this.#warmth.observe(report.boot, report.warm, now);
		this.models.observe(report, takenAtMs);
		if (report.pendingPrefillTokens !== undefined) {
			this.#applyPendingTokens(report.pendingPrefillTokens, takenAtMs, now);
		}

		if (!this.#supportsListing) {
			this.#applyRunningRequests(report.runningRequests, takenAtMs);
		}
	}

	/** Applies an engine's listing requested at `requestedAtMs`. A listed item whose reservation is neither known nor recently released is recorded as an orphan. */
	applyListing(listing: EngineListing, requestedAtMs: number, now: number): void {
		this.#warmth.observe(listing.boot, listing.warm, now);
		this.#released.removeExpired(now);
		const listedIds = new Set<string>();
		for (const stream of listing.streams) {
			const prefilling = stream.state === 'queued' || stream.state === 'prefill';
			const id = this.#applyListedItem(stream.id, {prefillTokens: prefilling ? stream.promptTokens : 0, kvTokens: stream.kvTokens}, now);
			listedIds.add(id);
			if (!prefilling) {
				this.markPrefilled(id);
			}
		}

		for (const segment of listing.segments) {
			listedIds.add(this.#applyListedItem(segment.id, {prefillTokens: 0, kvTokens: segment.kvTokens}, now));
		}

		for (const [id, reservation] of this.#reservations) {
			if (reservation.orphanedAtMs !== undefined && reservation.orphanedAtMs < requestedAtMs && !listedIds.has(id)) {
				this.#remove(id);
			}
		}

		this.#noteListed(requestedAtMs);
	}

	/** Restarts the slow start after the failure domain has returned. */
	restartRamp(now: number): void {
		this.#warmth.restartRamp(now);
	}

	/** Estimated time to the first token in ms. */
	estimateMs(rank: number, tokens: number, now: number): number {
		return this.#backlog.estimateMs(rank, tokens, now);
	}

	#checkUnacknowledgedLimit(demand: Demand, mode: GrantMode, now: number): Fit {
		const {cold} = this.#limits;
		const coldTokens = usableShare(cold.prefillTokens, mode);
		const requests = this.#totals.unacknowledgedRequests + 1;
		if (requests <= usableShare(cold.requests, mode) && this.#totals.unacknowledgedTokens + demand.prefillTokens <= coldTokens) {
			return 'yes';
		}

		// Unacknowledged requests of another coordinator are unknown, so the exception requires the whole limit.
		const isOnlyCoordinator = mode.kind === 'full' && mode.unconfirmed === 0;
		if (demand.prefillTokens <= cold.prefillTokens || !isOnlyCoordinator) {
			return 'no';
		}

		if (this.#totals.unacknowledgedRequests > 0) {
			return 'exclusive';
		}

		return now - this.#warmProbeAtMs < PROBE_MAX_AGE_MS ? 'yes' : 'probe';
	}

	#applyPendingTokens(pendingTokens: number, takenAtMs: number, now: number): void {
		let newerTokens = 0;
		for (const [id, reservation] of this.#reservations) {
			if (reservation.state === 'unacknowledged' || (reservation.state === 'acknowledged' && reservation.sinceMs >= takenAtMs)) {
				newerTokens += reservation.demand.prefillTokens;
			} else if (pendingTokens === 0) {
				this.markPrefilled(id);
			}
		}

		this.#backlog.reconcile(pendingTokens + newerTokens, now);
	}

	#applyRunningRequests(runningRequests: number, takenAtMs: number): void {
		let tracked = 0;
		for (const [id, reservation] of this.#reservations) {
			if (reservation.orphanedAtMs !== undefined && reservation.orphanedAtMs < takenAtMs) {
				// The report counts it from here on if it is still running.
				this.#remove(id);
			} else if (reservation.state !== 'unacknowledged' && reservation.sinceMs < takenAtMs) {
				tracked++;
			}
		}

		this.#untracked = Math.max(0, runningRequests - tracked);
		this.#noteListed(takenAtMs);
	}

	#noteListed(listedAtMs: number): void {
		if (listedAtMs >= this.#listedFromMs) {
			this.#listed = true;
			this.#otherGrantsKnown = true;
		}
	}

	/** Returns the id of the reservation to which the listed item belongs, or the item's own id. */
	#applyListedItem(listedId: string, tokens: {readonly prefillTokens: number; readonly kvTokens: number}, now: number): string {
		const id = parseReservationId(listedId)?.reservation ?? listedId;
		const reservation = this.#reservations.get(id);
		if (!reservation && !this.#released.has(id)) {
			const demand: Demand = {
				id, rank: 0, long: isLong(lengthClassOf(tokens.prefillTokens)), ...tokens,
			};
			this.#put({
				demand, state: tokens.prefillTokens > 0 ? 'acknowledged' : 'prefilled', sinceMs: now, orphanedAtMs: now,
			});
		}

		return id;
	}

	#put(reservation: ServerReservation): void {
		this.#remove(reservation.demand.id);
		this.#reservations.set(reservation.demand.id, reservation);
		addToTotals(this.#totals, reservation, 1);
	}

	#remove(id: string): void {
		const reservation = this.#reservations.get(id);
		if (reservation) {
			this.#reservations.delete(id);
			addToTotals(this.#totals, reservation, -1);
		}
	}
}

/** How many of `slots` request slots `demand` may use. */
function usableSlots(demand: Demand, slots: number): number {
	return lengthClassOf(demand.prefillTokens) === 'short' ? slots : Math.min(slots, Math.max(1, Math.floor(slots * (1 - SHORT_SLOT_SHARE))));
}
