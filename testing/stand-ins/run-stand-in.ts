/** Runs a stand-in as a process: flags from a settings schema, the `listening` line, shutdown on SIGTERM and SIGINT. */
import process from 'node:process';
import {cac} from 'cac';
import {z} from 'zod';

/** A stand-in that listens on `address` (IP:PORT). */
export type StandIn = {
	readonly address: string;
	close(): Promise<void>;
};

/** Schema of the port setting of a stand-in. */
export const portSetting = z.coerce.number().int().min(0).default(0).describe('port on 127.0.0.1, 0 for any free port');

const toFlag = (key: string): string => key.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);

/** Parses flags named after the keys of `schema` (`kvTokens` is `--kv-tokens`); throws a ZodError for invalid values. */
function parseFlags<S extends z.ZodObject>(name: string, schema: S): z.infer<S> {
	const cli = cac(name);
	for (const [key, field] of Object.entries(schema.shape)) {
		const isBoolean = z.safeParse(field as z.ZodType, true).success && !z.safeParse(field as z.ZodType, 'text').success
			&& !z.safeParse(field as z.ZodType, 7).success;
		cli.option(isBoolean ? `--${toFlag(key)}` : `--${toFlag(key)} <value>`, (field as z.ZodType).description ?? '');
	}

	cli.help();
	const {options} = cli.parse();
	if (options.help) {
		process.exit(0);
	}

	const {'--': _, ...flags} = options;
	return z.strictObject(schema.shape).parse(flags) as z.infer<S>;
}

/** Runs a stand-in until SIGTERM or SIGINT. */
export async function runStandIn<S extends z.ZodObject>(
	name: string,
	schema: S,
	create: (settings: z.infer<S>) => Promise<StandIn>,
): Promise<void> {
	const standIn = await create(parseFlags(name, schema));
	const stop = async (): Promise<void> => {
		await standIn.close();
		process.exit(0);
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
	console.log(`listening address=${standIn.address}`);
}
