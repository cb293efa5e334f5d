/** `npm run bench`: runs the benchmarks, prints a table for each, and exits with status 1 when a value exceeds its bound. */
import process from 'node:process';
import {cac} from 'cac';
import {z} from 'zod';
import {benchmarks} from './benchmarks.js';
import type {Benchmark} from './benchmark.js';
import {formatTable, isWithinBound, type ResultRow} from './row.js';

const DEFAULT_SEED = 20_261_204;

const optionsSchema = z.object({json: z.boolean().default(false), seed: z.number().int().default(DEFAULT_SEED)});

function selectBenchmarks(names: readonly string[]): readonly Benchmark[] {
	const unknownNames = names.filter(name => !benchmarks.some(benchmark => benchmark.name === name));
	if (unknownNames.length > 0) {
		console.error(`unknown benchmark ${unknownNames.join(', ')}; known: ${benchmarks.map(benchmark => benchmark.name).join(', ')}`);
		process.exit(2);
	}

	return names.length === 0 ? benchmarks : benchmarks.filter(benchmark => names.includes(benchmark.name));
}

async function runBenchmark(benchmark: Benchmark, options: z.infer<typeof optionsSchema>): Promise<readonly ResultRow[]> {
	const log = (text: string) => {
		console.error(`${benchmark.name}: ${text}`);
	};

	const rows = await benchmark.run({seed: options.seed, log});
	if (options.json) {
		for (const row of rows) {
			console.log(JSON.stringify({...row, seed: options.seed, pass: isWithinBound(row)}));
		}
	} else {
		console.log(`\n${benchmark.title} (${benchmark.name}, seed ${options.seed})\n${formatTable(rows)}`);
	}

	return rows;
}

async function main(): Promise<void> {
	const cli = cac('npm run bench --');
	cli.command('[...names]', 'Run all benchmarks, or only the named ones')
		.option('--json', 'Print one JSON object per row')
		.option('--seed <number>', 'Seed for arrivals and prompts')
		.action(async (names: string[], flags: unknown) => {
			const options = optionsSchema.parse(flags);
			let hasFailure = false;
			for (const benchmark of selectBenchmarks(names)) {
				const rows = await runBenchmark(benchmark, options);
				hasFailure ||= rows.some(row => !isWithinBound(row));
			}

			process.exitCode = hasFailure ? 1 : 0;
		});
	cli.help();
	cli.parse(process.argv, {run: false});
	await cli.runMatchedCommand();
}

await main();
