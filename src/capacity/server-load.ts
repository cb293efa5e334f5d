/** Sums over what one backend server holds, kept up to date as single items change. */

/** Progress of one reservation at one backend server. */
export type ServerReservationState =
	/** Memory is reserved, but nothing may be sent yet: a member of a gang whose turn has not come. */
	| 'inactive'
	/** Granted; the backend server has not answered with headers yet. */
	| 'unacknowledged'
	/** Accepted by the backend server; the prompt is being prefilled. */
	| 'acknowledged'
	/** The first token or the finished segment was seen. */
	| 'prefilled';

/** What one reservation needs of one backend server. */
export type Demand = {
	readonly id: string;
	/** Rank of the priority class, 0 first. */
	readonly rank: number;
	/** Prompt of class long or huge. */
	readonly long: boolean;
	readonly prefillTokens: number;
	readonly kvTokens: number;
};

/** A reservation at one backend server. */
export type ServerReservation = {
	readonly demand: Demand;
	readonly state: ServerReservationState;
	readonly sinceMs: number;
	/** Set when no daemon answers for it any more; it counts until the backend server is known to have dropped it. */
	readonly orphanedAtMs?: number;
};

/** Sums of one backend server. */
export type LoadTotals = {
	requests: number;
	prefillTokens: number;
	kvTokens: number;
	unacknowledgedRequests: number;
	unacknowledgedTokens: number;
	longPrefills: number;
	orphans: number;
};

export const zeroTotals = (): LoadTotals => ({
	requests: 0, prefillTokens: 0, kvTokens: 0, unacknowledgedRequests: 0, unacknowledgedTokens: 0, longPrefills: 0, orphans: 0,
});

/** Adds `held` to `totals` (`sign` 1) or takes it away (-1). */
export function addToTotals(totals: LoadTotals, reservation: ServerReservation, sign: 1 | -1): void {
	const {demand, state} = reservation;
	totals.requests += sign;
	totals.kvTokens += sign * demand.kvTokens;
	totals.orphans += reservation.orphanedAtMs === undefined ? 0 : sign;
	const prefilling = state === 'unacknowledged' || state === 'acknowledged';
	totals.prefillTokens += prefilling ? sign * demand.prefillTokens : 0;
	totals.longPrefills += demand.long && state !== 'prefilled' ? sign : 0;
	if (state === 'unacknowledged') {
		totals.unacknowledgedRequests += sign;
		totals.unacknowledgedTokens += sign * demand.prefillTokens;
	}
}
