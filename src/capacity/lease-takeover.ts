/** Decides when a daemon may take over the lease of a pool. */
import type {PoolLease} from '../membership/directory.js';
import {rankNodes} from '../util/rendezvous.js';
import type {GrantMode} from './usable-share.js';

/** Validity of a lease, counted by its holder from before the renewal was sent. */
export const LEASE_TTL_MS = 6000;

/** A grant is void this long after the daemon asked for it or had it confirmed. */
export const GRANT_VALID_MS = 500;

/** Added to the TTL before a takeover, for clocks that run at slightly different rates. */
export const TAKEOVER_MARGIN_MS = 1000;

/** Each rank of a candidate waits this much longer, so that candidates rarely compete. */
const RANK_DELAY_MS = 1000;

/** How long promises of all candidates may replace renewals. */
export const PROMISED_MAX_MS = 3_600_000;

/** A coordinator without renewals and without promises stops after this time, and then needs no confirmation. */
export const DISCONNECTED_MAX_MS = 600_000;

/** Largest number of candidates named in a lease; each has to promise during an outage. */
const MAX_CANDIDATES = 8;

/** A daemon as named in the candidates of a lease. */
export const candidateName = (member: {readonly id: string; readonly incarnation: string}): string => `${member.id}/${member.incarnation}`;

/** Candidates to name in a lease, best first. */
export function chooseCandidates(pool: string, others: ReadonlyArray<{readonly id: string; readonly incarnation: string}>): readonly string[] {
	const byId = new Map(others.map(member => [member.id, candidateName(member)]));
	return rankNodes(pool, byId.keys()).slice(0, MAX_CANDIDATES).map(id => byId.get(id)!);
}

/** What a daemon knows when it considers a takeover. */
export type TakeoverView = {
	/** Last seen lease; undefined when the pool is known to have none. */
	readonly lease: PoolLease | undefined;
	/** How long the lease has not changed, or has been absent, in ms of this daemon. */
	readonly unchangedMs: number;
	readonly self: {readonly id: string; readonly incarnation: string};
	/** Position of this daemon among the candidates of its failure domain, 0 first. */
	readonly rank: number;
	/** A newer incarnation of the owner is registered, so the owner has ended. */
	readonly ownerSuperseded: boolean;
};

/** Whether to write a takeover now. */
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

	// The owner may hold promises of the candidates that it knows; this daemon is not one of them.
	return unchangedMs >= expiredMs + PROMISED_MAX_MS;
}

/** How long ago the holder of a lease last had proof that nobody replaced it. */
export type LeaseAges = {
	/** Since before the last renewal was sent, in ms. */
	readonly renewalMs: number;
	/** Since before the last promises of all candidates were asked for, in ms. */
	readonly promiseMs: number;
};

/** What the holder of a lease may grant. */
export function grantModeOf({renewalMs, promiseMs}: LeaseAges, unconfirmed: number): GrantMode {
	if (renewalMs < LEASE_TTL_MS || (promiseMs < LEASE_TTL_MS && renewalMs < PROMISED_MAX_MS)) {
		return {kind: 'full', unconfirmed};
	}

	const inContact = Math.min(renewalMs, promiseMs) < DISCONNECTED_MAX_MS;
	return inContact && renewalMs < PROMISED_MAX_MS + DISCONNECTED_MAX_MS ? {kind: 'disconnected', unconfirmed} : {kind: 'none'};
}
