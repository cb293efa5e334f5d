/** Prints a declared configuration. */
import {realpathSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {Configuration} from '../configuration/schema.js';

/** Writes the configuration to standard output as JSON, to be piped into `fireflyport config apply -`. */
export function print(configuration: Configuration): void {
	process.stdout.write(`${JSON.stringify(configuration, undefined, 2)}\n`);
}

/** Prints the configuration if the module with `moduleUrl` (its `import.meta.url`) is the main module, not an import. */
export function printWhenRun(moduleUrl: string, configuration: Configuration): void {
	const program = process.argv[1];
	if (program !== undefined && realpathSync(program) === fileURLToPath(moduleUrl)) {
		print(configuration);
	}
}
