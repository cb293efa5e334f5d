/**
 * Token text of the engine stand-in. It depends only on the complete prompt and the token index, so a caller can verify
 * that an answer is complete and belongs to its prompt.
 */
import {createHash} from 'node:crypto';

const TOKEN_HEX_DIGITS = 6;

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Hex SHA-256 digest of a prompt, from which {@link tokenText} derives tokens. */
export const promptDigest = (prompt: string): string => sha256(prompt);

/** Text of the token at `index` of the answer to the prompt with this digest; six hex digits and a space. */
export const tokenText = (digest: string, index: number): string => `${sha256(`${digest}:${index}`).slice(0, TOKEN_HEX_DIGITS)} `;

/** Text of the token at `index` of the answer to `prompt`. */
export const expectedToken = (prompt: string, index: number): string => tokenText(promptDigest(prompt), index);

/** Text of the first `count` tokens of the answer to `prompt`. */
export function expectedText(prompt: string, count: number): string {
	const digest = promptDigest(prompt);
	return Array.from({length: count}, (_, index) => tokenText(digest, index)).join('');
}
