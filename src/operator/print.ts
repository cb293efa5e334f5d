/** Output of a declared configuration. */
import {realpathSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {Configuration} from '../configuration/schema.js';

/** Writes the configuration as JSON to standard output, for `fireflyport config apply -`. */
export function print(configuration: Configuration): void {
	process.stdout.write(`${JSON.stringify(configuration, undefined, 2)}\n`);
}

/** Prints the configuration when the module of `moduleUrl` (`import.meta.url`) is the program that was started. */
export function printWhenRun(moduleUrl: string, configuration: Configuration): void {
	const program = process.argv[1];
	if (program !== undefined && realpathSync(program) === fileURLToPath(moduleUrl)) {
		print(configuration);
	}
}
