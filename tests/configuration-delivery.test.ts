import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {ConfigurationDelivery} from '../src/configuration/configuration-delivery.js';
import {ConfigurationPollHandler} from '../src/configuration/configuration-poll-handler.js';
import {ConfigurationStore} from '../src/configuration/configuration-store.js';
import {CONFIGURATION_KEY} from '../src/configuration/schema.js';
import {selectWatchers} from '../src/configuration/watchers.js';
import type {Member} from '../src/membership/directory.js';
import type {ConfigurationPollAnswer, PeerService} from '../src/peer/protocol.js';
import {monotonicMs} from '../src/util/clock.js';
import {sampleConfiguration, sampleWorkspace} from './fixtures/configurations.js';
import {MemoryObjectApi} from './fixtures/memory-object-api.js';

const TIMINGS = {
	waitMs: 100, callTimeoutMs: 50, directReadIntervalMs: 330, maxSourceAgeMs: 400, backoffBaseMs: 5, backoffMaxMs: 20,
};

const member = (id: string): Member => ({
	id, incarnation: '1', peerAddress: id, address: id, region: 'pt-norte', failureDomain: 'braga', renewal: 1, draining: false,
});

type Daemon = {
	readonly store: ConfigurationStore;
	readonly polls: ConfigurationPollHandler;
	readonly delivery: ConfigurationDelivery;
	readonly answers: ConfigurationPollAnswer[];
};

/** Daemons of one failure domain. Those in `unreachable` refuse polls; those in `stalled` never respond to them. */
class FailureDomainFixture {
	readonly unreachable = new Set<string>();
	readonly stalled = new Set<string>();
	readonly daemons = new Map<string, Daemon>();
	readonly objectApis = new Map<string, MemoryObjectApi>();

	constructor(readonly ids: readonly string[], readonly objectApi: MemoryObjectApi) {}

	get watchers(): readonly string[] {
		return selectWatchers(member(this.ids[0]!), this.ids.map(id => member(id))).map(({id}) => id);
	}

	get followers(): readonly string[] {
		return this.ids.filter(id => !this.watchers.includes(id));
	}

