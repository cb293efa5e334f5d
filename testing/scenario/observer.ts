/** Reads counters of stand-ins and configuration versions of daemons during and after a run. */
import {request} from 'undici';
import {z} from 'zod';
import type {ModelService, PlainService} from '../../src/configuration/schema.js';
import type {Backend, Deployment} from '../deployment.js';
import type {ObservedEngine, ObservedService} from '../invariants.js';
import {delay} from '../stand-ins/stand-in-server.js';
import type {Scenario} from './parse-scenario.js';

const POLL_MS = 250;
const STATUS_TIMEOUT_MS = 1000;

/** Time after the last call by which engines have to be idle. The death of a killed daemon is detected after about 40 s. */
const IDLE_TIMEOUT_MS = 60_000;

const statusSchema = z.object({incarnation: z.string(), configurationVersion: z.number().optional()});
const backendCountsShape = {maxColdRequests: z.number(), overloadCrashes: z.number()};
const engineCountsSchema = z.object({
	...backendCountsShape,
	maxColdPrefillTokens: z.number(),
	held: z.number(),
	startsByPrompt: z.record(z.string(), z.number()),
	streamsStarted: z.number(),
	segmentsStarted: z.number(),
});
const serviceCountsSchema = z.object({...backendCountsShape, executions: z.number(), operations: z.record(z.string(), z.number())});

/** Number of requests that each backend server has received so far, by its id. */
export type WorkSnapshot = Readonly<Record<string, number>>;

export class Observer {
	static create(deployment: Deployment, scenario: Scenario): Observer {
		return new Observer(deployment, scenario);
	}

	readonly #versions: Record<string, number[]> = {};
	readonly #model: ModelService;
	readonly #plain: PlainService;

	private constructor(private readonly deployment: Deployment, scenario: Scenario) {
		const {services} = scenario.configuration;
		this.#model = services.find(service => service.kind === 'model')!;
		this.#plain = services.find(service => service.kind === 'plain')!;
	}

	/** Configuration versions in the order of reading, by daemon and incarnation. */
	get configurationVersions(): Readonly<Record<string, readonly number[]>> {
		return this.#versions;
	}

	/** Polls the configuration versions of the daemons until `signal` is aborted. */
	async pollConfigurationVersions(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await Promise.all(this.deployment.daemons.filter(({process}) => process.isRunning).map(async ({id, process}) => this.#readVersion(id, process.url)));
			await delay(POLL_MS);
		}
	}

	/** Reads how many requests each backend server of a failure domain has received so far. */
	async readWork(domain: string): Promise<WorkSnapshot> {
		const backends = this.deployment.backends.filter(({host}) => host.failureDomain === domain);
		return Object.fromEntries(await Promise.all(backends.map(async backend => [backend.host.id, await this.#workOf(backend)] as const)));
	}

	/** Waits until no engine holds streams or segments, for at most 60 s, and reads the counters of the engines. */
	async waitForIdleEngines(): Promise<readonly ObservedEngine[]> {
		const deadline = performance.now() + IDLE_TIMEOUT_MS;
		for (;;) {
			const engines = await this.#readEngines();
			if (engines.every(({held}) => held === 0) || performance.now() > deadline) {
				return engines;
			}

			await delay(POLL_MS);
		}
	}

	async services(): Promise<readonly ObservedService[]> {
		return Promise.all(this.#backends('plain').map(async ({host, process}) => ({
			id: host.id, coldRequests: this.#plain.cold.requests, ...serviceCountsSchema.parse(await this.deployment.readCounts(process)),
		})));
	}

	async #readEngines(): Promise<readonly ObservedEngine[]> {
		const {requests, prefillTokens} = this.#model.cold;
		return Promise.all(this.#backends('model').map(async ({host, process}) => ({
			id: host.id, coldRequests: requests, coldPrefillTokens: prefillTokens, ...engineCountsSchema.parse(await this.deployment.readCounts(process)),
		})));
	}

	#backends(kind: Backend['kind']): readonly Backend[] {
		return this.deployment.backends.filter(backend => backend.kind === kind);
	}

	async #workOf({kind, process}: Backend): Promise<number> {
		const counts = await this.deployment.readCounts(process);
		if (kind === 'plain') {
			return serviceCountsSchema.parse(counts).executions;
		}

		const {streamsStarted, segmentsStarted} = engineCountsSchema.parse(counts);
		return streamsStarted + segmentsStarted;
	}

	/** Skips a daemon that does not answer, for example while it is frozen. */
	async #readVersion(id: string, url: string): Promise<void> {
		try {
			const {body} = await request(`${url}/status`, {signal: AbortSignal.timeout(STATUS_TIMEOUT_MS)});
			const {incarnation, configurationVersion} = statusSchema.parse(await body.json());
			if (configurationVersion !== undefined) {
				(this.#versions[`${id}.${incarnation}`] ??= []).push(configurationVersion);
			}
		} catch {
			// The next poll retries.
		}
	}
}
