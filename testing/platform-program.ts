/** Builds the daemon program for the platform, with the same build as `deploy/system.toml`. */
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const here = import.meta.dirname;
/** Root of the repository; this file runs from `testing/` or `dist/testing/`. */
const root = path.basename(path.resolve(here, '..')) === 'dist' ? path.resolve(here, '../..') : path.resolve(here, '..');

/** Builds the program in `folder` and returns the path of its launcher. */
export function buildPlatformProgram(folder: string): string {
	execFileSync(process.execPath, [path.join(root, 'deploy/program/build.mjs'), folder], {cwd: root});
	return path.join(folder, 'fireflyportd.cjs');
}

/** Flags with which `deploy/system.toml` starts the program. */
export function platformNodeFlags(): readonly string[] {
	const flags = /^run = "node (?<flags>.*) target\//mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))?.groups?.flags;
	if (flags === undefined) {
		throw new Error('deploy/system.toml does not start node with a program in target/');
	}

	return flags.split(' ');
}
