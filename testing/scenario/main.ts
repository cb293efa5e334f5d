/** `npm run scenario -- FILE... [--seed N]`: runs scenario files; exits with 1 when one fails, with 2 when one cannot be parsed. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {cac} from 'cac';
import {z} from 'zod';
import {parseScenario} from './parse-scenario.js';
import {runScenario, type ScenarioReport} from './run-scenario.js';
import {ScenarioError} from './scenario-error.js';

const optionsSchema = z.object({seed: z.coerce.number().int().nonnegative().default(1), logs: z.boolean().default(false)});

function printReport({expectations, violations, summary, passed, logs}: ScenarioReport, withLogs: boolean): void {
	for (const {text, line, ok, detail} of expectations) {
		console.log(`${ok ? 'met' : 'NOT MET'}: line ${line}: ${text} (${detail})`);
	}

	for (const {invariant, message} of violations) {
		console.log(`VIOLATED: ${invariant}: ${message}`);
	}

	console.log(summary);
	console.log(passed ? 'passed' : 'FAILED');
	for (const [id, lines] of withLogs ? Object.entries(logs) : []) {
		console.log([`log of ${id}`, ...lines].join('\n'));
	}
}

async function runFile(file: string, {seed, logs}: z.infer<typeof optionsSchema>): Promise<boolean> {
	console.log(`scenario ${file}, seed ${seed}`);
	const report = await runScenario(parseScenario(readFileSync(file, 'utf8')), {
		seed,
		logLevel: logs ? 'debug' : 'info',
		log(line) {
			console.log(line);
		},
	});
	printReport(report, logs);
	return report.passed;
}

const cli = cac('npm run scenario --');
cli.usage('FILE... [--seed N] [--logs]');
cli.option('--seed <number>', 'Seed for the load and the stand-ins (default: 1)');
cli.option('--logs', 'Print the daemon logs at the end, including debug lines');
cli.help();
const {args, options} = cli.parse();
if (options.help) {
	process.exit(0);
}

let failures = 0;
for (const file of args) {
	try {
		failures += await runFile(file, optionsSchema.parse(options)) ? 0 : 1;
	} catch (err) {
		if (!(err instanceof ScenarioError)) {
			throw err;
		}

		console.error(`${file}: ${err.message}`);
		process.exit(2);
	}
}

process.exit(failures > 0 ? 1 : 0);
