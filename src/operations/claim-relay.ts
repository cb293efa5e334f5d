/** Records claims and settlements of any partition for this daemon and its peers, so that messages of several daemons share writes. */
import type {ObjectApi} from '../object-api/object-api.js';
import type {Claim, ClaimAnswer, Settle} from '../peer/protocol.js';
import {monotonicMs, wallClockMs, type Clock} from '../util/clock.js';
import {claimObjectKey, type ClaimLayoutStore} from './claim-layout.js';
import {ClaimPartition, type ClaimPartitionCounts} from './claim-partition.js';

/** Time limit for recording a settlement; after it the sender retries. */
const SETTLE_TIMEOUT_MS = 3000;
const MAX_CLAIM_WAIT_MS = 10_000;
const DEFAULT_MAX_PARTITIONS = 256;
const DEFAULT_WRITE_INTERVAL_MS = 100;

export type ClaimRelayOptions = {
	readonly objectApi: ObjectApi;
	readonly layout: ClaimLayoutStore;
	/** Minimum time between two writes of one claim object; default 100 ms. */
	readonly minimumWriteIntervalMs?: number;
	/** Maximum number of claim objects kept in memory; default 256. */
	readonly maxPartitions?: number;
	readonly clock?: Clock;
	readonly wallClock?: Clock;
};

/** Holds the claim objects that this daemon currently writes. */
export class ClaimRelay {
	static create(options: ClaimRelayOptions): ClaimRelay {
		return new ClaimRelay(options);
	}

	readonly #options: ClaimRelayOptions;
	readonly #clock: Clock;
	/** By object key, least recently used first. */
	readonly #partitions = new Map<string, ClaimPartition>();
	#evictedCounts: ClaimPartitionCounts = {messages: 0, writes: 0};

	private constructor(options: ClaimRelayOptions) {
		this.#options = options;
		this.#clock = options.clock ?? monotonicMs;
	}

	/** Numbers of messages handled and writes sent since the start. */
	get counts(): ClaimPartitionCounts {
		let sum = this.#evictedCounts;
		for (const partition of this.#partitions.values()) {
			sum = addCounts(sum, partition.counts);
		}

		return sum;
	}

	/** Number of claim objects in memory. */
	get size(): number {
		return this.#partitions.size;
	}

	async claim(claim: Claim): Promise<ClaimAnswer> {
		const deadline = this.#clock() + Math.min(claim.remainingMs, MAX_CLAIM_WAIT_MS);
		const partition = await this.#partitionOf(claim, deadline);
		return partition
			? partition.claim(claim, deadline)
			: {kind: 'unavailable', message: 'the claim layout cannot be read, or too many claim objects are in use', unwritten: true};
	}

	/** Records a settlement. Rejects with an Error when it was not recorded in time. */
	async settle(settle: Settle): Promise<void> {
		const deadline = this.#clock() + SETTLE_TIMEOUT_MS;
		const partition = await this.#partitionOf(settle, deadline);
		if (!partition) {
			throw new Error(`settlement of ${settle.operation} was not recorded: the claim layout cannot be read, or too many claim objects are in use`);
		}

		await partition.settle(settle, deadline);
	}

	close(): void {
		for (const partition of this.#partitions.values()) {
			partition.close();
		}
	}

	async #partitionOf(message: {readonly operation: string; readonly keyTimeMs: number}, deadline: number): Promise<ClaimPartition | undefined> {
		const wallNow = (this.#options.wallClock ?? wallClockMs)();
		const layout = await this.#options.layout.get(deadline - this.#clock(), wallNow);
		if (!layout) {
			return undefined;
		}

		const key = claimObjectKey(message.operation, message.keyTimeMs, layout);
		const known = this.#partitions.get(key);
		this.#partitions.delete(key);
		this.#evictIdle();
		if (!known && this.#partitions.size >= this.#maxPartitions) {
			return undefined;
		}

		const partition = known ?? this.#createPartition(key);
		this.#partitions.set(key, partition);
		return partition;
	}

	get #maxPartitions(): number {
		return this.#options.maxPartitions ?? DEFAULT_MAX_PARTITIONS;
	}

	#createPartition(key: string): ClaimPartition {
		const {objectApi, clock, wallClock, minimumWriteIntervalMs = DEFAULT_WRITE_INTERVAL_MS} = this.#options;
		return ClaimPartition.create({
			objectApi, key, minimumWriteIntervalMs, clock, wallClock,
		});
	}

	/** Evicts the least recently used idle partitions until there is room for one more. */
	#evictIdle(): void {
		for (const [key, partition] of this.#partitions) {
			if (this.#partitions.size < this.#maxPartitions) {
				return;
			}

			if (partition.idle) {
				this.#evictedCounts = addCounts(this.#evictedCounts, partition.counts);
				this.#partitions.delete(key);
			}
		}
	}
}

const addCounts = (a: ClaimPartitionCounts, b: ClaimPartitionCounts): ClaimPartitionCounts =>
	({messages: a.messages + b.messages, writes: a.writes + b.writes});
