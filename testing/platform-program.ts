/** Builds the program that runs on the platform, as `deploy/system.toml` does. */
import {execFileSync} from 'node:child_process';
import path from 'node:path';

const here = import.meta.dirname;
/** The repository, seen from this file in `testing/` or in `dist/testing/`. */
const root = path.basename(path.resolve(here, '..')) === 'dist' ? path.resolve(here, '../..') : path.resolve(here, '..');

/** Returns the path of the bundle in `folder`. */
export function buildPlatformProgram(folder: string): string {
	const file = path.join(folder, 'fireflyportd.mjs');
	execFileSync(path.join(root, 'node_modules/.bin/esbuild'), [
		'platform/main.ts',
		'--bundle',
		'--platform=node',
		'--target=node20',
		'--format=esm',
		'--log-level=error',
		'--banner:js=import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);',
		`--outfile=${file}`,
	], {cwd: root});
	return file;
}
