/** `npm run soak -- [--seed N] [--for DURATION] [--runs N]`: exits with 1 when an invariant is violated, and keeps the logs of that run. */
import {mkdirSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {randomInt} from 'node:crypto';
import {cac} from 'cac';
import {z} from 'zod';
import {buildPlatformProgram} from '../platform-program.js';
import {durationSchema} from './duration.js';
import {runSoak} from './run-soak.js';

const MS_PER_SECOND = 1000;

const optionsSchema = z.object({
	seed: z.coerce.number().int().nonnegative().default(() => randomInt(1_000_000)),
	for: durationSchema.default(30),
	runs: z.coerce.number().int().positive().default(1),
	daemons: z.coerce.number().int().min(2).max(100).default(6),
	folder: z.string().default('soak-runs'),
	verbose: z.boolean().default(false),
});

const cli = cac('npm run soak --');
cli.usage('[--seed N] [--for DURATION] [--runs N] [--daemons N] [--folder PATH] [--verbose]');
cli.option('--seed <number>', 'Seed of faults and load; further runs use the next numbers (default: random)');
cli.option('--for <duration>', 'Duration of the fault phase of each run, such as 45s or 2m (default: 30 seconds)');
cli.option('--runs <number>', 'Number of consecutive runs (default: 1)');
cli.option('--daemons <number>', 'Number of daemon processes (default: 6)');
cli.option('--folder <path>', 'Folder for the logs of failed runs (default: soak-runs)');
cli.option('--verbose', 'Print each fault as it starts');
cli.help();
const {options} = cli.parse();
if (options.help) {
	process.exit(0);
}

const parsed = optionsSchema.safeParse(options);
if (!parsed.success) {
	console.error(z.prettifyError(parsed.error));
	process.exit(2);
}

const {
	seed: firstSeed, for: seconds, runs, daemons, folder, verbose,
} = parsed.data;
let failures = 0;
for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
	console.log(`soak with seed ${seed}, ${seconds} s, ${daemons} daemons`);
	const runFolder = path.resolve(folder, `seed-${seed}`);
	rmSync(runFolder, {recursive: true, force: true});
	mkdirSync(runFolder, {recursive: true});
	const report = await runSoak({
		seed,
		durationMs: seconds * MS_PER_SECOND,
		daemons,
		program: buildPlatformProgram(runFolder),
		folder: runFolder,
		log(line) {
			if (verbose) {
				console.log(line);
			}
		},
	});
	console.log(report.summary);
	for (const {invariant, message} of report.violations) {
		console.log(`BROKEN: ${invariant}: ${message}`);
	}

	if (report.violations.length > 0) {
		failures++;
		writeFileSync(path.join(runFolder, 'events.txt'), [...report.faultLog, ...report.violations.map(({invariant, message}) => `BROKEN: ${invariant}: ${message}`), ''].join('\n'));
		console.log(`logs and events: ${path.relative(process.cwd(), runFolder)}; run again with --seed ${seed} --for ${seconds} --daemons ${daemons}`);
	} else {
		rmSync(runFolder, {recursive: true});
	}
}

console.log(failures === 0 ? 'passed' : `FAILED: ${failures} of ${runs} runs`);
process.exit(failures === 0 ? 0 : 1);
