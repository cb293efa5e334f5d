/** Chooses the backend server for one attempt, from the current knowledge of this daemon. */
import type {BackendServer} from '../fleet/backend-server.js';
import type {DomainPartitions} from '../fleet/domain-partitions.js';
import type {FleetView} from '../fleet/fleet-view.js';
import type {PlacementTable, Placement} from '../fleet/placement-table.js';
import type {ServerLimits} from '../fleet/server-limits.js';
import type {ServerHealth} from '../fleet/server-health.js';
import {chooseLeastLoaded, type ServerCandidate} from '../placement/least-loaded.js';
import {OUTPUT_TOKEN_WEIGHT} from '../placement/engine-model.js';
import {
	placeGeneration, type EngineCandidate, type GenerationPlacement, type GenerationRequest,
} from '../placement/generation-placement.js';
import type {BeyondPace, ServerPace} from '../scheduling/server-pace.js';
import type {RoutedRequest} from './gateway-request.js';
import type {MemoryShare} from './memory-reservation.js';
import type {EngineProfile} from './serving-configuration.js';

/** Weight of a plain request. Plain requests never share engines with prompts, so it is not compared with their weights. */
const PLAIN_REQUEST_WEIGHT = 1;

export type ServerChoice = {
	readonly server: BackendServer;
	readonly helpers: readonly BackendServer[];
	/** Memory to reserve on helpers before the request is sent. */
	readonly reserved: readonly MemoryShare[];
	readonly placement: Placement;
	/** Expected time in ms to the first event; 0 for plain requests. */
	readonly expectedMs: number;
	/** Number of servers considered. */
	readonly considered: number;
};

/** The inputs of one choice. */
export type ConsideredServers =
	| {readonly kind: 'engines'; readonly request: GenerationRequest; readonly groups: ReadonlyArray<readonly EngineCandidate[]>}
	| {readonly kind: 'plain'; readonly candidates: readonly ServerCandidate[]};

export type ChoiceParts = {
	readonly fleet: FleetView;
	readonly placements: PlacementTable;
	readonly health: ServerHealth;
	readonly limits: ServerLimits;
	/** Undefined if servers that start or return are not paced. */
	readonly pace?: Pick<ServerPace, 'findBeyondPace' | 'previewBeyondPace' | 'recordExpected' | 'recordFailure'>;
	readonly partitions: DomainPartitions;
	readonly failureDomain: string;
	/** Called with the inputs of each choice. */
	readonly onConsidered?: (considered: ConsideredServers) => void;
	/** Random number between 0 and 1 for an engine; undefined in a fleet whose daemons are few enough to hear of each other's placements at once. */
	placementSpread(): number | undefined;
	/** Region of a failure domain. */
	regionOf(failureDomain: string): string | undefined;
};

/** Earlier choices for the request: their number, and the servers that are excluded from further ones. */
export type EarlierChoices = {
	readonly excluded: ReadonlySet<string>;
	readonly count: number;
	/** One of them may have reached a server. */
	readonly hasArrived: boolean;
};

/** Returns the server for the next attempt, or undefined if none can take the request. */
export function chooseServer(parts: ChoiceParts, request: RoutedRequest, {excluded, count, hasArrived}: EarlierChoices, now: number): ServerChoice | undefined {
	const usable = parts.fleet.usableServers(request.service.name, now);
	const beyondPace = parts.pace?.findBeyondPace({request: request.id, service: request.service.name, servers: usable}, now);
	const isAtLimit = (server: BackendServer): boolean => waitMs(parts, request, server, now) > 0;
	const servers = usable
		.filter(server => !excluded.has(server.id) && !parts.limits.isClosed(server.id, now) && isAllowedDomain(parts, request, server.failureDomain));
	const id = `${request.id}#${count}`;
	const targetMs = request.arrivedAt + request.route.targetLatencyMs - now;
	const {engine} = request.service;
	const choice = engine && request.metadata.promptTokens !== undefined
		? chooseEngine(parts, request, {
			servers, engine, id, targetMs, isAtLimit, beyondPace,
		}, now)
		: choosePlainServer(parts, servers.filter(server => !isAtLimit(server)), {id, targetMs, beyondPace}, now);
	return choice && {...choice, placement: {...choice.placement, isRepeat: hasArrived || undefined}};
}

/** Time in ms until `server` may get a further request. */
export const waitMs = ({limits}: ChoiceParts, {service}: RoutedRequest, {id, coldUntil}: BackendServer, now: number): number =>
	limits.waitMs(id, coldUntil > now && service.coldRequestsPerSecond > 0 ? service.coldRequestsPerSecond : undefined, now);

/** Time in ms until a server that would serve the request is below its limit; undefined if no server is at its limit. */
export function limitWaitMs(parts: ChoiceParts, request: RoutedRequest, now: number): number | undefined {
	const usable = parts.fleet.usableServers(request.service.name, now);
	const waits = usable
		.filter(server => isAllowedDomain(parts, request, server.failureDomain))
		.map(server => waitMs(parts, request, server, now))
		.filter(ms => ms > 0);
	return waits.length === 0 ? undefined : Math.min(...waits);
}

