/** Chooses the backend server for one attempt from what this daemon knows now. */
import type {BackendServer} from '../fleet/backend-server.js';
import type {DomainCuts} from '../fleet/domain-cuts.js';
import type {FleetView} from '../fleet/fleet-view.js';
import type {LoadBoard, Placement} from '../fleet/load-board.js';
import type {ServerHealth} from '../fleet/server-health.js';
import {placeCall} from '../placement/call-placement.js';
import {OUTPUT_TOKEN_WEIGHT} from '../placement/engine-model.js';
import {placeGeneration} from '../placement/generation-placement.js';
import type {GatewayRequest} from './gateway-request.js';
import type {HeldMemory} from './memory-reservation.js';
import type {EngineProfile} from './serving-configuration.js';

/** Weight of a call against other requests; calls do not share engines with prompts. */
const CALL_WEIGHT = 1;

export type Choice = {
	readonly server: BackendServer;
	readonly helpers: readonly BackendServer[];
	/** Memory that helpers have to set aside before the request is sent. */
	readonly reserved: readonly HeldMemory[];
	readonly placement: Placement;
	/** Expected time in ms to the first event; 0 for calls. */
	readonly expectedMs: number;
	/** Servers that were considered. */
	readonly considered: number;
};

export type ChoiceParts = {
	readonly fleet: FleetView;
	readonly board: LoadBoard;
	readonly health: ServerHealth;
	readonly cuts: DomainCuts;
	readonly failureDomain: string;
	/** Region of a failure domain. */
	regionOf(failureDomain: string): string | undefined;
};

/** Earlier attempts of the request: servers that are not tried again, and their number. */
export type EarlierAttempts = {
	readonly excluded: ReadonlySet<string>;
	readonly sends: number;
};

/** The server for the next attempt of a request, or undefined when none can take it. */
export function chooseServer(parts: ChoiceParts, request: GatewayRequest, {excluded, sends}: EarlierAttempts, now: number): Choice | undefined {
	const servers = parts.fleet.usable(request.service.name, now)
		.filter(server => !excluded.has(server.id) && isAllowedRegion(parts, request, server));
	const id = `${request.id}#${sends}`;
	const targetMs = request.arrivedAt + request.route.targetLatencyMs - now;
	const {engine} = request.service;
	return engine && request.facts.promptTokens !== undefined
		? chooseEngine(parts, request, {
			servers, engine, id, targetMs,
		}, now)
		: chooseCallServer(parts, servers, {id, targetMs}, now);
}

function isAllowedRegion(parts: ChoiceParts, {route, workspace}: GatewayRequest, {failureDomain}: BackendServer): boolean {
	const region = parts.regionOf(failureDomain);
	const isAllowed = (regions: readonly string[] | undefined): boolean => regions === undefined || (region !== undefined && regions.includes(region));
	return isAllowed(route.regions) && isAllowed(workspace?.regions);
}

function chooseCallServer(
	{board, health, failureDomain}: ChoiceParts,
	servers: readonly BackendServer[],
	{id, targetMs}: {readonly id: string; readonly targetMs: number},
	now: number,
): Choice | undefined {
	const server = placeCall(servers.map(server => ({
		server, requests: board.on(server.id).length, isSuspect: health.isSuspect(server.id, now) || server.coldUntil > now,
	})), failureDomain);
	return server && {
		server,
		helpers: [],
		reserved: [],
		placement: {
			id, server: server.id, helpers: [], prefillMs: 0, contextTokens: 0, reserved: [], gapTargetMs: 0, weight: CALL_WEIGHT, targetMs,
		},
		expectedMs: 0,
		considered: servers.length,
	};
}

type EngineChoice = {
	readonly servers: readonly BackendServer[];
	readonly engine: EngineProfile;
	readonly id: string;
	readonly targetMs: number;
};

function chooseEngine(parts: ChoiceParts, {facts, route}: GatewayRequest, {
	servers, engine, id, targetMs,
}: EngineChoice, now: number): Choice | undefined {
	const {
		board, health, cuts, failureDomain,
	} = parts;
	const promptTokens = facts.promptTokens ?? engine.usualPromptTokens;
	const outputTokens = Math.min(facts.maxOutputTokens ?? Infinity, facts.outputHint ?? facts.maxOutputTokens ?? engine.usualOutputTokens);
	const weight = promptTokens + (OUTPUT_TOKEN_WEIGHT * outputTokens);
	const gapTargetMs = route.kind.kind === 'stream' ? route.kind.gapTargetMs : route.targetLatencyMs;
	const request = {
		promptTokens, outputTokens, gapTargetMs, targetMs, weight, failureDomain,
	};
	const candidates = servers.map(server => ({
		server, entries: board.on(server.id), isSuspect: health.isSuspect(server.id, now) || server.coldUntil > now,
	}));
	const [placed] = cuts.connectedGroups(candidates, ({server}) => server.failureDomain, now)
		.map(group => placeGeneration(request, group, engine, now))
		.filter(option => option !== undefined)
		.sort((a, b) => a.loss - b.loss);
	return placed && {
		server: placed.server,
		helpers: placed.helpers,
		reserved: placed.reserved,
		placement: {
			id,
			server: placed.server.id,
			helpers: placed.helpers.map(helper => helper.id),
			prefillMs: placed.prefillMs,
			contextTokens: promptTokens + outputTokens - placed.reserved.reduce((sum, {tokens}) => sum + tokens, 0),
			reserved: placed.reserved.map(({server, tokens}) => ({server: server.id, tokens})),
			gapTargetMs,
			weight,
			targetMs,
		},
		expectedMs: placed.expectedMs,
		considered: servers.length,
	};
}
