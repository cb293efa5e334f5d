/** Log lines in logfmt: one line of key=value pairs for each event. */
import process from 'node:process';
import {createConsola, type ConsolaReporter, LogLevels} from 'consola';

export const logLevels = ['error', 'warn', 'info', 'debug'] as const;

export type LogLevel = (typeof logLevels)[number];

/** Values of one log line. Absent values are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one line for each event. */
export type Logger = {
	error(event: string, fields?: LogFields): void;
	warn(event: string, fields?: LogFields): void;
	info(event: string, fields?: LogFields): void;
	debug(event: string, fields?: LogFields): void;
};

/** Where lines are written, without their line end. */
export type LineSink = (line: string) => void;

/** Formats pairs as `key=value`; a value with a space, quote, equals sign or control character is quoted. */
export function formatLogfmt(fields: LogFields): string {
	const pairs: string[] = [];
	for (const [key, value] of Object.entries(fields)) {
		if (value !== undefined) {
			const text = String(value);
			pairs.push(`${key}=${/^[^\s"=\\\p{Cc}]+$/v.test(text) ? text : JSON.stringify(text)}`);
		}
	}

	return pairs.join(' ');
}

const standardOutput: LineSink = line => {
	process.stdout.write(`${line}\n`);
};

/** Creates a logger that writes lines of `level` and more severe ones. `common` pairs are part of each line. */
export function createLogger(level: LogLevel, common: LogFields = {}, sink: LineSink = standardOutput): Logger {
	const reporter: ConsolaReporter = {
		log({type, date, args}) {
			const [event, fields] = args as [string, LogFields];
			sink(formatLogfmt({
				time: date.toISOString(), level: type, event, ...common, ...fields,
			}));
		},
	};
	// Throttling would drop repeated events.
	const consola = createConsola({level: LogLevels[level], reporters: [reporter], throttle: 0});
	const write = (type: LogLevel) => (event: string, fields: LogFields = {}): void => {
		consola[type](event, fields);
	};

	return {
		error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug'),
	};
}
