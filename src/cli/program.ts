/** Parses a command line, runs its command and turns errors into messages and exit codes. */
import {cac, type CAC} from 'cac';
import type {ObjectApi} from '../object-api/object-api.js';
import {stackOf} from '../util/stack-of.js';
import {
	CommandError, type CommandContext, type Command, type Io, type Output,
} from './command.js';
import {configApply} from './config-apply.js';
import {configCheck} from './config-check.js';
import {configDiff} from './config-diff.js';
import {configShow} from './config-show.js';
import {domainIn, domainOut} from './domain.js';
import {EXIT, EXIT_CODE_HELP, type ExitCode} from './exit-codes.js';
import {explain} from './explain.js';
import {reportBurn} from './report-burn.js';
import {status} from './status.js';

const COMMANDS: readonly Command[] = [configCheck, configApply, configShow, configDiff, domainOut, domainIn, status, reportBurn, explain];

/** First words of the two-word commands. */
const COMMAND_GROUPS: ReadonlySet<string> = new Set(COMMANDS.map(command => command.usage.split(' ')).filter(words => /^[a-z]/v.test(words[1] ?? '')).map(words => words[0]!));

/** Replaces a `-` argument during parsing, because the parser treats a single hyphen as a flag. */
const STANDARD_INPUT_PLACEHOLDER = '\0stdin';

const OBJECT_API_VARIABLE = 'FIREFLYPORT_OBJECT_API';

/** Runs `fireflyport` with the arguments after the program name. Does not throw; errors become messages and exit codes. */
export async function runProgram(argv: readonly string[], io: Io, signal: AbortSignal): Promise<ExitCode> {
	try {
		return await parseAndRun(argv, io, signal);
	} catch (err) {
		const {exitCode, message} = toExitCodeAndMessage(err);
		const isJson = argv.includes('--json');
		io.stderr(isJson ? JSON.stringify({error: {message, exitCode}}) : `fireflyport: ${message}`);
		return exitCode;
	}
}

async function parseAndRun(argv: readonly string[], io: Io, signal: AbortSignal): Promise<ExitCode> {
	rejectNegatedFlags(argv);
	let running: Promise<ExitCode> | undefined;
	const cli = createParser((command, args, flags) => {
		running = runCommand(command, args, flags, {io, signal});
	});
	const parsed = cli.parse(['node', 'fireflyport', ...joinCommandWords(argv)]);
	if (running) {
		return running;
	}

	if (parsed.options.help) {
		return EXIT.done;
	}

	const problem = parsed.args.length === 0 ? 'no command was given' : `there is no command ${parsed.args.join(' ')}`;
	throw new CommandError(EXIT.usage, `${problem}; run fireflyport --help for the list`);
}

/** Rejects negated flags. No command has any, and the parser would report them without their `--no-` prefix. */
function rejectNegatedFlags(argv: readonly string[]): void {
	const negated = argv.find(word => word.startsWith('--no-'));
	if (negated !== undefined) {
		throw new CommandError(EXIT.usage, `unknown flag ${negated}; run the command with --help for its flags`);
	}
}

function rejectRepeatedFlags(flags: Readonly<Record<string, unknown>>): void {
	const repeated = Object.keys(flags).find(flag => flag !== '--' && Array.isArray(flags[flag]));
	if (repeated !== undefined) {
		throw new CommandError(EXIT.usage, `flag --${kebabCase(repeated)} is given more than once; give it once`);
	}
}

type RunCommand = (command: Command, args: readonly string[], flags: Readonly<Record<string, unknown>>) => void;

function createParser(run: RunCommand): CAC {
	const cli = cac('fireflyport');
	cli.option('--object-api <url>', `Address of the object API (or set ${OBJECT_API_VARIABLE})`);
	cli.option('--json', 'Write the result as JSON');
	cli.help(sections => [...sections, {title: 'Exit codes', body: EXIT_CODE_HELP.map(line => `  ${line}`).join('\n')}]);
	for (const command of COMMANDS) {
		const parser = cli.command(command.usage, command.description);
		for (const [flag, description] of command.flags) {
			parser.option(flag, description);
		}

		parser.action((...values: unknown[]) => {
			const flags = values.pop() as Readonly<Record<string, unknown>>;
			rejectRepeatedFlags(flags);
			const args = values.map(String).map(value => value === STANDARD_INPUT_PLACEHOLDER ? '-' : value);
			run(command, args, flags);
		});
	}

	return cli;
}

/** Joins the two words of a command into one argument, because the parser matches a single one. */
function joinCommandWords(argv: readonly string[]): readonly string[] {
	const words = argv.map(word => word === '-' ? STANDARD_INPUT_PLACEHOLDER : word);
	const index = words.findIndex(word => COMMAND_GROUPS.has(word));
	const second = words[index + 1];
	return index === -1 || second === undefined || second.startsWith('-')
		? words
		: [...words.slice(0, index), `${words[index]} ${second}`, ...words.slice(index + 2)];
}

async function runCommand(command: Command, args: readonly string[], flags: Readonly<Record<string, unknown>>, context: Pick<CommandContext, 'io' | 'signal'>): Promise<ExitCode> {
	const {io} = context;
	const opened: ObjectApi[] = [];
	const objectApiUrl = typeof flags.objectApi === 'string' ? flags.objectApi : io.environment[OBJECT_API_VARIABLE] ?? '';
	const objectApi = () => {
		if (opened.length === 0) {
			opened.push(io.openObjectApi(checkUrl(objectApiUrl)));
		}

		return opened[0]!;
	};

	try {
		return await command.run({
			...context, args, flags, output: createOutput(io, flags.json === true), objectApi, objectApiUrl,
		});
	} finally {
		await Promise.all(opened.map(async api => api.close()));
	}
}

function checkUrl(url: string): string {
	if (url === '') {
		throw new CommandError(EXIT.usage, `the address of the object API is missing; give --object-api URL or set ${OBJECT_API_VARIABLE}`);
	}

	if (!/^http:\/\/[^\/]+\/?$/v.test(url) || !URL.canParse(url)) {
		throw new CommandError(EXIT.usage, `the address of the object API, ${url}, is not of the form http://HOST:PORT; correct --object-api or ${OBJECT_API_VARIABLE}`);
	}

	return url;
}

function createOutput(io: Io, isJson: boolean): Output {
	return {
		result(json, text) {
			io.stdout(isJson ? JSON.stringify(json) : text);
		},
		progress(text) {
			if (io.isTerminal && !isJson) {
				io.stderr(text);
			}
		},
	};
}

function toExitCodeAndMessage(err: unknown): {readonly exitCode: ExitCode; readonly message: string} {
	if (err instanceof CommandError) {
		return err;
	}

	if (err instanceof Error && err.name === 'CACError') {
		return {exitCode: EXIT.usage, message: `${describeUsageError(err.message)}; run the command with --help for its flags`};
	}

	return {exitCode: EXIT.unavailable, message: `internal error: ${stackOf(err)}; please report it together with the command line`};
}

/** Converts flags in messages of the parser from camel case to the kebab case that the user typed. */
function describeUsageError(message: string): string {
	const flag = /^Unknown option `(?<flag>.+)`$/v.exec(message)?.groups?.flag;
	return flag === undefined
		? message.replaceAll('`', '')
		: `unknown flag ${kebabCase(flag)}`;
}

const kebabCase = (flag: string): string => flag.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);
