/** A deployment for benchmarks of model requests, and the routing policies that they compare. */
import {configuration as frialia, exampleKeys as frialiaKeys} from '../../examples/frialia.js';
import {configuration as sacaria, exampleKeys as sacariaKeys} from '../../examples/sacaria.js';
import type {Configuration, ModelService} from '../../src/configuration/schema.js';
import {BaselineRouter, type BaselinePolicy} from '../baselines/baseline-router.js';
import {Deployment} from '../deployment.js';
import {drawArrivals, shortMix, type Arrival} from '../load/arrivals.js';
import type {CompletionRecord} from '../load/completion-client.js';
import {runLoad} from '../load/load-run.js';

/** A routing policy to measure: the daemons, or a baseline router. */
export type Policy = 'fireflyport' | BaselinePolicy;

export type Example = 'sacaria' | 'frialia';

const examples = {
	sacaria: {configuration: sacaria, keys: sacariaKeys},
	frialia: {configuration: frialia, keys: frialiaKeys},
};

/** Tokens that an engine prefills in one step; the default of the engine stand-in. */
const PREFILL_CHUNK_TOKENS = 2048;

/** Mean prompt length of the mix in tokens: 0.98 × the log-uniform mean of 1 k to 100 k plus 0.02 × that of 100 k to 1 M. */
const MEAN_PROMPT_TOKENS = (0.98 * 99_000 / Math.log(100)) + (0.02 * 900_000 / Math.log(10));

/** Longer than the slow start of an engine, which doubles its limit each second. */
const WARM_UP_MS = 10_000;
const WARM_UP_REQUESTS_PER_SECOND = 10;

/** Raises the workspace limits so far that they do not refuse any request of the benchmark. */
function withoutLimits(configuration: Configuration): Configuration {
	const limits = {requestsPerSecond: 1e6, concurrentRequests: 1_000_000, promptTokensPerMinute: 1_000_000_000_000};
	return {...configuration, workspaces: configuration.workspaces.map(workspace => ({...workspace, limits}))};
}

export type ModelFixtureOptions = {
	readonly example: Example;
	readonly enginesPerDomain: number;
	readonly daemonsPerDomain: number;
	readonly seed: number;
	readonly customize?: (configuration: Configuration) => Configuration;
};

/** A running deployment with warm engines. */
export class ModelFixture {
	static async create({example, enginesPerDomain, daemonsPerDomain, seed, customize = configuration => configuration}: ModelFixtureOptions): Promise<ModelFixture> {
		const {configuration: original, keys} = examples[example];
		const configuration = customize(withoutLimits(original));
		const model = configuration.services.find(service => service.kind === 'model')!;
		const deployment = await Deployment.create({
			configuration,
			backendsPerDomain: {[model.name]: enginesPerDomain},
			daemonsPerDomain,
			seed,
			startsWarm: true,
		});
		const allowed = configuration.workspaces.filter(workspace => workspace.services.includes(model.name));
		const apiKeys = allowed.map(workspace => (keys as Readonly<Record<string, string>>)[workspace.name]!);
		const fixture = new ModelFixture(deployment, configuration, model, apiKeys);
		await fixture.#warmUp(seed);
		return fixture;
	}

	private runCount = 0;

	private constructor(
		readonly deployment: Deployment,
		readonly configuration: Configuration,
		readonly model: ModelService,
		readonly apiKeys: readonly string[],
	) {}

	/** Prompt tokens per second that all engines prefill together while each also decodes. */
	get prefillTokensPerSecond(): number {
		const stepSeconds = (PREFILL_CHUNK_TOKENS / this.model.prefillTokensPerSecond) + (1 / this.model.decodeTokensPerSecond);
		const engines = this.deployment.backends.filter(({kind}) => kind === 'model').length;
		return engines * PREFILL_CHUNK_TOKENS / stepSeconds;
	}

	/** Requests per second of the planned mix that keep all engines prefilling and decoding continuously. */
	get saturationPerSecond(): number {
		return this.prefillTokensPerSecond / MEAN_PROMPT_TOKENS;
	}

	/** Base URLs of the running daemons. */
	get daemonUrls(): readonly string[] {
		return this.deployment.daemons.filter(({process}) => process.isRunning).map(({process}) => process.url);
	}

	/** Runs arrivals under a policy. Each run has its own label, so that prompts of different runs share no prefix. */
	async run(policy: Policy, arrivals: readonly Arrival[], {apiKeys = this.apiKeys}: {readonly apiKeys?: readonly string[]} = {}): Promise<readonly CompletionRecord[]> {
		const router = policy === 'fireflyport'
			? undefined
			: await BaselineRouter.create(policy, this.deployment.backends.map(({host}) => host.address));
		try {
			return await runLoad(arrivals, {
				targets: router ? [router.url] : this.daemonUrls,
				apiKeys,
				model: this.model.models[0]!.name,
				label: `run ${this.runCount++} ${policy}`,
			});
		} finally {
			await router?.close();
		}
	}

	/** Fraction of requests that finished within the total time of their objective. */
	goodput(records: readonly CompletionRecord[]): number {
		const limits = new Map(this.configuration.objectives
			.filter(objective => objective.service === this.model.name)
			.map(objective => [objective.lengthClass, objective.totalMs]));
		const onTime = records.filter(({outcome: end, totalMs, lengthClass}) => end.kind === 'finished' && totalMs <= (limits.get(lengthClass) ?? Number.POSITIVE_INFINITY));
		return onTime.length / records.length;
	}

	async close(): Promise<void> {
		await this.deployment.close();
	}

	/** Sends short requests until the slow start of all engines is over, so that no measurement includes it. */
	async #warmUp(seed: number): Promise<void> {
		await this.run('fireflyport', drawArrivals({
			seed, durationMs: WARM_UP_MS, requestsPerSecond: WARM_UP_REQUESTS_PER_SECOND, mix: shortMix, maxTokens: 2,
		}));
	}
}

/** Runs `body` on a new fixture and closes it. */
export async function withModelFixture<T>(options: ModelFixtureOptions, body: (fixture: ModelFixture) => Promise<T>): Promise<T> {
	const fixture = await ModelFixture.create(options);
	try {
		return await body(fixture);
	} finally {
		await fixture.close();
	}
}
