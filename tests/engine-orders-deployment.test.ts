/** Orders to engines in deployments whose daemons and stand-ins run as separate processes. */
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import type {Configuration} from '../src/configuration/schema.js';
import {Deployment, type DeploymentOptions, sendJsonRequest} from '../testing/deployment.js';
import {CompletionClient} from '../testing/load/completion-client.js';
import {parseLogLine} from '../testing/processes.js';
import {sampleConfiguration, sampleModelService, samplePlainService} from './fixtures/configurations.js';

const closeables: Array<{close(): Promise<void>}> = [];

async function start(options: Pick<DeploymentOptions, 'configuration' | 'backendsPerDomain' | 'daemonsPerDomain'>): Promise<Deployment> {
	const deployment = await Deployment.create({
		...options, startsLoaded: false, startsWarm: true, speed: 10, daemonArgs: ['--log-level', 'debug'],
	});
	closeables.push(deployment);
	return deployment;
}

const failureDomainsOf = (...names: readonly string[]): Configuration['failureDomains'] => names.map(name => ({name, region: 'pt-norte', state: 'in'}));

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

async function engineCounts(deployment: Deployment, name: string): Promise<readonly number[]> {
	const counts = await Promise.all(deployment.backends.map(async ({process}) => deployment.readCounts(process)));
	return counts.map(count => Number(count[name]));
}

/** Returns the models that each engine has loaded, in the order of the engines. */
const loadedModels = async (deployment: Deployment): Promise<readonly unknown[]> => Promise.all(deployment.backends.map(async ({process}) => {
	const {body} = await sendJsonRequest('GET', `${process.url}/load`);
	return (body as {models: readonly string[]}).models;
}));

const loggedEvents = (daemon: Deployment['daemons'][number], event: string) =>
	daemon.process.log.map(line => parseLogLine(line)).filter(fields => fields.event === event);

/** What the daemons have logged, without the debug lines. */
const leaseLogs = ({daemons}: Deployment, paused: string): string => daemons
	.map(({id, process}) => [`${id}${id === paused ? ', paused' : ''}:`, ...process.log.filter(line => !line.includes('level=debug'))].join('\n'))
	.join('\n');

afterEach(async () => {
	await Promise.all(closeables.splice(0).map(async item => item.close()));
});

describe('engine orders in a deployment', () => {
	it('should load models on engines that start without them, within the rate of the weight store, and send no request to an engine before it has its model', async () => {
		const loadsPerMinute = 60;
		const startedAt = performance.now();
		const failureDomains = ['braga', 'famalicao'];
		const services = [sampleModelService, samplePlainService].map(service => ({...service, failureDomains}));
		const deployment = await start({
			configuration: sampleConfiguration({failureDomains: failureDomainsOf(...failureDomains), services, weightStore: {loadsPerMinute}}),
			backendsPerDomain: {'fio-lm': 2},
			daemonsPerDomain: 1,
		});
		const client = CompletionClient.create();
		closeables.push(client);
		const send = async () => client.send({
			target: deployment.daemons[0]!.process.url, apiKey: 'key-mills', model: 'fio-lm', prompt: 'How many sacks?', promptTokens: 4, lengthClass: 'short', maxTokens: 4,
		});
		let finished = 0;
		await vi.waitFor(async () => {
			const orders = sum(await engineCounts(deployment, 'ordersApplied'));
			if (orders > (performance.now() - startedAt) * loadsPerMinute / 60_000) {
				throw new TypeError(`${orders} load orders exceed the rate of the weight store`);
			}

			const {outcome} = await send();
			finished += outcome.kind === 'finished' ? 1 : 0;
			expect(await loadedModels(deployment)).toEqual(deployment.backends.map(() => ['fio-lm']));
		}, {timeout: 25_000, interval: 100});
		expect(await engineCounts(deployment, 'ordersApplied')).toEqual([1, 1, 1, 1]);
		expect(await engineCounts(deployment, 'refused')).toEqual([0, 0, 0, 0]);
		expect(finished).toBeGreaterThan(0);
	});

	it('should send no order from a coordinator that was paused past the end of its lease, whether engines check or ignore the fencing token', async () => {
		const services = (['checked', 'ignored'] as const).map(fencing => ({
			...sampleModelService, name: fencing, fencing, failureDomains: ['braga'], models: [{name: fencing, version: '1'}],
		}));
		const configuration = sampleConfiguration({
			failureDomains: failureDomainsOf('braga'), services, objectives: [], workspaces: [], weightStore: {loadsPerMinute: 600},
		});
		const deployment = await start({configuration, backendsPerDomain: 1, daemonsPerDomain: 2});
		await vi.waitFor(async () => {
			expect(await loadedModels(deployment)).toEqual([['checked'], ['ignored']]);
		}, {timeout: 15_000, interval: 50});
		const successorOf = (pool: string) => deployment.daemons.find(daemon => loggedEvents(daemon, 'order_sent').some(fields => fields.epoch === '2' && fields.pool === pool));
		const pausedDaemon = deployment.daemons.find(daemon => loggedEvents(daemon, 'order_sent').length > 0);
		const pools = loggedEvents(pausedDaemon!, 'order_sent').map(({pool}) => pool!);
		const ordersBefore = loggedEvents(pausedDaemon!, 'order_sent').length;
		pausedDaemon!.process.kill('SIGSTOP');
		try {
			await deployment.applyConfiguration({...configuration, services: services.map(service => ({...service, models: [...service.models, {name: `${service.name}-2`, version: '1'}]}))});
			await vi.waitFor(async () => {
				expect(await loadedModels(deployment)).toEqual([['checked', 'checked-2'], ['ignored', 'ignored-2']]);
				expect(pools.map(pool => successorOf(pool)?.id)).not.toContain(undefined);
			}, {timeout: 30_000, interval: 100});
		} finally {
			pausedDaemon!.process.kill('SIGCONT');
		}

		// Once the resumed daemon has applied the configuration, it has run for longer than a reconciliation interval of the orders.
		await vi.waitFor(() => {
			// The message names the logs, as this has failed beside other work and was not traced.
			expect(loggedEvents(pausedDaemon!, 'pool_lease_lost'), leaseLogs(deployment, pausedDaemon!.id)).toHaveLength(pools.length);
			expect(loggedEvents(pausedDaemon!, 'configuration'), leaseLogs(deployment, pausedDaemon!.id)).toHaveLength(2);
		}, {timeout: 15_000, interval: 50});
		expect(loggedEvents(pausedDaemon!, 'order_sent')).toHaveLength(ordersBefore);
		expect(await engineCounts(deployment, 'ordersRefused')).toEqual([0, 0]);
		expect(await engineCounts(deployment, 'staleOrdersApplied')).toEqual([0, 0]);
		expect(await loadedModels(deployment)).toEqual([['checked', 'checked-2'], ['ignored', 'ignored-2']]);
	}, 90_000);
});
