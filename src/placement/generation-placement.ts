/**
 * Chooses the engine for a prompt and the engines that help to prefill it, so that the callers together lose least.
 *
 * Answers a load of many short prompts beside few long ones on the same engines. Prefill delays every stream that its
 * engine writes, and a long prompt on one engine takes seconds. Each way to split the prompt is therefore charged with
 * the chance that the request itself is late, and with the chance that it makes streams and waiting prompts late.
 * Writing in one batch costs little, so short prompts share engines, and the other engines stay free for long ones.
 *
 * Looks at each engine of the service. That is fine for the sixty of today; at 1,400 engines the candidates come from one
 * pool (docs/CAPACITY.md).
 */
import type {BackendServer} from '../fleet/backend-server.js';
import type {BoardEntry} from '../fleet/load-board.js';
import type {EngineProfile} from '../gateway/serving-configuration.js';
import {prefillMs} from './engine-model.js';
import {forecastServer, type ServerForecast} from './server-forecast.js';
import {overflowChance, unseenPlacements} from './unseen-placements.js';

/** Numbers of engines that are tried for one prompt. The protocol allows 16 helpers. */
const GROUP_SIZES = [1, 2, 3, 4, 6, 8, 10, 12, 14, 17] as const;
/** Parts below this size in tokens save less than the wait for the slowest helper costs: half a prefill chunk of 2,048. */
const MIN_PART_TOKENS = 1024;
/** Share of a request's value that is lost when it is late: the price list of both users keeps about a quarter. */
const LATE_LOSS = 0.75;
/** Below this share of its time a forecast counts as certainly on time, above the other one as certainly late. */
const SAFE_SHARE = 0.6;
const LATE_SHARE = 1.05;
/** Wait in ms for a slot of an engine whose slots are taken: about half of a usual answer. */
const SLOT_WAIT_MS = 1000;
/** Charges that decide between ways that lose alike, as shares of the request's weight. */
const SLOWNESS_CHARGE = 0.1;
const FREE_SLOTS_CHARGE = 0.08;
const EMPTY_ENGINE_CHARGE = 0.05;
const HELPER_CHARGE = 0.004;
const OTHER_DOMAIN_CHARGE = 0.005;
/** Part of an engine's free memory that a prompt larger than one engine may use; the rest covers outputs that grow. */
const FREE_MEMORY_SHARE = 0.9;
/** Charge for an engine that has failed lately or is cold. */
const SUSPECT_CHARGE = 0.5;

/** A prompt that has to be placed. */
export type GenerationRequest = {
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly gapTargetMs: number;
	/** Time in ms left to a first event that is on time. */
	readonly targetMs: number;
	readonly weight: number;
	/** Failure domain of this daemon. */
	readonly failureDomain: string;
};

/** An engine that may be used. */
export type EngineCandidate = {
	readonly server: BackendServer;
	readonly entries: readonly BoardEntry[];
	/** Cold, or has failed lately. */
	readonly isSuspect: boolean;
};

export type GenerationPlacement = {
	readonly server: BackendServer;
	readonly helpers: readonly BackendServer[];
	/** Memory that helpers have to hold, for a prompt larger than one engine's memory. */
	readonly reserved: ReadonlyArray<{readonly server: BackendServer; readonly tokens: number}>;
	/** Prefill in ms at each participant. */
	readonly prefillMs: number;
	/** Expected time in ms to the first event. */
	readonly expectedMs: number;
	/** Expected loss in units of weight. */
	readonly loss: number;
};

type Option = EngineCandidate & {readonly forecast: ServerForecast};

/** What is known of the engines when a prompt is placed. */
type Engines = {
	readonly options: readonly Option[];
	readonly profile: EngineProfile;
	/** Placements on the most attractive engine that are not known yet. */
	readonly unseen: number;
};

