/** A stream or segment that a simulated engine processes or keeps in memory. */
import type {FailedEvent, SegmentReference} from '../../../src/backend/engine-protocol.js';
import type {KvAllocation} from './kv-memory.js';

/** How a stream or segment ended. A segment has an outcome only when it fails. */
export type WorkOutcome =
	| {readonly kind: 'done'; readonly finishReason: 'stop' | 'length'}
	| {readonly kind: 'failed'; readonly code: FailedEvent['code']; readonly message: string};

export type WorkItem = {
	readonly kind: 'stream' | 'segment';
	readonly id: string;
	readonly model: string;
	readonly prompt: string;
	/** Segments that precede this part of the prompt, held by other engines. */
	readonly before: readonly SegmentReference[];
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Tokens of this part of the prompt. */
	readonly promptTokens: number;
	readonly hashes: readonly string[];
	/** 0 for a segment. */
	readonly maxTokens: number;
	/** Order of arrival. */
	readonly sequence: number;
	/** Cold period of the engine in which the item was accepted. */
	readonly coldPeriod: number;
	readonly acceptedAt: number;
	readonly expiresAt: number;
	state: 'queued' | 'prefill' | 'decode' | 'finished';
	prefillLeft: number;
	cachedTokens: number;
	producedTokens: number;
	allocation?: KvAllocation | undefined;
	/** Digest of the whole prompt, set when decoding starts. */
	digest?: string | undefined;
	outcome?: WorkOutcome | undefined;
};

/** KV tokens of a stream or segment, including shared blocks. */
export const allocatedTokens = (work: WorkItem): number => work.allocation ? work.promptTokens + work.producedTokens : 0;

/** Orders work by urgency, then by arrival. */
export const byUrgency = (a: WorkItem, b: WorkItem): number => a.priority - b.priority || a.sequence - b.sequence;
