#!/usr/bin/env node
/** Entry point of the command-line program `fireflyport`. */
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {HttpObjectApi} from '../object-api/http-object-api.js';
import type {Io} from './command.js';
import {runProgram} from './program.js';

const io: Io = {
	stdout(line) {
		process.stdout.write(`${line}\n`);
	},
	stderr(line) {
		process.stderr.write(`${line}\n`);
	},
	isTerminal: process.stderr.isTTY,
	environment: process.env,
	readInput: async file => file === '-' ? text(process.stdin) : readFile(file, 'utf8'),
	writeOutput: async (file, content) => writeFile(file, content),
	openObjectApi: url => HttpObjectApi.create({baseUrl: url, caller: 'fireflyport'}),
};

const interrupted = new AbortController();
process.once('SIGINT', () => {
	interrupted.abort();
});
process.exitCode = await runProgram(process.argv.slice(2), io, interrupted.signal);
