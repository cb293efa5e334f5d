/**
 * Records claims and settlements in one object by conditional writes. Only one write is in flight at a time; messages that
 * arrive during a write are batched into the next one. Answers are based only on a state that is known to be stored. When the
 * answer to a write is lost, the object is read again and the batch is written with the version read as its condition. If that
 * write succeeds, the first one can no longer take effect.
 */
import {randomInt} from 'node:crypto';
import type {ObjectApi} from '../object-api/object-api.js';
import type {Claim, ClaimAnswer, Settle} from '../peer/protocol.js';
import {Backoff} from '../util/backoff.js';
import {monotonicMs, wallClockMs, type Clock} from '../util/clock.js';
import {pause} from '../util/pause.js';
import {ClaimState, type ClaimMessage, type MessageAnswer} from './claim-state.js';

const CALL_TIMEOUT_MS = 1000;
const MAX_BATCH = 1000;
const MAX_PENDING = 5000;
const MIN_RETRY_PAUSE_MS = 50;
const MAX_RETRY_PAUSE_MS = 400;
const MAX_SEED = 2 ** 31;

/** `held` is answered only from a state at most this old; otherwise the object is read again, so that a release is noticed soon. */
const HELD_ANSWER_MAX_AGE_MS = 250;

/** Storage location and write rate of a partition. */
export type ClaimPartitionOptions = {
	readonly objectApi: ObjectApi;
	readonly key: string;
	/** Minimum time between the starts of two writes of the object. */
	readonly minimumWriteIntervalMs: number;
	readonly clock?: Clock;
	readonly wallClock?: Clock;
};

/** Counters since the creation of the partition. */
export type ClaimPartitionCounts = {readonly messages: number; readonly writes: number};

type PendingMessage = {
	readonly message: ClaimMessage;
	/** Monotonic ms. */
	readonly deadline: number;
	/** Whether a write that contains the message may have taken effect or may still do so. */
	uncertain: boolean;
	readonly resolve: (answer: MessageAnswer) => void;
};

/** One claim object and the messages that wait to be recorded in it. */
export class ClaimPartition {
	static create(options: ClaimPartitionOptions): ClaimPartition {
		return new ClaimPartition(options);
	}

	readonly #options: ClaimPartitionOptions;
	readonly #clock: Clock;
	readonly #wallClock: Clock;
	readonly #closing = new AbortController();
	readonly #backoff = Backoff.create({baseMs: MIN_RETRY_PAUSE_MS, maxMs: MAX_RETRY_PAUSE_MS, seed: randomInt(MAX_SEED)});
	#pending: PendingMessage[] = [];
	#isRunning = false;
	#state: ClaimState | undefined;
	/** Monotonic ms at which `#state` was known to match the stored object. */
	#stateConfirmedAt = 0;
	#lastWriteAt = Number.NEGATIVE_INFINITY;
	#messageCount = 0;
	#writeCount = 0;

	private constructor(options: ClaimPartitionOptions) {
		this.#options = options;
		this.#clock = options.clock ?? monotonicMs;
		this.#wallClock = options.wallClock ?? wallClockMs;
	}

	/** Whether no message waits, so that the partition can be evicted from memory. */
	get idle(): boolean {
		return this.#pending.length === 0;
	}

