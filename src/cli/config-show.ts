/** `config show`: prints the active configuration. */
import type {Command} from './command.js';
import {EXIT} from './exit-codes.js';
import {readStored} from './stored-configuration.js';

export const configShow: Command = {
	usage: 'config show',
	description: 'Print the configuration in force as JSON that config apply accepts; --json adds its version',
	flags: [],
	async run(context) {
		const {version, value} = await readStored(context);
		if (version === 0) {
			context.output.result({version, configuration: null}, `no configuration is stored at ${context.objectApiUrl}`);
			return EXIT.done;
		}

		context.output.progress(`version ${version}`);
		context.output.result({version, configuration: value}, JSON.stringify(value, undefined, 2));
		return EXIT.done;
	},
};
