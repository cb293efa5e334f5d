/**
 * Finds, by how it answers, how many requests all daemons together should have on a server that has just started, returned or failed. The
 * limit is a preference: a server beyond it gets a request that no server within its own may take.
 *
 * Each daemon learns from the placements of all daemons, so that all come to about the same limit and none has to find it out alone.
 * Placements are heard of 5 to 45 ms late. Of the daemons that see the same room at once, each sends with the probability by which the
 * expected number of requests sent unheard of each other is the room, so the number of daemons does not multiply the pace.
 *
 * Designed for up to some hundreds of daemons with about one request a second each.
 */
import type {BackendServer} from '../fleet/backend-server.js';
import type {PlacementEntry, PlacementListener, PlacementTable} from '../fleet/placement-table.js';
import {DecayingCount} from '../util/decaying-count.js';
import {uniformHash} from '../util/uniform-hash.js';
import {OverloadEvidence, type JudgedServer} from './overload-evidence.js';
import {
	isFailing, isHeld, limitOf, nextPhase, phaseKinds, type Observation, type PacePhase, type PhaseKind,
} from './pace-phase.js';

/** Time in ms after which the placements of other daemons are known. */
const MESSAGE_DELAY_MS = 45;
/** Half-life in ms of the count of requests by which their rate is estimated. */
const RATE_HALF_LIFE_MS = 500;
/** Time in ms from the first request of a service for which its servers may be unknown only because this daemon has started. */
const SETTLING_MS = 3000;
/** Age in ms of a server that counts as just started for a daemon that has started itself. */
const NEW_SERVER_MS = 10_000;
/** Time in ms without being usable, while others of its service were, after which a server counts as returned. */
const AWAY_MS = 1000;
/** A first event is slow after this multiple of what the cost figures let expect, and a margin in ms of a few passes. */
const SLOW_FIRST_EVENT = 2;
const FIRST_EVENT_MARGIN_MS = 100;
/** A plain answer is slow after this multiple of the usual duration of its service, and at least this much more in ms. */
const SLOW_ANSWER = 2;
const ANSWER_MARGIN_MS = 50;
/** Weight of a new answer in the moving average of the usual duration. */
const DURATION_WEIGHT = 0.1;
/** A request of another daemon that ends sooner than this, in ms, without an answer was refused. */
const REFUSED_WITHIN_MS = 150;
/** Time in ms after which a request without a first event does not keep a further one from the server. */
const ABANDONED_MS = 2000;
/** Half-life in ms of the counts by which a server without a limit is found to be in trouble. */
const TROUBLE_HALF_LIFE_MS = 1000;
/** Failures, or slow answers, and their shares, above which a server without a limit gets one. */
const TROUBLE = {failures: {least: 2.5, share: 0.3}, slow: {least: 5, share: 0.6}} as const;
/** Factor of the load of a server that fails again and again, so that others are asked first however many requests they have. */
const FAILING_LOAD = 1000;
/** Interval in ms at which a daemon that does not hear all others draws again whether it may use a part of a request. */
const SHARE_SLOT_MS = 1000;

export type PhaseChange = {
	readonly server: string;
	readonly before: PhaseKind;
	readonly phase: PhaseKind;
	/** Undefined without a limit. */
	readonly limit: number | undefined;
};

export type ServerPaceOptions = {
	readonly placements: Pick<PlacementTable, 'entriesOn'>;
	/** Id of this daemon in its placements. */
	readonly daemon: string;
	/** Number of known daemons, with this one. */
	daemons(): number;
	/** Share of the known daemons that this one hears now, with itself. */
	heardShare(now: number): number;
	unixTime(): number;
	onPhase(change: PhaseChange): void;
};

/** Tells bad answers that show an overload from those that show a fault of their server. */
export type AnswerJudge = {
	/** Records an answer. Returns whether it is a bad one that is no fault of its server. */
	record(server: JudgedServer, observation: Observation, now: number): boolean;
	retain(known: ReadonlySet<string>): void;
};

/** Servers beyond their pace: the requests that each would have with one more, relative to its limit. */
export type BeyondPace = ReadonlyMap<string, number>;

/** A request that looks for a server. */
export type Offer = {
	readonly request: string;
	readonly service: string;
	/** All servers of the service that are usable now. */
	readonly servers: readonly BackendServer[];
};

type ServerState = {
	phase: PacePhase;
	/** Undefined while only messages of other daemons name the server. */
	server: BackendServer | undefined;
	offeredAt: number;
	/** Placements by id: the time in ms after which each is slow, and whether it has been judged. */
	readonly expected: Map<string, {readonly allowedMs: number; isJudged: boolean}>;
	readonly trouble: Trouble;
};

