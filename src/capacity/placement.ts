/**
 * Choice of the backend server for one request: the smallest estimated time to the first token among those that can
 * accept it. Looks at each server of the pool: what fits depends on the request and changes with time (slow start,
 * prefill progress), so an ordered index would have to be rebuilt for each request; pools are split into shards to
 * keep them small.
 */
import type {BackendServerState} from './backend-server-state.js';
import type {PrefixIndex} from './prefix-index.js';
import type {Demand} from './server-load.js';
import type {GrantMode} from './usable-share.js';

/** What decides about the placement apart from the request. */
export type PlacementContext = {
	readonly mode: GrantMode;
	readonly now: number;
	readonly recovering: boolean;
	readonly prefixes: PrefixIndex;
	/** Largest share of the servers on which long prompts may be prefilled at once; undefined places them like any other. */
	readonly longPromptShare: number | undefined;
	/** Requests of class long or huge that are being prefilled in the pool. */
	readonly longPrefills: number;
};

/** Outcome for one request. */
export type Placement =
	| {readonly kind: 'placed'; readonly server: BackendServerState}
	/** Fits on `server` after a fresh answer of `/health`. */
	| {readonly kind: 'probe'; readonly server: BackendServerState}
	/** Fits on `server` once nothing else is unacknowledged there. */
	| {readonly kind: 'exclusive'; readonly server: BackendServerState}
	| {readonly kind: 'none'};

/** A request as placement sees it. */
export type PlacementRequest = {
	readonly demand: Demand;
	readonly prefixHashes: readonly string[];
	readonly exclude: readonly string[];
};

const fitOrder = ['yes', 'probe', 'exclusive'] as const;

type Candidate = {
	readonly server: BackendServerState;
	readonly fit: typeof fitOrder[number];
	readonly estimateMs: number;
};

export function chooseServer(request: PlacementRequest, servers: Iterable<BackendServerState>, context: PlacementContext): Placement {
	const allowed = [...servers].filter(server => !request.exclude.includes(server.id));
	if (request.demand.long && !isWithinLongPromptQuota(allowed, context)) {
		return {kind: 'none'};
	}

	let best: Candidate | undefined;
	for (const server of allowed) {
		const fit = fitOf(server, request.demand, context);
		if (fit === 'no') {
			continue;
		}

		const cached = Math.min(context.prefixes.cachedTokens(server.id, request.prefixHashes), request.demand.prefillTokens);
		const estimateMs = server.estimateMs(request.demand.rank, request.demand.prefillTokens - cached, context.now);
		const candidate: Candidate = {server, fit, estimateMs};
		best = best && compareCandidates(best, candidate) <= 0 ? best : candidate;
	}

	if (!best) {
		return {kind: 'none'};
	}

	return {kind: best.fit === 'yes' ? 'placed' : best.fit, server: best.server};
}

/**
 * A cold server comes first among equal ones: it becomes warm only by work, and split prompts wait for it without
 * being able to warm it.
 */
const compareCandidates = (a: Candidate, b: Candidate): number =>
	(fitOrder.indexOf(a.fit) - fitOrder.indexOf(b.fit))
	|| (a.estimateMs - b.estimateMs)
	|| (Number(b.server.isCold) - Number(a.server.isCold))
	|| (a.server.totals.requests - b.server.totals.requests);

/** Long prefill runs on a part of the pool only, so that short prompts find other servers. */
export function isWithinLongPromptQuota(servers: readonly BackendServerState[], context: PlacementContext): boolean {
	if (context.longPromptShare === undefined) {
		return true;
	}

	const usable = servers.filter(server => server.isUsable(context.now)).length;
	return context.longPrefills < Math.max(1, Math.floor(usable * context.longPromptShare));
}

function fitOf(server: BackendServerState, demand: Demand, context: PlacementContext) {
	if (demand.long && context.longPromptShare !== undefined && server.totals.longPrefills > 0) {
		return 'no';
	}

	return server.canAccept(demand, context.mode, context.now, context.recovering);
}