/** Servers that may serve the request, whether or not they have room. */
export const allowedServers = (parts: ChoiceParts, request: RoutedRequest, now: number): readonly BackendServer[] =>
	parts.fleet.usableServers(request.service.name, now).filter(server => isAllowedDomain(parts, request, server.failureDomain));

/** Whether the regions that the route and the workspace name allow servers and hosts of a failure domain. */
export function isAllowedDomain(parts: ChoiceParts, {route, workspace}: RoutedRequest, failureDomain: string): boolean {
	const region = parts.regionOf(failureDomain);
	const isAllowed = (regions: readonly string[] | undefined): boolean => regions === undefined || (region !== undefined && regions.includes(region));
	return isAllowed(route.regions) && isAllowed(workspace?.regions);
}

function choosePlainServer(
	{
		placements, health, failureDomain, placementSpread, onConsidered,
	}: ChoiceParts,
	servers: readonly BackendServer[],
	{id, targetMs, beyondPace}: {readonly id: string; readonly targetMs: number; readonly beyondPace: BeyondPace | undefined},
	now: number,
): ServerChoice | undefined {
	const candidates = servers.map((server): ServerCandidate => ({
		server,
		requests: placements.entriesOn(server.id).length,
		isSuspect: health.isSuspect(server.id, now) || server.coldUntil > now,
		spread: placementSpread(),
		loadBeyondPace: beyondPace?.get(server.id),
	}));
	onConsidered?.({kind: 'plain', candidates});
	const server = chooseLeastLoaded(candidates, failureDomain);
	return server && {
		server,
		helpers: [],
		reserved: [],
		placement: {
			id, server: server.id, helpers: [], prefillMs: 0, contextTokens: 0, reserved: [], gapTargetMs: 0, weight: PLAIN_REQUEST_WEIGHT, targetMs,
		},
		expectedMs: 0,
		considered: servers.length,
	};
}

/** The placement with the least expected loss on any of the groups of engines that can reach each other. */
export function placeOnGroups(request: GenerationRequest, groups: ReadonlyArray<readonly EngineCandidate[]>, engine: EngineProfile, now: number): GenerationPlacement | undefined {
	const [best] = groups
		.map(group => placeGeneration(request, group, engine, now))
		.filter(option => option !== undefined)
		.sort((a, b) => a.loss - b.loss);
	return best;
}

type EngineChoiceInput = {
	readonly servers: readonly BackendServer[];
	readonly engine: EngineProfile;
	readonly id: string;
	readonly targetMs: number;
	/** Undefined if servers that start or return are not paced. */
	readonly beyondPace: BeyondPace | undefined;
	/** Whether a server takes no further request now. */
	isAtLimit(server: BackendServer): boolean;
};

function chooseEngine(parts: ChoiceParts, gatewayRequest: RoutedRequest, {
	servers, engine, id, targetMs, isAtLimit, beyondPace,
}: EngineChoiceInput, now: number): ServerChoice | undefined {
	const {metadata, route} = gatewayRequest;
	const {
		placements, health, partitions, failureDomain,
	} = parts;
	const promptTokens = metadata.promptTokens ?? engine.meanPromptTokens;
	const outputTokens = Math.min(metadata.maxOutputTokens ?? Infinity, metadata.outputHint ?? metadata.maxOutputTokens ?? engine.meanOutputTokens);
	const weight = promptTokens + (OUTPUT_TOKEN_WEIGHT * outputTokens);
	const gapTargetMs = route.kind.kind === 'stream' ? route.kind.gapTargetMs : route.targetLatencyMs;
	const request = {
		promptTokens, outputTokens, gapTargetMs, targetMs, weight, failureDomain,
	};
	const candidates = servers.map(server => ({
		server,
		entries: placements.entriesOn(server.id),
		isSuspect: health.isSuspect(server.id, now) || server.coldUntil > now,
		isAtLimit: isAtLimit(server),
		loadBeyondPace: beyondPace?.get(server.id),
		spread: parts.placementSpread(),
	}));
	const groups = partitions.connectedGroups(candidates, ({server}) => server.failureDomain, now);
	parts.onConsidered?.({kind: 'engines', request, groups});
	const best = placeOnGroups(request, groups, engine, now);
	return best && {
		server: best.server,
		helpers: best.helpers,
		reserved: best.reserved,
		placement: {
			id,
			server: best.server.id,
			helpers: best.helpers.map(helper => helper.id),
			prefillMs: best.prefillMs,
			contextTokens: promptTokens + outputTokens - best.reserved.reduce((sum, {tokens}) => sum + tokens, 0),
			reserved: best.reserved.map(({server, tokens}) => ({server: server.id, tokens})),
			gapTargetMs,
			weight,
			targetMs,
		},
		expectedMs: best.expectedMs,
		considered: servers.length,
	};
}
