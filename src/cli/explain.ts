/** `explain`: asks one gateway daemon where a request would go now, without sending it. */
import type {z} from 'zod';
import {
	describeQueryError, explainErrorSchema, explainQuerySchema, explanationSchema, EXPLAIN_PATH, type ExplainError, type Explanation,
} from '../gateway/explanation.js';
import {describeError, JsonClient, type JsonAnswer} from '../object-api/json-client.js';
import {CommandError, type Command, type CommandContext} from './command.js';
import {EXIT} from './exit-codes.js';
import {formatExplanation} from './explain-text.js';

const EXPLAIN_TIMEOUT_MS = 3000;

const QUERY_FIELDS = ['host', 'path', 'route', 'workspace', 'promptTokens', 'outputTokens', 'parts'] as const;

export const explain: Command = {
	usage: 'explain',
	description: 'Show where a request would go now, and why, without sending it',
	flags: [
		['--daemon <ip:port>', 'Metrics address of the gateway daemon to ask'],
		['--host <host>', 'Host of the request; needs --path'],
		['--path <path>', 'Path of the request'],
		['--route <name>', 'Route of the request, instead of --host and --path'],
		['--workspace <name>', 'Name of the workspace; never an API key'],
		['--prompt-tokens <number>', 'Tokens of the prompt'],
		['--output-tokens <number>', 'Largest number of output tokens'],
		['--parts <ids>', 'Ids of prompt parts, separated by commas; a comma at the end keeps a single id from being read as a number'],
	],
	async run(context) {
		const daemon = readDaemon(context.flags.daemon);
		const params = readQuery(context.flags);
		const explanation = await requestExplanation(context, daemon, params);
		context.output.result(explanation, formatExplanation(explanation));
		return explanation.decision.kind === 'refused' ? EXIT.refused : EXIT.done;
	},
};

function readDaemon(value: unknown): string {
	const daemon = typeof value === 'string' ? value : '';
	if (!/^[\d.]+:\d{1,5}$/v.test(daemon) || !URL.canParse(`http://${daemon}`)) {
		throw new CommandError(EXIT.usage, '--daemon is missing or not of the form IP:PORT; give the metrics address of a gateway daemon');
	}

	return daemon;
}

/** Checks the flags as the daemon does, and returns them as they are sent. */
function readQuery(flags: Readonly<Record<string, unknown>>): URLSearchParams {
	// The parser turns digits with an exponent, such as 5e10, into a number, and the id is lost.
	if (typeof flags.parts === 'number') {
		throw new CommandError(EXIT.usage, '--parts was read as a number; add a comma after the id');
	}

	const params = new URLSearchParams();
	for (const field of QUERY_FIELDS) {
		const value = flags[field];
		if (typeof value === 'string' || typeof value === 'number') {
			params.set(field, String(value));
		}
	}

	const checked = explainQuerySchema.safeParse(Object.fromEntries(params));
	if (!checked.success) {
		throw usageError(describeQueryError(checked.error));
	}

	return params;
}

const usageError = ({error: {field, message}}: ExplainError): CommandError =>
	new CommandError(EXIT.usage, `--${field.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`)}: ${message}; correct it and run the command again`);

async function requestExplanation({signal}: CommandContext, daemon: string, params: URLSearchParams): Promise<Explanation> {
	const client = JsonClient.create(`http://${daemon}`, 'fireflyport');
	try {
		const answer = await client.call({method: 'GET', path: `${EXPLAIN_PATH}?${params.toString()}`}, {timeoutMs: EXPLAIN_TIMEOUT_MS, signal});
		return readAnswer(answer, daemon);
	} catch (err) {
		if (err instanceof CommandError) {
			throw err;
		}

		const reason = err instanceof SyntaxError ? 'its answer is not JSON, so it may be of an earlier version' : describeError(err);
		throw new CommandError(EXIT.unavailable, `could not ask the daemon at ${daemon} for an explanation: ${reason}; check the address of its metrics port`, {cause: err});
	} finally {
		await client.close();
	}
}

function readAnswer({status, body}: JsonAnswer, daemon: string): Explanation {
	const refused: z.ZodSafeParseResult<ExplainError> = explainErrorSchema.safeParse(body);
	if (status === 400 && refused.success) {
		throw usageError(refused.data);
	}

	const explanation = explanationSchema.safeParse(body);
	if (status !== 200 || !explanation.success) {
		throw new CommandError(EXIT.unavailable, `the daemon at ${daemon} answered with status ${status} and no explanation; look for unexpected_error in its log`);
	}

	return explanation.data;
}
