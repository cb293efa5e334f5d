/**
 * Records claims in one object by conditional writes. One write is in flight at a time; what arrives meanwhile goes
 * into the next one. A message is answered only from a state that is known to be stored: after a lost answer the object
 * is read again and the batch is written conditional on the version read, which makes a delayed first write fail.
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
const MAX_WAITING = 5000;
const RETRY_PAUSE_MS = 50;
const MAX_RETRY_PAUSE_MS = 400;
const MAX_SEED = 2 ** 31;

/** A claim held by another attempt is answered from a state at most this old, so that a release shows soon. */
const HELD_FRESH_MS = 250;

/** Where a partition is stored and how often it is written. */
export type ClaimPartitionOptions = {
	readonly objectApi: ObjectApi;
	readonly key: string;
	/** Shortest time between the starts of two writes of the object. */
	readonly minimumWriteIntervalMs: number;
	readonly clock?: Clock;
	readonly wallClock?: Clock;
};

/** Figures since the partition was created. */
export type ClaimPartitionCounts = {readonly messages: number; readonly writes: number};

type Waiting = {
	readonly message: ClaimMessage;
	/** Monotonic ms. */
	readonly deadline: number;
	/** Whether a write that contains the message may have taken effect or may still do so. */
	uncertain: boolean;
	readonly resolve: (answer: MessageAnswer) => void;
};

/** One claim object and the messages that wait for it. */
export class ClaimPartition {
	static create(options: ClaimPartitionOptions): ClaimPartition {
		return new ClaimPartition(options);
	}

	readonly #options: ClaimPartitionOptions;
	readonly #clock: Clock;
	readonly #wallClock: Clock;
	readonly #closing = new AbortController();
	readonly #backoff = Backoff.create({baseMs: RETRY_PAUSE_MS, maxMs: MAX_RETRY_PAUSE_MS, seed: randomInt(MAX_SEED)});
	#waiting: Waiting[] = [];
	#running = false;
	#state: ClaimState | undefined;
	/** Monotonic ms at which `#state` was known to be the stored one. */
	#stateAt = 0;
	#lastWriteAt = Number.NEGATIVE_INFINITY;
	#messages = 0;
	#writes = 0;

	private constructor(options: ClaimPartitionOptions) {
		this.#options = options;
		this.#clock = options.clock ?? monotonicMs;
		this.#wallClock = options.wallClock ?? wallClockMs;
	}

	/** Whether nothing waits, so that the partition can be forgotten. */
	get idle(): boolean {
		return this.#waiting.length === 0;
	}

	get counts(): ClaimPartitionCounts {
		return {messages: this.#messages, writes: this.#writes};
	}

	/** Records a claim. `unavailable` after `deadline` (monotonic ms). */
	async claim(claim: Claim, deadline: number): Promise<ClaimAnswer> {
		const answer = await this.#enqueue({kind: 'claim', claim}, deadline);
		return answer.kind === 'recorded' ? {kind: 'unavailable', message: 'answer of another kind'} : answer;
	}

	/** Records a settlement. Rejects with an Error when it was not recorded by `deadline` (monotonic ms). */
	async settle(settle: Settle, deadline: number): Promise<void> {
		const answer = await this.#enqueue({kind: 'settle', settle}, deadline);
		if (answer.kind !== 'recorded') {
			throw new Error(`settling ${settle.operation} in ${this.#options.key}: not recorded in time`);
		}
	}

	close(): void {
		this.#closing.abort();
	}

	async #enqueue(message: ClaimMessage, deadline: number): Promise<MessageAnswer> {
		if (this.#closing.signal.aborted || this.#waiting.length >= MAX_WAITING) {
			return {kind: 'unavailable', message: `claim object ${this.#options.key}: too many claims wait, or closing`, unwritten: true};
		}

		this.#messages++;
		return new Promise(resolve => {
			this.#waiting.push({
				message, deadline, uncertain: false, resolve,
			});
			if (!this.#running) {
				void this.#run();
			}
		});
	}

	async #run(): Promise<void> {
		this.#running = true;
		while (this.#waiting.length > 0) {
			if (await this.#round()) {
				this.#backoff.reset();
			} else {
				await pause(this.#backoff.nextMs(), this.#closing.signal);
			}

			this.#expire();
		}

		this.#running = false;
	}

	/** Tries to answer one batch. Returns false when the object API did not serve it. */
	async #round(): Promise<boolean> {
		const state = this.#state ?? await this.#read();
		if (!state) {
			return false;
		}

		const batch = this.#waiting.slice(0, MAX_BATCH);
		const plan = state.plan(batch.map(({message}) => message), this.#wallClock());
		if (plan.answers.some(({kind}) => kind === 'held') && this.#clock() - this.#stateAt > HELD_FRESH_MS) {
			this.#state = undefined;
			return true;
		}

		if (!plan.next) {
			this.#answer(batch, plan.answers);
			return true;
		}

		const intervalLeftMs = this.#lastWriteAt + this.#options.minimumWriteIntervalMs - this.#clock();
		if (intervalLeftMs > 0) {
			await pause(intervalLeftMs, this.#closing.signal);
			this.#expire();
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
		this.#stateAt = askedAt;
		return this.#state;
	}

	async #write(batch: readonly Waiting[], next: ClaimState, answers: readonly MessageAnswer[]): Promise<boolean> {
		this.#lastWriteAt = this.#clock();
		this.#writes++;
		const outcome = await this.#options.objectApi.write(this.#options.key, next.encode(), next.condition, this.#callOptions());
		switch (outcome.kind) {
			case 'written': {
				this.#state = next.written(outcome.version);
				this.#stateAt = this.#lastWriteAt;
				this.#answer(batch, answers);
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

	#answer(batch: readonly Waiting[], answers: readonly MessageAnswer[]): void {
		const answered = new Set(batch);
		this.#waiting = this.#waiting.filter(waiting => !answered.has(waiting));
		for (const [index, waiting] of batch.entries()) {
			waiting.resolve(answers[index]!);
		}
	}

	#expire(): void {
		const now = this.#closing.signal.aborted ? Number.POSITIVE_INFINITY : this.#clock();
		const expired = this.#waiting.filter(({deadline}) => deadline <= now);
		this.#answer(expired, expired.map(({uncertain}) => ({
			kind: 'unavailable', message: `claim object ${this.#options.key} was not written in time`, unwritten: !uncertain,
		})));
	}

	#callOptions(): {readonly timeoutMs: number; readonly signal: AbortSignal} {
		return {timeoutMs: CALL_TIMEOUT_MS, signal: this.#closing.signal};
	}
}
