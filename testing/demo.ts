/**
 * `npm run demo`: starts an example deployment on loopback, sends prompts of three lengths and one booking through
 * daemons in different failure domains, prints the results that callers get, and stops all processes.
 */
import process from 'node:process';
import {cac} from 'cac';
import {z} from 'zod';
import {configuration as frialia, exampleKeys as frialiaKeys} from '../examples/frialia.js';
import {configuration as sacaria, exampleKeys as sacariaKeys} from '../examples/sacaria.js';
import type {Configuration, ModelService, PlainService} from '../src/configuration/schema.js';
import {BYTES_PER_TOKEN, lengthClassOf} from '../src/util/length-class.js';
import {Deployment, sendJsonRequest, type Daemon} from './deployment.js';
import {expectedText} from './expected-token.js';
import {CompletionClient} from './load/completion-client.js';
import {buildPrompt} from './load/load-run.js';
import {delay} from './stand-ins/stand-in-server.js';
import {uuidV7} from './uuid-v7.js';

const BACKENDS_PER_DOMAIN = 2;
const DAEMONS_PER_DOMAIN = 2;
/** Factor by which engines are faster than the configuration states, so that a very long prompt takes only seconds. */
const ENGINE_SPEED = 10;
const ANSWER_TOKENS = 20;
const SHORT_TOKENS = 1200;
const LONG_TOKENS = 60_000;
/** Size of the very long prompt relative to one engine's memory. */
const VERY_LONG_MEMORY_RATIO = 1.25;
const MEMORY_RELEASE_TIMEOUT_MS = 5000;
const POLL_MS = 50;
const TIME_LIMIT_MS = 55_000;

const examples = {
	sacaria: {configuration: sacaria, keys: sacariaKeys as Readonly<Record<string, string>>},
	frialia: {configuration: frialia, keys: frialiaKeys as Readonly<Record<string, string>>},
};

const optionsSchema = z.object({
	example: z.enum(['sacaria', 'frialia', 'both']).default('both'),
	keep: z.boolean().default(false),
	seed: z.number().int().default(1),
});

type Options = z.infer<typeof optionsSchema>;

/** Running deployment of an example, with the services and the API key that the demo uses. */
type DemoContext = {
	readonly configuration: Configuration;
	readonly model: ModelService;
	readonly plain: PlainService;
	readonly apiKey: string;
	readonly deployment: Deployment;
};

/** Thrown when a step of the demo fails or its result is wrong. */
class DemoError extends Error {
	override readonly name = 'DemoError';
}

function serviceOf<K extends 'model' | 'plain'>(configuration: Configuration, kind: K): Extract<Configuration['services'][number], {kind: K}> {
	const found = configuration.services.find(service => service.kind === kind);
	if (!found) {
		throw new DemoError(`configuration ${configuration.deployment} has no ${kind} service`);
	}

	return found as Extract<Configuration['services'][number], {kind: K}>;
}

/** Returns the API key of the first workspace that may use all `services`. */
function apiKeyFor(configuration: Configuration, keys: Readonly<Record<string, string>>, services: readonly string[]): string {
	const workspace = configuration.workspaces.find(candidate => services.every(service => candidate.services.includes(service)));
	return keys[workspace?.name ?? ''] ?? '';
}

async function startDeployment({configuration, keys}: (typeof examples)['sacaria'], seed: number): Promise<DemoContext> {
	const model = serviceOf(configuration, 'model');
	const plain = serviceOf(configuration, 'plain');
	const deployment = await Deployment.create({
		configuration,
		backendsPerDomain: {[model.name]: BACKENDS_PER_DOMAIN, [plain.name]: 1},
		daemonsPerDomain: DAEMONS_PER_DOMAIN,
		seed,
		speed: ENGINE_SPEED,
		startsWarm: true,
	});
	return {
		configuration, model, plain, apiKey: apiKeyFor(configuration, keys, [model.name, plain.name]), deployment,
	};
}

