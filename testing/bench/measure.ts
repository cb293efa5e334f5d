/** What a benchmark measure is: a name, and a run that yields rows. */
import type {Row} from './row.js';

export type MeasureOptions = {
	readonly seed: number;
	/** Reports progress to standard error. */
	readonly log: (text: string) => void;
};

export type Measure = {
	/** Name on the command line. */
	readonly name: string;
	readonly title: string;
	readonly run: (options: MeasureOptions) => Promise<readonly Row[]>;
};
