/** `config apply FILE`: makes a configuration active unless the stored one was changed in the meantime. */
import {randomInt} from 'node:crypto';
import {applyConfiguration, type ApplyOutcome} from '../configuration/apply-configuration.js';
import {formatDifference, listDifferences, type Difference} from '../configuration/configuration-differences.js';
import {CONFIGURATION_KEY} from '../configuration/schema.js';
import {Backoff} from '../util/backoff.js';
import {CommandError, type CommandContext, type Command} from './command.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {
	CALL_TIMEOUT_MS, describeKeptOut, describeFile, readFileKeepingDomainsOut, readStored, requireValid, TAKE_IN_FLAG,
} from './stored-configuration.js';

export const configApply: Command = {
	usage: 'config apply <file>',
	description: 'Make a configuration file (- for standard input) the configuration in force',
	flags: [
		['--based-on <version>', 'Version that the file is based on (default: the version in force when the command starts)'],
		['--force', 'Accept services that have no failure domain in state "in"'],
		TAKE_IN_FLAG,
	],
	async run(context) {
		const [file] = context.args as [string];
		const requested = parseVersion(context.flags.basedOn);
		const stored = await readStored(context);
		const read = await readFileKeepingDomainsOut(context, file, stored);
		const configuration = requireValid(read.configuration, file, {allowUnserved: context.flags.force === true});
		const basedOn = requested ?? stored.version;
		const differences = listDifferences(stored.value, configuration);
		if (differences.length === 0) {
			const {keptOut} = read;
			context.output.result({kind: 'unchanged', version: stored.version, keptOut}, `${describeFile(file)} equals version ${stored.version}, which stays in force${describeKeptOut(keptOut)}`);
			return EXIT.done;
		}

		if (stored.version !== basedOn) {
			return reportConflict(context, basedOn, {
				kind: 'conflict', version: stored.version, differences, isReplaced: false,
			});
		}

		context.output.progress(`writing ${CONFIGURATION_KEY} at ${context.objectApiUrl}, based on version ${basedOn}`);
		const outcome = await applyConfiguration(context.objectApi(), configuration, basedOn, createApplyOptions(context));
		return reportOutcome(context, {basedOn, keptOut: read.keptOut}, outcome);
	},
};

/** Returns the timeout and the retry backoff of configuration changes from the command line. */
export const createApplyOptions = (context: CommandContext) => ({
	timeoutMs: CALL_TIMEOUT_MS, signal: context.signal, backoff: Backoff.create({baseMs: 50, maxMs: 1000, seed: randomInt(2 ** 31)}),
});

function parseVersion(flag: unknown): number | undefined {
	if (flag !== undefined && !(Number.isSafeInteger(flag) && Number(flag) >= 0)) {
		throw new CommandError(EXIT.usage, `--based-on ${JSON.stringify(flag)} is not a version number; get the version from config show --json`);
	}

	return flag === undefined ? undefined : Number(flag);
}

type ApplyAttempt = {readonly basedOn: number; readonly keptOut: readonly string[]};

function reportOutcome(context: CommandContext, {basedOn, keptOut}: ApplyAttempt, outcome: ApplyOutcome): ExitCode {
	switch (outcome.kind) {
		case 'applied': {
			const note = outcome.isResolved ? ' (a response of the object API was lost; the outcome was determined by a retry or from the stored configuration)' : '';
			context.output.result({...outcome, keptOut}, `version ${outcome.version} is accepted${note}${describeKeptOut(keptOut)}`);
			return EXIT.done;
		}

		case 'conflict': {
			return reportConflict(context, basedOn, outcome);
		}

		case 'not_applied': {
			throw new CommandError(EXIT.unavailable, `could not write ${CONFIGURATION_KEY}: ${outcome.message}; nothing was changed, try again`);
		}

		case 'unknown': {
			throw new CommandError(EXIT.unknown, `wrote ${CONFIGURATION_KEY}, but the response was lost (${outcome.message}); compare with config diff before you try again`);
		}
	}
}

function reportConflict(context: CommandContext, basedOn: number, outcome: Extract<ApplyOutcome, {kind: 'conflict'}>): ExitCode {
	const replaced = outcome.isReplaced
		? 'A response of the object API was lost; the file may have been in force for a short time before the competing version replaced it.\n'
		: 'Nothing was changed. ';
	context.output.result({...outcome, basedOn}, `the file is based on version ${basedOn}, but version ${outcome.version} is in force. ${replaced}`
	+ `From version ${outcome.version} to the file:\n${formatDifferences(outcome.differences)}\n`
	+ `Merge the version in force (config show) into the file and apply it with --based-on ${outcome.version}.`);
	return EXIT.conflict;
}

const formatDifferences = (differences: readonly Difference[]): string => differences.map(difference => `  ${formatDifference(difference)}`).join('\n');
