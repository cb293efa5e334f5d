/**
 * Chooses the engine that generates the output of a prompt and the helper engines that share its prefill, such that the
 * expected loss over all requests is smallest.
 *
 * Designed for many short prompts and few long ones on the same engines. Prefill delays every stream that its engine is
 * decoding, and a long prompt on one engine takes seconds. Each way to split the prompt is therefore charged with the
 * probability that the request itself is late, and with the probability that it makes streams and waiting prompts late.
 * Decoding in one batch costs little, so short prompts share engines and the other engines stay free for long prompts.
 *
 * All daemons know the same placements but for the last ones, so dozens of daemons would choose the same engine at the same moment. The
 * daemons of a large fleet therefore order engines that differ little at random (docs/design/placement-spread.md).
 *
 * Examines every engine of the service. This is fast enough for the 60 engines in use now; with 1,400 engines the
 * candidates come from one pool (docs/CAPACITY.md).
 */
import type {BackendServer} from '../fleet/backend-server.js';
import type {PlacementEntry} from '../fleet/placement-table.js';
import type {EngineProfile} from '../gateway/serving-configuration.js';
import {prefillMs} from './engine-model.js';
import {forecastServer, type ServerForecast} from './server-forecast.js';
import {overflowProbability, expectedConcurrentPlacements} from './concurrent-placements.js';

/** Group sizes (decoding engine and helpers) that are tried for a prompt. The protocol allows 16 helpers. */
const ENGINE_GROUP_SIZES = [1, 2, 3, 4, 6, 8, 10, 12, 14, 17] as const;
/**
 * Largest share of the engines of a large fleet that one prompt delays for longer than `LONG_PART_MS`, unless its memory needs more. With most
 * engines in one group, short prompts that arrive meanwhile all wait behind it; the forecast knows only of those that are there.
 */
const MAX_GROUP_SHARE = 0.5;
/** Delay in ms of a running stream that its reader notices: the target of the gaps of short answers. */
const LONG_PART_MS = 250;
/** Smaller parts save less time than waiting for the slowest helper costs: half a prefill chunk of 2,048 tokens. */
const MIN_PART_TOKENS = 1024;
/** Share of a request's value that is lost when it is late: both users still pay about a quarter for a late response. */
const LATE_LOSS_SHARE = 0.75;
/** A forecast below the first share of the target is certainly on time; one above the second share is certainly late. */
const ON_TIME_SHARE = 0.6;
const LATE_SHARE = 1.05;
/** Expected wait in ms for a slot of a full engine: about half the duration of a typical response. */
const SLOT_WAIT_MS = 1000;
/** Charges that break ties between placements with equal loss, as shares of the request's weight. */
const LATENCY_CHARGE = 0.1;
const FREE_SLOTS_CHARGE = 0.08;
const EMPTY_ENGINE_CHARGE = 0.05;
const HELPER_CHARGE = 0.004;
const OTHER_DOMAIN_CHARGE = 0.005;
/**
 * Range of the random charges by which daemons of a large fleet differ in their order of engines, as shares of the request's weight: larger
 * than the charges that all daemons compute alike, so that simultaneous requests go to different engines, and smaller than the loss
 * of a late event.
 */
const DECODE_SPREAD_CHARGE = 0.1;
const PREFILL_SPREAD_CHARGE = 0.01;
/**
 * Charge of a large fleet for decoding in another failure domain, beyond the random one: the stream breaks when the failure domains are cut
 * off from each other. A helper is needed for the prefill only and costs `OTHER_DOMAIN_CHARGE`.
 */
const DECODE_DOMAIN_CHARGE = 0.15;
/** Share of an engine's free memory available to a prompt larger than one engine; the rest is kept for growing outputs. */
const FREE_MEMORY_SHARE = 0.9;
/**
 * Charge for decoding on an engine beyond its pace, as a share of the request's weight, for each unit of its load relative to its limit: as
 * much as for being late, so that it is used if the request would be late on all others, and the one with the most room first.
 */
