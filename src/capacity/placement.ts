/**
 * Chooses the backend server for one request: the one with the shortest estimated time to the first token among those
 * that can accept it. Scans all servers of the pool: what fits depends on the request and changes with time (slow
 * start, prefill progress), so an ordered index would have to be rebuilt for each request. Pools are split into shards
 * to keep the scan short.
 */
import type {BackendServerState} from './backend-server-state.js';
import type {PrefixIndex} from './prefix-index.js';
import type {Demand} from './server-load.js';
import type {GrantMode} from './usable-share.js';

/** Inputs of the placement apart from the request. */
export type PlacementContext = {
	readonly mode: GrantMode;
	readonly now: number;
	readonly recovering: boolean;
	readonly prefixes: PrefixIndex;
	/** Maximum share of the servers that may prefill long prompts at the same time; undefined removes the limit. */
	readonly longPromptShare: number | undefined;
	/** Number of requests of class long or huge that are being prefilled in the pool. */
	readonly longPrefills: number;
};

/** Result of placing one request. */
export type Placement =
	| {readonly kind: 'placed'; readonly server: BackendServerState}
	/** Fits on `server` once a new `/health` response reports it as warm. */
	| {readonly kind: 'probe'; readonly server: BackendServerState}
	/** Fits on `server` once no other request is unacknowledged there. */
	| {readonly kind: 'exclusive'; readonly server: BackendServerState}
	| {readonly kind: 'none'};

/** The fields of a request that placement uses. */
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
 * Orders candidates by fit, estimate, cold before warm, and number of requests. A cold server comes first among equal
 * ones because it becomes warm only by serving requests, and split prompts wait for it without being able to warm it.
 */
const compareCandidates = (a: Candidate, b: Candidate): number =>
	(fitOrder.indexOf(a.fit) - fitOrder.indexOf(b.fit))
	|| (a.estimateMs - b.estimateMs)
	|| (Number(b.server.isCold) - Number(a.server.isCold))
	|| (a.server.totals.requests - b.server.totals.requests);

/** Whether another long prompt may start. Long prefill runs on part of the pool only, so that other servers stay available to short prompts. */
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
