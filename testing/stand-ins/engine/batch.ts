/**
 * Step loop of a simulated engine: each step decodes one token for each running stream and prefills one chunk of the
 * most urgent prompt, so a newly accepted short prompt waits for at most one chunk.
 */
import {monotonicMs} from '../../../src/util/clock.js';
import type {KvMemory} from './kv-memory.js';
import {byUrgency, type Ending, type Work} from './work.js';

/** Steps that fell behind by more than this, for example while the process was paused, are not caught up with. */
const MAX_LAG_MS = 50;

export type BatchOptions = {
	readonly chunkTokens: number;
	readonly prefillTokensPerSecond: number;
	readonly decodeTokensPerSecond: number;
	/** Tokens after which an answer stops; 0 for maxTokens only. */
	readonly answerTokens: number;
	/** Divides the time of each step. Read before each step. */
	readonly speed: () => number;
};

export type BatchListener = {
	/** The prompt is prefilled. A stream decodes after {@link Batch.startDecode}. */
	readonly prefilled: (work: Work) => void;
	readonly token: (work: Work, index: number) => void;
	readonly ended: (work: Work) => void;
};

type Step = {readonly prefill: Work | undefined; readonly chunkTokens: number; readonly decode: readonly Work[]};

export class Batch {
	static create(options: BatchOptions, memory: KvMemory, listener: BatchListener): Batch {
		return new Batch(options, memory, listener);
	}

	readonly #options: BatchOptions;
	readonly #memory: KvMemory;
	readonly #listener: BatchListener;
	readonly #work = new Map<string, Work>();
	#cancelStep: (() => void) | undefined;
	#stepEndsAt: number | undefined;
	#isClosed = false;

	private constructor(options: BatchOptions, memory: KvMemory, listener: BatchListener) {
		this.#options = options;
		this.#memory = memory;
		this.#listener = listener;
	}

	get(id: string): Work | undefined {
		return this.#work.get(id);
	}

	all(): readonly Work[] {
		return [...this.#work.values()];
	}

	add(work: Work): void {
		this.#work.set(work.id, work);
		this.#wake();
	}

	/** Frees everything of a stream or segment. */
	remove(work: Work): void {
		this.#work.delete(work.id);
		if (work.holding) {
			this.#memory.release(work.holding);
			work.holding = undefined;
		}

		this.#wake();
	}

	/** Lets a prefilled stream decode. */
	startDecode(work: Work, digest: string): void {
		work.digest = digest;
		work.state = 'decode';
		this.#wake();
	}

	/** Ends a stream or segment; it keeps its memory until it is removed. */
	end(work: Work, ending: Ending): void {
		work.ending = ending;
		work.state = 'finished';
		this.#listener.ended(work);
	}

	close(): void {
		this.#isClosed = true;
		this.#cancelStep?.();
	}

	#wake(): void {
		if (this.#isClosed || this.#cancelStep) {
			return;
		}

		const now = monotonicMs();
		this.#admit();
		const step = this.#plan();
		if (!step) {
			this.#stepEndsAt = undefined;
			return;
		}

		this.#stepEndsAt = Math.max(this.#stepEndsAt ?? now, now - MAX_LAG_MS) + this.#durationMs(step);
		this.#schedule(step, this.#stepEndsAt - now);
	}

	#schedule(step: Step, waitMs: number): void {
		const run = (): void => {
			this.#cancelStep = undefined;
			this.#apply(step);
			this.#wake();
		};

		// Timers have a resolution of 1 ms; shorter steps run at once, and the loop stays on schedule on average.
		if (waitMs < 1) {
			const handle = setImmediate(run);
			this.#cancelStep = () => {
				clearImmediate(handle);
			};
		} else {
			const handle = setTimeout(run, waitMs);
			this.#cancelStep = () => {
				clearTimeout(handle);
			};
		}
	}

	/** Gives memory to queued work in order of urgency until one does not fit. */
	#admit(): void {
		const queued = this.all().filter(work => work.state === 'queued').toSorted(byUrgency);
		for (const work of queued) {
			const cachedTokens = this.#memory.cachedTokens(work.hashes);
			const holding = this.#memory.acquire(work.hashes, work.promptTokens + work.producedTokens);
			if (!holding) {
				return;
			}

			work.holding = holding;
			this.#startPrefill(work, cachedTokens);
		}
	}

	#startPrefill(work: Work, cachedTokens: number): void {
		if (work.digest !== undefined) {
			// Imported with its KV cache.
			work.state = 'decode';
			return;
		}

		work.state = 'prefill';
		work.cachedTokens = cachedTokens;
		work.prefillLeft = Math.max(1, work.promptTokens - cachedTokens);
	}

	#plan(): Step | undefined {
		const work = this.all();
		const decode = work.filter(({state}) => state === 'decode');
		const prefill = work.filter(({state, prefillLeft}) => state === 'prefill' && prefillLeft > 0).toSorted(byUrgency)[0];
		const chunkTokens = Math.min(this.#options.chunkTokens, prefill?.prefillLeft ?? 0);
		return prefill ?? decode.length > 0 ? {prefill, chunkTokens, decode} : undefined;
	}

	#durationMs({chunkTokens, decode}: Step): number {
		const prefillMs = chunkTokens * 1000 / this.#options.prefillTokensPerSecond;
		const decodeMs = decode.length > 0 ? 1000 / this.#options.decodeTokensPerSecond : 0;
		return (prefillMs + decodeMs) / this.#options.speed();
	}

	#apply({prefill, chunkTokens, decode}: Step): void {
		for (const work of decode) {
			if (this.#work.has(work.id) && work.state === 'decode') {
				this.#produce(work);
			}
		}

		if (prefill && this.#work.has(prefill.id) && prefill.state === 'prefill') {
			prefill.prefillLeft -= chunkTokens;
			if (prefill.prefillLeft === 0) {
				this.#memory.markReady(prefill.holding!);
				this.#listener.prefilled(prefill);
			}
		}
	}

	#produce(work: Work): void {
		if (!this.#memory.grow(work.holding!)) {
			this.end(work, {kind: 'failed', code: 'out_of_memory', message: `KV memory is full after ${work.producedTokens} tokens`});
			return;
		}

		const index = work.producedTokens++;
		this.#listener.token(work, index);
		const {answerTokens} = this.#options;
		if (answerTokens > 0 && work.producedTokens >= answerTokens) {
			this.end(work, {kind: 'done', finishReason: 'stop'});
		} else if (work.producedTokens >= work.maxTokens) {
			this.end(work, {kind: 'done', finishReason: 'length'});
		}
	}
}
