/** Interface of the commands of `fireflyport` and of the context that they run in. */
import type {ObjectApi} from '../object-api/object-api.js';
import type {ExitCode} from './exit-codes.js';

/** Access to the streams, environment and files of the process, which tests can substitute. */
export type Io = {
	readonly stdout: (text: string) => void;
	readonly stderr: (text: string) => void;
	/** Whether standard error is a terminal; progress is shown only then. */
	readonly isTerminal: boolean;
	readonly environment: Readonly<Record<string, string | undefined>>;
	/** Reads a file, or standard input for `-`. */
	readonly readInput: (file: string) => Promise<string>;
	readonly writeOutput: (file: string, text: string) => Promise<void>;
	readonly openObjectApi: (url: string) => ObjectApi;
};

/** Output of a command, as text or as JSON. */
export type Output = {
	/** Writes the result to standard output: `json` with `--json`, `text` otherwise. */
	result(json: unknown, text: string): void;
	/** Writes a line to standard error, only on a terminal and without `--json`. */
	progress(text: string): void;
};

/** Arguments and environment of one run of a command. */
export type CommandContext = {
	readonly args: readonly string[];
	readonly flags: Readonly<Record<string, unknown>>;
	readonly io: Io;
	readonly output: Output;
	/** Returns a client for the object API. It is created on first use and closed after the command. */
	readonly objectApi: () => ObjectApi;
	/** Address of the object API, used in messages. */
	readonly objectApiUrl: string;
	/** Aborted when the user interrupts the command. */
	readonly signal: AbortSignal;
};

export type Command = {
	/** Name and arguments, for example `config apply <file>`. */
	readonly usage: string;
	readonly description: string;
	readonly flags: ReadonlyArray<readonly [flag: string, description: string]>;
	run(context: CommandContext): Promise<ExitCode>;
};

/** Ends a command with an exit code and a message that states what failed, why, and how to proceed. */
export class CommandError extends Error {
	override readonly name = 'CommandError';

	constructor(readonly exitCode: ExitCode, message: string, options?: ErrorOptions) {
		super(message, options);
	}
}
