/**
 * Explains where a request would go now, and why, without sending it.
 *
 * The decision comes from {@link DestinationChoice}, which reports the inputs of its choice as it makes it; everything runs in one turn, so
 * that servers and decision show one state. Nothing outside is changed: no placement is opened, no wait begins, no token is taken.
 */
import {placeGeneration, type EngineCandidate} from '../placement/generation-placement.js';
import {chooseLeastLoaded} from '../placement/least-loaded.js';
import {forecastServer} from '../placement/server-forecast.js';
import type {BeyondPace} from '../scheduling/server-pace.js';
import type {Failure} from '../util/failure.js';
import {DestinationChoice, type NextDestination} from './destination-choice.js';
import type {
	ExplainedDecision, ExplainedServer, ExplainError, ExplainQuery, Explanation,
} from './explanation.js';
import type {FlowParts} from './flow-parts.js';
import {clientSilenceLimitMs, urgencyOf, type RoutedRequest} from './gateway-request.js';
import {decideRequestWait} from './place-wait.js';
import {admitToRoute, findRoute, noConfigurationFailure} from './request-admission.js';
import type {RouteTable} from './route-table.js';
import {
	isAllowedDomain, placeOnGroups, waitMs, type ConsideredServers, type ServerChoice,
} from './server-choice.js';
import type {EngineProfile, Route} from './serving-configuration.js';

/** Digest of a request without a body. It has no hexadecimal digits, so no request that crashes servers has it. */
const UNKNOWN_IDENTITY = {digest: 'unknown'};
const REQUEST_ID = 'explained';
/** Bytes of a prompt token, as in the estimate of prompt lengths. */
const BYTES_PER_TOKEN = 4;
/** Engines that are examined for equal ones. Each takes a whole choice, about 0.9 ms with 60 engines, in which the daemon serves nothing else. */
const MAX_EQUAL_SERVERS = 8;

export type ExplanationParts = FlowParts & {
	routeTable(): RouteTable | undefined;
	/** Limits a deadline to the time that this daemon has left, or refuses the request. */
	limitDeadline(route: Route, deadline: number): number | Failure;
};

/** Explains a query by the configuration in force. */
export function explainQuery(parts: ExplanationParts, query: ExplainQuery, now: number): Explanation | ExplainError {
	const table = parts.routeTable();
	if (!table) {
		return refusedEarly(noConfigurationFailure());
	}

	const {routes, workspaces = []} = table.configuration;
	const [path = ''] = (query.path ?? '').split('?');
	const route = query.route === undefined ? findRoute(table, query.host!, path) : routes.find(({name}) => name === query.route);
	if (!route) {
		return {error: {field: 'route', message: `names no route of configuration version ${table.version}`}};
	}

	const workspace = workspaces.find(({name}) => name === query.workspace);
	if (query.workspace !== undefined && !workspace) {
		return {error: {field: 'workspace', message: `names no workspace of configuration version ${table.version}`}};
	}

	if ('code' in route) {
		return refusedEarly(route, table.version);
	}

	const admitted = admitToRoute(table, route, workspace ? {kind: 'workspace', workspace} : table.checkAccess(route, undefined), () => parts.random());
	if ('code' in admitted) {
		return refusedEarly(admitted, table.version);
	}

	const deadline = parts.limitDeadline(route, now + route.timeoutMs);
	if (typeof deadline !== 'number') {
		return refusedEarly(deadline, table.version);
	}

	const {promptTokens, outputTokens, parts: sharedParts = []} = query;
	const request: RoutedRequest = {
		...admitted,
		id: REQUEST_ID,
		metadata: {
			attemptId: undefined, deadlineMs: undefined, apiKey: undefined, promptTokens, sharedParts, maxOutputTokens: outputTokens, outputHint: undefined, lastEventId: undefined,
		},
		isRelayed: false,
		configuration: table.version,
		arrivedAt: now,
		deadline,
	};
	return {...explainRequest(parts, request, now), configuration: table.version, request: describeRequest(request, table)};
}