/** Chance that something expected after `expectedMs` misses `targetMs`. */
export function lateChance(expectedMs: number, targetMs: number): number {
	if (targetMs <= 0) {
		return 1;
	}

	const share = expectedMs / targetMs;
	return Math.min(1, Math.max(0, (share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE)));
}

/** The placement with the least loss, or undefined when the engines together do not have the memory. */
export function placeGeneration(
	request: GenerationRequest,
	candidates: readonly EngineCandidate[],
	profile: EngineProfile,
	now: number,
): GenerationPlacement | undefined {
	const options = candidates.map((candidate): Option => ({
		...candidate, forecast: forecastServer(candidate.server.id, candidate.entries, profile, now),
	}));
	const engines = {options, profile, unseen: unseenPlacements(options, now)};
	let best: GenerationPlacement | undefined;
	for (const size of GROUP_SIZES) {
		if (size > 1 && (size > options.length || request.promptTokens / size < MIN_PART_TOKENS)) {
			break;
		}

		const placement = placeOnGroup(request, engines, size);
		if (placement && (!best || placement.loss < best.loss)) {
			best = placement;
		}
	}

	return best;
}

function placeOnGroup(request: GenerationRequest, engines: Engines, size: number): GenerationPlacement | undefined {
	const {options, profile} = engines;
	const partMs = prefillMs(profile, request.promptTokens) / size;
	const ranked = options
		.map(option => ({option, charge: memberCharge(request, option, partMs)}))
		.sort((a, b) => a.charge - b.charge);
	const group = isOversize(request, profile) ? chooseLargeGroup(request, ranked, profile, size) : chooseGroup(request, ranked, engines, size);
	if (!group) {
		return undefined;
	}

	const {writer, helpers} = group;
	const members = [writer.option, ...helpers.map(({option}) => option)];
	const {forecast} = writer.option;
	const expectedMs = Math.max(...members.map(member => readyMs(member.forecast, partMs))) + passAfterPrefillMs(forecast) + slotWaitMs(forecast, profile);
	const own = request.weight * (
		(LATE_LOSS * lateChance(expectedMs, request.targetMs))
		+ (SLOWNESS_CHARGE * expectedMs / Math.max(1, request.targetMs))
		+ (HELPER_CHARGE * helpers.length)
	);
	const others = writer.charge + helpers.reduce((sum, {charge}) => sum + charge, 0);
	return {
		server: writer.option.server,
		helpers: helpers.map(({option}) => option.server),
		reserved: group.reserved,
		prefillMs: partMs,
		expectedMs,
		loss: own + others,
	};
}

type Ranked = {readonly option: Option; readonly charge: number};

type Group = {
	readonly writer: Ranked;
	readonly helpers: readonly Ranked[];
	readonly reserved: GenerationPlacement['reserved'];
};

const isOversize = (request: GenerationRequest, profile: EngineProfile): boolean => neededTokens(request) > profile.memoryTokens;

const neededTokens = (request: GenerationRequest): number => request.promptTokens + request.outputTokens;

const canHelp = (profile: EngineProfile) => ({option}: Ranked): boolean => option.forecast.helping < profile.slots;

/** The engine that writes, and those that only prefill. */
function chooseGroup(request: GenerationRequest, ranked: readonly Ranked[], {profile, unseen}: Engines, size: number): Group | undefined {
	const [writer] = ranked
		.filter(({option}) => hasMemory(request, option.forecast, profile))
		.map(({option, charge}) => ({option, charge: charge + writerCharge(request, option, profile, unseen)}))
		.sort((a, b) => a.charge - b.charge);
	const helpers = ranked.filter(item => item.option !== writer?.option).filter(canHelp(profile)).slice(0, size - 1);
	return writer && helpers.length === size - 1 ? {writer, helpers, reserved: []} : undefined;
}

