/** Logger that writes each event as one line of `key=value` pairs (logfmt). */
import process from 'node:process';
import {createConsola, type ConsolaReporter, LogLevels} from 'consola';

export const logLevels = ['error', 'warn', 'info', 'debug'] as const;

export type LogLevel = (typeof logLevels)[number];

/** Fields of one log line. Undefined values are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one line per event. */
export type Logger = {
	error(event: string, fields?: LogFields): void;
	warn(event: string, fields?: LogFields): void;
	info(event: string, fields?: LogFields): void;
	debug(event: string, fields?: LogFields): void;
};

/** Receives log lines without their line terminator. */
export type LineSink = (line: string) => void;

/** Longest value in characters that is written. A stack is shorter; values from outside may be of any length. */
const MAX_VALUE_LENGTH = 4000;

/**
 * Formats fields as `key=value`. Empty values and values with whitespace, quotes, backslashes, equals signs or control
 * characters are quoted.
 */
export function formatLogfmt(fields: LogFields): string {
	const pairs: string[] = [];
	for (const [key, value] of Object.entries(fields)) {
		if (value !== undefined) {
			const text = truncate(String(value));
			pairs.push(`${key}=${/^[^\s"=\\\p{Cc}]+$/v.test(text) ? text : JSON.stringify(text)}`);
		}
	}

	return pairs.join(' ');
}

const truncate = (text: string): string => text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}…` : text;

const writeToStdout: LineSink = line => {
	process.stdout.write(`${line}\n`);
};

/** Creates a logger that writes events of `level` and more severe ones. `common` fields are added to each line. */
export function createLogger(level: LogLevel, common: LogFields = {}, sink: LineSink = writeToStdout): Logger {
	const reporter: ConsolaReporter = {
		log({type, date, args}) {
			const [event, fields] = args as [string, LogFields];
			sink(formatLogfmt({
				time: date.toISOString(), level: type, event, ...common, ...fields,
			}));
		},
	};
	// Consola's throttling would drop repeated events.
	const consola = createConsola({level: LogLevels[level], reporters: [reporter], throttle: 0});
	const write = (type: LogLevel) => (event: string, fields: LogFields = {}): void => {
		consola[type](event, fields);
	};

	return {
		error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug'),
	};
}