/** Explains a request that is admitted. */
export function explainRequest(parts: FlowParts, request: RoutedRequest, now: number): Pick<Explanation, 'queue' | 'servers' | 'decision'> {
	const {dispatcher} = parts;
	const {service, metadata: {sharedParts}} = request;
	let considered: ConsideredServers | undefined;
	let beyondPace: BeyondPace = new Map();
	const {pace} = parts;
	const observed: FlowParts = {
		...parts,
		pace: pace && {
			findBeyondPace(offer, at) {
				beyondPace = pace.previewBeyondPace(offer, at);
				return beyondPace;
			},
			previewBeyondPace: (offer, at) => pace.previewBeyondPace(offer, at),
			recordExpected() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			recordFailure() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		},
		onConsidered(inputs) {
			considered = inputs;
		},
	};
	const destinations = DestinationChoice.create(observed, request, {parts: sharedParts, identity: UNKNOWN_IDENTITY});
	const {next, longestMs} = decide(parts, request, destinations, now);
	const choice = next.kind === 'server' ? next.choice : undefined;
	return {
		queue: {isUsed: dispatcher.mayWait(service), waiting: dispatcher.size, position: dispatcher.requestsAhead(service.name, urgencyOf(request, parts.roomShares), now) + 1},
		servers: describeServers(parts, request, {considered, choice, beyondPace}, now),
		decision: describeDecision(next, longestMs, choice && considered ? findEqual(considered, choice, {engine: service.engine, failureDomain: parts.failureDomain}, now) : []),
	};
}

/** The last choice that the flow of a request would make before it sends, waits or fails. `longestMs`: longest wait in ms; undefined without one. */
function decide(parts: FlowParts, request: RoutedRequest, destinations: DestinationChoice, now: number): {readonly next: NextDestination; readonly longestMs: number | undefined} {
	const next = destinations.choose('not_run', now);
	if (next.kind !== 'refused' || !next.shortage) {
		return {next, longestMs: undefined};
	}

	const {shortage} = next;
	const bytes = (request.metadata.promptTokens ?? 0) * BYTES_PER_TOKEN;
	const wait = parts.dispatcher.mayWait(request.service) && parts.dispatcher.admits(bytes) ? decideRequestWait(request, shortage, now) : undefined;
	if (wait?.kind === 'wait') {
		return {next, longestMs: wait.giveUpAt - now};
	}

	if (shortage.why !== 'long_prompts') {
		return {next: {...next, failure: destinations.orderReturn(next.failure, shortage, now, false)}, longestMs: undefined};
	}

	// A request that was only held back for others is placed instead.
	destinations.endHold();
	return {next: destinations.choose('not_run', now), longestMs: undefined};
}

function describeDecision(next: NextDestination, longestMs: number | undefined, equalServers: string[]): ExplainedDecision {
	switch (next.kind) {
		case 'host': {
			return {kind: 'host', address: next.address};
		}

		case 'server': {
			const {server, helpers, reserved, expectedMs} = next.choice;
			return {
				kind: 'server',
				server: server.id,
				failureDomain: server.failureDomain,
				expectedMs,
				helpers: helpers.map(({id}) => id),
				reserved: reserved.map(share => ({server: share.server.id, tokens: share.tokens})),
				equalServers,
			};
		}

		case 'refused': {
			const {failure, shortage} = next;
			return shortage && longestMs !== undefined
				? {
					kind: 'wait', why: shortage.why, placeInMs: shortage.placeInMs, isKnown: shortage.isKnown, longestMs,
				}
				: describeFailure(failure);
		}
	}
}

const describeFailure = ({code, message, retryAfterMs}: Failure): ExplainedDecision => ({
	kind: 'refused', code, message, retryAfterMs,
});

const refusedEarly = (failure: Failure, configuration?: number): Explanation => ({configuration, servers: [], decision: describeFailure(failure)});

function describeRequest(request: RoutedRequest, {configuration: {limits}}: RouteTable): NonNullable<Explanation['request']> {
	const {
		route, workspace, service, rank, urgency, arrivedAt, deadline,
	} = request;
	const regions = route.regions && workspace?.regions ? route.regions.filter(region => workspace.regions!.includes(region)) : route.regions ?? workspace?.regions;
	return {
		route: route.name,
		workspace: workspace?.name,
		service: service.name,
		services: [...route.services],
		rank,
		urgency,
		deadlineMs: deadline - arrivedAt,
		targetMs: route.targetLatencyMs,
		silenceLimitMs: clientSilenceLimitMs(route),
		regions: regions && [...regions],
		maxBodyBytes: limits.maxBodyBytes,
		coldRequestsPerSecond: service.coldRequestsPerSecond,
	};
}

type MadeChoice = {
	readonly considered: ConsideredServers | undefined;
	readonly choice: ServerChoice | undefined;
	readonly beyondPace: BeyondPace;
};

