/** Registrations, pool leases and pool identities, and read access to what is known of them. */
import {z} from 'zod';
import type {Host} from '../object-api/host-list.js';

/** Registration of a daemon, stored under `members/<region>/<failure domain>/<id>`. */
export const memberSchema = z.object({
	id: z.string().min(1),
	/** New at each start of the process. */
	incarnation: z.string().min(1),
	/** IP:PORT for other daemons. */
	peerAddress: z.string().min(1),
	/** IP:PORT for callers. */
	address: z.string().min(1),
	region: z.string(),
	failureDomain: z.string(),
	/** Incremented with each renewal, by which other daemons see that the member is alive. */
	renewal: z.number().int(),
	draining: z.boolean(),
}).readonly();

export type Member = z.infer<typeof memberSchema>;

/** Lease of a pool, stored under `pools/<failure domain>/<service>/<shard>`. The epoch serves as fencing token. */
export const poolLeaseSchema = z.object({
	pool: z.string(),
	/** Id of the coordinating daemon; empty after a release. */
	owner: z.string(),
	incarnation: z.string(),
	peerAddress: z.string(),
	epoch: z.number().int(),
	renewal: z.number().int(),
	/** Previous owners that were replaced without a confirmed release. */
	unconfirmed: z.array(z.object({owner: z.string(), incarnation: z.string(), peerAddress: z.string()}).readonly()).readonly(),
	/**
	 * Daemons (`<id>/<incarnation>`) that may take over immediately. While they promise not to, the owner may use the full
	 * limit without renewing the lease.
	 */
	candidates: z.array(z.string()).readonly().optional(),
	/** After a release: all granted requests had been acknowledged, so an engine's listing is complete. */
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

/** A daemon's view of the other daemons, pool leases and backend servers. May be stale. Methods do not throw. */
export type Directory = {
	/** Identity of this daemon. */
	readonly self: Member;
	/** Live members of the region as of the last listing, including this daemon. */
	members(): readonly Member[];
	/** The latest known lease of a pool, or undefined if none is known. */
	poolLease(pool: string): PoolLease | undefined;
	/** Backend servers of a pool as of the last listing, including those in state `leaving`. */
	hosts(pool: string): readonly Host[];
	/** Requests an early refresh, for example after a peer refused a call. */
	refresh(): void;
};
