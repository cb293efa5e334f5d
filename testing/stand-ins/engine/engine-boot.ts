/** State of a simulated engine during one boot: memory, streams, segments and connections. A crash discards all of it. */
import type {ServerResponse} from 'node:http';
import {request} from 'undici';
import type {EngineListing, SegmentReference} from '../../../src/backend/engine-protocol.js';
import {monotonicMs} from '../../../src/util/clock.js';
import {PREFIX_BLOCK_TOKENS} from '../../../src/util/prefix-hash.js';
import {promptDigest, tokenText} from '../../expected-token.js';
import {BatchScheduler} from './batch-scheduler.js';
import {CacheEventLog} from './cache-event-log.js';
import type {EngineCounts} from './counts.js';
import {KvMemory} from './kv-memory.js';
import {LoadedModels} from './loaded-models.js';
import type {EngineSettings} from './settings.js';
import {TokenConnections, type TokenConnection} from './token-connections.js';
import {allocatedTokens, type WorkOutcome, type WorkItem} from './work-item.js';

const EXPIRY_CHECK_INTERVAL_MS = 50;
const SEGMENT_CHECK_INTERVAL_MS = 250;
const SEGMENT_READ_TIMEOUT_MS = 5000;

export class EngineBoot {
	static create(settings: EngineSettings, counts: EngineCounts, speed: () => number): EngineBoot {
		return new EngineBoot(settings, counts, speed);
	}

	readonly connections = TokenConnections.create();
	readonly cacheEvents: CacheEventLog;
	readonly memory: KvMemory;
	readonly models: LoadedModels;
	readonly scheduler: BatchScheduler;
	readonly #settings: EngineSettings;
	readonly #counts: EngineCounts;
	/** Responses that are sent when the prefill of a segment finishes, by segment id. */
	readonly #segmentResponses = new Map<string, ServerResponse>();
	readonly #expiryTimer: NodeJS.Timeout;
	readonly #segmentCheckTimer: NodeJS.Timeout;