/** The engine with the most free memory writes; those with the most free memory after it hold the rest. */
function chooseLargeGroup(request: GenerationRequest, ranked: readonly Ranked[], profile: EngineProfile, size: number): Group | undefined {
	const free = ({option}: Ranked): number => Math.floor(FREE_MEMORY_SHARE * (profile.memoryTokens - option.forecast.usedTokens));
	const [writer, ...others] = [...ranked].sort((a, b) => free(b) - free(a));
	if (!writer) {
		return undefined;
	}

	let missing = neededTokens(request) - free(writer);
	const holders: Ranked[] = [];
	const reserved: Array<{readonly server: BackendServer; readonly tokens: number}> = [];
	for (const holder of others.filter(canHelp(profile)).slice(0, size - 1)) {
		if (missing > 0 && free(holder) > 0) {
			const tokens = Math.min(missing, free(holder));
			reserved.push({server: holder.option.server, tokens});
			holders.push(holder);
			missing -= tokens;
		}
	}

	const rest = ranked.filter(item => item !== writer && !holders.includes(item)).filter(canHelp(profile));
	const helpers = [...holders, ...rest].slice(0, size - 1);
	return missing > 0 || helpers.length < size - 1 ? undefined : {writer, helpers, reserved};
}

/** Time in ms until an engine has done its part. A pass that is under way ends first, after half its time on average. */
const readyMs = (forecast: ServerForecast, partMs: number): number =>
	forecast.backlogMs + partMs + (forecast.writers.length > 0 ? forecast.passMs / 2 : 0);

/** The first event comes with the end of the pass in which the prompt was prefilled. */
const passAfterPrefillMs = (forecast: ServerForecast): number => forecast.writers.length > 0 ? forecast.passMs : 0;

const slotWaitMs = (forecast: ServerForecast, profile: EngineProfile): number =>
	Math.max(0, forecast.requests + 1 - profile.slots) * SLOT_WAIT_MS;

const hasMemory = (request: GenerationRequest, forecast: ServerForecast, profile: EngineProfile): boolean =>
	forecast.usedTokens + neededTokens(request) <= profile.memoryTokens;

/** What `partMs` of prefill on an engine costs those who are there already. */
function memberCharge(request: GenerationRequest, {forecast, isSuspect}: Option, partMs: number): number {
	const {writers, pending, passMs, backlogMs} = forecast;
	let loss = 0;
	for (const {weight, gapTargetMs} of writers) {
		const before = lateChance(passMs + backlogMs, gapTargetMs);
		loss += weight * LATE_LOSS * (lateChance(passMs + backlogMs + partMs, gapTargetMs) - before);
	}

	for (const {entry, startsInMs, dueInMs} of pending) {
		const before = lateChance(startsInMs, dueInMs);
		loss += entry.weight * LATE_LOSS * (lateChance(startsInMs + partMs, dueInMs) - before);
	}

	// Among engines where nobody loses, those with the least to do are taken.
	const load = (backlogMs + (writers.length * partMs)) / Math.max(1, request.targetMs);
	return loss + (request.weight * ((isSuspect ? SUSPECT_CHARGE : 0) + (HELPER_CHARGE * load)));
}

/** What it costs to let an engine write the answer. */
function writerCharge(request: GenerationRequest, {server, forecast}: Option, profile: EngineProfile, unseen: number): number {
	const overflow = LATE_LOSS * overflowChance(profile.slots - forecast.requests, unseen);
	const freeSlots = Math.max(0, 1 - (forecast.requests / profile.slots));
	const emptiness = (FREE_SLOTS_CHARGE * freeSlots) + (forecast.requests === 0 ? EMPTY_ENGINE_CHARGE : 0);
	const distance = server.failureDomain === request.failureDomain ? 0 : OTHER_DOMAIN_CHARGE;
	const waitMs = slotWaitMs(forecast, profile) + forecast.backlogMs + passAfterPrefillMs(forecast);
	return request.weight * (overflow + emptiness + distance + (SLOWNESS_CHARGE * waitMs / Math.max(1, request.targetMs)));
}
