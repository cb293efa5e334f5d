/** Reads the configuration in force and configuration files. */
import {checkConfiguration, type CheckOptions} from '../configuration/check-configuration.js';
import {formatFinding} from '../configuration/finding.js';
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
