/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['dist/**', 'coverage/**', 'target/**', 'journal/**']},
	{
		rules: {
			// The house style asks for the customary short names (req, res, cfg, err).
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// One task per connection and peer, written straight down, awaits in its loop.
			'no-await-in-loop': 'off',
			// Constants are named in upper case with their unit (LEASE_TTL_MS), protocol fields as the protocol has them.
			'@typescript-eslint/naming-convention': 'off',
			// Refusals are values of tagged unions; an absent value is undefined in code and null only in JSON.
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['platform/main.ts'],
		rules: {
			// The daemon is bundled as CommonJS, for which V8 accepts a code cache.
			'unicorn/prefer-top-level-await': 'off',
		},
	},
	{
		files: ['src/**/main.ts', 'platform/main.ts', 'testing/**/*.ts'],
		rules: {
			'unicorn/no-process-exit': 'off',
			'n/no-process-exit': 'off',
		},
	},
];

export default config;
