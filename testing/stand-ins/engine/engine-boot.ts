/** One boot of a simulated engine: its memory, streams, segments and connections. A crash drops it as a whole. */
import type {ServerResponse} from 'node:http';
import {request} from 'undici';
import type {EngineListing, SegmentReference} from '../../../src/backend/engine-protocol.js';
import {monotonicMs} from '../../../src/util/clock.js';
import {PREFIX_BLOCK_TOKENS} from '../../../src/util/prefix-hash.js';
import {promptDigest, tokenText} from '../../expected-token.js';
import {Batch} from './batch.js';
import {CacheEventLog} from './cache-event-log.js';
import type {EngineCounts} from './counts.js';
import {KvMemory} from './kv-memory.js';
import {ModelSet} from './model-set.js';
import type {EngineSettings} from './settings.js';
import {TokenOutputs, type Output} from './token-outputs.js';
import {heldTokens, type Ending, type Work} from './work.js';

const SWEEP_MS = 50;
const SEGMENT_CHECK_MS = 250;
const SEGMENT_TIMEOUT_MS = 5000;

export class EngineBoot {
	static create(settings: EngineSettings, counts: EngineCounts, speed: () => number): EngineBoot {
		return new EngineBoot(settings, counts, speed);
	}

	readonly outputs = TokenOutputs.create();
	readonly cacheEvents: CacheEventLog;
	readonly memory: KvMemory;
	readonly models: ModelSet;
	readonly batch: Batch;
	readonly #settings: EngineSettings;
	readonly #counts: EngineCounts;
	/** Responses that wait for the prefill of a segment, by segment id. */
	readonly #segmentWaits = new Map<string, ServerResponse>();
	readonly #sweep: NodeJS.Timeout;
	readonly #segmentCheck: NodeJS.Timeout;

