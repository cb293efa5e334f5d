/**
 * Reads the settings of the daemon from command-line flags and from environment variables with corresponding names
 * (`FIREFLYPORT_PEER_LISTEN` for `--peer-listen`). A flag takes precedence over its variable.
 */
import {randomBytes} from 'node:crypto';
import {isIP} from 'node:net';
import {cac} from 'cac';
import {z} from 'zod';
import {logLevels} from '../util/logger.js';

/** An IP address and a port. With port 0, the operating system chooses a free port. */
export type Endpoint = {
	readonly host: string;
	readonly port: number;
};

/** Thrown for an invalid setting. The message names the flag or variable, its value and the accepted values. */
export class SettingsError extends Error {
	override readonly name = 'SettingsError';
}

const DEFAULT_DRAIN_LAG_MS = 5000;
const DEFAULT_DRAIN_TIMEOUT_MS = 600_000;
const DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const MAX_DURATION_MS = 86_400_000;

/** Parses `IP:PORT`, with IPv6 addresses in brackets. Returns undefined for any other text. */
export function parseEndpoint(text: string): Endpoint | undefined {
	const match = /^(?:\[(?<v6>[\da-f:]+)\]|(?<v4>[\d.]+)):(?<port>\d{1,5})$/v.exec(text);
	const host = match?.groups?.v6 ?? match?.groups?.v4 ?? '';
	const port = Number(match?.groups?.port);
	const valid = isIP(host) !== 0 && port <= 65_535;
	return valid ? {host, port} : undefined;
}

/** Formats an endpoint as `IP:PORT`. */
export const formatEndpoint = ({host, port}: Endpoint): string => host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;

const endpoint = z.string().transform((text, context) => {
	const parsed = parseEndpoint(text);
	if (!parsed) {
		context.addIssue({code: 'custom', message: 'not IP:PORT'});
		return z.NEVER;
	}

	return parsed;
});

const url = z.string().refine(text => {
	const match = /^http:\/\/(?<authority>[^\/]+)\/?$/v.exec(text);
	return Boolean(match && parseEndpoint(match.groups!.authority!));
}).transform(text => text.replace(/\/$/v, ''));

const integer = (minimum: number, maximum: number) => z.string().regex(/^\d+$/v).transform(Number).pipe(z.number().min(minimum).max(maximum));
const name = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v);

const fields = {
	id: name.default(() => `daemon-${randomBytes(4).toString('hex')}`),
	listen: endpoint,
	peerListen: endpoint,
	region: name,
	failureDomain: name,
	objectApi: url,
	hostList: url,
	statsd: endpoint.optional(),
	logLevel: z.enum(logLevels).default('info'),
	drainLagMs: integer(0, MAX_DURATION_MS).default(DEFAULT_DRAIN_LAG_MS),
	drainTimeoutMs: integer(0, MAX_DURATION_MS).default(DEFAULT_DRAIN_TIMEOUT_MS),
	maxBodyBytes: integer(1024, MAX_BODY_BYTES).default(DEFAULT_MAX_BODY_BYTES),
};

const settingsSchema = z.strictObject(fields).readonly();

/** Validated settings of the daemon. */
export type Settings = z.infer<typeof settingsSchema>;

type Field = keyof typeof fields;

type Flag = {
	readonly flag: string;
	readonly placeholder: string;
	readonly description: string;
	/** Description of the accepted values, for error messages. */
	readonly accepted: string;
};

const acceptedName = 'lower-case letters, digits and hyphens, starting with a letter, at most 63 characters';
const acceptedEndpoint = 'IP:PORT with an IP number, for example 127.0.0.1:8080';
const acceptedUrl = 'http://IP:PORT with an IP number, for example http://127.0.0.1:9000';
const acceptedDuration = `a whole number of milliseconds from 0 to ${MAX_DURATION_MS}`;

const flags: Readonly<Record<Field, Flag>> = {
	id: {
		flag: 'id', placeholder: 'ID', description: 'Unique id of this daemon (default: random)', accepted: acceptedName,
	},
	listen: {
		flag: 'listen', placeholder: 'IP:PORT', description: 'Address for clients', accepted: acceptedEndpoint,
	},
	peerListen: {
		flag: 'peer-listen', placeholder: 'IP:PORT', description: 'Address for other daemons', accepted: acceptedEndpoint,
	},
	region: {
		flag: 'region', placeholder: 'NAME', description: 'Region of this host', accepted: acceptedName,
	},
	failureDomain: {
		flag: 'failure-domain', placeholder: 'NAME', description: 'Failure domain of this host', accepted: acceptedName,
	},
	objectApi: {
		flag: 'object-api', placeholder: 'URL', description: 'Object API of the platform', accepted: acceptedUrl,
	},
	hostList: {
		flag: 'host-list', placeholder: 'URL', description: 'Host list of the platform', accepted: acceptedUrl,
	},
	statsd: {
		flag: 'statsd', placeholder: 'IP:PORT', description: 'StatsD server for metrics (default: none)', accepted: acceptedEndpoint,
	},
	logLevel: {
		flag: 'log-level', placeholder: 'LEVEL', description: 'Minimum level of log lines (default: info)', accepted: `one of ${logLevels.join(', ')}`,
	},
	drainLagMs: {
		flag: 'drain-lag-ms',
		placeholder: 'MS',
		description: `Time between the failure of /readyz and the refusal of new requests at shutdown, in ms (default: ${DEFAULT_DRAIN_LAG_MS})`,
		accepted: acceptedDuration,
	},
	drainTimeoutMs: {
		flag: 'drain-timeout-ms', placeholder: 'MS', description: `Maximum wait for open requests at shutdown, in ms (default: ${DEFAULT_DRAIN_TIMEOUT_MS})`, accepted: acceptedDuration,
	},
	maxBodyBytes: {
		flag: 'max-body-bytes',
		placeholder: 'BYTES',
		description: `Maximum size of a request body in bytes (default: ${DEFAULT_MAX_BODY_BYTES})`,
		accepted: `a whole number of bytes from 1024 to ${MAX_BODY_BYTES}`,
	},
};

