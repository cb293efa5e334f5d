import process from 'node:process';
import {defineConfig} from 'vitest/config';

/** Tests that are listed in KNOWN-RED.txt. They run only on request. */
const KNOWN_RED_TESTS = 'tests/known-red/**';
/** Tests of `vitest.apart.config.ts`. */
const APART_TESTS = 'tests/apart/**';

export default defineConfig({
	test: {
		include: ['tests/**/*.test.ts'],
		exclude: process.env.FIREFLYPORT_KNOWN_RED ? [APART_TESTS] : [APART_TESTS, KNOWN_RED_TESTS],
		setupFiles: ['tests/setup.ts'],
		testTimeout: 30_000,
		hookTimeout: 30_000,
		// Tests that start processes measure latencies; a bounded number of workers keeps the verdict stable.
		maxWorkers: 4,
	},
});
