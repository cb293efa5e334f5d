/** KV memory of one simulated engine, measured in tokens, including a prefix cache of shared blocks. */
import {PREFIX_BLOCK_TOKENS} from '../../../src/util/prefix-hash.js';

/** Memory of one stream or segment: shared prefix blocks of its prompt, and tokens that it does not share. */
export type KvAllocation = {
	readonly hashes: readonly string[];
	ownTokens: number;
};

type Block = {references: number; isReady: boolean};

/** Called for each block that enters or leaves the prefix cache. */
export type CacheListener = (kind: 'stored' | 'evicted', prefix: string) => void;

export class KvMemory {
	static create(totalTokens: number, listener: CacheListener): KvMemory {
		return new KvMemory(totalTokens, listener);
	}

	readonly #totalTokens: number;
	readonly #listener: CacheListener;
	/** In order of use, least recently used first. */
	readonly #blocks = new Map<string, Block>();
	#heldTokens = 0;
	#idleBlocks = 0;

	private constructor(totalTokens: number, listener: CacheListener) {
		this.#totalTokens = totalTokens;
		this.#listener = listener;
	}

	/** Tokens held by streams and segments, without idle cache blocks. */
	get heldTokens(): number {
		return this.#heldTokens;
	}

	/** Tokens of the longest cached prefix. */
	cachedTokens(hashes: readonly string[]): number {
		const firstMissing = hashes.findIndex(hash => !this.#blocks.get(hash)?.isReady);
		return (firstMissing === -1 ? hashes.length : firstMissing) * PREFIX_BLOCK_TOKENS;
	}

	/** Allocates memory for `tokens`, evicting idle blocks; returns undefined when it does not fit at present. */
	allocate(hashes: readonly string[], tokens: number): KvAllocation | undefined {
		const ownTokens = Math.max(0, tokens - (hashes.length * PREFIX_BLOCK_TOKENS));
		const newBlocks = hashes.filter(hash => !this.#blocks.get(hash)?.references).length;
		const neededTokens = ownTokens + (newBlocks * PREFIX_BLOCK_TOKENS);
		if (this.#heldTokens + neededTokens > this.#totalTokens) {
			return undefined;
		}

		for (const hash of hashes) {
			this.#reference(hash);
		}

		this.#heldTokens += neededTokens;
		this.#evictIdleBlocks();
		return {hashes, ownTokens};
	}

	/** Adds one generated token; returns false when memory is full. */
	grow(allocation: KvAllocation): boolean {
		if (this.#heldTokens >= this.#totalTokens) {
			return false;
		}

		allocation.ownTokens++;
		this.#heldTokens++;
		this.#evictIdleBlocks();
		return true;
	}

	/** Makes the blocks of a finished prefill available to other prompts. */
	markReady(allocation: KvAllocation): void {
		for (const hash of allocation.hashes) {
			const block = this.#blocks.get(hash)!;
			if (!block.isReady) {
				block.isReady = true;
				this.#listener('stored', hash);
			}
		}
	}

	/** Frees an allocation. Its finished blocks stay in the cache until they are evicted. */
	free(allocation: KvAllocation): void {
		this.#heldTokens -= allocation.ownTokens;
		// Frees the last block first, so that it is evicted first: a cached block is useless without those before it.
		for (const hash of allocation.hashes.toReversed()) {
			this.#dereference(hash);
		}
	}

	#reference(hash: string): void {
		const block = this.#blocks.get(hash) ?? {references: 0, isReady: false};
		if (this.#blocks.has(hash) && block.references === 0) {
			this.#idleBlocks--;
		}

		block.references++;
		this.#blocks.set(hash, block);
	}

	#dereference(hash: string): void {
		const block = this.#blocks.get(hash)!;
		block.references--;
		if (block.references > 0) {
			return;
		}

		this.#heldTokens -= PREFIX_BLOCK_TOKENS;
		this.#blocks.delete(hash);
		if (block.isReady) {
			this.#blocks.set(hash, block);
			this.#idleBlocks++;
		}
	}

	#evictIdleBlocks(): void {
		for (const [hash, block] of this.#blocks) {
			if (this.#heldTokens + (this.#idleBlocks * PREFIX_BLOCK_TOKENS) <= this.#totalTokens) {
				return;
			}

			if (block.references === 0) {
				this.#blocks.delete(hash);
				this.#idleBlocks--;
				this.#listener('evicted', hash);
			}
		}
	}
}
