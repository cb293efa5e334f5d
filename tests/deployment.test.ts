import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Deployment} from '../testing/deployment.js';
import {expectedText} from '../testing/expected-token.js';
import {CompletionClient} from '../testing/load/completion-client.js';
import {sampleConfiguration} from './fixtures/configurations.js';

const openResources: Array<{close(): Promise<void>}> = [];

afterEach(async () => {
	await Promise.all(openResources.splice(0).map(async item => item.close()));
});

describe('deployment', () => {
	it('should serve a prompt through a daemon of a failure domain without engines, and stop every process when it is closed', async () => {
		const {services, ...rest} = sampleConfiguration();
		const configuration = {...rest, services: services.map(service => ({...service, failureDomains: ['braga']}))};
		const deployment = await Deployment.create({
			configuration, backendsPerDomain: {'fio-lm': 1}, daemonsPerDomain: 1, speed: 10,
		});
		openResources.push(deployment);
		const client = CompletionClient.create();
		openResources.push(client);
		const record = await client.send({
			target: deployment.daemons.find(({failureDomain}) => failureDomain === 'guimaraes')!.process.url,
			apiKey: 'key-mills',
			model: 'fio-lm',
			prompt: 'How many sacks are left?',
			promptTokens: 6,
			lengthClass: 'short',
			maxTokens: 10,
		});
		expect(record.outcome).toEqual({kind: 'finished'});
		expect(record.tokens.join('')).toBe(expectedText('How many sacks are left?', 10));

		await deployment.close();
		const processes = [...deployment.daemons, ...deployment.backends].map(({process}) => process);
		expect(processes.map(({isRunning}) => isRunning)).toEqual([false, false, false, false]);
		await expect(Promise.all(processes.map(async ({exited}) => exited))).resolves.toEqual(processes.map(() => ({code: 0, signal: null})));
	});
});
