/** Assigns the backend servers of a service in one failure domain to pools. */
import type {Configuration, Service} from '../configuration/schema.js';
import type {Host} from '../object-api/host-list.js';
import {chooseNode} from '../util/rendezvous.js';
import {formatPool} from './directory.js';

/** Shard of a host, by rendezvous hashing: a change of `shards` moves only hosts to an added shard or from a removed one. */
export function shardOf(hostId: string, shards: number): number {
	const names = Array.from({length: shards}, (_, index) => String(index));
	return Number(chooseNode(hostId, names));
}

/** Pools of `service` in `failureDomain`, ordered by shard. */
export const poolsOf = (service: Service, failureDomain: string): readonly string[] =>
	Array.from({length: service.poolShards}, (_, shard) => formatPool({failureDomain, service: service.name, shard}));

/** All pools of `service`, ordered by failure domain and shard. */
export const allPoolsOf = (service: Service): readonly string[] =>
	[...service.failureDomains].sort().flatMap(failureDomain => poolsOf(service, failureDomain));

/** Groups hosts by pool. Omits hosts whose service is not configured, or not configured for their failure domain. */
export function groupByPool(hosts: readonly Host[], configuration: Configuration): ReadonlyMap<string, readonly Host[]> {
	const services = new Map(configuration.services.map(service => [service.name, service]));
	const groups = new Map<string, Host[]>();
	for (const host of hosts) {
		const service = services.get(host.service);
		if (service?.failureDomains.includes(host.failureDomain)) {
			const pool = formatPool({failureDomain: host.failureDomain, service: service.name, shard: shardOf(host.id, service.poolShards)});
			groups.set(pool, [...groups.get(pool) ?? [], host]);
		}
	}

	return groups;
}
