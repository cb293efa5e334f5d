/** Reads the stored configuration and configuration files. */
import {checkConfiguration, type CheckOptions} from '../configuration/check-configuration.js';
import {formatFinding} from '../configuration/finding.js';
import {keepDomainsOut, type KeptOutResult} from '../configuration/keep-domains-out.js';
import {CONFIGURATION_KEY, type AcceptedConfiguration, type Configuration} from '../configuration/schema.js';
import {CommandError, type CommandContext} from './command.js';
import {EXIT} from './exit-codes.js';

/** Timeout of one call to the object API. */
export const CALL_TIMEOUT_MS = 5000;

/** The stored configuration as parsed JSON. The version is 0 when there is none. */
export type StoredConfiguration = {
	readonly version: number;
	readonly value: unknown;
};

/** Reads the stored configuration. Throws a {@link CommandError} when the object API is unavailable. */
export async function readStored(context: CommandContext): Promise<StoredConfiguration> {
	const outcome = await context.objectApi().read(CONFIGURATION_KEY, {timeoutMs: CALL_TIMEOUT_MS, signal: context.signal});
	if (outcome.kind === 'unavailable') {
		throw new CommandError(EXIT.unavailable, `could not read ${CONFIGURATION_KEY} at ${context.objectApiUrl}: ${outcome.message}; check the address and try again`);
	}

	return outcome.kind === 'found' ? outcome.object : {version: 0, value: undefined};
}

/** Reads and validates the stored configuration. Throws a {@link CommandError} when it is missing or invalid. */
export async function requireStored(context: CommandContext): Promise<AcceptedConfiguration> {
	const {version, value} = await readStored(context);
	if (version === 0) {
		throw new CommandError(EXIT.refused, `no configuration is stored at ${context.objectApiUrl}; apply one first`);
	}

	return {version, configuration: requireValid(value, `version ${version}`, {allowUnserved: true})};
}

/** Reads a file as JSON; `-` stands for standard input. */
export async function readFile(context: CommandContext, file: string): Promise<unknown> {
	const text = await readText(context, file);
	try {
		return JSON.parse(text);
	} catch (err) {
		throw new CommandError(EXIT.refused, `could not parse ${describeFile(file)} as JSON: ${(err as Error).message}; print it again from the operator library`);
	}
}

async function readText(context: CommandContext, file: string): Promise<string> {
	try {
		return await context.io.readInput(file);
	} catch (err) {
		throw new CommandError(EXIT.unavailable, `could not read ${describeFile(file)}: ${(err as Error).message}; check the path`);
	}
}

/** Flag of the commands that apply or compare a file. Without it, failure domains that are out stay out. */
export const TAKE_IN_FLAG = ['--take-in', 'Return failure domains to service that are out in the version in force but in according to the file'] as const;

/** Reads a file. Unless `--take-in` is given, failure domains that are out in `stored` are set to `out` in the result. */
export async function readFileKeepingDomainsOut(context: CommandContext, file: string, stored: StoredConfiguration): Promise<KeptOutResult> {
	const configuration = await readFile(context, file);
	return context.flags.takeIn === true ? {configuration, keptOut: []} : keepDomainsOut(configuration, stored.value);
}

/** Returns a note for each failure domain that stays out. */
export const describeKeptOut = (keptOut: readonly string[]): string => keptOut
	.map(name => `\nfailure domain ${name} stays out; take it in with domain in ${name}`)
	.join('');

export const describeFile = (file: string): string => file === '-' ? 'standard input' : file;

/** Validates a configuration read from `file`. Throws a {@link CommandError} that lists all findings when it is invalid. */
export function requireValid(input: unknown, file: string, options: CheckOptions): Configuration {
	const outcome = checkConfiguration(input, options);
	if (outcome.kind === 'accepted') {
		return outcome.configuration;
	}

	const findings = outcome.findings.map(finding => `  ${formatFinding(finding)}`).join('\n');
	throw new CommandError(EXIT.refused, `the configuration in ${describeFile(file)} is refused; correct these fields:\n${findings}`);
}