	start(id: string): void {
		const answers: ConfigurationPollAnswer[] = [];
		const store = ConfigurationStore.create({onInvalid: vi.fn()});
		const delivery = ConfigurationDelivery.create({
			directory: {
				self: member(id),
				members: () => this.ids.map(other => member(other)),
				poolLease: () => undefined,
				hosts: () => [],
				refresh: vi.fn(),
			},
			objectApi: this.objectApis.get(id) ?? this.objectApi,
			peer: address => ({configuration: async (message, signal) => this.#poll(address, answers, message, signal)}),
			store,
			clock: monotonicMs,
			seed: id.length,
			log: vi.fn(),
			timings: TIMINGS,
		});
		const polls = ConfigurationPollHandler.create({store, sourceAgeMs: () => delivery.sourceAgeMs(monotonicMs())});
		this.daemons.set(id, {
			store, polls, delivery, answers,
		});
	}

	version(id: string): number {
		return this.daemons.get(id)?.store.version() ?? 0;
	}

	async waitForVersion(ids: readonly string[], version: number): Promise<void> {
		await vi.waitFor(() => {
			expect(ids.map(id => this.version(id))).toEqual(ids.map(() => version));
		}, {timeout: 5000, interval: 5});
	}

	async close(): Promise<void> {
		await Promise.all([...this.daemons.values()].map(async ({delivery, polls}) => {
			polls.close();
			await delivery.close();
		}));
	}

	async #poll(id: string, answers: ConfigurationPollAnswer[], ...[message, signal]: Parameters<PeerService['configuration']>): Promise<ConfigurationPollAnswer> {
		const daemon = this.daemons.get(id);
		if (this.stalled.has(id)) {
			return new Promise(vi.fn());
		}

		if (!daemon || this.unreachable.has(id)) {
			throw new Error('connection refused');
		}

		const answer = await daemon.polls.answer(message, signal);
		answers.push(answer);
		return answer;
	}
}

const domains: FailureDomainFixture[] = [];

function startDomain(count: number, prepare: (domain: FailureDomainFixture) => void = () => undefined): FailureDomainFixture {
	const objectApi = new MemoryObjectApi();
	objectApi.put(CONFIGURATION_KEY, sampleConfiguration());
	const domain = new FailureDomainFixture(Array.from({length: count}, (_, index) => `daemon-${index}`), objectApi);
	domains.push(domain);
	prepare(domain);
	for (const id of domain.ids) {
		domain.start(id);
	}

	return domain;
}

const changedConfiguration = () => sampleConfiguration({workspaces: ['mills', 'agents', 'growers'].map(name => sampleWorkspace(name))});

afterEach(async () => {
	await Promise.all(domains.splice(0).map(async domain => domain.close()));
});

describe('configuration delivery', () => {
	it('should deliver a change to all daemons through two watchers, as a delta', async () => {
		const domain = startDomain(5);
		await domain.waitForVersion(domain.ids, 1);
		const {read} = domain.objectApi.calls;
		const version = domain.objectApi.put(CONFIGURATION_KEY, changedConfiguration());
		await domain.waitForVersion(domain.ids, version);
		expect(domain.objectApi.calls.read).toBe(read);
		const answers = domain.followers.flatMap(id => domain.daemons.get(id)!.answers);
		expect(answers.some(answer => answer.kind === 'delta')).toBe(true);
		expect(domain.daemons.get(domain.followers[0]!)!.store.current()?.configuration).toEqual(changedConfiguration());
	});

	it('should deliver a change when one watcher refuses connections and the other stalls', async () => {
		const domain = startDomain(4);
		await domain.waitForVersion(domain.ids, 1);
		domain.unreachable.add(domain.watchers[0]!);
		domain.stalled.add(domain.watchers[1]!);
		const version = domain.objectApi.put(CONFIGURATION_KEY, changedConfiguration());
		await domain.waitForVersion(domain.followers, version);
	});

	it('should limit the time between direct reads while polls stall', async () => {
		const followerApi = new MemoryObjectApi();
		followerApi.put(CONFIGURATION_KEY, sampleConfiguration());
		const domain = startDomain(3, prepared => {
			prepared.objectApis.set(prepared.followers[0]!, followerApi);
			for (const id of prepared.watchers) {
				prepared.stalled.add(id);
			}
		});
		const READS = 9;
		await vi.waitFor(() => {
			expect(followerApi.readTimesMs.length).toBeGreaterThan(READS);
		}, {timeout: 10_000});
		await domain.close();
		// The first two reads happen at the start and in the first round.
		const gapsMs = followerApi.readTimesMs.slice(2, READS).map((ms, index) => ms - followerApi.readTimesMs[index + 1]!).toSorted((a, b) => a - b);
		// The median excludes isolated scheduling delays of the host.
		expect(gapsMs[Math.floor(gapsMs.length / 2)]).toBeLessThan(TIMINGS.directReadIntervalMs + TIMINGS.callTimeoutMs + TIMINGS.backoffMaxMs + 40);
	});

	it('should read directly when both watchers respond but cannot reach the object API', async () => {
		const domain = startDomain(4, prepared => {
			for (const id of prepared.watchers) {
				const unavailableApi = new MemoryObjectApi();
				unavailableApi.isDown = true;
				prepared.objectApis.set(id, unavailableApi);
			}
		});
		await domain.waitForVersion(domain.ids, 1);
		const version = domain.objectApi.put(CONFIGURATION_KEY, changedConfiguration());
		await domain.waitForVersion(domain.ids, version);
	});

	it('should deliver the configuration of a peer to a new daemon while the object API is down', async () => {
		const domain = startDomain(2);
		await domain.waitForVersion(domain.ids, 1);
		domain.objectApi.isDown = true;
		const extendedDomain = new FailureDomainFixture(['daemon-0', 'daemon-1', 'daemon-9'], domain.objectApi);
		domains.push(extendedDomain);
		for (const [id, daemon] of domain.daemons) {
			extendedDomain.daemons.set(id, daemon);
		}

		extendedDomain.start('daemon-9');
		await extendedDomain.waitForVersion(['daemon-9'], 1);
	});

	it('should keep the active version when an invalid one is written, and apply the next valid one', async () => {
		const domain = startDomain(3);
		await domain.waitForVersion(domain.ids, 1);
		domain.objectApi.put(CONFIGURATION_KEY, {formatVersion: 1});
		const {watch} = domain.objectApi.calls;
		await vi.waitFor(() => {
			expect(domain.objectApi.calls.watch).toBeGreaterThan(watch + 2);
		});
		expect(domain.ids.map(id => domain.version(id))).toEqual([1, 1, 1]);
		const version = domain.objectApi.put(CONFIGURATION_KEY, changedConfiguration());
		await domain.waitForVersion(domain.ids, version);
	});

	it.each([0, 2])('should go on after an exception of a listener of new configurations, as daemon %d of 3', async index => {
		const domain = startDomain(3);
		const {ids} = domain;
		await domain.waitForVersion(ids, 1);
		const unsubscribe = domain.daemons.get(ids[index]!)!.store.onChange(() => {
			throw new TypeError('the listener is broken');
		});
		domain.objectApi.put(CONFIGURATION_KEY, sampleConfiguration());
		await domain.waitForVersion(ids, 2);
		unsubscribe();
		domain.objectApi.put(CONFIGURATION_KEY, sampleConfiguration());
		await domain.waitForVersion(ids, 3);
	});
});
