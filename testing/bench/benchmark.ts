/** Interface of a benchmark: a name, and a run that returns result rows. */
import type {ResultRow} from './row.js';

export type BenchmarkOptions = {
	readonly seed: number;
	/** Prints progress to standard error. */
	readonly log: (text: string) => void;
};

export type Benchmark = {
	/** Name on the command line. */
	readonly name: string;
	readonly title: string;
	readonly run: (options: BenchmarkOptions) => Promise<readonly ResultRow[]>;
};
