/**
 * Chooses the least loaded server that is not suspect, and among equal ones, one in the daemon's own failure domain; equal ones of that at
 * random in a large fleet. A server beyond its pace is chosen only if no other has a free slot.
 */
import type {BackendServer} from '../fleet/backend-server.js';

export type ServerCandidate = {
	readonly server: BackendServer;
	/** Requests on the server, over all daemons, as far as this daemon knows. */
	readonly requests: number;
	/** The server is cold or has failed recently. */
	readonly isSuspect: boolean;
	/** Random number between 0 and 1, by which simultaneous choices of a large fleet differ; undefined where daemons need not differ. */
	readonly spread?: number;
	/** Load of a server beyond its pace, relative to the limit of its pace (docs/design/server-pace.md); undefined within it. */
	readonly loadBeyondPace?: number | undefined;
};

export function chooseLeastLoaded(candidates: readonly ServerCandidate[], failureDomain: string): BackendServer | undefined {
	let best: ServerCandidate | undefined;
	for (const candidate of preferWithinPace(candidates)) {
		best = best && compare(best, candidate, failureDomain) <= 0 ? best : candidate;
	}

	return best?.server;
}

const compare = (a: ServerCandidate, b: ServerCandidate, failureDomain: string): number =>
	(Number(a.isSuspect) - Number(b.isSuspect))
	|| ((a.requests / a.server.slots) - (b.requests / b.server.slots))
	|| (Number(b.server.failureDomain === failureDomain) - Number(a.server.failureDomain === failureDomain))
	|| ((a.spread ?? 0) - (b.spread ?? 0));

/** Servers within their pace that have a free slot, or without one, the server with the least load relative to its limit or its slots. */
function preferWithinPace(candidates: readonly ServerCandidate[]): readonly ServerCandidate[] {
	if (candidates.every(({loadBeyondPace}) => loadBeyondPace === undefined)) {
		return candidates;
	}

	const within = candidates.filter(({loadBeyondPace, requests, server: {slots}}) => loadBeyondPace === undefined && requests < slots);
	if (within.length > 0) {
		return within;
	}

	const loadOf = ({loadBeyondPace, requests, server: {slots}}: ServerCandidate): number => loadBeyondPace ?? ((requests + 1) / slots);
	const least = Math.min(...candidates.map(candidate => loadOf(candidate)));
	return candidates.filter(candidate => loadOf(candidate) === least);
}
