/** `config check FILE`: validates a configuration without connecting to the platform. */
import {checkConfiguration} from '../configuration/check-configuration.js';
import {formatFinding} from '../configuration/finding.js';
import type {Command} from './command.js';
import {EXIT} from './exit-codes.js';
import {nameOf, readFile} from './stored-configuration.js';

export const configCheck: Command = {
	usage: 'config check <file>',
	description: 'Validate a configuration file (- for standard input)',
	flags: [['--force', 'Accept services that have no failure domain in state "in"']],
	async run(call) {
		const [file] = call.args as [string];
		const outcome = checkConfiguration(await readFile(call, file), {allowUnserved: call.flags.force === true});
		if (outcome.kind === 'accepted') {
			const {services, workspaces} = outcome.configuration;
			call.output.result({kind: 'accepted'}, `${nameOf(file)} is accepted: ${services.length} services, ${workspaces.length} workspaces`);
			return EXIT.done;
		}

		const lines = outcome.findings.map(finding => `  ${formatFinding(finding)}`);
		call.output.result(outcome, `${nameOf(file)} is refused; correct these fields:\n${lines.join('\n')}`);
		return EXIT.refused;
	},
};
