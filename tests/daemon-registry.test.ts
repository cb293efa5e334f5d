import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {MetadataStoreClient} from '../platform/metadata-store-client.js';
import {DaemonRegistry} from '../src/fleet/daemon-registry.js';
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

function startRegistry(): DaemonRegistry {
	return DaemonRegistry.start({
		kind: KIND,
		store: client,
		self,
		clock: monotonicMs,
		logger: createLogger('error'),
		readOther: () => false,
		onMembers(listed) {
			members = listed;
		},
	});
}

beforeEach(async () => {
	members = [];
	store = await StoreStandIn.create();
	client = MetadataStoreClient.create(store.address, 'front-1');
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
});
