/** One daemon with its engines, to measure the cost of the daemon in isolation. */
import type {Configuration} from '../../src/configuration/schema.js';
import {
	drawArrivals, type Arrival, type ArrivalPlan, type MixPart,
} from '../load/arrivals.js';
import type {CompletionRecord} from '../load/completion-client.js';
import {runDirect} from '../load/direct-client.js';
import {withModelFixture, type ModelFixture} from './model-fixture.js';
import {readProcessUsage, type ProcessUsage} from './process-usage.js';

/** Large enough that engines never limit the measured load. */
const ENGINE_REQUEST_LIMIT = 512;

export type SingleDaemonOptions = {
	readonly engines: number;
	readonly decodeTokensPerSecond: number;
	readonly seed: number;
};

function restrictToOneDomain(configuration: Configuration, decodeTokensPerSecond: number): Configuration {
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
				warm: {...service.warm, requests: ENGINE_REQUEST_LIMIT},
				cold: {requests: ENGINE_REQUEST_LIMIT, prefillTokens: service.warm.prefillTokens},
			};
		}),
	};
}

/** Runs `body` on a new deployment of one daemon. Its engines are warm from the start, so no slow start affects the results. */
export async function withSingleDaemon<T>({engines, decodeTokensPerSecond, seed}: SingleDaemonOptions, body: (daemon: SingleDaemon) => Promise<T>): Promise<T> {
	return withModelFixture({
		example: 'sacaria', enginesPerDomain: engines, daemonsPerDomain: 1, seed, customize: configuration => restrictToOneDomain(configuration, decodeTokensPerSecond),
	}, async fixture => body(new SingleDaemon(fixture)));
}

export class SingleDaemon {
	#directRunCount = 0;

	constructor(readonly fixture: ModelFixture) {}

	async usage(): Promise<ProcessUsage> {
		return readProcessUsage(this.fixture.deployment.daemons[0]!.process.pid!);
	}

	async run(arrivals: readonly Arrival[]): Promise<readonly CompletionRecord[]> {
		return this.fixture.run('fireflyport', arrivals);
	}

	/** Sends the same arrivals to the engines without a daemon. */
	async runDirect(arrivals: readonly Arrival[]): Promise<readonly CompletionRecord[]> {
		return runDirect(arrivals, {
			engines: this.fixture.deployment.backends.filter(({kind}) => kind === 'model').map(({host}) => host.address),
			model: this.fixture.model.models[0]!.name,
			label: `direct ${this.#directRunCount++}`,
		});
	}
}

/** Draws arrivals with prompts of one length, so that prompt lengths do not differ between compared runs. */
export function drawEqualArrivals(plan: Omit<ArrivalPlan, 'mix'> & {readonly promptTokens: number}): readonly Arrival[] {
	const mix: readonly MixPart[] = [{share: 1, fromTokens: plan.promptTokens, toTokens: plan.promptTokens}];
	return drawArrivals({...plan, mix});
}
