import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {ObjectApiStandIn} from '../testing/stand-ins/object-api/object-api-stand-in.js';
import {applyConfiguration} from '../src/configuration/apply-configuration.js';
import {ConfigurationDelivery, DELIVERY_TIMINGS} from '../src/configuration/configuration-delivery.js';
import {ConfigurationStore} from '../src/configuration/configuration-store.js';
import {CONFIGURATION_KEY, type Configuration} from '../src/configuration/schema.js';
import type {Member} from '../src/membership/directory.js';
import {HttpObjectApi} from '../src/object-api/http-object-api.js';
import {Backoff} from '../src/util/backoff.js';
import {monotonicMs} from '../src/util/clock.js';
import {sampleConfiguration, sampleWorkspace} from './fixtures/configurations.js';

const CALL = {timeoutMs: 1000};
const closers: Array<() => Promise<void>> = [];

const withWorkspaces = (...names: readonly string[]): Configuration => sampleConfiguration({workspaces: names.map(name => sampleWorkspace(name))});

async function start() {
	const server = await ObjectApiStandIn.create();
	const api = HttpObjectApi.create({baseUrl: `http://${server.address}`, caller: 'braga-1'});
	closers.push(async () => api.close(), async () => server.close());
	return {server, api};
}

const apply = async (api: HttpObjectApi, configuration: Configuration, basedOn: number) => applyConfiguration(api, configuration, basedOn, {
	...CALL, signal: new AbortController().signal, backoff: Backoff.create({baseMs: 5, maxMs: 20, seed: 1}),
});

async function readStored(api: HttpObjectApi) {
	const outcome = await api.read(CONFIGURATION_KEY, CALL);
	return outcome.kind === 'found' ? outcome.object : undefined;
}

afterEach(async () => {
	for (const close of closers.splice(0)) {
		await close();
	}
});

describe('configuration over the object API', () => {
	it.each(['after-effect', 'before-effect', 'late-effect'] as const)('should report the active version when a response is lost with %s', async mode => {
		const {server, api} = await start();
		await apply(api, withWorkspaces('mills'), 0);
		const first = await readStored(api);
		server.setFaults({lost: {mode, count: 1, lateMs: 50}});
		const outcome = await apply(api, withWorkspaces('agents'), first!.version);
		expect(outcome).toMatchObject({kind: 'applied', isResolved: true});
		// The condition of the late write must fail, so that no further version is written.
		await vi.waitFor(() => {
			expect(server.counts()).toMatchObject({conflicts: mode === 'before-effect' ? 0 : 1});
		});
		expect(await readStored(api)).toMatchObject({version: (outcome as {readonly version: number}).version, value: withWorkspaces('agents')});
	});

	it('should apply a change after an outage in which connections hang', async () => {
		const {server, api} = await start();
		await apply(api, withWorkspaces('mills'), 0);
		const self: Member = {
			id: 'braga-1', incarnation: '1', peerAddress: '', address: '', region: 'pt-norte', failureDomain: 'braga', renewal: 1, draining: false,
		};
		const store = ConfigurationStore.create({onInvalid: vi.fn()});
		const failures = vi.fn();
		const delivery = ConfigurationDelivery.create({
			directory: {
				self, members: () => [self], poolLease: () => undefined, hosts: () => [], refresh: vi.fn(),
			},
			objectApi: api,
			peer() {
				throw new Error('no other daemon exists');
			},
			store,
			clock: monotonicMs,
			seed: 1,
			log(event) {
				if (event === 'configuration_source_failed') {
					failures();
				}
			},
			timings: {...DELIVERY_TIMINGS, waitMs: 200, callTimeoutMs: 100},
		});
		closers.unshift(async () => delivery.close());
		await vi.waitFor(() => {
			expect(store.version()).toBeGreaterThan(0);
		});
		server.setFaults({outage: 'hang'});
		await vi.waitFor(() => {
			expect(failures).toHaveBeenCalled();
		}, {timeout: 5000});
		expect(store.current()?.configuration).toEqual(withWorkspaces('mills'));
		server.setFaults({});
		const outcome = await apply(api, withWorkspaces('agents'), store.version());
		await vi.waitFor(() => {
			expect(store.current()).toEqual({version: (outcome as {readonly version: number}).version, configuration: withWorkspaces('agents')});
		}, {timeout: 5000});
	});
});