/** Returns the first daemon of the failure domain at `index`, modulo the number of failure domains. */
function daemonIn({deployment, configuration}: DemoContext, index: number): Daemon {
	const {failureDomains} = configuration;
	const {name} = failureDomains[index % failureDomains.length]!;
	return deployment.daemons.find(daemon => daemon.failureDomain === name)!;
}

/** Sends one prompt and checks that the answer is complete and belongs to it. */
async function checkPrompt(context: DemoContext, daemon: Daemon, tokens: number): Promise<void> {
	const client = CompletionClient.create();
	const text = buildPrompt('demo', tokens, tokens);
	const record = await client.send({
		target: daemon.process.url,
		apiKey: context.apiKey,
		model: context.model.models[0]!.name,
		prompt: text,
		promptTokens: tokens,
		lengthClass: lengthClassOf(tokens),
		maxTokens: ANSWER_TOKENS,
	});
	await client.close();
	const label = `${lengthClassOf(tokens)} prompt of ${tokens} tokens through ${daemon.id} (${daemon.process.address})`;
	if (record.outcome.kind !== 'finished') {
		throw new DemoError(`${label}: ${JSON.stringify(record.outcome)}, request ${record.requestId}`);
	}

	if (record.tokens.join('') !== expectedText(text, ANSWER_TOKENS)) {
		throw new DemoError(`${label}: the answer is incomplete or belongs to another prompt: ${record.tokens.join('')}`);
	}

	console.log(`${label}: first token ${record.tokens[0]!.trim()} after ${Math.round(record.firstTokenMs!)} ms, ${record.tokens.length} tokens in ${Math.round(record.totalMs)} ms`);
}

/** Sends one booking through two failure domains with the same idempotency key and checks that it ran once. */
async function checkBooking(context: DemoContext): Promise<void> {
	const route = context.plain.routes.find(({idempotent}) => !idempotent)!;
	const headers = {authorization: `Bearer ${context.apiKey}`, 'idempotency-key': uuidV7(Date.now())};
	const path = `/services/${context.plain.name}${route.pathPrefix}`;
	for (const index of [0, 1]) {
		const daemon = daemonIn(context, index);
		const {status, body} = await sendJsonRequest('POST', `${daemon.process.url}${path}`, {item: 'demo', quantity: 1}, headers);
		console.log(`booking ${index === 0 ? 'sent' : 'repeated'} through ${daemon.id}: status ${status}, ${JSON.stringify(body)}`);
		if (status !== 200) {
			throw new DemoError(`booking through ${daemon.id}: status ${status}, expected 200`);
		}
	}

	const executions = await countExecutions(context, `${route.method} ${route.pathPrefix}`);
	console.log(`booking executed ${executions} time(s)`);
	if (executions !== 1) {
		throw new DemoError(`the booking was executed ${executions} times, expected 1`);
	}
}

const serviceCountsSchema = z.object({paths: z.record(z.string(), z.number())});

async function countExecutions({deployment}: DemoContext, path: string): Promise<number> {
	const services = deployment.backends.filter(({kind}) => kind === 'plain');
	const counts = await Promise.all(services.map(async ({process: service}) => serviceCountsSchema.parse(await deployment.readCounts(service))));
	return counts.reduce((sum, {paths}) => sum + (paths[path] ?? 0), 0);
}

const engineCountsSchema = z.object({kvTokensHeld: z.number(), overloadCrashes: z.number()});