	private constructor(settings: EngineSettings, counts: EngineCounts, speed: () => number) {
		this.#settings = settings;
		this.#counts = counts;
		this.models = ModelSet.create({...settings, loadMs: settings.loadMs / settings.speed});
		this.cacheEvents = CacheEventLog.create({lagMs: settings.cacheEventLagMs, lossShare: settings.cacheEventLossShare, seed: settings.seed});
		this.memory = KvMemory.create(settings.kvTokens, (kind, prefix) => {
			this.cacheEvents.record({kind, prefix, tokens: PREFIX_BLOCK_TOKENS}, monotonicMs());
		});
		this.batch = Batch.create({...settings, speed}, this.memory, {
			prefilled: work => {
				this.#prefilled(work);
			},
			token: (work, index) => {
				this.#token(work, index);
			},
			ended: work => {
				this.#ended(work);
			},
		});
		this.#sweep = setInterval(() => {
			this.#expire(monotonicMs());
		}, SWEEP_MS).unref();
		this.#segmentCheck = setInterval(() => {
			void this.#checkSegments();
		}, SEGMENT_CHECK_MS).unref();
	}

	/** Starts a stream or segment; one that can never fit fails at once. */
	start(work: Work): void {
		this.batch.add(work);
		if (work.promptTokens > this.#settings.kvTokens) {
			const message = `${work.promptTokens} tokens are more than the memory of ${this.#settings.kvTokens}`;
			this.batch.end(work, {kind: 'failed', code: 'out_of_memory', message});
		}
	}

	/** Writes the tokens of a stream from index `from` on `res`, as far as they exist, and the rest as they come. */
	follow(work: Work, res: ServerResponse, from: number, tokensUntilSilent: number): void {
		const output = this.outputs.open(res, work.id, from, tokensUntilSilent);
		for (let index = from; index < work.producedTokens; index++) {
			this.#write(output, work, index);
		}

		if (work.ending) {
			this.#writeEnding(work, work.ending);
		}
	}

	/** Answers on `res` when the prefill of a segment is finished. */
	waitForSegment(work: Work, res: ServerResponse): void {
		this.#segmentWaits.set(work.id, res);
		this.#answerSegment(work);
	}

	/** Frees a stream or segment; false when it is unknown. */
	cancel(id: string, kind: Work['kind']): boolean {
		const work = this.batch.get(id);
		if (work?.kind !== kind) {
			return false;
		}

		if (work.state !== 'finished') {
			this.#counts.streamsCancelled += kind === 'stream' ? 1 : 0;
			this.batch.end(work, {kind: 'failed', code: 'cancelled', message: 'cancelled'});
		}

		this.#counts.segmentsFreed += kind === 'segment' ? 1 : 0;
		this.batch.remove(work);
		return true;
	}

	/** What holds memory at `now`. */
	listing(boot: string, warm: boolean, now: number): EngineListing {
		const rows = (kind: Work['kind']): EngineListing['streams'] => this.batch.all().filter(work => work.kind === kind).map(work => ({
			id: work.id,
			state: work.state,
			promptTokens: work.promptTokens,
			kvTokens: heldTokens(work),
			ageMs: now - work.acceptedAt,
			remainingMs: Math.max(0, work.expiresAt - now),
		}));
		return {
			boot, warm, streams: rows('stream'), segments: rows('segment'),
		};
	}

	close(): void {
		clearInterval(this.#sweep);
		clearInterval(this.#segmentCheck);
		this.batch.close();
	}

	#prefilled(work: Work): void {
		this.#counts.prefilledTokens += work.promptTokens - work.cachedTokens;
		this.#counts.cachedTokens += work.cachedTokens;
		if (work.kind === 'segment') {
			work.state = 'finished';
			this.#answerSegment(work);
		} else {
			void this.#startDecode(work);
		}
	}

	/** Joins the whole prompt from the segments before it, of which the answer's text depends, and decodes. */
	async #startDecode(work: Work): Promise<void> {
		const parts = await Promise.all(work.before.map(async segment => this.#readSegment(segment)));
		if (this.batch.get(work.id) !== work || work.ending) {
			return;
		}

		const lost = parts.indexOf(undefined);
		if (lost === -1) {
			this.batch.startDecode(work, promptDigest([...parts, work.prompt].join('')));
		} else {
			this.#failLostSegment(work, work.before[lost]!);
		}
	}

	/** Reads the prompt part of a segment from its engine; undefined when it is not held there. */
	async #readSegment({address, id}: SegmentReference): Promise<string | undefined> {
		try {
			const url = `http://${address}/v1/segments/${encodeURIComponent(id)}/prompt`;
			const {statusCode, body} = await request(url, {headersTimeout: SEGMENT_TIMEOUT_MS, bodyTimeout: SEGMENT_TIMEOUT_MS});
			const text = await body.text();
			return statusCode === 200 ? text : undefined;
		} catch {
			return undefined;
		}
	}

	/** A decoding stream reads the KV cache of its segments in every step, so it fails when one of them is gone. */
	async #checkSegments(): Promise<void> {
		const running = this.batch.all().filter(work => work.state === 'decode' && work.before.length > 0);
		for (const work of running) {
			for (const segment of work.before) {
				const part = await this.#readSegment(segment);
				if (part === undefined && work.state === 'decode') {
					this.#failLostSegment(work, segment);
				}
			}
		}
	}

	#failLostSegment(work: Work, {id, address}: SegmentReference): void {
		this.batch.end(work, {kind: 'failed', code: 'segment_lost', message: `segment ${id} is not held by ${address}`});
	}

	#token(work: Work, index: number): void {
		this.#counts.producedTokens++;
		this.#counts.maxKvTokensHeld = Math.max(this.#counts.maxKvTokensHeld, this.memory.heldTokens);
		this.outputs.token({id: work.id, index, text: tokenText(work.digest!, index)});
	}

	#write(output: Output, work: Work, index: number): void {
		this.outputs.writeToken(output, {id: work.id, index, text: tokenText(work.digest!, index)});
	}

	#ended(work: Work): void {
		if (work.kind === 'segment') {
			this.#answerSegment(work);
			return;
		}

		this.#counts.streamsFinished += work.ending!.kind === 'done' ? 1 : 0;
		this.#counts.streamsFailed += work.ending!.kind === 'failed' ? 1 : 0;
		this.#writeEnding(work, work.ending!);
	}

	#writeEnding(work: Work, ending: Ending): void {
		if (ending.kind === 'failed') {
			this.outputs.end(work.id, 'failed', {id: work.id, code: ending.code, message: ending.message});
			return;
		}

		let {promptTokens} = work;
		for (const segment of work.before) {
			promptTokens += segment.tokens;
		}

		this.outputs.end(work.id, 'done', {
			id: work.id,
			finishReason: ending.finishReason,
			promptTokens,
			completionTokens: work.producedTokens,
			cachedTokens: work.cachedTokens,
		});
	}

	#answerSegment(work: Work): void {
		const res = this.#segmentWaits.get(work.id);
		if (!res || work.state !== 'finished') {
			return;
		}

		this.#segmentWaits.delete(work.id);
		const failed = work.ending?.kind === 'failed' ? work.ending : undefined;
		res.end(JSON.stringify(failed ? {id: work.id, code: failed.code, message: failed.message} : {id: work.id, tokens: work.promptTokens}));
	}

	/** Frees what has used up its time, unless the engine leaks. */
	#expire(now: number): void {
		if (this.#settings.leak) {
			return;
		}

		const expired = this.batch.all().filter(work => work.expiresAt <= now);
		for (const work of expired) {
			this.#counts.streamsExpired += work.kind === 'stream' ? 1 : 0;
			this.#counts.segmentsExpired += work.kind === 'segment' ? 1 : 0;
			if (work.state !== 'finished') {
				this.batch.end(work, {kind: 'failed', code: 'expired', message: 'time is over'});
			}

			this.batch.remove(work);
		}
	}
}
