/* eslint-disable no-bitwise -- the sets are stored and combined as bits */
/** Sets of numbered crashes, as bits. Sets that are combined have the same capacity. */

const WORD_BITS = 32;

export class CrashSet {
	/** `capacity`: all numbers are below it. */
	static of(numbers: Iterable<number>, capacity: number): CrashSet {
		const words = Array.from({length: Math.ceil(capacity / WORD_BITS)}, () => 0);
		for (const number of numbers) {
			words[Math.floor(number / WORD_BITS)]! |= 1 << (number % WORD_BITS);
		}

		return new CrashSet(words);
	}

	readonly size: number;

	private constructor(private readonly words: readonly number[]) {
		let size = 0;
		for (const word of words) {
			size += countBits(word);
		}

		this.size = size;
	}

	/** The same for equal sets. */
	get key(): string {
		return this.words.join(',');
	}

	/** The numbers in ascending order. */
	get numbers(): readonly number[] {
		const numbers: number[] = [];
		for (const [index, word] of this.words.entries()) {
			for (let rest = word; rest !== 0; rest &= rest - 1) {
				numbers.push((index * WORD_BITS) + (WORD_BITS - 1 - Math.clz32(rest & -rest)));
			}
		}

		return numbers;
	}

	has(number: number): boolean {
		return (this.words[Math.floor(number / WORD_BITS)]! & (1 << (number % WORD_BITS))) !== 0;
	}

	equals({words}: CrashSet): boolean {
		return this.words.every((word, index) => word === words[index]);
	}

	union({words}: CrashSet): CrashSet {
		const union = [...this.words];
		for (const [index, word] of words.entries()) {
			union[index]! |= word;
		}

		return new CrashSet(union);
	}

	without({words}: CrashSet): CrashSet {
		const rest = [...this.words];
		for (const [index, word] of words.entries()) {
			rest[index]! &= ~word;
		}

		return new CrashSet(rest);
	}

	/** Whether half or more of these crashes are in `other`. */
	isHalfIn({words}: CrashSet): boolean {
		let rest = 0;
		for (const [index, word] of this.words.entries()) {
			rest += countBits(word & ~words[index]!);
		}

		return 2 * rest <= this.size;
	}
}

/** Sums the bits in parallel: in pairs, in groups of four, and in bytes. */
function countBits(word: number): number {
	const pairs = word - ((word >>> 1) & 0x55_55_55_55);
	const fours = (pairs & 0x33_33_33_33) + ((pairs >>> 2) & 0x33_33_33_33);
	return Math.imul((fours + (fours >>> 4)) & 0x0F_0F_0F_0F, 0x01_01_01_01) >>> 24;
}