type ServiceState = {
	readonly firstOfferAt: number;
	lastOfferAt: number;
	lastRequest: string | undefined;
	readonly offers: DecayingCount;
	readonly placements: DecayingCount;
	/** Usual duration in ms of a plain answer; undefined before the first one. */
	usualMs: number | undefined;
};

type Trouble = {readonly answers: DecayingCount; readonly failures: DecayingCount; readonly slow: DecayingCount};

export class ServerPace implements PlacementListener {
	static create(options: ServerPaceOptions, judge: AnswerJudge = OverloadEvidence.create()): ServerPace {
		return new ServerPace(options, judge);
	}

	readonly #servers = new Map<string, ServerState>();
	readonly #services = new Map<string, ServiceState>();
	/** Time to the first event that was expected when this daemon chose the server, by placement. */
	readonly #ownExpectedMs = new Map<string, number>();
	#lastOwnEnd: {readonly id: string; readonly placedAt: number; readonly open: number} | undefined;

	private constructor(private readonly options: ServerPaceOptions, private readonly judge: AnswerJudge) {}

	/** Number of servers in each phase. */
	get phases(): Readonly<Record<PhaseKind, number>> {
		const counts = Object.fromEntries(phaseKinds.map(kind => [kind, 0])) as Record<PhaseKind, number>;
		for (const {phase} of this.#servers.values()) {
			counts[phase.kind]++;
		}

		return counts;
	}

