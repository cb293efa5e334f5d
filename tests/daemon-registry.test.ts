import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {MetadataStoreClient} from '../platform/metadata-store-client.js';
import {DaemonRegistry, type DaemonRegistryOptions} from '../src/fleet/daemon-registry.js';
import type {Member} from '../src/fleet/fleet-topology.js';
import {monotonicMs} from '../src/util/clock.js';
import {createLogger} from '../src/util/logger.js';
import {StoreStandIn} from '../testing/stand-ins/platform/store-stand-in.js';
import {waitUntil} from './fixtures/http.js';

const KIND = 'fireflyport-daemons';
const self: Member = {address: '10.1.0.1', failureDomain: 'braga', cores: 1.35};

let store: StoreStandIn;
let client: MetadataStoreClient;
let members: readonly Member[];
let restoredNames: ReadonlySet<string> | undefined;
let logs: string[];

function startRegistry(overrides: Partial<DaemonRegistryOptions> = {}): DaemonRegistry {
	return DaemonRegistry.start({
		kind: KIND,
		store: client,
		self,
		clock: monotonicMs,
		logger: createLogger('warn', {}, line => {
			logs.push(line);
		}),
		readOther: () => false,
		onRestored(names) {
			restoredNames = names;
		},
		onMembers(listed) {
			members = listed;
		},
		...overrides,
	});
}

beforeEach(async () => {
	members = [];
	logs = [];
	restoredNames = undefined;
	store = await StoreStandIn.create();
	client = MetadataStoreClient.create(store.address, 'front-1', createLogger('error'));
});

afterEach(async () => {
	await client.close();
	await store.close();
});

describe('registration of daemons', () => {
	it('should register a new daemon and find the others', async () => {
		const other = {...self, address: '10.1.0.2'};
		store.put(KIND, other.address, other);
		const registry = startRegistry();
		await waitUntil(() => members.length === 2);
		expect(store.names(KIND)).toEqual(expect.arrayContaining([self.address, other.address]));
		registry.close();
	});

	it('should not write the registration of a restarted daemon again', async () => {
		store.put(KIND, self.address, self);
		const registry = startRegistry();
		await registry.firstRead;
		await waitUntil(() => members.length === 1);
		expect(store.calls).toBe(1);
		registry.close();
	});

	it('should register again when the entry is of a host with other resources', async () => {
		store.put(KIND, self.address, {...self, cores: 0.3});
		const registry = startRegistry();
		await waitUntil(() => store.calls === 3);
		registry.close();
	});

	it('should register again when an older copy of the store lacks it, also after a failed attempt', async () => {
		const copy = store.copy();
		const registry = startRegistry();
		await waitUntil(() => store.names(KIND).includes(self.address));
		store.restore(copy);
		store.setMode('busy');
		registry.recheck(2);
		const {calls} = store;
		await waitUntil(() => store.calls > calls);
		store.setMode('serving');
		await waitUntil(() => store.names(KIND).includes(self.address));
		registry.close();
	});

	it('should read the list once for each era, and write nothing when the copy has it', async () => {
		store.put(KIND, self.address, self);
		const registry = startRegistry();
		await registry.firstRead;
		store.restore(store.copy());
		const {calls} = store;
		registry.recheck(2);
		registry.recheck(2);
		await waitUntil(() => restoredNames !== undefined);
		expect(restoredNames).toEqual(new Set([self.address]));
		expect(store.calls).toBe(calls + 1);
		registry.close();
	});

	it('should register again when only its own list shows that the store came back from an older copy', async () => {
		const copy = store.copy();
		const registry = startRegistry();
		await waitUntil(() => store.names(KIND).includes(self.address));
		await waitUntil(() => members.length === 1);
		store.restore(copy);
		await waitUntil(() => store.names(KIND).includes(self.address));
		registry.close();
	});

	it.each(['list', 'create', 'onMembers', 'clock'] as const)('should go on after an exception of `%s`', async name => {
		let failures = 0;
		const failTwice = (): void => {
			failures++;
			if (failures <= 2) {
				throw new TypeError(`${name} is broken`);
			}
		};

		const broken: Partial<DaemonRegistryOptions> = {
			store: {
				async list(...args) {
					if (name === 'list') {
						failTwice();
					}

					return client.list(...args);
				},
				watch: async (...args) => client.watch(...args),
				async create(...args) {
					if (name === 'create') {
						failTwice();
					}

					return client.create(...args);
				},
				close: async () => undefined,
			},
			clock() {
				if (name === 'clock') {
					failTwice();
				}

				return monotonicMs();
			},
			onMembers(listed) {
				if (name === 'onMembers') {
					failTwice();
				}

				members = listed;
			},
		};
		const registry = startRegistry(broken);
		await registry.firstRead;
		await waitUntil(() => store.names(KIND).includes(self.address) && members.length === 1);
		expect(logs.filter(line => line.includes('event=registry_failed'))).toHaveLength(2);
		expect(store.calls).toBeLessThan(12);
		registry.close();
	});

	it('should find the others beside odd entries, and log these once', async () => {
		const odd: ReadonlyArray<readonly [string, unknown]> = [
			['1', null],
			['2', {...self, cores: 1e308}],
			['3', {...self, address: '255.255.255.255'}],
			['4', {...self, address: '0.0.0.0'}],
			['5', {...self, failureDomain: ''}],
			['6', {...self, failureDomain: 'z'.repeat(100_000)}],
			['7', JSON.parse('['.repeat(2000) + ']'.repeat(2000))],
			['8', {...self, address: '10.1.0.1:99999'}],
			['__proto__', {...self, cores: '1'}],
		];
		for (const [name, value] of odd) {
			store.put(KIND, name, value);
		}

		const other = {...self, address: '10.1.0.2'};
		store.put(KIND, other.address, other);
		let reads = 0;
		const registry = startRegistry({
			onMembers(listed) {
				reads++;
				members = listed;
			},
			readOther(object) {
				if (object.name === '1') {
					throw new TypeError('readOther is broken');
				}

				return false;
			},
		});
		await waitUntil(() => reads > 2);
		expect(members).toEqual([self, other]);
		expect(logs.filter(line => line.includes('event=peer_unreadable'))).toHaveLength(odd.length);
		registry.close();
	});
});
