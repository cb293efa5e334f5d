/** KV memory of one simulated engine in tokens, with a prefix cache of shared blocks in the same memory. */
import {PREFIX_BLOCK_TOKENS} from '../../../src/util/prefix-hash.js';

/** Memory of one stream or segment: shared blocks of its prompt and tokens of its own. */
export type Holding = {
	readonly hashes: readonly string[];
	ownTokens: number;
};

type Block = {references: number; isReady: boolean};

/** Told of each block that enters or leaves the prefix cache. */
export type CacheListener = (kind: 'stored' | 'evicted', prefix: string) => void;

export class KvMemory {
	static create(totalTokens: number, listener: CacheListener): KvMemory {
		return new KvMemory(totalTokens, listener);
	}

	readonly #totalTokens: number;
	readonly #listener: CacheListener;
	/** Least recently used first. */
	readonly #blocks = new Map<string, Block>();
	#heldTokens = 0;
	#idleBlocks = 0;

	private constructor(totalTokens: number, listener: CacheListener) {
		this.#totalTokens = totalTokens;
		this.#listener = listener;
	}

	/** Tokens held by streams and segments; idle cache blocks are not counted. */
	get heldTokens(): number {
		return this.#heldTokens;
	}

	/** Tokens of the longest cached prefix. */
	cachedTokens(hashes: readonly string[]): number {
		const missing = hashes.findIndex(hash => !this.#blocks.get(hash)?.isReady);
		return (missing === -1 ? hashes.length : missing) * PREFIX_BLOCK_TOKENS;
	}

	/** Takes memory for `tokens`, evicting idle blocks; undefined when it does not fit now. */
	acquire(hashes: readonly string[], tokens: number): Holding | undefined {
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
		this.#evict();
		return {hashes, ownTokens};
	}

	/** Adds one generated token; false when memory is full. */
	grow(holding: Holding): boolean {
		if (this.#heldTokens >= this.#totalTokens) {
			return false;
		}

		holding.ownTokens++;
		this.#heldTokens++;
		this.#evict();
		return true;
	}

	/** Marks the blocks of a finished prefill as usable by others. */
	markReady(holding: Holding): void {
		for (const hash of holding.hashes) {
			const block = this.#blocks.get(hash)!;
			if (!block.isReady) {
				block.isReady = true;
				this.#listener('stored', hash);
			}
		}
	}

	/** Frees a holding; its finished blocks stay in the cache until they are evicted. */
	release(holding: Holding): void {
		this.#heldTokens -= holding.ownTokens;
		// The deepest block becomes the least recently used, since a prefix is useless without its beginning.
		for (const hash of holding.hashes.toReversed()) {
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

	#evict(): void {
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