const fieldNames = Object.keys(flags) as readonly Field[];

/** Returns the name of the environment variable that corresponds to a flag. */
const variableOf = (flag: string): string => `FIREFLYPORT_${flag.replaceAll('-', '_').toUpperCase()}`;

/** One setting as listed in the operator documentation. `standard` is the default value, or undefined for a required setting. */
export type SettingRow = {readonly flag: string; readonly variable: string; readonly standard: string | undefined};

/** Lists all settings in the order of the help text. */
export function listSettings(): readonly SettingRow[] {
	return fieldNames.map(field => {
		const {flag} = flags[field];
		const absent = fields[field].safeParse(undefined);
		const standard = absent.success ? String((absent.data as string | number | undefined) ?? 'none') : undefined;
		return {flag: `--${flag}`, variable: variableOf(flag), standard: field === 'id' ? 'random' : standard};
	});
}

/** Parses the flags. Throws a {@link SettingsError} for a flag that is unknown, repeated or without a value. */
function readFlags(argv: readonly string[]): Partial<Record<Field, string>> | 'help' {
	const cli = cac('fireflyportd');
	const command = cli.command('', 'Serve clients and coordinate pools').allowUnknownOptions().action(() => undefined);
	for (const field of fieldNames) {
		const {flag, placeholder, description} = flags[field];
		command.option(`--${flag} <${placeholder}>`, `${description} [${variableOf(flag)}]`, {type: [String]});
	}

	cli.help();
	const {options, args} = cli.parse(['node', 'fireflyportd', ...argv], {run: false});
	if (options.help) {
		return 'help';
	}

	if (args.length > 0) {
		throw new SettingsError(`argument ${JSON.stringify(args[0])} is not accepted: the daemon takes flags only; see --help`);
	}

	const values: Partial<Record<Field, string>> = {};
	for (const [key, value] of Object.entries(options)) {
		if (key === '--' || value === undefined) {
			continue;
		}

		if (!fieldNames.includes(key as Field)) {
			throw new SettingsError(`unknown flag --${key.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`)}; see --help`);
		}

		values[key as Field] = singleValue(key as Field, value as readonly string[]);
	}

	return values;
}

/** Returns the value of a flag. Throws a {@link SettingsError} when it is repeated or has no value. */
function singleValue(field: Field, values: readonly string[]): string {
	const {flag, accepted} = flags[field];
	if (values.length !== 1) {
		throw new SettingsError(`--${flag} is given ${values.length} times; give it once`);
	}

	// For a flag without a value, the parser returns the string 'true'.
	if (values[0] === 'true' || values[0] === '') {
		throw new SettingsError(`--${flag} has no value; accepted is ${accepted}`);
	}

	return values[0]!;
}

/**
 * Reads and validates the settings. Returns `help` when `--help` was given; the help text has then been printed.
 * Throws a {@link SettingsError} for the first invalid setting.
 */
export function readSettings(argv: readonly string[], environment: NodeJS.ProcessEnv): Settings | 'help' {
	const given = readFlags(argv);
	if (given === 'help') {
		return 'help';
	}

	const values: Partial<Record<Field, string>> = {};
	for (const field of fieldNames) {
		const value = given[field] ?? environment[variableOf(flags[field].flag)];
		if (value !== undefined) {
			values[field] = value;
		}
	}

	const checked = settingsSchema.safeParse(values);
	if (checked.success) {
		return checked.data;
	}

	const field = checked.error.issues[0]!.path[0] as Field;
	throw new SettingsError(describeInvalidSetting(field, values[field], given[field] !== undefined));
}

function describeInvalidSetting(field: Field, value: string | undefined, isFromFlag: boolean): string {
	const {flag, accepted} = flags[field];
	if (value === undefined) {
		return `--${flag} (or ${variableOf(flag)}) is missing; accepted is ${accepted}`;
	}

	return `${isFromFlag ? `--${flag}` : variableOf(flag)} ${JSON.stringify(value)} is not accepted; accepted is ${accepted}`;
}
