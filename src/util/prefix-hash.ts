/** Hashes of the leading blocks of a prompt, which identify prefix cache entries. */
import {createHash} from 'node:crypto';
import {BYTES_PER_TOKEN} from './length-class.js';

/** Size of a block of the prefix cache in tokens. */
export const PREFIX_BLOCK_TOKENS = 1024;

/** Maximum number of hashed blocks. Longer prefixes are matched by their first blocks. */
export const MAX_PREFIX_BLOCKS = 64;

/** Returns chained SHA-256 hashes (16 hex digits) of the complete leading blocks of `prompt`, shortest prefix first. */
export function prefixHashes(prompt: string): readonly string[] {
	const blockCharacters = PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN;
	const blocks = Math.min(MAX_PREFIX_BLOCKS, Math.floor(prompt.length / blockCharacters));
	const hashes: string[] = [];
	let previousHash = '';
	for (let index = 0; index < blocks; index++) {
		const block = prompt.slice(index * blockCharacters, (index + 1) * blockCharacters);
		previousHash = createHash('sha256').update(previousHash).update(block).digest('hex').slice(0, 16);
		hashes.push(previousHash);
	}

	return hashes;
}
