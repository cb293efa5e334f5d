/**
 * Builds the daemon program of the platform: one bundle, a launcher, and V8's code cache for the bundle.
 *
 * Usage: node deploy/program/build.mjs FOLDER
 */
import {execFileSync} from 'node:child_process';
import {
	copyFileSync, existsSync, mkdirSync, rmSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const INVALID_SETTINGS_EXIT_CODE = 2;
/** V8 accepts a code cache only under the flags with which it was written, so these equal those in deploy/system.toml. */
const NODE_FLAGS = ['--max-old-space-size=160', '--always-sparkplug', '--single-threaded'];

const here = import.meta.dirname;
const folder = path.resolve(process.argv[2] ?? 'target');
const launcher = path.join(folder, 'fireflyportd.cjs');
const cache = path.join(folder, 'fireflyportd-bundle.cache');

mkdirSync(folder, {recursive: true});
await build({
	absWorkingDir: path.resolve(here, '../..'),
	entryPoints: ['platform/main.ts'],
	outfile: path.join(folder, 'fireflyportd-bundle.cjs'),
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	// Names are kept for stack traces.
	minifyWhitespace: true,
	minifySyntax: true,
	charset: 'ascii',
	plugins: [{
		name: 'only-used-parts-of-undici',
		setup({onResolve, onLoad}) {
			onResolve({filter: /^undici$/}, () => ({path: path.join(here, 'undici-client.cjs')}));
			// The daemon speaks HTTP/1.1 only; undici accepts a missing module.
			onResolve({filter: /^node:http2$/}, () => ({path: 'http2', namespace: 'empty'}));
			onLoad({filter: /.*/, namespace: 'empty'}, () => ({contents: 'module.exports = {constants: {}};'}));
		},
	}],
	logLevel: 'warning',
});
copyFileSync(path.join(here, 'launcher.cjs'), launcher);
// V8 compares only the length of the source, so it could accept the cache of an earlier bundle.
rmSync(cache, {force: true});
writeCodeCache();

/** Runs the program without settings: it loads all modules and exits, and the launcher writes what V8 has compiled. */
function writeCodeCache() {
	try {
		execFileSync(process.execPath, [...NODE_FLAGS, launcher, '--write-code-cache'], {env: {}, stdio: 'pipe'});
	} catch (err) {
		if (err.status !== INVALID_SETTINGS_EXIT_CODE) {
			throw err;
		}
	}

	if (!existsSync(cache)) {
		throw new Error('the launcher has written no code cache');
	}
}