function describeServers(parts: FlowParts, request: RoutedRequest, made: MadeChoice, now: number): ExplainedServer[] {
	const {service: {name, engine}} = request;
	return parts.fleet.describeServers(name, now).map(({server, unusable}) => {
		const {id, failureDomain, coldUntil} = server;
		const entries = parts.placements.entriesOn(id);
		const forecast = engine && forecastServer(id, entries, engine, now);
		const alone = engine && placeAlone(made.considered, id, engine, now);
		const limitWaitMs = waitMs(parts, request, server, now);
		const reason = (): ExplainedServer['leftOut'] => {
			if (unusable ?? !isAllowedDomain(parts, request, failureDomain)) {
				return unusable ?? 'region_not_allowed';
			}

			if (parts.limits.isClosed(id, now)) {
				return 'closed';
			}

			if (limitWaitMs > 0) {
				return 'at_limit';
			}

			if (made.beyondPace.has(id)) {
				return 'at_pace';
			}

			if (!made.considered) {
				return 'not_examined';
			}

			return engine && made.considered.kind === 'engines' && !alone && !isOversize(made.considered, engine) ? 'no_memory' : 'costs_more';
		};

		const isUsed = made.choice !== undefined && [made.choice.server, ...made.choice.helpers].some(used => used.id === id);
		return {
			server: id,
			failureDomain,
			requests: forecast?.requests ?? entries.length,
			backlogMs: forecast?.backlogMs,
			usedTokens: forecast?.usedTokens,
			expectedMs: alone?.expectedMs,
			isSuspect: parts.health.isSuspect(id, now),
			isCold: coldUntil > now,
			limitWaitMs,
			leftOut: isUsed ? null : reason(),
		};
	});
}

const isOversize = ({request: {promptTokens, outputTokens}}: Extract<ConsideredServers, {kind: 'engines'}>, {memoryTokens}: EngineProfile): boolean =>
	promptTokens + outputTokens > memoryTokens;

/** Placement on one engine without helpers, and without its random charge, so that losses of engines can be compared. */
function placeAlone(considered: ConsideredServers | undefined, id: string, engine: EngineProfile, now: number) {
	const candidate = considered?.kind === 'engines' ? considered.groups.flat().find(({server}) => server.id === id) : undefined;
	return candidate && considered?.kind === 'engines' ? placeGeneration(considered.request, [{...candidate, spread: candidate.spread && 0}], engine, now) : undefined;
}

/** Servers that other random numbers could have chosen, and the chosen one; empty if there are none, or no random numbers. */
function findEqual(
	considered: ConsideredServers,
	{server: {id: chosen}}: ServerChoice,
	{engine, failureDomain}: {readonly engine: EngineProfile | undefined; readonly failureDomain: string},
	now: number,
): string[] {
	const candidates: ReadonlyArray<Pick<EngineCandidate, 'server' | 'spread'>> = considered.kind === 'plain'
		? considered.candidates
		: [...new Map(considered.groups.flat().map(candidate => [candidate.server.id, candidate])).values()];
	if (candidates.every(({spread}) => spread === undefined)) {
		return [];
	}

	/** Makes the random numbers favour one server as far as they can. */
	const favour = <T extends Pick<EngineCandidate, 'server' | 'spread'>>(items: readonly T[], favoured: string): readonly T[] =>
		items.map(item => ({...item, spread: item.server.id === favoured ? 0 : 1}));
	const chooseWith = (favoured: string): string | undefined => considered.kind === 'plain'
		? chooseLeastLoaded(favour(considered.candidates, favoured), failureDomain)?.id
		: engine && placeOnGroups(considered.request, considered.groups.map(group => favour(group, favoured)), engine, now)?.server.id;
	/** Servers that cannot take the request alone come last. */
	const lossOf = (id: string): number => (engine && placeAlone(considered, id, engine, now)?.loss) ?? Number.MAX_VALUE;
	const nearest = candidates
		.map(({server: {id}}) => ({id, loss: lossOf(id)}))
		.filter(({id}) => id !== chosen)
		.sort((a, b) => a.loss - b.loss)
		.slice(0, MAX_EQUAL_SERVERS - 1);
	const others = nearest.filter(({id}) => chooseWith(id) === id).map(({id}) => id);
	return others.length === 0 ? [] : [chosen, ...others];
}