	/** Returns the offered servers that would be beyond their pace with the request. */
	findBeyondPace({request, service: name, servers}: Offer, now: number): BeyondPace {
		const service = this.#serviceOf(name, now);
		const states = servers.map(server => this.#offer(server, service, now));
		if (service.lastRequest !== request) {
			service.lastRequest = request;
			service.offers.add(now);
		}

		service.lastOfferAt = now;
		return this.#beyondPace(states, {request, service}, now);
	}

	/** Returns what `findBeyondPace` would return, as far as is known without the offer, and records nothing. */
	previewBeyondPace({request, service: name, servers}: Offer, now: number): BeyondPace {
		const service = this.#services.get(name);
		const states = servers.map(({id}) => this.#servers.get(id)).filter(state => state?.server !== undefined);
		return service ? this.#beyondPace(states as ServerState[], {request, service}, now) : new Map();
	}

	/** Records the expected time in ms to the first event of a request that this daemon is about to place. */
	recordExpected(placement: string, expectedMs: number): void {
		this.#ownExpectedMs.set(placement, expectedMs);
	}

	/** Records that a request of this daemon, whose placement has just been closed, was not served. */
	recordFailure(server: string, {placement, isRejected}: {readonly placement: string; readonly isRejected: boolean}, now: number): void {
		const {placedAt, open} = this.#lastOwnEnd?.id === placement ? this.#lastOwnEnd : {placedAt: now, open: this.#open(server) + 1};
		this.#observe(server, {kind: isRejected ? 'rejected' : 'failed', placedAt, open}, now);
	}

	opened(entry: PlacementEntry, now: number): void {
		const {id, server, startedAt, prefillMs, targetMs} = entry;
		const state = this.#stateOf(server);
		const service = state.server && this.#services.get(state.server.service);
		if (service) {
			service.placements.add(now);
		}

		if (startedAt === undefined) {
			state.expected.set(id, {allowedMs: prefillMs > 0 ? this.#allowedFirstEventMs(entry) : allowedAnswerMs(service?.usualMs, targetMs), isJudged: false});
		}

		this.#ownExpectedMs.delete(id);
		if (state.phase.kind === 'born') {
			this.#setPhase(server, state, {kind: 'probed'});
		}
	}

	started(entry: PlacementEntry, now: number): void {
		const {id, server, placedAt} = entry;
		const expected = this.#stateOf(server).expected.get(id);
		if (expected && !expected.isJudged) {
			expected.isJudged = true;
			this.#observe(server, {kind: now - placedAt <= expected.allowedMs ? 'good' : 'slow', placedAt, open: this.#open(server)}, now);
		}
	}

	closed(entry: PlacementEntry, isAnswered: boolean, now: number): void {
		const {id, server, daemon, placedAt, startedAt, prefillMs} = entry;
		const state = this.#stateOf(server);
		const expected = state.expected.get(id);
		const open = this.#open(server) + 1;
		const ms = now - placedAt;
		state.expected.delete(id);
		if (daemon === this.options.daemon) {
			this.#lastOwnEnd = {id, placedAt, open};
		}

		if (startedAt !== undefined || !expected || expected.isJudged) {
			return;
		}

		if (isAnswered) {
			// The cost figures tell nothing of the whole answer of an engine.
			const isGood = prefillMs > 0 || ms <= expected.allowedMs;
			this.#learnDuration(state, isGood && prefillMs === 0 ? ms : undefined);
			this.#observe(server, {kind: isGood ? 'good' : 'slow', placedAt, open}, now);
		} else if (daemon !== this.options.daemon) {
			this.#observe(server, {kind: ms < REFUSED_WITHIN_MS ? 'rejected' : 'failed', placedAt, open}, now);
		}
	}

	/** Removes servers that are not in `known`. */
	retain(known: ReadonlySet<string>): void {
		for (const server of this.#servers.keys()) {
			if (!known.has(server)) {
				this.#servers.delete(server);
			}
		}

		this.judge.retain(known);
	}

	#serviceOf(name: string, now: number): ServiceState {
		let service = this.#services.get(name);
		if (!service) {
			service = {
				firstOfferAt: now,
				lastOfferAt: -Infinity,
				lastRequest: undefined,
				offers: DecayingCount.create(RATE_HALF_LIFE_MS),
				placements: DecayingCount.create(RATE_HALF_LIFE_MS),
				usualMs: undefined,
			};
			this.#services.set(name, service);
		}

		return service;
	}

	#stateOf(id: string): ServerState {
		let state = this.#servers.get(id);
		if (!state) {
			state = {
				phase: {kind: 'born'},
				server: undefined,
				offeredAt: -Infinity,
				expected: new Map(),
				trouble: {answers: DecayingCount.create(TROUBLE_HALF_LIFE_MS), failures: DecayingCount.create(TROUBLE_HALF_LIFE_MS), slow: DecayingCount.create(TROUBLE_HALF_LIFE_MS)},
			};
			this.#servers.set(id, state);
		}

		return state;
	}

	/** Records that the server is usable, and finds out whether it has just started or returned. */
	#offer(server: BackendServer, service: ServiceState, now: number): ServerState {
		const state = this.#stateOf(server.id);
		const known = state.server;
		state.server = server;
		if (known === undefined) {
			if (!this.#isNew(server, service, now)) {
				this.#setPhase(server.id, state, {kind: 'full'});
			}
		} else if (state.phase.kind === 'full' && (isBack(state, service, now) || (known.coldUntil <= state.offeredAt && server.coldUntil > now))) {
			this.#setPhase(server.id, state, {kind: 'born'});
		}

		state.offeredAt = now;
		this.#findOverdue(state, server, now);
		return state;
	}

	/** A daemon that has started itself goes by the age of the server, as otherwise it would take the whole fleet for new. */
	#isNew({startedAt, coldUntil}: BackendServer, {firstOfferAt}: ServiceState, now: number): boolean {
		return coldUntil > now
			|| now - firstOfferAt > SETTLING_MS
			|| (startedAt !== undefined && this.options.unixTime() - startedAt < NEW_SERVER_MS);
	}

	/** Finds the requests whose answers are late, which may never come. */
	#findOverdue(state: ServerState, {id}: BackendServer, now: number): void {
		const entries = this.options.placements.entriesOn(id);
		for (const {id: placement, placedAt} of entries) {
			const expected = state.expected.get(placement);
			if (expected && !expected.isJudged && now - placedAt > expected.allowedMs) {
				expected.isJudged = true;
				this.#observe(id, {kind: 'slow', placedAt, open: entries.length}, now);
			}
		}

