import {defineConfig} from 'vitest/config';

/** Tests that run one at a time, apart from the others: they measure the memory of a process under load. */
export default defineConfig({
	test: {
		include: ['tests/apart/**/*.test.ts'],
		setupFiles: ['tests/setup.ts'],
		hookTimeout: 30_000,
		maxWorkers: 1,
		fileParallelism: false,
	},
});
