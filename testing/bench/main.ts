/** `npm run bench`: runs the measures, prints a table for each, and exits with 1 when a bound is broken. */
import process from 'node:process';
import {cac} from 'cac';
import {z} from 'zod';
import {measures} from './measures.js';
import type {Measure} from './measure.js';
import {formatTable, isWithinBound, type Row} from './row.js';

const DEFAULT_SEED = 20_261_204;

const optionsSchema = z.object({json: z.boolean().default(false), seed: z.number().int().default(DEFAULT_SEED)});

function select(names: readonly string[]): readonly Measure[] {
	const unknown = names.filter(name => !measures.some(measure => measure.name === name));
	if (unknown.length > 0) {
		console.error(`unknown measure ${unknown.join(', ')}; known: ${measures.map(measure => measure.name).join(', ')}`);
		process.exit(2);
	}

	return names.length === 0 ? measures : measures.filter(measure => names.includes(measure.name));
}

async function runMeasure(measure: Measure, options: z.infer<typeof optionsSchema>): Promise<readonly Row[]> {
	const log = (text: string) => {
		console.error(`${measure.name}: ${text}`);
	};

	const rows = await measure.run({seed: options.seed, log});
	if (options.json) {
		for (const row of rows) {
			console.log(JSON.stringify({...row, seed: options.seed, pass: isWithinBound(row)}));
		}
	} else {
		console.log(`\n${measure.title} (${measure.name}, seed ${options.seed})\n${formatTable(rows)}`);
	}

	return rows;
}

async function main(): Promise<void> {
	const cli = cac('npm run bench --');
	cli.command('[...names]', 'Run all measures, or the named ones')
		.option('--json', 'Print one JSON object for each row')
		.option('--seed <number>', 'Seed of arrivals and prompts')
		.action(async (names: string[], flags: unknown) => {
			const options = optionsSchema.parse(flags);
			let isBroken = false;
			for (const measure of select(names)) {
				const rows = await runMeasure(measure, options);
				isBroken ||= rows.some(row => !isWithinBound(row));
			}

			process.exitCode = isBroken ? 1 : 0;
		});
	cli.help();
	cli.parse(process.argv, {run: false});
	await cli.runMatchedCommand();
}

await main();
