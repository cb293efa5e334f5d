/** Chooses where one request goes next, from its earlier attempts: a server, another host that relays it, or a refusal. */
import {parseSubject, type RequestSubjects} from '../quarantine/crash-subject.js';
import type {RefusedSubject} from '../quarantine/prompt-quarantine.js';
import {isLongPrefill, longPromptHoldMs} from '../scheduling/long-prompt-quota.js';
import {failure, type Failure} from '../util/failure.js';
import type {WaitReason} from './dispatcher.js';
import type {FlowParts} from './flow-parts.js';
import {clientSilenceLimitMs, urgencyOf, type RoutedRequest} from './gateway-request.js';
import {earliestPlaceMs, retryAdviceMs, type RefusalCause} from './retry-advice.js';
import {
	allowedServers, chooseServer, isAllowedDomain, limitWaitMs, waitMs, type EarlierChoices, type ServerChoice,
} from './server-choice.js';

/** Servers that this host could not connect to for one request, after which the request goes through another host, whatever the reason. */
const MAX_UNCONNECTED_SERVERS = 2;
/** Largest number of hosts that are asked to relay one request. */
const MAX_RELAY_TRIES = 3;
/** A prompt is refused at once if its first event is expected after this share of the client's silence limit. */
const MAX_EXPECTED_SHARE = 0.9;

/**
 * A long prompt is not held back beyond the time at which this multiple of its expected time to the first event is left until its target: while
 * engines are short, prefills take up to twice as long as forecast, since short prompts are read in between.
 */
const HOLD_EXPECTED_TIME_FACTOR = 2;

/** A server, or the daemon of another host at IP:PORT that relays the request. */
export type Destination =
	| {readonly kind: 'server'; readonly choice: ServerChoice}
	| {readonly kind: 'host'; readonly address: string};

/** A want of room that may end. */
export type Shortage = {
	readonly why: WaitReason;
	/** Time in ms until a place is forecast. */
	readonly placeInMs: number;
	/** The time is known, not estimated. */
	readonly isKnown: boolean;
	/** Shortest time in ms from a place to the first event. */
	readonly serviceMs: number;
};

export type NextDestination =
	| Destination
	/** `shortage` is undefined if no room helps. */
	| {readonly kind: 'refused'; readonly failure: Failure; readonly shortage: Shortage | undefined};

/** Sets of servers that are left out; the first of them that leaves a server is used. */
export type Exclusions = ReadonlyArray<ReadonlySet<string>>;

/** Number of servers that were chosen for a request, and whether an attempt that has ended may have reached one. */
export type EarlierDestinations = {readonly choices: number; readonly hasArrived: boolean};

const noneEarlier: EarlierDestinations = {choices: 0, hasArrived: false};

export class DestinationChoice {
	/** `earlier`: the choices for the request before the configuration in force. */
	static create(parts: FlowParts, request: RoutedRequest, subjects: RequestSubjects, earlier: EarlierDestinations = noneEarlier): DestinationChoice {
		return new DestinationChoice(parts, request, subjects, earlier);
	}

	/** Servers of earlier attempts, and those of them that broke off. The others were silent or refused the request. */
	readonly #excluded = new Set<string>();
	readonly #broken = new Set<string>();
	/** IP:PORT of the daemons that were asked to relay the request. */
	readonly #relayAddresses = new Set<string>();
	/** Servers that could not be connected to, also before the request waited. */
	readonly #unconnected = new Set<string>();
	#unconnectedServers = 0;
	/** Number of servers that were chosen. */
	#choices: number;
	/** An attempt that has ended may have reached a server. */
	#hasArrived: boolean;
	/** A long prompt may be held back for short ones. */
	#mayBeHeld = true;

	private constructor(
		private readonly parts: FlowParts,
		private readonly request: RoutedRequest,
		private readonly subjects: RequestSubjects,
		earlier: EarlierDestinations,
	) {
		this.#choices = earlier.choices;
		this.#hasArrived = earlier.hasArrived;
	}

	/** Number of servers that were chosen. */
	get choices(): number {
		return this.#choices;
	}

	/**
	 * Whether this host may not send the request to a server itself: it has no path to them, or another host has handled a request of this one by a
	 * newer configuration than that which admitted the request.
	 */
	get needsHost(): boolean {
		const {parts: {relay}, request: {configuration}} = this;
		return relay.isNeeded || relay.requiredConfiguration(configuration) > configuration;
	}

	/** Number of hosts that were asked to relay the request. */
	get relayTries(): number {
		return this.#relayAddresses.size;
	}