	get counts(): ClaimPartitionCounts {
		return {messages: this.#messageCount, writes: this.#writeCount};
	}

	/** Records a claim. Resolves with `unavailable` if that has not succeeded by `deadline` (monotonic ms). */
	async claim(claim: Claim, deadline: number): Promise<ClaimAnswer> {
		const answer = await this.#enqueue({kind: 'claim', claim}, deadline);
		return answer.kind === 'recorded' ? {kind: 'unavailable', message: 'unexpected answer to a claim'} : answer;
	}

	/** Records a settlement. Rejects with an Error if that has not succeeded by `deadline` (monotonic ms). */
	async settle(settle: Settle, deadline: number): Promise<void> {
		const answer = await this.#enqueue({kind: 'settle', settle}, deadline);
		if (answer.kind !== 'recorded') {
			throw new Error(`settlement of ${settle.operation} was not recorded in ${this.#options.key} in time`);
		}
	}

	close(): void {
		this.#closing.abort();
	}

	async #enqueue(message: ClaimMessage, deadline: number): Promise<MessageAnswer> {
		if (this.#closing.signal.aborted || this.#pending.length >= MAX_PENDING) {
			return {kind: 'unavailable', message: `claim object ${this.#options.key}: too many pending messages, or shutting down`, unwritten: true};
		}

		this.#messageCount++;
		return new Promise(resolve => {
			this.#pending.push({
				message, deadline, uncertain: false, resolve,
			});
			if (!this.#isRunning) {
				void this.#run();
			}
		});
	}

	async #run(): Promise<void> {
		this.#isRunning = true;
		while (this.#pending.length > 0) {
			if (await this.#processBatch()) {
				this.#backoff.reset();
			} else {
				await pause(this.#backoff.nextMs(), this.#closing.signal);
			}

			this.#expireOverdue();
		}

		this.#isRunning = false;
	}

	/** Tries to answer one batch. Returns false when the object API call failed, so that the next try backs off. */
	async #processBatch(): Promise<boolean> {
		const state = this.#state ?? await this.#read();
		if (!state) {
			return false;
		}

		const batch = this.#pending.slice(0, MAX_BATCH);
		const plan = state.plan(batch.map(({message}) => message), this.#wallClock());
		if (plan.answers.some(({kind}) => kind === 'held') && this.#clock() - this.#stateConfirmedAt > HELD_ANSWER_MAX_AGE_MS) {
			this.#state = undefined;
			return true;
		}

		if (!plan.next) {
			this.#resolveAll(batch, plan.answers);
			return true;
		}

		const intervalLeftMs = this.#lastWriteAt + this.#options.minimumWriteIntervalMs - this.#clock();
		if (intervalLeftMs > 0) {
			await pause(intervalLeftMs, this.#closing.signal);
			this.#expireOverdue();
			return true;
		}

		return this.#write(batch, plan.next, plan.answers);
	}

	async #read(): Promise<ClaimState | undefined> {
		const askedAt = this.#clock();
		const outcome = await this.#options.objectApi.read(this.#options.key, this.#callOptions());
		if (outcome.kind === 'unavailable') {
			return undefined;
		}

		this.#state = outcome.kind === 'found' ? ClaimState.read(outcome.object) : ClaimState.empty();
		this.#stateConfirmedAt = askedAt;
		return this.#state;
	}

	async #write(batch: readonly PendingMessage[], next: ClaimState, answers: readonly MessageAnswer[]): Promise<boolean> {
		this.#lastWriteAt = this.#clock();
		this.#writeCount++;
		const outcome = await this.#options.objectApi.write(this.#options.key, next.encode(), next.condition, this.#callOptions());
		switch (outcome.kind) {
			case 'written': {
				this.#state = next.written(outcome.version);
				this.#stateConfirmedAt = this.#lastWriteAt;
				this.#resolveAll(batch, answers);
				return true;
			}

			case 'conflict': {
				this.#state = undefined;
				return true;
			}

			case 'rejected': {
				return false;
			}

			case 'unknown': {
				this.#state = undefined;
				for (const waiting of batch) {
					waiting.uncertain = true;
				}

				return false;
			}
		}
	}

	#resolveAll(batch: readonly PendingMessage[], answers: readonly MessageAnswer[]): void {
		const resolved = new Set(batch);
		this.#pending = this.#pending.filter(waiting => !resolved.has(waiting));
		for (const [index, waiting] of batch.entries()) {
			waiting.resolve(answers[index]!);
		}
	}

	#expireOverdue(): void {
		const now = this.#closing.signal.aborted ? Number.POSITIVE_INFINITY : this.#clock();
		const expired = this.#pending.filter(({deadline}) => deadline <= now);
		this.#resolveAll(expired, expired.map(({uncertain}) => ({
			kind: 'unavailable', message: `claim object ${this.#options.key} was not written in time`, unwritten: !uncertain,
		})));
	}

	#callOptions(): {readonly timeoutMs: number; readonly signal: AbortSignal} {
		return {timeoutMs: CALL_TIMEOUT_MS, signal: this.#closing.signal};
	}
}
