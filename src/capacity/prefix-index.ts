/** Prompt prefixes that each backend server probably has in its cache. Only a hint: it is delayed, incomplete and bounded in size. */
import {PREFIX_BLOCK_TOKENS} from '../util/prefix-hash.js';

/** Maximum number of prefixes kept for one backend server; the oldest are evicted. */
const MAX_PREFIXES = 4096;

export class PrefixIndex {
	readonly #stored = new Map<string, Set<string>>();

	/** Records prefixes of a prompt that was sent to the server, or that the server reported as stored. */
	noteStored(server: string, prefixes: readonly string[]): void {
		const stored = this.#stored.get(server) ?? new Set();
		this.#stored.set(server, stored);
		for (const prefix of prefixes) {
			stored.delete(prefix);
			stored.add(prefix);
		}

		for (const oldest of stored) {
			if (stored.size <= MAX_PREFIXES) {
				break;
			}

			stored.delete(oldest);
		}
	}

	noteEvicted(server: string, prefix: string): void {
		this.#stored.get(server)?.delete(prefix);
	}

	/** Removes all prefixes of a server that was restarted or whose events had a gap. */
	clear(server: string): void {
		this.#stored.delete(server);
	}

	/** Number of tokens in the longest known prefix. `prefixes` are ordered from shortest to longest. */
	cachedTokens(server: string, prefixes: readonly string[]): number {
		const stored = this.#stored.get(server);
		return stored ? (prefixes.findLastIndex(prefix => stored.has(prefix)) + 1) * PREFIX_BLOCK_TOKENS : 0;
	}
}