const BEYOND_PACE_CHARGE = LATE_LOSS_SHARE;
/** Charge for an engine that is cold or has failed recently, as a share of the request's weight. */
const SUSPECT_CHARGE = 0.5;

/** A prompt to be placed. */
export type GenerationRequest = {
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly gapTargetMs: number;
	/** Time left in ms until the first event is late. */
	readonly targetMs: number;
	readonly weight: number;
	/** Failure domain of this daemon. */
	readonly failureDomain: string;
};

/** An engine that the prompt may be placed on. */
export type EngineCandidate = {
	readonly server: BackendServer;
	readonly entries: readonly PlacementEntry[];
	/** The engine is cold or has failed recently. */
	readonly isSuspect: boolean;
	/** The engine takes no further request now; it may still help with others. */
	readonly isAtLimit: boolean;
	/** Load of an engine beyond its pace, relative to the limit of its pace (docs/design/server-pace.md); undefined within it. */
	readonly loadBeyondPace?: number | undefined;
	/** Random number between 0 and 1, by which simultaneous placements of a large fleet differ; undefined where daemons need not differ. */
	readonly spread?: number;
};

export type GenerationPlacement = {
	readonly server: BackendServer;
	readonly helpers: readonly BackendServer[];
	/** Memory to reserve on helpers, for a prompt that exceeds one engine's memory. */
	readonly reserved: ReadonlyArray<{readonly server: BackendServer; readonly tokens: number}>;
	/** Prefill time in ms on each engine of the group. */
	readonly prefillMs: number;
	/** Expected time in ms to the first event. */
	readonly expectedMs: number;
	/** Expected loss in units of weight. */
	readonly loss: number;
};

type ForecastEngine = EngineCandidate & {readonly forecast: ServerForecast};

/** State of the engines at the time of the placement. */
type PlacementContext = {
	readonly engines: readonly ForecastEngine[];
	readonly profile: EngineProfile;
	/** Prefill time in ms of the prompt on one engine. */
	readonly promptMs: number;
	/** Largest number of engines that the prompt may delay for longer than `LONG_PART_MS`. */
	readonly maxDelayed: number;
	/** Expected number of concurrent placements by other daemons on the preferred engine. */
	readonly concurrentPlacements: number;
};

/** Probability that an event expected after `expectedMs` misses `targetMs`. */
export function lateProbability(expectedMs: number, targetMs: number): number {
	if (targetMs <= 0) {
		return 1;
	}

	const share = expectedMs / targetMs;
	return Math.min(1, Math.max(0, (share - ON_TIME_SHARE) / (LATE_SHARE - ON_TIME_SHARE)));
}

/** Returns the placement with the least expected loss, or undefined if the engines together lack the memory. */
export function placeGeneration(
	request: GenerationRequest,
	candidates: readonly EngineCandidate[],
	profile: EngineProfile,
	now: number,
): GenerationPlacement | undefined {
	const engines = candidates.map((candidate): ForecastEngine => ({
		...candidate, forecast: forecastServer(candidate.server.id, candidate.entries, profile, now),
	}));
	const isLargeFleet = engines.some(({spread}) => spread !== undefined);
	const context = {
		engines,
		profile,
		promptMs: prefillMs(profile, request.promptTokens),
		maxDelayed: isLargeFleet ? MAX_GROUP_SHARE * engines.length : Infinity,
		concurrentPlacements: expectedConcurrentPlacements(engines, now),
	};
	let best: GenerationPlacement | undefined;
	for (const size of ENGINE_GROUP_SIZES) {
		if (size > 1 && (size > engines.length || request.promptTokens / size < MIN_PART_TOKENS)) {
			break;
		}

		if (best && size > context.maxDelayed && context.promptMs / size > LONG_PART_MS) {
			break;
		}

		const placement = placeOnGroup(request, context, size);
		if (placement && (!best || placement.loss < best.loss)) {
			best = placement;
		}
	}

	return best;
}

