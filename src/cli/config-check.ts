/** `config check FILE`: validates a configuration without connecting to the platform. */
import {checkConfiguration} from '../configuration/check-configuration.js';
import {formatFinding} from '../configuration/finding.js';
import type {Command} from './command.js';
import {EXIT} from './exit-codes.js';
import {describeFile, readFile} from './stored-configuration.js';

export const configCheck: Command = {
	usage: 'config check <file>',
	description: 'Validate a configuration file (- for standard input)',
	flags: [['--force', 'Accept services that have no failure domain in state "in"']],
	async run(context) {
		const [file] = context.args as [string];
		const outcome = checkConfiguration(await readFile(context, file), {allowUnserved: context.flags.force === true});
		if (outcome.kind === 'accepted') {
			const {services, workspaces} = outcome.configuration;
			context.output.result({kind: 'accepted'}, `${describeFile(file)} is accepted: ${services.length} services, ${workspaces.length} workspaces`);
			return EXIT.done;
		}

		const lines = outcome.findings.map(finding => `  ${formatFinding(finding)}`);
		context.output.result(outcome, `${describeFile(file)} is refused; correct these fields:\n${lines.join('\n')}`);
		return EXIT.refused;
	},
};