/** Checks that engines freed the memory of all requests, and that none crashed from overload. */
async function checkEngines({deployment}: DemoContext): Promise<void> {
	const engines = deployment.backends.filter(({kind}) => kind === 'model');
	const deadline = performance.now() + MEMORY_RELEASE_TIMEOUT_MS;
	for (;;) {
		const counts = await Promise.all(engines.map(async ({process: engine}) => engineCountsSchema.parse(await deployment.readCounts(engine))));
		const held = counts.reduce((sum, {kvTokensHeld}) => sum + kvTokensHeld, 0);
		const crashes = counts.reduce((sum, {overloadCrashes}) => sum + overloadCrashes, 0);
		if (crashes > 0) {
			throw new DemoError(`${crashes} engine crash(es) from overload, expected none`);
		}

		if (held === 0) {
			console.log('engines have freed the memory of all requests');
			return;
		}

		if (performance.now() > deadline) {
			throw new DemoError(`engines still hold KV memory of ${held} tokens ${MEMORY_RELEASE_TIMEOUT_MS} ms after the last response`);
		}

		await delay(POLL_MS);
	}
}

async function runSteps(context: DemoContext): Promise<void> {
	const veryLong = Math.ceil(context.model.kvTokens * VERY_LONG_MEMORY_RATIO);
	console.log(`one engine of ${context.model.name} has KV memory for ${context.model.kvTokens} tokens; engines run ${ENGINE_SPEED} times as fast as configured`);
	for (const [index, tokens] of [SHORT_TOKENS, LONG_TOKENS, veryLong].entries()) {
		await checkPrompt(context, daemonIn(context, index), tokens);
	}

	await checkBooking(context);
	await checkEngines(context);
}

function printUsage({deployment, model, apiKey}: DemoContext): void {
	for (const {id, process: daemon} of deployment.daemons) {
		console.log(`daemon ${id} at ${daemon.url}`);
	}

	const body = JSON.stringify({
		model: model.models[0]!.name, prompt: 'Summarise the last order', max_tokens: 8, stream: true,
	});
	console.log(`object API at ${deployment.objectApi.url}, for the command-line tool: --object-api ${deployment.objectApi.url}`);
	console.log('Example request (press Ctrl+C to stop the deployment):');
	console.log(`curl -sN ${deployment.daemons[0]!.process.url}/v1/completions -H 'authorization: Bearer ${apiKey}' -H 'content-type: application/json' -d '${body}'`);
}

async function waitForInterrupt(): Promise<void> {
	// A pending promise alone does not keep the process alive.
	const keepAliveTimer = setInterval(() => undefined, 60_000);
	await new Promise<void>(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
	clearInterval(keepAliveTimer);
}

async function run(name: keyof typeof examples, {keep, seed}: Options): Promise<void> {
	const startedAt = performance.now();
	const context = await startDeployment(examples[name], seed);
	const {deployment} = context;
	try {
		console.log(`${name}: ${deployment.daemons.length} daemons and ${deployment.backends.length} backend servers ready after ${Math.round(performance.now() - startedAt)} ms`);
		await runSteps(context);
		if (keep) {
			printUsage(context);
			await waitForInterrupt();
		}
	} finally {
		await deployment.close();
	}
}

async function main(): Promise<void> {
	const cli = cac('npm run demo --');
	cli.option('--example <name>', 'sacaria, frialia or both (default: both; with --keep sacaria)');
	cli.option('--keep', 'Keep the deployment running until Ctrl+C');
	cli.option('--seed <number>', 'Seed for the stand-ins (default: 1)');
	cli.help();
	const {options: flags} = cli.parse();
	if (flags.help) {
		return;
	}

	const options = optionsSchema.parse(flags);
	// Exiting also ends the processes that the demo started.
	const timeLimit = options.keep
		? undefined
		: setTimeout(() => {
			console.error(`demo failed: not finished within ${TIME_LIMIT_MS} ms`);
			process.exit(1);
		}, TIME_LIMIT_MS);
	const allExamples = options.keep ? ['sacaria'] as const : ['sacaria', 'frialia'] as const;
	for (const name of options.example === 'both' ? allExamples : [options.example]) {
		await run(name, options);
	}

	clearTimeout(timeLimit);
	console.log('demo finished');
}

try {
	await main();
} catch (err) {
	console.error(`demo failed: ${err instanceof Error ? err.message : String(err)}`);
	process.exit(1);
}
