/** Prompt length classes, and the token estimate that is used before the engine reports its count. */

/** Class of a prompt by its estimated number of tokens. */
export type LengthClass = 'short' | 'medium' | 'long' | 'huge';

export const lengthClasses = ['short', 'medium', 'long', 'huge'] as const;

/** Exclusive upper bounds of the classes in tokens; `huge` has none. */
const SHORT_BELOW_TOKENS = 8000;
const MEDIUM_BELOW_TOKENS = 32_000;
const LONG_BELOW_TOKENS = 100_000;

/** Average number of UTF-8 bytes per token, used before the engine reports its own count. */
export const BYTES_PER_TOKEN = 4;

/** Estimates prompt tokens from the size of the prompt in UTF-8 bytes. */
export const estimateTokens = (promptBytes: number): number => Math.max(1, Math.ceil(promptBytes / BYTES_PER_TOKEN));

/** Returns the length class of a prompt of `tokens` tokens. */
export function lengthClassOf(tokens: number): LengthClass {
	if (tokens < SHORT_BELOW_TOKENS) {
		return 'short';
	}

	if (tokens < MEDIUM_BELOW_TOKENS) {
		return 'medium';
	}

	return tokens < LONG_BELOW_TOKENS ? 'long' : 'huge';
}

/** Whether the long-prompt quota applies to prompts of a class. */
export const isLong = (lengthClass: LengthClass): boolean => lengthClass === 'long' || lengthClass === 'huge';
