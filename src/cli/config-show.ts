/** `config show`: prints the configuration in force. */
import type {Command} from './command.js';
import {EXIT} from './exit-codes.js';
import {readStored} from './stored-configuration.js';

export const configShow: Command = {
	usage: 'config show',
	description: 'Print the configuration in force as JSON that config apply accepts; --json adds its version',
	flags: [],
	async run(call) {
		const {version, value} = await readStored(call);
		if (version === 0) {
			call.output.result({version, configuration: null}, `no configuration is stored at ${call.objectApiUrl}`);
			return EXIT.done;
		}

		call.output.progress(`version ${version}`);
		call.output.result({version, configuration: value}, JSON.stringify(value, undefined, 2));
		return EXIT.done;
	},
};