	/**
	 * Leaves out the servers of earlier attempts and those of the attempts that are `running`. If an attempt `hasFailed` beside them and there is no
	 * other server, those that are silent may be asked again, as only the connection may have stopped.
	 */
	exclusionsBeside(running: readonly string[], hasFailed: boolean): Exclusions {
		const others = new Set([...this.#excluded, ...running]);
		return hasFailed ? [others, this.#broken] : [others];
	}

	/** Leaves out the servers of earlier attempts, or, if there is no other, only those that broke off. */
	get exclusionsOfInterrupted(): Exclusions {
		return [this.#excluded, this.#broken];
	}

	/** Records the server at fault for an attempt that did not serve the request. */
	recordServer(server: string, {isBroken, isNotConnected, isUnsent}: {
		readonly isBroken: boolean; readonly isNotConnected: boolean; readonly isUnsent: boolean;
	}): void {
		this.#excluded.add(server);
		this.#hasArrived ||= !isUnsent;
		this.#unconnectedServers += isNotConnected ? 1 : 0;
		if (isNotConnected) {
			this.#unconnected.add(server);
		}

		if (isBroken) {
			this.#broken.add(server);
		}
	}

	/** Allows servers of earlier attempts again that did not run the request: `server`, or all. */
	readmit(server?: string): void {
		if (server === undefined) {
			this.#excluded.clear();
		} else {
			this.#excluded.delete(server);
		}
	}

	/** The want of room after servers have refused the request; undefined if no room helps. */
	shortageOfRefusals(now: number): Shortage | undefined {
		return this.#createShortage(undefined, 0, now);
	}

	recordRelay(address: string): void {
		this.#relayAddresses.add(address);
	}

	/** Why the request may not reach a server, if servers crash on it. */
	findQuarantine(ran: 'not_run' | 'unknown', now: number): Failure | undefined {
		const refused = this.parts.quarantine.findRefused(this.subjects, now);
		return refused && quarantineFailure(refused, ran);
	}

	retryAdviceMs(cause: RefusalCause, now: number): number {
		return retryAdviceMs(cause, this.request.deadline - now, this.parts.random());
	}

	/**
	 * The failure of a request that found no room and does not wait, with its place in the order of returns where requests like it may wait.
	 * `isTold`: the client is told, so the place is kept for it.
	 */
	orderReturn(failed: Failure, {why, serviceMs}: Shortage, now: number, isTold: boolean): Failure {
		const {parts: {dispatcher, random}, request} = this;
		const {id, service, rank, arrivedAt, deadline, route} = request;
		if (failed.retryAfterMs === undefined || failed.ran !== 'not_run' || request.isRelayed || !dispatcher.mayWait(service)) {
			return failed;
		}

		// A choice that finds no server does not tell whether they are full or absent.
		const usualMs = why === 'full' ? Math.min(failed.retryAfterMs, this.retryAdviceMs({kind: 'full'}, now)) : failed.retryAfterMs;
		const rejected = {
			id,
			service: service.name,
			rank,
			urgency: urgencyOf(request, this.parts.roomShares),
			timeLeftMs: deadline - now,
			dueInMs: arrivedAt + route.targetLatencyMs - serviceMs - now,
			usualMs,
			servers: allowedServers(this.parts, request, now).map(server => server.id),
		};
		const advice = dispatcher.adviseReturn(rejected, random(), now);
		const retryAfterMs = advice?.ms ?? failed.retryAfterMs;
		if (isTold) {
			dispatcher.recordAdvice(rejected, {advice, ms: retryAfterMs}, now);
		}

		return {...failed, retryAfterMs};
	}

	/**
	 * Returns where the request goes next, or why it is refused. `ran`: whether a server may have run it. `waitedMs`: time for which the
	 * client of a request that has waited has seen nothing.
	 */
	choose(ran: 'not_run' | 'unknown', now: number, waitedMs = 0): NextDestination {
		const {parts, request} = this;
		const quarantined = this.findQuarantine(ran, now);
		if (quarantined) {
			return {kind: 'refused', failure: quarantined, shortage: undefined};
		}

		const host = this.#chooseHost(now);
		if (host) {
			return host;
		}

		if (this.needsHost) {
			const reason = parts.relay.isNeeded ? 'this host has no path to the backend servers' : 'this host knows of a newer configuration than its own';
			return {
				kind: 'refused',
				failure: this.#refusal({
					code: ran === 'not_run' ? 'no_capacity' : 'backend_failed',
					message: `${reason}${request.isRelayed ? ' either' : ', and no other host relays the request'}`,
					ran,
				}, {kind: 'full'}, now),
				shortage: undefined,
			};
		}

		const choice = this.#chooseServer({excluded: this.#excluded, hasArrived: this.#hasArrived}, now);
		if (!choice) {
			const waitMs = limitWaitMs(parts, request, now);
			const cause: RefusalCause = waitMs === undefined ? {kind: 'no_server'} : {kind: 'limited', waitMs};
			return {
				kind: 'refused',
				failure: this.#refusal({
					code: ran === 'not_run' ? 'no_capacity' : 'backend_failed',
					message: `no available backend server for service ${request.service.name}${waitMs === undefined ? '' : ' takes a further request now'}`,
					ran,
				}, cause, now),
				shortage: this.#createShortage(waitMs === undefined ? undefined : cause, 0, now),
			};
		}

		const limitMs = this.#expectedLimitMs(waitedMs);
		if (ran === 'not_run' && choice.expectedMs > limitMs) {
			const cause: RefusalCause = {kind: 'too_late', expectedMs: choice.expectedMs, limitMs};
			return {
				kind: 'refused',
				failure: this.#refusal({
					code: 'overloaded',
					message: `expected time to the first event (${Math.round(choice.expectedMs)} ms) is too long for the client's limit of ${clientSilenceLimitMs(request.route)} ms`,
					ran,
				}, cause, now),
				shortage: this.#createShortage(cause, choice.placement.prefillMs, now),
			};
		}

		const holdMs = ran === 'not_run' ? this.#holdMs(choice, now) : 0;
		if (holdMs > 0) {
			return this.#hold(choice, holdMs, now);
		}

		return ran === 'not_run' && this.#isRoomReserved(now) ? this.#yieldRoom(choice, now) : this.#take(choice);
	}

	/** Places the request from here on without regard to the share of engines that long prompts may hold. */
	endHold(): void {
		this.#mayBeHeld = false;
	}

	/** Whether `choose` would return a server for a request that has run nowhere. */
	hasPlace(now: number, waitedMs: number): boolean {
		const choice = this.#chooseServer({excluded: this.#excluded, hasArrived: this.#hasArrived}, now);
		return choice !== undefined && choice.expectedMs <= this.#expectedLimitMs(waitedMs) && this.#holdMs(choice, now) === 0 && !this.#isRoomReserved(now);
	}

	/**
	 * Returns a server that can be expected to respond before the client leaves, or a host that relays the request, beside or after an
	 * attempt that may have run.
	 */
	chooseAnother(exclusions: Exclusions, now: number): Destination | undefined {
		const {parts, request} = this;
		if (parts.quarantine.findRefused(this.subjects, now)) {
			return undefined;
		}

		const host = this.#chooseHost(now);
		if (host !== undefined || this.needsHost) {
			return host;
		}

		for (const excluded of exclusions) {
			const choice = this.#chooseServer({excluded, hasArrived: true}, now);
			if (choice && choice.expectedMs <= this.#expectedLimitMs()) {
				return this.#take(choice);
			}
		}

		return undefined;
	}

	/**
	 * Returns a host that relays the request, if this one seems to have no path to the servers or may not send it there itself. A request that
	 * another host relays through this one is never relayed further.
	 */
	#chooseHost(now: number): Extract<Destination, {kind: 'host'}> | undefined {
		const {parts, request} = this;
		const needsHost = this.needsHost || this.#unconnectedServers >= MAX_UNCONNECTED_SERVERS;
		const address = request.isRelayed || !needsHost || this.#relayAddresses.size >= MAX_RELAY_TRIES
			? undefined
			: parts.relay.chooseAddress((host, failureDomain) => !this.#relayAddresses.has(host) && isAllowedDomain(parts, request, failureDomain), now);
		return address === undefined ? undefined : {kind: 'host', address};
	}

	/**
	 * A limit has a known end. Otherwise places come at the rate at which they have come lately, or, without a cause, on servers that are full
	 * or not there. Returns undefined for a prompt that all servers together could not hold if they were empty.
	 */
	#createShortage(given: RefusalCause | undefined, serviceMs: number, now: number, why?: WaitReason): Shortage | undefined {
		const {parts, request: {service: {engine}, metadata: {promptTokens = 0}}, request} = this;
		const servers = allowedServers(parts, request, now).map(({id}) => id);
		const hasServer = servers.some(id => !this.#unconnected.has(id));
		if (engine && hasServer && promptTokens > engine.memoryTokens * servers.length) {
			return undefined;
		}

		// One that has lacked a place takes the next one.
		this.#mayBeHeld = false;
		const cause = given ?? {kind: hasServer ? 'full' : 'no_server'};
		const isKnown = cause.kind === 'limited';
		const placeInMs = isKnown || !hasServer ? undefined : parts.dispatcher.placeInMs(request.service.name, urgencyOf(request, parts.roomShares), servers, now);
		return {
			why: why ?? cause.kind, placeInMs: placeInMs ?? earliestPlaceMs(cause), isKnown, serviceMs,
		};
	}

	/** Longest expected time in ms to the first event with which the request is sent. */
	#expectedLimitMs(waitedMs = 0): number {
		return (MAX_EXPECTED_SHARE * clientSilenceLimitMs(this.request.route)) - waitedMs;
	}

	/** Time in ms for which a long prompt is held back that would take engines which short prompts need. The most urgent ones are not. */
	#holdMs({expectedMs, helpers, placement: {prefillMs}}: ServerChoice, now: number): number {
		const {parts, request} = this;
		const {
			service, arrivedAt, route, urgency, isRelayed,
		} = request;
		// Most prompts are short, so the engines are looked at last.
		if (!isLongPrefill(prefillMs) || !this.#mayBeHeld || isRelayed || urgency === 0 || !parts.dispatcher.mayWait(service)) {
			return 0;
		}

		return longPromptHoldMs(
			{prefillMs, engines: 1 + helpers.length, dueAt: arrivedAt + route.targetLatencyMs - (HOLD_EXPECTED_TIME_FACTOR * expectedMs)},
			allowedServers(parts, request, now).map(({id}) => parts.placements.entriesOn(id)),
			now,
		);
	}

	#hold({expectedMs}: ServerChoice, holdMs: number, now: number): NextDestination {
		return {
			kind: 'refused',
			failure: this.#refusal({code: 'overloaded', message: 'long prompts hold their share of the engines', ran: 'not_run'}, {kind: 'full'}, now),
			shortage: {
				why: 'long_prompts', placeInMs: holdMs, isKnown: true, serviceMs: HOLD_EXPECTED_TIME_FACTOR * expectedMs,
			},
		};
	}

	/** Whether the room that is left is kept for workspaces under their share. */
	#isRoomReserved(now: number): boolean {
		const {parts, request} = this;
		return parts.roomShares?.isReserved(request, () => allowedServers(parts, request, now)
			.filter(server => !parts.limits.isClosed(server.id, now) && waitMs(parts, request, server, now) === 0)
			.map(({id}) => parts.placements.countOn(id)), now) ?? false;
	}

	/** Leaves a place to workspaces under their share. */
	#yieldRoom({expectedMs}: ServerChoice, now: number): NextDestination {
		return {
			kind: 'refused',
			failure: this.#refusal({
				code: 'overloaded', message: 'the workspace has had its share of the engines, and others need the rest', ran: 'not_run',
			}, {kind: 'full'}, now),
			shortage: this.#createShortage({kind: 'full'}, expectedMs, now, 'workspace_share'),
		};
	}

	/** A failure whose client is told to come back when `cause` may have ended. */
	#refusal(refused: Pick<Failure, 'code' | 'message' | 'ran'>, cause: RefusalCause, now: number): Failure {
		return failure({...refused, step: 'reserve', retryAfterMs: this.retryAdviceMs(cause, now)});
	}

	#chooseServer(earlier: Omit<EarlierChoices, 'count'>, now: number): ServerChoice | undefined {
		return chooseServer(this.parts, this.request, {...earlier, count: this.#choices}, now);
	}

	/** Only choices that are used count, so that the first attempt of a request that has waited is known as such by its placement. */
	#take(choice: ServerChoice): Destination {
		this.#choices++;
		const workspace = this.parts.roomShares?.keyOf(this.request);
		return {kind: 'server', choice: workspace === undefined ? choice : {...choice, placement: {...choice.placement, workspace}}};
	}
}

function quarantineFailure({subject: id, remainingMs}: RefusedSubject, ran: 'not_run' | 'unknown'): Failure {
	const subject = parseSubject(id);
	const hasRun = ran === 'unknown';
	const fields = {ran, step: 'reserve', retryAfterMs: hasRun ? undefined : remainingMs} as const;
	const seconds = Math.ceil(remainingMs / 1000);
	switch (subject.kind) {
		case 'part': {
			return failure({
				...fields,
				code: hasRun ? 'backend_failed' : 'prompt_quarantined',
				message: `the prompt contains the part ${subject.part}, on which engines crash; requests with it are refused for another ${seconds} s`,
			});
		}

		case 'request': {
			return failure({
				...fields,
				code: hasRun ? 'backend_failed' : 'request_quarantined',
				message: `backend servers crash on this request, whose identity is ${subject.identity}; its repeats are refused for another ${seconds} s`,
			});
		}
	}
}
