/** `config diff FILE`: what applying FILE would change. */
import {formatDifference, listDifferences} from '../configuration/configuration-differences.js';
import type {Command} from './command.js';
import {EXIT} from './exit-codes.js';
import {nameOf, readFile, readStored} from './stored-configuration.js';

export const configDiff: Command = {
	usage: 'config diff <file>',
	description: 'Show what applying a file (- for standard input) would change',
	flags: [],
	async run(call) {
		const [file] = call.args as [string];
		const {version, value} = await readStored(call);
		const differences = listDifferences(value, await readFile(call, file));
		const text = differences.length === 0
			? `${nameOf(file)} equals version ${version}`
			: `from version ${version} to ${nameOf(file)}:\n${differences.map(difference => `  ${formatDifference(difference)}`).join('\n')}`;
		call.output.result({version, differences}, text);
		return EXIT.done;
	},
};
