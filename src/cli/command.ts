/** What each command of `fireflyport` declares, and what it is given when it runs. */
import type {ObjectApi} from '../object-api/object-api.js';
import type {ExitCode} from './exit-codes.js';

/** Streams and environment of the process. */
export type Io = {
	readonly stdout: (text: string) => void;
	readonly stderr: (text: string) => void;
	/** Whether standard error is a terminal; only then progress is shown. */
	readonly isTerminal: boolean;
	readonly environment: Readonly<Record<string, string | undefined>>;
	/** Reads a file, or standard input for `-`. */
	readonly readInput: (file: string) => Promise<string>;
	readonly writeOutput: (file: string, text: string) => Promise<void>;
	readonly openObjectApi: (url: string) => ObjectApi;
};

/** Output of a command: text for people, JSON for programs. */
export type Output = {
	/** Writes the result to standard output: `json` with `--json`, else `text`. */
	result(json: unknown, text: string): void;
	/** Writes a line to standard error, only on a terminal and without `--json`. */
	progress(text: string): void;
};

/** One run of a command. */
export type Call = {
	readonly args: readonly string[];
	readonly flags: Readonly<Record<string, unknown>>;
	readonly io: Io;
	readonly output: Output;
	/** The object API of `--object-api`, opened once and closed after the command. */
	readonly objectApi: () => ObjectApi;
	/** Address of the object API, for messages. */
	readonly objectApiUrl: string;
	/** Aborted when the user interrupts the command. */
	readonly signal: AbortSignal;
};

export type Command = {
	/** Name and arguments, as in `config apply <file>`. */
	readonly usage: string;
	readonly description: string;
	readonly flags: ReadonlyArray<readonly [flag: string, description: string]>;
	run(call: Call): Promise<ExitCode>;
};

/** Ends a command with a message for the user, which states what was attempted, what was seen and what to do. */
export class CommandError extends Error {
	override readonly name = 'CommandError';

	constructor(readonly exitCode: ExitCode, message: string, options?: ErrorOptions) {
		super(message, options);
	}
}
