/** A simulated engine across all its boots: cold start, acceptance of requests, crashes and orders. Independent of HTTP. */
import {Buffer} from 'node:buffer';
import type {
	EngineListing, EngineLoad, EngineOrder, SegmentReference,
} from '../../../src/backend/engine-protocol.js';
import {monotonicMs} from '../../../src/util/clock.js';
import {estimateTokens} from '../../../src/util/length-class.js';
import {prefixHashes} from '../../../src/util/prefix-hash.js';
import {ColdStart} from '../cold-start.js';
import {EngineCounts} from './counts.js';
import {EngineBoot} from './engine-boot.js';
import {
	engineFaultsSchema, type EngineFaults, type EngineFaultsInput, type EngineSettings,
} from './settings.js';
import type {WorkItem} from './work-item.js';

/** Parameters of a new stream or segment. */
export type WorkRequest = {
	readonly id: string;
	readonly model: string;
	readonly prompt: string;
	readonly priority: number;
	readonly remainingMs: number;
	readonly maxTokens: number;
	readonly before: readonly SegmentReference[];
};

/** Outcome of a request: accepted, refused with an error status, or a crash of the engine by overload. */
export type Acceptance =
	| {readonly kind: 'accepted'; readonly work: WorkItem}
	| {readonly kind: 'refused'; readonly status: number; readonly error: string}
	| {readonly kind: 'crashed'};

export class SimulatedEngine {
	static create(settings: EngineSettings): SimulatedEngine {
		return new SimulatedEngine(settings);
	}

	readonly counts = EngineCounts.create();
	readonly #settings: EngineSettings;
	readonly #coldStart: ColdStart;
	#faults: EngineFaults = engineFaultsSchema.parse({});
	#boot: EngineBoot;
	#sequence = 0;
	#pendingHeaderLosses = 0;

	private constructor(settings: EngineSettings) {
		this.#settings = settings;
		this.#coldStart = ColdStart.create({...settings, warmAfterMs: settings.warmAfterMs / settings.speed});
		this.#boot = this.#createBoot();
	}

	/** The current boot. */
	get boot(): EngineBoot {
		return this.#boot;
	}

	get faults(): EngineFaults {
		return this.#faults;
	}

	/** Replaces the persistent faults and performs `act` once. Returns true when the engine crashed. */
	setFaults(input: EngineFaultsInput): boolean {
		const {act, ...standing} = engineFaultsSchema.parse(input);
		this.#faults = standing;
		this.#pendingHeaderLosses = standing.loseHeaders;
		this.#boot.connections.swapTokens = standing.swapTokens;
		switch (act) {
			case 'crash': {
				this.#crash();
				return true;
			}

			case 'turn-cold': {
				this.#coldStart.turnCold();
				return false;
			}

			case 'silence': {
				this.#boot.connections.silence();
				return false;
			}

			case undefined: {
				return false;
			}
		}
	}

