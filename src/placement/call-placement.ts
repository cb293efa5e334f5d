/** Chooses the backend server of a call: the least loaded one that is not suspect, in the own failure domain if equal. */
import type {BackendServer} from '../fleet/backend-server.js';

export type CallCandidate = {
	readonly server: BackendServer;
	/** Requests of all daemons that are known to be on it. */
	readonly requests: number;
	/** Cold, or has failed lately. */
	readonly isSuspect: boolean;
};

export function placeCall(candidates: readonly CallCandidate[], failureDomain: string): BackendServer | undefined {
	let best: CallCandidate | undefined;
	for (const candidate of candidates) {
		best = best && compare(best, candidate, failureDomain) <= 0 ? best : candidate;
	}

	return best?.server;
}

const compare = (a: CallCandidate, b: CallCandidate, failureDomain: string): number =>
	(Number(a.isSuspect) - Number(b.isSuspect))
	|| ((a.requests / a.server.slots) - (b.requests / b.server.slots))
	|| (Number(b.server.failureDomain === failureDomain) - Number(a.server.failureDomain === failureDomain));
