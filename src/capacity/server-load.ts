/** Load totals of one backend server, updated incrementally as reservations change. */

/** State of one reservation at one backend server. */
export type ServerReservationState =
	/** Memory is reserved, but nothing may be sent yet: a gang member that has not been activated. */
	| 'inactive'
	/** Granted; the backend server has not sent response headers yet. */
	| 'unacknowledged'
	/** Accepted by the backend server; the prompt is being prefilled. */
	| 'acknowledged'
	/** The first token or the finished segment has arrived. */
	| 'prefilled';

/** Capacity that one reservation needs at one backend server. */
export type Demand = {
	readonly id: string;
	/** Rank of the priority class; 0 is the most urgent. */
	readonly rank: number;
	/** Whether the prompt is of class long or huge. */
	readonly long: boolean;
	readonly prefillTokens: number;
	readonly kvTokens: number;
};

/** A reservation at one backend server. */
export type ServerReservation = {
	readonly demand: Demand;
	readonly state: ServerReservationState;
	readonly sinceMs: number;
	/** Set once no daemon lists the reservation any more. It counts until the backend server is known to have dropped it. */
	readonly orphanedAtMs?: number;
};

/** Totals over the reservations at one backend server. */
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

/** Adds `reservation` to `totals` (`sign` 1) or subtracts it (-1). */
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