		// Placements of daemons that have fallen silent end without a message.
		if (state.expected.size > entries.length) {
			const open = new Set(entries.map(entry => entry.id));
			for (const placement of state.expected.keys()) {
				if (!open.has(placement)) {
					state.expected.delete(placement);
				}
			}
		}
	}

	#beyondPace(states: readonly ServerState[], {request, service}: {readonly request: string; readonly service: ServiceState}, now: number): BeyondPace {
		const limited = states.filter(({phase}) => limitOf(phase) < Infinity);
		return new Map(limited.flatMap(state => {
			const load = this.#loadBeyond(state, {request, service, limited: limited.length}, now);
			return load === undefined ? [] : [[state.server!.id, load]];
		}));
	}

	/** Returns the load of a server with a limit, or undefined if it is within it. */
	#loadBeyond({phase, server: known}: ServerState, {request, service, limited}: {
		readonly request: string; readonly service: ServiceState; readonly limited: number;
	}, now: number): number | undefined {
		const limit = limitOf(phase);
		const {daemon, daemons, heardShare} = this.options;
		const server = known!.id;
		const share = heardShare(now);
		const own = share < 1 ? wholeShare(limit * share, uniformHash(daemon, server, Math.floor(now / SHARE_SLOT_MS))) : Math.floor(limit);
		const counted = this.options.placements.entriesOn(server).filter(({startedAt, placedAt}) => startedAt !== undefined || now - placedAt < ABANDONED_MS).length;
		const room = own - counted;
		const heard = Math.max(1, daemons() * share);
		const perSecond = Math.max(service.placements.perSecond(now), heard * service.offers.perSecond(now)) * (heard - 1) / heard;
		const unheard = perSecond * MESSAGE_DELAY_MS / 1000;
		// The servers that are limited at the same time share the requests. A request goes to one of those whose draw it passes.
		const filling = limited * room / unheard;
		const probability = filling < 1 ? 1 - ((1 - filling) ** (1 / limited)) : 1;
		// A request that asks again does not raise its chance before the placements of the others are known.
		if (!isHeld(phase, now) && room >= 1 && uniformHash(request, server, Math.floor(now / MESSAGE_DELAY_MS)) < probability) {
			return undefined;
		}

		const load = (counted + 1) / limit;
		return isFailing(phase) ? FAILING_LOAD * load : load;
	}

	/** Time in ms after which the first event of a prompt is slow. Other daemons do not tell what they expected, but the prefill times before it are known. */
	#allowedFirstEventMs({id, server}: PlacementEntry): number {
		const pending = this.options.placements.entriesOn(server).filter(({startedAt}) => startedAt === undefined);
		const expectedMs = Math.max(this.#ownExpectedMs.get(id) ?? 0, pending.reduce((sum, {prefillMs}) => sum + prefillMs, 0));
		return (SLOW_FIRST_EVENT * expectedMs) + FIRST_EVENT_MARGIN_MS;
	}

	#learnDuration({server}: ServerState, ms: number | undefined): void {
		const service = server && this.#services.get(server.service);
		if (service && ms !== undefined) {
			service.usualMs = service.usualMs === undefined ? ms : service.usualMs + (DURATION_WEIGHT * (ms - service.usualMs));
		}
	}

	#observe(id: string, observation: Omit<Observation, 'slots'>, now: number): void {
		const state = this.#stateOf(id);
		const {server} = state;
		const judged = {...observation, slots: server?.slots ?? Infinity};
		const isOverload = this.judge.record({id, service: server?.service}, judged, now);
		if (isOverload || (state.phase.kind === 'full' && !isInTrouble(state.trouble, observation.kind, now))) {
			return;
		}

		this.#setPhase(id, state, nextPhase(state.phase, judged, now));
	}

	#setPhase(id: string, state: ServerState, phase: PacePhase): void {
		const before = state.phase.kind;
		state.phase = phase;
		if (before !== phase.kind) {
			const limit = limitOf(phase);
			this.options.onPhase({
				server: state.server?.instanceId ?? id, before, phase: phase.kind, limit: limit === Infinity ? undefined : Math.floor(limit),
			});
		}
	}

	#open(server: string): number {
		return this.options.placements.entriesOn(server).length;
	}
}

/** Whether the server was not usable for some time while others of its service were. */
const isBack = ({offeredAt}: ServerState, {lastOfferAt}: ServiceState, now: number): boolean => offeredAt < lastOfferAt && now - offeredAt > AWAY_MS;

const allowedAnswerMs = (usualMs: number | undefined, targetMs: number): number =>
	usualMs === undefined ? targetMs : Math.max(SLOW_ANSWER * usualMs, usualMs + ANSWER_MARGIN_MS);

/** A share of a limit as a whole number of requests, whose mean over many draws is the share. */
const wholeShare = (share: number, draw: number): number => Math.floor(share) + (draw < share % 1 ? 1 : 0);

/** Whether the answers of a server without a limit are so bad together that it needs one. */
function isInTrouble({answers, failures, slow}: Trouble, kind: Observation['kind'], now: number): boolean {
	answers.add(now);
	if (kind === 'good') {
		return false;
	}

	const counted = kind === 'slow' ? slow : failures;
	counted.add(now);
	const {least, share} = kind === 'slow' ? TROUBLE.slow : TROUBLE.failures;
	return counted.count(now) >= least && counted.count(now) > share * answers.count(now);
}
