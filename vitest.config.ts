import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['tests/**/*.test.ts'],
		setupFiles: ['tests/setup.ts'],
		testTimeout: 30_000,
		hookTimeout: 30_000,
		// Tests that start processes measure latencies; a bounded number of workers keeps the verdict stable.
		maxWorkers: 4,
	},
});
