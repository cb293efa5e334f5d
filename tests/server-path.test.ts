import {describe, expect, it} from 'vitest';
import {RelayHosts} from '../src/relaying/relay-hosts.js';
import {ServerPath} from '../src/relaying/server-path.js';

const server = (index: number, failureDomain = `domain-${index % 3}`) => ({id: `i-${index}`, failureDomain});
const SERVERS = Array.from({length: 12}, (_, index) => server(index));

describe('path to the backend servers', () => {
	it('should count as lost when connections to three servers of two failure domains fail in a row', () => {
		const path = ServerPath.create();
		path.recordConnected(500);
		expect(path.recordNotConnected(server(1), SERVERS, 1000)).toBeUndefined();
		expect(path.recordNotConnected(server(2), SERVERS, 1400)).toBeUndefined();
		expect(path.recordNotConnected(server(4), SERVERS, 1800)).toEqual({
			kind: 'lost', failedServers: ['i-1', 'i-2', 'i-4'], firstFailureAgeMs: 800, lastConnectionAgeMs: 1300,
		});
		expect(path.isLost).toBe(true);
	});

	it('should stay when only servers of one failure domain are unreachable', () => {
		const path = ServerPath.create();
		for (let index = 0; index < 6; index++) {
			expect(path.recordNotConnected(server(index, 'domain-1'), SERVERS, 1000 + (100 * index))).toBeUndefined();
		}
	});

	it('should stay when other servers are connected to in between, as after crashes', () => {
		const path = ServerPath.create();
		for (let index = 0; index < 20; index++) {
			expect(path.recordNotConnected(server(index), SERVERS, 1000 + (100 * index))).toBeUndefined();
			expect(path.recordNotConnected(server(index + 1), SERVERS, 1050 + (100 * index))).toBeUndefined();
			expect(path.recordConnected(1080 + (100 * index))).toBeUndefined();
		}
	});

	it('should stay when failures are further apart than what they tell', () => {
		const path = ServerPath.create();
		for (let index = 0; index < 10; index++) {
			expect(path.recordNotConnected(server(index), SERVERS, 2000 * index)).toBeUndefined();
		}
	});

	it('should not count a server twice', () => {
		const path = ServerPath.create();
		for (let at = 0; at < 2000; at += 200) {
			expect(path.recordNotConnected(server(at % 400 === 0 ? 1 : 2), SERVERS, at)).toBeUndefined();
		}
	});

	it('should count as lost with fewer servers if there are no more', () => {
		const path = ServerPath.create();
		expect(path.recordNotConnected(server(1), [server(1)], 1000)).toMatchObject({kind: 'lost'});
	});

	it('should be regained by two connections in a row', () => {
		const path = ServerPath.create();
		path.recordNotConnected(server(1), [server(1)], 1000);
		expect(path.recordConnected(2000)).toBeUndefined();
		expect(path.recordNotConnected(server(1), SERVERS, 2100)).toBeUndefined();
		expect(path.recordConnected(2500)).toBeUndefined();
		expect(path.isLost).toBe(true);
		expect(path.recordConnected(3000)).toEqual({kind: 'regained', lostForMs: 2000});
		expect(path.isLost).toBe(false);
	});
});

describe('choice of the relaying host', () => {
	const hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4'].map(address => ({address, failureDomain: 'a', cores: 1}));

	it('should spread requests evenly over hosts with the same cores', () => {
		const relayHosts = RelayHosts.create();
		const counts = new Map<string, number>();
		for (let index = 0; index < 100; index++) {
			const {address} = relayHosts.choose(hosts, (index + 0.5) / 100, 0)!;
			counts.set(address, (counts.get(address) ?? 0) + 1);
		}

		expect([...counts.values()]).toEqual([25, 25, 25, 25]);
	});

	it('should leave out a host that did not relay, for a second', () => {
		const relayHosts = RelayHosts.create();
		for (const {address} of hosts) {
			relayHosts.skip(address, 1000);
		}

		expect(relayHosts.choose(hosts, 0.5, 1999)).toBeUndefined();
		expect(relayHosts.choose(hosts, 0, 2000)).toEqual(hosts[0]);
	});
});
