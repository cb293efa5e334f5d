/** A stream or a segment that a simulated engine works on or holds. */
import type {FailedEvent, SegmentReference} from '../../../src/backend/engine-protocol.js';
import type {Holding} from './kv-memory.js';

/** How a stream ended. A segment ends only by failing. */
export type Ending =
	| {readonly kind: 'done'; readonly finishReason: 'stop' | 'length'}
	| {readonly kind: 'failed'; readonly code: FailedEvent['code']; readonly message: string};

export type Work = {
	readonly kind: 'stream' | 'segment';
	readonly id: string;
	readonly model: string;
	readonly prompt: string;
	/** Segments before this part of the prompt, held by other engines. */
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
	/** Cold period in which it was accepted. */
	readonly period: number;
	readonly acceptedAt: number;
	readonly expiresAt: number;
	state: 'queued' | 'prefill' | 'decode' | 'finished';
	prefillLeft: number;
	cachedTokens: number;
	producedTokens: number;
	holding?: Holding | undefined;
	/** Digest of the whole prompt; set when decoding starts. */
	digest?: string | undefined;
	ending?: Ending | undefined;
};

/** KV tokens that a stream or segment holds, shared blocks included. */
export const heldTokens = (work: Work): number => work.holding ? work.promptTokens + work.producedTokens : 0;

/** Orders work by urgency, then by arrival. */
export const byUrgency = (a: Work, b: Work): number => a.priority - b.priority || a.sequence - b.sequence;
