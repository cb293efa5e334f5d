/** One daemon with its engines, so that what it costs is seen apart from everything else. */
import type {Configuration} from '../../src/configuration/schema.js';
import {
	drawArrivals, type Arrival, type ArrivalPlan, type MixPart,
} from '../load/arrivals.js';
import type {CompletionRecord} from '../load/completion-client.js';
import {runDirect} from '../load/direct-client.js';
import {withModelFixture, type ModelFixture} from './model-fixture.js';
import {readUsage, type Usage} from './process-usage.js';

/** Large enough that engines never limit the load under measurement. */
const ENGINE_REQUESTS = 512;

export type SingleDaemonOptions = {
	readonly engines: number;
	readonly decodeTokensPerSecond: number;
	readonly seed: number;
};

function inOneDomain(configuration: Configuration, decodeTokensPerSecond: number): Configuration {
	const [domain] = configuration.failureDomains;
	return {
		...configuration,
		failureDomains: [domain!],
		services: configuration.services.map(service => {
			const failureDomains = [domain!.name];
			if (service.kind === 'plain') {
				return {...service, failureDomains};
			}

			return {
				...service,
				failureDomains,
				decodeTokensPerSecond,
				warm: {...service.warm, requests: ENGINE_REQUESTS},
				cold: {requests: ENGINE_REQUESTS, prefillTokens: service.warm.prefillTokens},
			};
		}),
	};
}

/** Runs `body` on a new deployment of one daemon. Its engines count as warm from the start, so nothing ramps up. */
export async function withSingleDaemon<T>({engines, decodeTokensPerSecond, seed}: SingleDaemonOptions, body: (daemon: SingleDaemon) => Promise<T>): Promise<T> {
	return withModelFixture({
		example: 'sacaria', enginesPerDomain: engines, daemonsPerDomain: 1, seed, change: configuration => inOneDomain(configuration, decodeTokensPerSecond),
	}, async fixture => body(new SingleDaemon(fixture)));
}

export class SingleDaemon {
	#runs = 0;

	constructor(readonly fixture: ModelFixture) {}

	async usage(): Promise<Usage> {
		return readUsage(this.fixture.deployment.daemons[0]!.process.pid!);
	}

	async run(arrivals: readonly Arrival[]): Promise<readonly CompletionRecord[]> {
		return this.fixture.run('fireflyport', arrivals);
	}

	/** Sends the same arrivals to the engines without a daemon. */
	async runDirect(arrivals: readonly Arrival[]): Promise<readonly CompletionRecord[]> {
		return runDirect(arrivals, {
			engines: this.fixture.deployment.backends.filter(({kind}) => kind === 'model').map(({host}) => host.address),
			model: this.fixture.model.models[0]!.name,
			label: `direct ${this.#runs++}`,
		});
	}
}

/** Prompts of one length, so that paired runs differ in nothing else. */
export function drawEqual(plan: Omit<ArrivalPlan, 'mix'> & {readonly promptTokens: number}): readonly Arrival[] {
	const mix: readonly MixPart[] = [{share: 1, fromTokens: plan.promptTokens, toTokens: plan.promptTokens}];
	return drawArrivals({...plan, mix});
}
