/** Exit codes of `fireflyport`, the same for every command. */

export const EXIT = {
	done: 0,
	unavailable: 1,
	usage: 2,
	refused: 3,
	conflict: 4,
	unknown: 5,
	partial: 6,
} as const;

export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** Meaning of each exit code, shown by `--help`. */
export const EXIT_CODE_HELP = [
	'0  done',
	'1  the object API, a daemon or a file could not be reached or read; nothing was changed',
	'2  the command line is wrong',
	'3  refused: the configuration or the change breaks a rule; nothing was changed',
	'4  lost a race: another version was written in between; nothing was changed',
	'5  the outcome is unknown; look at it with `config show` or `config diff`',
	'6  partial: some daemons did not answer',
] as const;
