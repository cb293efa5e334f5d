/** Reads the configuration in force and configuration files. */
import {checkConfiguration, type CheckOptions} from '../configuration/check-configuration.js';
import {formatFinding} from '../configuration/finding.js';
import {keepOut, type KeptOut} from '../configuration/keep-out.js';
import {CONFIGURATION_KEY, type AcceptedConfiguration, type Configuration} from '../configuration/schema.js';
import {CommandError, type Call} from './command.js';
import {EXIT} from './exit-codes.js';

/** Time limit of one call to the object API. */
export const CALL_TIMEOUT_MS = 5000;

/** The stored configuration as parsed JSON; version 0 when there is none. */
export type StoredConfiguration = {
	readonly version: number;
	readonly value: unknown;
};

/** Reads the configuration in force. Throws a CommandError when the object API does not answer. */
export async function readStored(call: Call): Promise<StoredConfiguration> {
	const outcome = await call.objectApi().read(CONFIGURATION_KEY, {timeoutMs: CALL_TIMEOUT_MS, signal: call.signal});
	if (outcome.kind === 'unavailable') {
		throw new CommandError(EXIT.unavailable, `could not read ${CONFIGURATION_KEY} at ${call.objectApiUrl}: ${outcome.message}; check the address and try again`);
	}

	return outcome.kind === 'found' ? outcome.object : {version: 0, value: undefined};
}

/** Reads the configuration in force and checks it. Throws a CommandError when there is none or it is not valid. */
export async function requireStored(call: Call): Promise<AcceptedConfiguration> {
	const {version, value} = await readStored(call);
	if (version === 0) {
		throw new CommandError(EXIT.refused, `no configuration is stored at ${call.objectApiUrl}; apply one first`);
	}

	return {version, configuration: requireValid(value, `version ${version}`, {allowUnserved: true})};
}

/** Reads FILE as JSON; `-` is standard input. */
export async function readFile(call: Call, file: string): Promise<unknown> {
	const text = await readText(call, file);
	try {
		return JSON.parse(text);
	} catch (err) {
		throw new CommandError(EXIT.refused, `could not parse ${nameOf(file)} as JSON: ${(err as Error).message}; print it again from the operator library`);
	}
}

async function readText(call: Call, file: string): Promise<string> {
	try {
		return await call.io.readInput(file);
	} catch (err) {
		throw new CommandError(EXIT.unavailable, `could not read ${nameOf(file)}: ${(err as Error).message}; check the path`);
	}
}

/** The flag of commands that apply a file: without it, failure domains that are out stay out. */
export const TAKE_IN_FLAG = ['--take-in', 'Take failure domains in that are out in the version in force but in by the file'] as const;

/** Reads FILE and keeps failure domains out that are out in `stored`, unless `--take-in` is given. */
export async function readFileOver(call: Call, file: string, stored: StoredConfiguration): Promise<KeptOut> {
	const configuration = await readFile(call, file);
	return call.flags.takeIn === true ? {configuration, keptOut: []} : keepOut(configuration, stored.value);
}

/** Says which failure domains stay out. */
export const describeKeptOut = (keptOut: readonly string[]): string => keptOut
	.map(name => `\nfailure domain ${name} stays out; take it in with domain in ${name}`)
	.join('');

export const nameOf = (file: string): string => file === '-' ? 'standard input' : file;

/** Checks a configuration that was read from FILE. Throws a CommandError with all findings when it is refused. */
export function requireValid(input: unknown, file: string, options: CheckOptions): Configuration {
	const outcome = checkConfiguration(input, options);
	if (outcome.kind === 'accepted') {
		return outcome.configuration;
	}

	const findings = outcome.findings.map(finding => `  ${formatFinding(finding)}`).join('\n');
	throw new CommandError(EXIT.refused, `the configuration in ${nameOf(file)} is refused; correct these fields:\n${findings}`);
}
