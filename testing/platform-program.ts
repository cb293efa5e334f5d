/** Bundles the daemon program for the platform, with the same build as `deploy/system.toml`. */
import {execFileSync} from 'node:child_process';
import path from 'node:path';

const here = import.meta.dirname;
/** Root of the repository; this file runs from `testing/` or `dist/testing/`. */
const root = path.basename(path.resolve(here, '..')) === 'dist' ? path.resolve(here, '../..') : path.resolve(here, '..');

/** Builds the bundle in `folder` and returns its path. */
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
