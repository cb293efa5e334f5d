/** Chooses the least loaded server that is not suspect, and among equal ones, one in the daemon's own failure domain; equal ones of that at random in a large fleet. */
import type {BackendServer} from '../fleet/backend-server.js';

export type ServerCandidate = {
	readonly server: BackendServer;
	/** Requests on the server, over all daemons, as far as this daemon knows. */
	readonly requests: number;
	/** The server is cold or has failed recently. */
	readonly isSuspect: boolean;
	/** Random number between 0 and 1, by which simultaneous choices of a large fleet differ; undefined where daemons need not differ. */
	readonly spread?: number;
};

export function chooseLeastLoaded(candidates: readonly ServerCandidate[], failureDomain: string): BackendServer | undefined {
	let best: ServerCandidate | undefined;
	for (const candidate of candidates) {
		best = best && compare(best, candidate, failureDomain) <= 0 ? best : candidate;
	}

	return best?.server;
}

const compare = (a: ServerCandidate, b: ServerCandidate, failureDomain: string): number =>
	(Number(a.isSuspect) - Number(b.isSuspect))
	|| ((a.requests / a.server.slots) - (b.requests / b.server.slots))
	|| (Number(b.server.failureDomain === failureDomain) - Number(a.server.failureDomain === failureDomain))
	|| ((a.spread ?? 0) - (b.spread ?? 0));