function placeOnGroup(request: GenerationRequest, context: PlacementContext, size: number): GenerationPlacement | undefined {
	const {engines, profile, promptMs} = context;
	const partMs = promptMs / size;
	const ranked = engines
		.map(engine => ({engine, charge: prefillCharge(request, engine, partMs)}))
		.sort((a, b) => a.charge - b.charge);
	const group = exceedsEngineMemory(request, profile) ? chooseOversizeGroup(request, ranked, profile, size) : chooseGroup(request, ranked, context, size);
	if (!group) {
		return undefined;
	}

	const {decoder, helpers} = group;
	const members = [decoder.engine, ...helpers.map(({engine}) => engine)];
	const {forecast} = decoder.engine;
	const expectedMs = Math.max(...members.map(member => partDoneMs(member.forecast, partMs))) + passAfterPrefillMs(forecast) + slotWaitMs(forecast, profile);
	const ownLoss = request.weight * (
		(LATE_LOSS_SHARE * lateProbability(expectedMs, request.targetMs))
		+ (LATENCY_CHARGE * expectedMs / Math.max(1, request.targetMs))
		+ (HELPER_CHARGE * helpers.length)
	);
	const otherLoss = decoder.charge + helpers.reduce((sum, {charge}) => sum + charge, 0);
	return {
		server: decoder.engine.server,
		helpers: helpers.map(({engine}) => engine.server),
		reserved: group.reserved,
		prefillMs: partMs,
		expectedMs,
		loss: ownLoss + otherLoss,
	};
}

type RankedEngine = {readonly engine: ForecastEngine; readonly charge: number};

type EngineGroup = {
	readonly decoder: RankedEngine;
	readonly helpers: readonly RankedEngine[];
	readonly reserved: GenerationPlacement['reserved'];
};

const exceedsEngineMemory = (request: GenerationRequest, profile: EngineProfile): boolean => neededTokens(request) > profile.memoryTokens;

const neededTokens = (request: GenerationRequest): number => request.promptTokens + request.outputTokens;

const canHelp = (profile: EngineProfile) => ({engine}: RankedEngine): boolean => engine.forecast.helperRequests < profile.slots;

/** Chooses the engine that prefills and decodes, and the helpers that only prefill. */
function chooseGroup(request: GenerationRequest, ranked: readonly RankedEngine[], {profile, concurrentPlacements}: PlacementContext, size: number): EngineGroup | undefined {
	const [decoder] = ranked
		.filter(({engine}) => !engine.isAtLimit && hasMemory(request, engine.forecast, profile))
		.map(({engine, charge}) => ({engine, charge: charge + decodeCharge(request, engine, profile, concurrentPlacements)}))
		.sort((a, b) => a.charge - b.charge);
	const helpers = ranked.filter(item => item.engine !== decoder?.engine).filter(canHelp(profile)).slice(0, size - 1);
	return decoder && helpers.length === size - 1 ? {decoder, helpers, reserved: []} : undefined;
}

/** Chooses the engine with the most free memory for decoding; the engines with the next most free memory hold the rest. */
function chooseOversizeGroup(request: GenerationRequest, ranked: readonly RankedEngine[], profile: EngineProfile, size: number): EngineGroup | undefined {
	const freeTokens = ({engine}: RankedEngine): number => Math.floor(FREE_MEMORY_SHARE * (profile.memoryTokens - engine.forecast.usedTokens));
	const byFreeTokens = [...ranked].sort((a, b) => freeTokens(b) - freeTokens(a));
	const decoder = byFreeTokens.find(({engine}) => !engine.isAtLimit && engine.loadBeyondPace === undefined) ?? byFreeTokens.find(({engine}) => !engine.isAtLimit);
	if (!decoder) {
		return undefined;
	}

	let missingTokens = neededTokens(request) - freeTokens(decoder);
	const holders: RankedEngine[] = [];
	const reserved: Array<{readonly server: BackendServer; readonly tokens: number}> = [];
	for (const holder of byFreeTokens.filter(item => item !== decoder).filter(canHelp(profile)).slice(0, size - 1)) {
		if (missingTokens > 0 && freeTokens(holder) > 0) {
			const tokens = Math.min(missingTokens, freeTokens(holder));
			reserved.push({server: holder.engine.server, tokens});
			holders.push(holder);
			missingTokens -= tokens;
		}
	}

	const otherHelpers = ranked.filter(item => item !== decoder && !holders.includes(item)).filter(canHelp(profile));
	const helpers = [...holders, ...otherHelpers].slice(0, size - 1);
	return missingTokens > 0 || helpers.length < size - 1 ? undefined : {decoder, helpers, reserved};
}

