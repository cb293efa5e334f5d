/** Rules for taking over the lease of a pool, and for what its holder may grant. */
import type {PoolLease} from '../membership/directory.js';
import {rankNodes} from '../util/rendezvous.js';
import type {GrantMode} from './usable-share.js';

/** Lifetime of a lease. The holder counts it from before it sent the renewal. */
export const LEASE_TTL_MS = 6000;

/** A grant expires this long after the daemon requested it or requested its confirmation. */
export const GRANT_VALID_MS = 500;

/** Added to the TTL before a takeover, to allow for clocks that run at slightly different rates. */
export const TAKEOVER_MARGIN_MS = 1000;

/** Additional delay for each rank of a candidate, so that candidates rarely compete. */
const RANK_DELAY_MS = 1000;

/** Maximum time for which promises of all candidates may replace renewals. */
export const PROMISE_EXTENSION_MAX_MS = 3_600_000;

/** A coordinator without renewals and promises stops granting after this time. Successors then need no confirmation from it. */
export const DISCONNECTED_MAX_MS = 600_000;

/** Maximum number of candidates in a lease. During an outage each of them has to promise. */
const MAX_CANDIDATES = 8;

/** Name of a daemon in the `candidates` of a lease. */
export const candidateName = (member: {readonly id: string; readonly incarnation: string}): string => `${member.id}/${member.incarnation}`;

/** Chooses the candidates of a lease, best first. */
export function chooseCandidates(pool: string, others: ReadonlyArray<{readonly id: string; readonly incarnation: string}>): readonly string[] {
	const byId = new Map(others.map(member => [member.id, candidateName(member)]));
	return rankNodes(pool, byId.keys()).slice(0, MAX_CANDIDATES).map(id => byId.get(id)!);
}

/** What a daemon knows when it decides about a takeover. */
export type TakeoverView = {
	/** Last lease seen; undefined when the pool is known to have none. */
	readonly lease: PoolLease | undefined;
	/** How long the lease has been unchanged or absent, in ms by this daemon's clock. */
	readonly unchangedMs: number;
	readonly self: {readonly id: string; readonly incarnation: string};
	/** Rank of this daemon among the candidates of its failure domain; 0 is first. */
	readonly rank: number;
	/** Whether a newer incarnation of the owner is registered, which proves that the owner has ended. */
	readonly ownerSuperseded: boolean;
};

/** Whether this daemon may write a takeover now. */
export function mayTakeOver(view: TakeoverView): boolean {
	const {lease, self, unchangedMs} = view;
	const rankDelayMs = view.rank * RANK_DELAY_MS;
	if (!lease || lease.owner === '') {
		return unchangedMs >= rankDelayMs;
	}

	if (lease.owner === self.id) {
		return lease.incarnation !== self.incarnation || unchangedMs >= LEASE_TTL_MS + TAKEOVER_MARGIN_MS;
	}

	const expiredMs = LEASE_TTL_MS + TAKEOVER_MARGIN_MS + rankDelayMs;
	if (view.ownerSuperseded || lease.candidates?.includes(candidateName(self))) {
		return unchangedMs >= expiredMs;
	}

	// The owner may hold promises of its candidates, and this daemon is not one of them.
	return unchangedMs >= expiredMs + PROMISE_EXTENSION_MAX_MS;
}

/** Time since the holder of a lease last had proof that it was not replaced. */
export type LeaseAges = {
	/** Milliseconds since just before the last successful renewal was sent. */
	readonly renewalMs: number;
	/** Milliseconds since just before the promises that all candidates last gave were requested. */
	readonly promiseMs: number;
};

/** Grant mode of the holder of a lease. */
export function grantModeOf({renewalMs, promiseMs}: LeaseAges, unconfirmed: number): GrantMode {
	if (renewalMs < LEASE_TTL_MS || (promiseMs < LEASE_TTL_MS && renewalMs < PROMISE_EXTENSION_MAX_MS)) {
		return {kind: 'full', unconfirmed};
	}

	const isInContact = Math.min(renewalMs, promiseMs) < DISCONNECTED_MAX_MS;
	return isInContact && renewalMs < PROMISE_EXTENSION_MAX_MS + DISCONNECTED_MAX_MS ? {kind: 'disconnected', unconfirmed} : {kind: 'none'};
}
