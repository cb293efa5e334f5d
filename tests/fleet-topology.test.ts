import {describe, expect, it} from 'vitest';
import {FleetTopology, MAX_MESH_SIZE, type Member} from '../src/fleet/fleet-topology.js';

const member = (index: number): Member => ({address: `10.0.0.${index + 10}`, failureDomain: `domain-${index % 3}`, cores: index < 6 ? 2 : 1});

const fleet = (size: number): readonly Member[] => Array.from({length: size}, (_, index) => member(index));

function topologyOf(index: number, size: number): FleetTopology {
	const topology = FleetTopology.create(member(index));
	topology.addMembers(fleet(size));
	return topology;
}

/** Returns the links after all contacted daemons had time to answer. `answers` tells which ones do. */
function linksAfterProbing(topology: FleetTopology, answers: (address: string) => boolean) {
	let links = topology.links(0);
	for (let now = 300; now < 6000; now += 300) {
		for (const address of [links.relay, ...links.peers, links.probe]) {
			if (address !== undefined && answers(address)) {
				topology.recordContact(address, 'probe', now);
			}
		}

		links = topology.links(now);
	}

	return links;
}

describe('fleet topology', () => {
	it('should link all daemons of a small fleet', () => {
		const links = topologyOf(0, MAX_MESH_SIZE).links(0);
		expect(links).toMatchObject({relay: undefined, followers: [], probe: undefined});
		expect(links.peers).toHaveLength(MAX_MESH_SIZE - 1);
	});

	it('should make the daemon with the most cores of each failure domain a relay, so that no daemon has links to all others', () => {
		const allAnswer = () => true;
		expect(linksAfterProbing(topologyOf(30, 90), allAnswer)).toMatchObject({relay: member(0).address, peers: []});
		expect(linksAfterProbing(topologyOf(0, 90), allAnswer)).toMatchObject({relay: undefined, peers: [member(1).address, member(2).address]});
	});

	it('should skip relays that do not answer, and follow them again once they do', () => {
		const topology = topologyOf(30, 90);
		expect(linksAfterProbing(topology, address => address !== member(0).address).relay).toBe(member(3).address);
		topology.recordContact(member(0).address, 'probe', 6000);
		expect(topology.links(6000).relay).toBe(member(0).address);
	});

	it('should become a relay when no daemon of higher rank answers', () => {
		const unreachable = new Set([0, 3, 6].map(index => member(index).address));
		expect(linksAfterProbing(topologyOf(9, 90), address => !unreachable.has(address))).toMatchObject({relay: undefined, peers: [member(1).address, member(2).address]});
	});

	it('should never let two daemons follow each other', () => {
		for (const index of [0, 3, 6, 9, 30, 60]) {
			const {relay} = topologyOf(index, 90).links(0);
			const rank = fleet(90).findIndex(({address}) => address === relay);
			expect(relay === undefined || rank < index).toBe(true);
		}
	});

	it('should remove followers that stop sending', () => {
		const topology = topologyOf(0, 90);
		expect(topology.recordContact(member(3).address, 'follower', 0)).toBe(true);
		expect(topology.links(3000).followers).toEqual([member(3).address]);
		expect(topology.links(4000).followers).toEqual([]);
	});
});
