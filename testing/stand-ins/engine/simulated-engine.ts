/** A simulated engine over all its boots: cold start, acceptance of requests, crashes and orders. No HTTP. */
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
import type {Work} from './work.js';

/** What a new stream or segment is made of. */
export type WorkRequest = {
	readonly id: string;
	readonly model: string;
	readonly prompt: string;
	readonly priority: number;
	readonly remainingMs: number;
	readonly maxTokens: number;
	readonly before: readonly SegmentReference[];
};

/** Outcome of a request: accepted, answered with an error status, or the end of the engine by overload. */
export type Acceptance =
	| {readonly kind: 'accepted'; readonly work: Work}
	| {readonly kind: 'refused'; readonly status: number; readonly error: string}
	| {readonly kind: 'crashed'};

export class SimulatedEngine {
	static create(settings: EngineSettings): SimulatedEngine {
		return new SimulatedEngine(settings);
	}

	readonly counts = EngineCounts.create();
	readonly #settings: EngineSettings;
	readonly #cold: ColdStart;
	#faults: EngineFaults = engineFaultsSchema.parse({});
	#boot: EngineBoot;
	#sequence = 0;
	#headersToLose = 0;

	private constructor(settings: EngineSettings) {
		this.#settings = settings;
		this.#cold = ColdStart.create({...settings, warmAfterMs: settings.warmAfterMs / settings.speed});
		this.#boot = this.#start();
	}

	/** The present boot. */
	get boot(): EngineBoot {
		return this.#boot;
	}

	get faults(): EngineFaults {
		return this.#faults;
	}

	/** Replaces the standing faults and does `act` once. Returns true when the engine crashed. */
	setFaults(input: EngineFaultsInput): boolean {
		const {act, ...standing} = engineFaultsSchema.parse(input);
		this.#faults = standing;
		this.#headersToLose = standing.loseHeaders;
		this.#boot.outputs.swapTokens = standing.swapTokens;
		switch (act) {
			case 'crash': {
				this.#crash();
				return true;
			}

			case 'turn-cold': {
				this.#cold.turnCold();
				return false;
			}

			case 'silence': {
				this.#boot.outputs.silence();
				return false;
			}

			case undefined: {
				return false;
			}
		}
	}

	temperature(now: number): {readonly boot: string; readonly warm: boolean} {
		return {boot: this.#cold.boot, warm: this.#cold.isWarm(now)};
	}

	loadReport(now: number): Omit<EngineLoad, 'ageMs'> {
		const active = this.#active();
		return {
			...this.temperature(now),
			runningRequests: active.length,
			pendingPrefillTokens: active.reduce((sum, work) => sum + work.prefillLeft, 0),
			kvTokensUsed: this.#boot.memory.heldTokens,
			kvTokensTotal: this.#settings.kvTokens,
			models: Object.keys(this.#boot.models.versions),
			modelVersions: this.#boot.models.versions,
			role: this.#boot.models.role,
		};
	}

	/** Whether the connection of a request that was accepted is to be closed without headers. */
	losesHeaders(): boolean {
		this.#headersToLose--;
		return this.#headersToLose >= 0;
	}

	/** What holds memory at `now`. */
	listing(now: number): EngineListing {
		const {boot, warm} = this.temperature(now);
		return this.#boot.listing(boot, warm, now);
	}

	/** Checks a request and starts it. `position` is what an import has done already. */
	accept(kind: Work['kind'], request: WorkRequest, now: number, position: Partial<Work> = {}): Acceptance {
		const refusal = this.#refusal(request);
		if (refusal) {
			return {kind: 'refused', ...refusal};
		}

		const work = {...this.#work(kind, request, now), ...position};
		if (!this.#bears(work, now)) {
			this.counts.overloadCrashes++;
			this.#crash();
			return {kind: 'crashed'};
		}

		this.#cold.serve(now);
		this.counts.started(work.prompt);
		this.#boot.start(work);
		return {kind: 'accepted', work};
	}

	/** Applies an order; returns the highest fencing number seen when the order is refused as stale. */
	order(order: EngineOrder): number | undefined {
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

	#refusal({id, model}: WorkRequest): {readonly status: number; readonly error: string} | undefined {
		const queued = this.#boot.batch.all().filter(({state}) => state === 'queued').length;
		if (this.#boot.batch.get(id)) {
			this.counts.duplicates++;
			return {status: 409, error: `${id} exists`};
		}

		const error = this.#boot.models.has(model) ? 'overloaded' : `model ${model} is not loaded`;
		const isRefused = this.#faults.refuse || queued >= this.#settings.maxQueued || !this.#boot.models.has(model);
		this.counts.refused += isRefused ? 1 : 0;
		return isRefused ? {status: 503, error} : undefined;
	}

	#work(kind: Work['kind'], request: WorkRequest, now: number): Work {
		const {remainingMs, ...fields} = request;
		const promptTokens = estimateTokens(Buffer.byteLength(request.prompt));
		return {
			...fields,
			kind,
			// The KV cache of a later part depends on the parts before it, so it is not shared by the hash of its own text.
			hashes: request.before.length === 0 ? prefixHashes(request.prompt) : [],
			promptTokens,
			sequence: this.#sequence++,
			period: this.#cold.period,
			acceptedAt: now,
			expiresAt: now + remainingMs,
			state: 'queued',
			prefillLeft: promptTokens,
			cachedTokens: 0,
			producedTokens: 0,
		};
	}

	/** Whether the engine survives one more request. What it had accepted before it became cold does not count. */
	#bears(work: Work, now: number): boolean {
		if (this.#cold.isWarm(now)) {
			return true;
		}

		const load = [...this.#active().filter(({period}) => period === this.#cold.period), work];
		const prefillTokens = load.reduce((sum, {prefillLeft}) => sum + prefillLeft, 0);
		this.counts.cold(load.length, prefillTokens);
		return load.length <= this.#settings.coldRequests && prefillTokens <= this.#settings.coldPrefillTokens;
	}

	#active(): readonly Work[] {
		return this.#boot.batch.all().filter(({state}) => state !== 'finished');
	}

	/** Ends all streams and boots cold. The owner of the connections resets them. */
	#crash(): void {
		this.counts.crashes++;
		this.#boot.close();
		this.#cold.reboot();
		this.#boot = this.#start();
	}

	#start(): EngineBoot {
		return EngineBoot.create(this.#settings, this.counts, () => this.#settings.speed / this.#faults.slowFactor);
	}
}