	private constructor(settings: EngineSettings, counts: EngineCounts, speed: () => number) {
		this.#settings = settings;
		this.#counts = counts;
		this.models = LoadedModels.create({...settings, loadMs: settings.loadMs / settings.speed});
		this.cacheEvents = CacheEventLog.create({lagMs: settings.cacheEventLagMs, lossShare: settings.cacheEventLossShare, seed: settings.seed});
		this.memory = KvMemory.create(settings.kvTokens, (kind, prefix) => {
			this.cacheEvents.record({kind, prefix, tokens: PREFIX_BLOCK_TOKENS}, monotonicMs());
		});
		this.scheduler = BatchScheduler.create({...settings, speed}, this.memory, {
			onPrefilled: work => {
				this.#handlePrefilled(work);
			},
			onToken: (work, index) => {
				this.#handleToken(work, index);
			},
			onEnded: work => {
				this.#handleEnded(work);
			},
		});
		this.#expiryTimer = setInterval(() => {
			this.#freeExpired(monotonicMs());
		}, EXPIRY_CHECK_INTERVAL_MS).unref();
		this.#segmentCheckTimer = setInterval(() => {
			void this.#checkSegments();
		}, SEGMENT_CHECK_INTERVAL_MS).unref();
	}

	/** Starts a stream or segment. One that exceeds the total memory fails immediately. */
	start(work: WorkItem): void {
		this.scheduler.add(work);
		if (work.promptTokens > this.#settings.kvTokens) {
			const message = `prompt of ${work.promptTokens} tokens exceeds the KV memory of ${this.#settings.kvTokens} tokens`;
			this.scheduler.end(work, {kind: 'failed', code: 'out_of_memory', message});
		}
	}

	/** Writes the tokens of a stream from index `from` to `res`: existing ones immediately, later ones as they are generated. */
	streamTo(work: WorkItem, res: ServerResponse, from: number, tokensUntilSilent: number): void {
		const connection = this.connections.open(res, work.id, from, tokensUntilSilent);
		for (let index = from; index < work.producedTokens; index++) {
			this.#writeToken(connection, work, index);
		}

		if (work.outcome) {
			this.#writeOutcome(work, work.outcome);
		}
	}

	/** Responds on `res` when the prefill of a segment is finished. */
	respondWhenPrefilled(work: WorkItem, res: ServerResponse): void {
		this.#segmentResponses.set(work.id, res);
		this.#respondToSegment(work);
	}

	/** Cancels and frees a stream or segment; returns false when it is unknown. */
	cancel(id: string, kind: WorkItem['kind']): boolean {
		const work = this.scheduler.get(id);
		if (work?.kind !== kind) {
			return false;
		}

		if (work.state !== 'finished') {
			this.#counts.streamsCancelled += kind === 'stream' ? 1 : 0;
			this.scheduler.end(work, {kind: 'failed', code: 'cancelled', message: 'cancelled'});
		}

		this.#counts.segmentsFreed += kind === 'segment' ? 1 : 0;
		this.scheduler.remove(work);
		return true;
	}

	/** Streams and segments that hold memory at `now`. */
	listing(boot: string, warm: boolean, now: number): EngineListing {
		const listingOf = (kind: WorkItem['kind']): EngineListing['streams'] => this.scheduler.all().filter(work => work.kind === kind).map(work => ({
			id: work.id,
			state: work.state,
			promptTokens: work.promptTokens,
			kvTokens: allocatedTokens(work),
			ageMs: now - work.acceptedAt,
			remainingMs: Math.max(0, work.expiresAt - now),
		}));
		return {
			boot, warm, streams: listingOf('stream'), segments: listingOf('segment'),
		};
	}

	close(): void {
		clearInterval(this.#expiryTimer);
		clearInterval(this.#segmentCheckTimer);
		this.scheduler.close();
	}

	#handlePrefilled(work: WorkItem): void {
		this.#counts.prefilledTokens += work.promptTokens - work.cachedTokens;
		this.#counts.cachedTokens += work.cachedTokens;
		if (work.kind === 'segment') {
			work.state = 'finished';
			this.#respondToSegment(work);
		} else {
			void this.#startDecode(work);
		}
	}

	/** Reads the preceding segments and starts decoding. The text of the answer depends on the whole prompt. */
	async #startDecode(work: WorkItem): Promise<void> {
		const parts = await Promise.all(work.before.map(async segment => this.#readSegment(segment)));
		if (this.scheduler.get(work.id) !== work || work.outcome) {
			return;
		}

		const lostIndex = parts.indexOf(undefined);
		if (lostIndex === -1) {
			this.scheduler.startDecode(work, promptDigest([...parts, work.prompt].join('')));
		} else {
			this.#failLostSegment(work, work.before[lostIndex]!);
		}
	}

	/** Reads the prompt text of a segment from the engine that holds it; undefined when that fails or the engine does not have it. */
	async #readSegment({address, id}: SegmentReference): Promise<string | undefined> {
		try {
			const url = `http://${address}/v1/segments/${encodeURIComponent(id)}/prompt`;
			const {statusCode, body} = await request(url, {headersTimeout: SEGMENT_READ_TIMEOUT_MS, bodyTimeout: SEGMENT_READ_TIMEOUT_MS});
			const text = await body.text();
			return statusCode === 200 ? text : undefined;
		} catch {
			return undefined;
		}
	}

	/** Fails decoding streams that have lost a segment: a real engine reads the KV cache of the segments in every decode step. */
	async #checkSegments(): Promise<void> {
		const running = this.scheduler.all().filter(work => work.state === 'decode' && work.before.length > 0);
		for (const work of running) {
			for (const segment of work.before) {
				const part = await this.#readSegment(segment);
				if (part === undefined && work.state === 'decode') {
					this.#failLostSegment(work, segment);
				}
			}
		}
	}

	#failLostSegment(work: WorkItem, {id, address}: SegmentReference): void {
		this.scheduler.end(work, {kind: 'failed', code: 'segment_lost', message: `engine ${address} does not have segment ${id}`});
	}

	#handleToken(work: WorkItem, index: number): void {
		this.#counts.producedTokens++;
		this.#counts.maxKvTokensHeld = Math.max(this.#counts.maxKvTokensHeld, this.memory.heldTokens);
		this.connections.broadcastToken({id: work.id, index, text: tokenText(work.digest!, index)});
	}

	#writeToken(connection: TokenConnection, work: WorkItem, index: number): void {
		this.connections.writeToken(connection, {id: work.id, index, text: tokenText(work.digest!, index)});
	}

	#handleEnded(work: WorkItem): void {
		if (work.kind === 'segment') {
			this.#respondToSegment(work);
			return;
		}

		this.#counts.streamsFinished += work.outcome!.kind === 'done' ? 1 : 0;
		this.#counts.streamsFailed += work.outcome!.kind === 'failed' ? 1 : 0;
		this.#writeOutcome(work, work.outcome!);
	}

	#writeOutcome(work: WorkItem, outcome: WorkOutcome): void {
		if (outcome.kind === 'failed') {
			this.connections.end(work.id, 'failed', {id: work.id, code: outcome.code, message: outcome.message});
			return;
		}

		let {promptTokens} = work;
		for (const segment of work.before) {
			promptTokens += segment.tokens;
		}

		this.connections.end(work.id, 'done', {
			id: work.id,
			finishReason: outcome.finishReason,
			promptTokens,
			completionTokens: work.producedTokens,
			cachedTokens: work.cachedTokens,
		});
	}

	#respondToSegment(work: WorkItem): void {
		const res = this.#segmentResponses.get(work.id);
		if (!res || work.state !== 'finished') {
			return;
		}

		this.#segmentResponses.delete(work.id);
		const failed = work.outcome?.kind === 'failed' ? work.outcome : undefined;
		res.end(JSON.stringify(failed ? {id: work.id, code: failed.code, message: failed.message} : {id: work.id, tokens: work.promptTokens}));
	}

	/** Frees streams and segments whose time limit has expired, unless the engine is set to leak memory. */
	#freeExpired(now: number): void {
		if (this.#settings.leak) {
			return;
		}

		const expired = this.scheduler.all().filter(work => work.expiresAt <= now);
		for (const work of expired) {
			this.#counts.streamsExpired += work.kind === 'stream' ? 1 : 0;
			this.#counts.segmentsExpired += work.kind === 'segment' ? 1 : 0;
			if (work.state !== 'finished') {
				this.scheduler.end(work, {kind: 'failed', code: 'expired', message: 'the time limit has expired'});
			}

			this.scheduler.remove(work);
		}
	}
}
