/** Which backend server probably has which prompt prefix in its cache. Only a hint: late, with gaps, and bounded. */
import {PREFIX_BLOCK_TOKENS} from '../util/prefix-hash.js';

/** Entries kept for one backend server, the oldest are dropped. */
const MAX_PREFIXES = 4096;

export class PrefixIndex {
	readonly #stored = new Map<string, Set<string>>();

	/** A prompt with these prefixes was sent to the server, or the server reported them as stored. */
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

	/** The server was restarted or its events had a gap. */
	clear(server: string): void {
		this.#stored.delete(server);
	}

	/** Tokens of the longest known prefix; `prefixes` are ordered from the shortest to the longest. */
	cachedTokens(server: string, prefixes: readonly string[]): number {
		const stored = this.#stored.get(server);
		return stored ? (prefixes.findLastIndex(prefix => stored.has(prefix)) + 1) * PREFIX_BLOCK_TOKENS : 0;
	}
}
