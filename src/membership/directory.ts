/** Views of members, pool leases and backend servers, as the other aggregates see them. */
import {z} from 'zod';
import type {Host} from '../object-api/host-list.js';

/** One daemon, as it registers itself under `members/<region>/<failure domain>/<id>`. */
export const memberSchema = z.object({
	id: z.string().min(1),
	/** Changes at each start of the process. */
	incarnation: z.string().min(1),
	/** IP:PORT for other daemons. */
	peerAddress: z.string().min(1),
	/** IP:PORT for callers. */
	address: z.string().min(1),
	region: z.string(),
	failureDomain: z.string(),
	/** Grows with each renewal, so that others see that the member lives. */
	renewal: z.number().int(),
	draining: z.boolean(),
}).readonly();

export type Member = z.infer<typeof memberSchema>;

/** Lease of a pool, stored under `pools/<failure domain>/<service>/<shard>`. The epoch is the fencing number. */
export const poolLeaseSchema = z.object({
	pool: z.string(),
	/** Id of the coordinating daemon; empty after a release. */
	owner: z.string(),
	incarnation: z.string(),
	peerAddress: z.string(),
	epoch: z.number().int(),
	renewal: z.number().int(),
	/** Predecessors that were replaced without a confirmed release. */
	unconfirmed: z.array(z.object({owner: z.string(), incarnation: z.string(), peerAddress: z.string()}).readonly()).readonly(),
	/** Daemons (`<id>/<incarnation>`) that may take over at once; their promises let the owner keep the full limit without renewals. */
	candidates: z.array(z.string()).readonly().optional(),
	/** After a release: every granted request had been acknowledged, so an engine's listing is complete. */
	settled: z.boolean().optional(),
}).readonly();

export type PoolLease = z.infer<typeof poolLeaseSchema>;

/** Identity of a pool: the backend servers of one service in one failure domain, or one shard of them. */
export type PoolId = {
	readonly failureDomain: string;
	readonly service: string;
	readonly shard: number;
};

/** Formats a pool identity as used in object keys and messages: `<failure domain>/<service>/<shard>`. */
export const formatPool = (pool: PoolId): string => `${pool.failureDomain}/${pool.service}/${pool.shard}`;

/** Parses the format of {@link formatPool}; throws a TypeError on any other text. */
export function parsePool(text: string): PoolId {
	const [failureDomain, service, shard] = text.split('/');
	if (!failureDomain || !service || !shard || !/^\d+$/v.test(shard)) {
		throw new TypeError(`not a pool identity: ${text}`);
	}

	return {failureDomain, service, shard: Number(shard)};
}

/** What a daemon knows of other daemons, pools and backend servers. May lag; never throws. */
export type Directory = {
	/** Identity of this daemon. */
	readonly self: Member;
	/** Live members of the region as last seen, this daemon included. */
	members(): readonly Member[];
	/** Last seen lease of a pool, or undefined when none was seen. */
	poolLease(pool: string): PoolLease | undefined;
	/** Backend servers of a pool as last listed, leaving ones included. */
	hosts(pool: string): readonly Host[];
	/** Asks for an early refresh, for example after a peer refused. */
	refresh(): void;
};
