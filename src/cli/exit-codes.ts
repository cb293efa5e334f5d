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

/** Description of each exit code, shown by `--help`. */
export const EXIT_CODE_HELP = [
	'0  done',
	'1  the object API, a daemon or a file could not be reached or read; nothing was changed',
	'2  the command line is invalid',
	'3  refused: the configuration or the change is invalid; nothing was changed. The explained request would be refused',
	'4  conflict: another version was written in the meantime; nothing was changed',
	'5  the outcome is unknown; check it with `config show` or `config diff`',
	'6  partial: some daemons did not respond',
] as const;