/** Time in ms until an engine finishes its part. A running pass has to end first, after half its duration on average. */
const partDoneMs = (forecast: ServerForecast, partMs: number): number =>
	forecast.backlogMs + partMs + (forecast.decoding.length > 0 ? forecast.passMs / 2 : 0);

/** The first event is sent at the end of the pass in which the prompt was prefilled. */
const passAfterPrefillMs = (forecast: ServerForecast): number => forecast.decoding.length > 0 ? forecast.passMs : 0;

const slotWaitMs = (forecast: ServerForecast, profile: EngineProfile): number =>
	Math.max(0, forecast.requests + 1 - profile.slots) * SLOT_WAIT_MS;

const hasMemory = (request: GenerationRequest, forecast: ServerForecast, profile: EngineProfile): boolean =>
	forecast.usedTokens + neededTokens(request) <= profile.memoryTokens;

const isOwnDomain = (request: GenerationRequest, {server}: ForecastEngine): boolean => server.failureDomain === request.failureDomain;

/** Expected loss that `partMs` of prefill on an engine causes for the requests that it already has. */
function prefillCharge(request: GenerationRequest, engine: ForecastEngine, partMs: number): number {
	const {forecast, isSuspect} = engine;
	const {decoding, pending, passMs, backlogMs} = forecast;
	let loss = 0;
	for (const {weight, gapTargetMs} of decoding) {
		const before = lateProbability(passMs + backlogMs, gapTargetMs);
		loss += weight * LATE_LOSS_SHARE * (lateProbability(passMs + backlogMs + partMs, gapTargetMs) - before);
	}

	for (const {entry, firstEventInMs, dueInMs} of pending) {
		const before = lateProbability(firstEventInMs, dueInMs);
		loss += entry.weight * LATE_LOSS_SHARE * (lateProbability(firstEventInMs + partMs, dueInMs) - before);
	}

	// Among engines where no request loses, the one with the least work is preferred.
	const load = (backlogMs + (decoding.length * partMs)) / Math.max(1, request.targetMs);
	const spreadCharge = engine.spread === undefined
		? 0
		: (PREFILL_SPREAD_CHARGE * engine.spread) + (isOwnDomain(request, engine) ? 0 : OTHER_DOMAIN_CHARGE);
	return loss + (request.weight * ((isSuspect ? SUSPECT_CHARGE : 0) + (HELPER_CHARGE * load) + spreadCharge));
}

/** Expected loss and tie-breaking charges of decoding the request on an engine. */
function decodeCharge(request: GenerationRequest, engine: ForecastEngine, profile: EngineProfile, concurrentPlacements: number): number {
	const {forecast, spread, loadBeyondPace = 0} = engine;
	const overflowLoss = LATE_LOSS_SHARE * overflowProbability(profile.slots - forecast.requests, concurrentPlacements);
	const freeSlots = Math.max(0, 1 - (forecast.requests / profile.slots));
	const freeSlotsCharge = (FREE_SLOTS_CHARGE * freeSlots) + (forecast.requests === 0 ? EMPTY_ENGINE_CHARGE : 0);
	const otherDomainCharge = isOwnDomain(request, engine) ? 0 : (spread === undefined ? OTHER_DOMAIN_CHARGE : DECODE_DOMAIN_CHARGE);
	const spreadCharge = spread === undefined ? 0 : DECODE_SPREAD_CHARGE * spread;
	const waitMs = slotWaitMs(forecast, profile) + forecast.backlogMs + passAfterPrefillMs(forecast);
	return request.weight * (overflowLoss + freeSlotsCharge + otherDomainCharge + spreadCharge + (LATENCY_CHARGE * waitMs / Math.max(1, request.targetMs)) + (BEYOND_PACE_CHARGE * loadBeyondPace));
}