	health(now: number): {readonly boot: string; readonly warm: boolean} {
		return {boot: this.#coldStart.boot, warm: this.#coldStart.isWarm(now)};
	}

	loadReport(now: number): Omit<EngineLoad, 'ageMs'> {
		const active = this.#activeWork();
		return {
			...this.health(now),
			runningRequests: active.length,
			pendingPrefillTokens: active.reduce((sum, work) => sum + work.prefillLeft, 0),
			kvTokensUsed: this.#boot.memory.heldTokens,
			kvTokensTotal: this.#settings.kvTokens,
			models: Object.keys(this.#boot.models.versions),
			modelVersions: this.#boot.models.versions,
			role: this.#boot.models.role,
		};
	}

	/** Whether to close the connection of an accepted request without sending headers. Consumes one occurrence of the fault. */
	takeHeaderLoss(): boolean {
		this.#pendingHeaderLosses--;
		return this.#pendingHeaderLosses >= 0;
	}

	/** Streams and segments that hold memory at `now`. */
	listing(now: number): EngineListing {
		const {boot, warm} = this.health(now);
		return this.#boot.listing(boot, warm, now);
	}

	/** Checks a request and starts it. `progress` is the state that an imported stream has already reached. */
	accept(kind: WorkItem['kind'], request: WorkRequest, now: number, progress: Partial<WorkItem> = {}): Acceptance {
		const refusal = this.#checkRefusal(request);
		if (refusal) {
			return {kind: 'refused', ...refusal};
		}

		const work = {...this.#createWork(kind, request, now), ...progress};
		if (!this.#canAccept(work, now)) {
			this.counts.overloadCrashes++;
			this.#crash();
			return {kind: 'crashed'};
		}

		this.#coldStart.recordAccepted(now);
		this.counts.recordStart(work.prompt);
		this.#boot.start(work);
		return {kind: 'accepted', work};
	}

	/** Applies an order; returns the highest fencing number seen when the order is refused as stale. */
	applyOrder(order: EngineOrder): number | undefined {
		const isStale = order.fencing < this.counts.highestFencing;
		if (isStale && this.#settings.fencing === 'checked') {
			this.counts.ordersRefused++;
			return this.counts.highestFencing;
		}

		this.counts.ordersApplied++;
		this.counts.staleOrdersApplied += isStale ? 1 : 0;
		this.counts.highestFencing = Math.max(this.counts.highestFencing, order.fencing);
		this.#boot.models.apply(order);
		return undefined;
	}

	close(): void {
		this.#boot.close();
	}

	#checkRefusal({id, model}: WorkRequest): {readonly status: number; readonly error: string} | undefined {
		const queued = this.#boot.scheduler.all().filter(({state}) => state === 'queued').length;
		if (this.#boot.scheduler.get(id)) {
			this.counts.duplicates++;
			return {status: 409, error: `${id} already exists`};
		}

		const error = this.#boot.models.has(model) ? 'overloaded' : `model ${model} is not loaded`;
		const isRefused = this.#faults.refuse || queued >= this.#settings.maxQueued || !this.#boot.models.has(model);
		this.counts.refused += isRefused ? 1 : 0;
		return isRefused ? {status: 503, error} : undefined;
	}

	#createWork(kind: WorkItem['kind'], request: WorkRequest, now: number): WorkItem {
		const {remainingMs, ...fields} = request;
		const promptTokens = estimateTokens(Buffer.byteLength(request.prompt));
		return {
			...fields,
			kind,
			// The KV cache of a later part depends on all parts before it, so the hash of its own text does not identify it.
			hashes: request.before.length === 0 ? prefixHashes(request.prompt) : [],
			promptTokens,
			sequence: this.#sequence++,
			coldPeriod: this.#coldStart.coldPeriod,
			acceptedAt: now,
			expiresAt: now + remainingMs,
			state: 'queued',
			prefillLeft: promptTokens,
			cachedTokens: 0,
			producedTokens: 0,
		};
	}

	/** Whether the engine can accept another request without crashing. Requests accepted before it became cold do not count. */
	#canAccept(work: WorkItem, now: number): boolean {
		if (this.#coldStart.isWarm(now)) {
			return true;
		}

		const load = [...this.#activeWork().filter(({coldPeriod}) => coldPeriod === this.#coldStart.coldPeriod), work];
		const prefillTokens = load.reduce((sum, {prefillLeft}) => sum + prefillLeft, 0);
		this.counts.recordColdLoad(load.length, prefillTokens);
		return load.length <= this.#settings.coldRequests && prefillTokens <= this.#settings.coldPrefillTokens;
	}

	#activeWork(): readonly WorkItem[] {
		return this.#boot.scheduler.all().filter(({state}) => state !== 'finished');
	}

	/** Ends all streams and reboots cold. The caller has to reset the connections. */
	#crash(): void {
		this.counts.crashes++;
		this.#boot.close();
		this.#coldStart.reboot();
		this.#boot = this.#createBoot();
	}

	#createBoot(): EngineBoot {
		return EngineBoot.create(this.#settings, this.counts, () => this.#settings.speed / this.#faults.slowFactor);
	}
}
