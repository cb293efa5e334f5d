/**
 * Step loop of a simulated engine with chunked prefill: each step decodes one token for each running stream and
 * prefills one chunk of the most urgent prompt, so a newly accepted short prompt waits for at most one chunk.
 */
import {monotonicMs} from '../../../src/util/clock.js';
import type {KvMemory} from './kv-memory.js';
import {byUrgency, type WorkOutcome, type WorkItem} from './work-item.js';

/** The loop catches up on a delay of at most this much. Any further delay, for example while the process was paused, is dropped. */
const MAX_CATCH_UP_MS = 50;

export type BatchOptions = {
	readonly chunkTokens: number;
	readonly prefillTokensPerSecond: number;
	readonly decodeTokensPerSecond: number;
	/** Number of tokens after which an answer stops; 0 applies only `maxTokens`. */
	readonly answerTokens: number;
	/** Factor by which steps are faster; called before each step. */
	readonly speed: () => number;
};

export type BatchListener = {
	/** Called when the prompt is prefilled. A stream decodes only after {@link BatchScheduler.startDecode}. */
	readonly onPrefilled: (work: WorkItem) => void;
	readonly onToken: (work: WorkItem, index: number) => void;
	readonly onEnded: (work: WorkItem) => void;
};

type Step = {readonly prefill: WorkItem | undefined; readonly chunkTokens: number; readonly decode: readonly WorkItem[]};

export class BatchScheduler {
	static create(options: BatchOptions, memory: KvMemory, listener: BatchListener): BatchScheduler {
		return new BatchScheduler(options, memory, listener);
	}

	readonly #options: BatchOptions;
	readonly #memory: KvMemory;
	readonly #listener: BatchListener;
	readonly #work = new Map<string, WorkItem>();
	#cancelStep: (() => void) | undefined;
	#stepEndsAt: number | undefined;
	#isClosed = false;

	private constructor(options: BatchOptions, memory: KvMemory, listener: BatchListener) {
		this.#options = options;
		this.#memory = memory;
		this.#listener = listener;
	}

	get(id: string): WorkItem | undefined {
		return this.#work.get(id);
	}

	all(): readonly WorkItem[] {
		return [...this.#work.values()];
	}

	add(work: WorkItem): void {
		this.#work.set(work.id, work);
		this.#startNextStep();
	}

	/** Removes a stream or segment and frees its memory. */
	remove(work: WorkItem): void {
		this.#work.delete(work.id);
		if (work.allocation) {
			this.#memory.free(work.allocation);
			work.allocation = undefined;
		}

		this.#startNextStep();
	}

	/** Starts decoding a prefilled stream. `digest` is that of its whole prompt. */
	startDecode(work: WorkItem, digest: string): void {
		work.digest = digest;
		work.state = 'decode';
		this.#startNextStep();
	}

	/** Ends a stream or segment. Its memory stays allocated until it is removed. */
	end(work: WorkItem, outcome: WorkOutcome): void {
		work.outcome = outcome;
		work.state = 'finished';
		this.#listener.onEnded(work);
	}

	close(): void {
		this.#isClosed = true;
		this.#cancelStep?.();
	}

	#startNextStep(): void {
		if (this.#isClosed || this.#cancelStep) {
			return;
		}

		const now = monotonicMs();
		this.#admitQueued();
		const step = this.#planStep();
		if (!step) {
			this.#stepEndsAt = undefined;
			return;
		}

		this.#stepEndsAt = Math.max(this.#stepEndsAt ?? now, now - MAX_CATCH_UP_MS) + this.#durationMs(step);
		this.#schedule(step, this.#stepEndsAt - now);
	}

	#schedule(step: Step, waitMs: number): void {
		const run = (): void => {
			this.#cancelStep = undefined;
			this.#completeStep(step);
			this.#startNextStep();
		};

		// Timers have a resolution of 1 ms. Shorter steps run immediately, and the loop stays on schedule on average.
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

	/** Allocates memory for queued work in order of urgency, up to the first item that does not fit. */
	#admitQueued(): void {
		const queued = this.all().filter(work => work.state === 'queued').toSorted(byUrgency);
		for (const work of queued) {
			const cachedTokens = this.#memory.cachedTokens(work.hashes);
			const allocation = this.#memory.allocate(work.hashes, work.promptTokens + work.producedTokens);
			if (!allocation) {
				return;
			}

			work.allocation = allocation;
			this.#startPrefill(work, cachedTokens);
		}
	}

	#startPrefill(work: WorkItem, cachedTokens: number): void {
		if (work.digest !== undefined) {
			// The item was imported with its KV cache and needs no prefill.
			work.state = 'decode';
			return;
		}

		work.state = 'prefill';
		work.cachedTokens = cachedTokens;
		work.prefillLeft = Math.max(1, work.promptTokens - cachedTokens);
	}

	#planStep(): Step | undefined {
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

	#completeStep({prefill, chunkTokens, decode}: Step): void {
		for (const work of decode) {
			if (this.#work.has(work.id) && work.state === 'decode') {
				this.#generateToken(work);
			}
		}

		if (prefill && this.#work.has(prefill.id) && prefill.state === 'prefill') {
			prefill.prefillLeft -= chunkTokens;
			if (prefill.prefillLeft === 0) {
				this.#memory.markReady(prefill.allocation!);
				this.#listener.onPrefilled(prefill);
			}
		}
	}

	#generateToken(work: WorkItem): void {
		if (!this.#memory.grow(work.allocation!)) {
			this.end(work, {kind: 'failed', code: 'out_of_memory', message: `out of KV memory after ${work.producedTokens} generated tokens`});
			return;
		}

		const index = work.producedTokens++;
		this.#listener.onToken(work, index);
		const {answerTokens} = this.#options;
		if (answerTokens > 0 && work.producedTokens >= answerTokens) {
			this.end(work, {kind: 'done', finishReason: 'stop'});
		} else if (work.producedTokens >= work.maxTokens) {
			this.end(work, {kind: 'done', finishReason: 'length'});
		}
	}
}
