/** `config diff FILE`: shows what applying FILE would change. */
import {formatDifference, listDifferences} from '../configuration/configuration-differences.js';
import type {Command} from './command.js';
import {EXIT} from './exit-codes.js';
import {
	describeKeptOut, describeFile, readFileKeepingDomainsOut, readStored, TAKE_IN_FLAG,
} from './stored-configuration.js';

export const configDiff: Command = {
	usage: 'config diff <file>',
	description: 'Show what applying a file (- for standard input) would change',
	flags: [TAKE_IN_FLAG],
	async run(context) {
		const [file] = context.args as [string];
		const stored = await readStored(context);
		const {version} = stored;
		const {configuration, keptOut} = await readFileKeepingDomainsOut(context, file, stored);
		const differences = listDifferences(stored.value, configuration);
		const text = differences.length === 0
			? `${describeFile(file)} equals version ${version}`
			: `from version ${version} to ${describeFile(file)}:\n${differences.map(difference => `  ${formatDifference(difference)}`).join('\n')}`;
		context.output.result({version, differences, keptOut}, `${text}${describeKeptOut(keptOut)}`);
		return EXIT.done;
	},
};
