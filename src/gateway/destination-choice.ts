/** Chooses where one request goes next, from its earlier attempts: a server, another host that relays it, or a refusal. */
import {parseSubject, type RequestSubjects} from '../quarantine/crash-subject.js';
import type {RefusedSubject} from '../quarantine/prompt-quarantine.js';
import {failure, type Failure} from '../util/failure.js';
import type {FlowParts} from './flow-parts.js';
import {clientSilenceLimitMs, type GatewayRequest} from './gateway-request.js';
import {retryAdviceMs, type RefusalCause} from './retry-advice.js';
import {
	chooseServer, isAllowedDomain, limitWaitMs, type EarlierChoices, type ServerChoice,
} from './server-choice.js';

/** Servers that this host could not connect to for one request, after which the request goes through another host, whatever the reason. */
const MAX_UNCONNECTED_SERVERS = 2;
/** Largest number of hosts that are asked to relay one request. */
const MAX_RELAY_TRIES = 3;
/** A prompt is refused at once if its first event is expected after this share of the client's silence limit. */
const MAX_EXPECTED_SHARE = 0.9;

/** A server, or the daemon of another host at IP:PORT that relays the request. */
export type Destination =
	| {readonly kind: 'server'; readonly choice: ServerChoice}
	| {readonly kind: 'host'; readonly address: string};

export type NextDestination = Destination | {readonly kind: 'refused'; readonly failure: Failure};

/** Sets of servers that are left out; the first of them that leaves a server is used. */
export type Exclusions = ReadonlyArray<ReadonlySet<string>>;

export class DestinationChoice {
	static create(parts: FlowParts, request: GatewayRequest, subjects: RequestSubjects): DestinationChoice {
		return new DestinationChoice(parts, request, subjects);
	}

	/** Servers of earlier attempts, and those of them that broke off. The others were silent or refused the request. */
	readonly #excluded = new Set<string>();
	readonly #broken = new Set<string>();
	/** IP:PORT of the daemons that were asked to relay the request. */
	readonly #relayAddresses = new Set<string>();
	#unconnectedServers = 0;
	#choices = 0;
	/** An attempt that has ended may have reached a server. */
	#hasArrived = false;

	private constructor(private readonly parts: FlowParts, private readonly request: GatewayRequest, private readonly subjects: RequestSubjects) {}

	/** Number of hosts that were asked to relay the request. */
	get relayTries(): number {
		return this.#relayAddresses.size;
	}

	/** Leaves out the servers of earlier attempts, and `current` if given. */
	exclusionsBeside(current?: string): Exclusions {
		return [current === undefined ? this.#excluded : new Set([...this.#excluded, current])];
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
		if (isBroken) {
			this.#broken.add(server);
		}
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

	/** Returns where the request goes next, or why it is refused. `ran`: whether a server may have run it. */
	choose(ran: 'not_run' | 'unknown', now: number): NextDestination {
		const {parts, request} = this;
		const quarantined = this.findQuarantine(ran, now);
		if (quarantined) {
			return {kind: 'refused', failure: quarantined};
		}

		const host = this.#chooseHost(now);
		if (host) {
			return host;
		}

		if (parts.relay.isNeeded) {
			return {
				kind: 'refused',
				failure: failure({
					code: ran === 'not_run' ? 'no_capacity' : 'backend_failed',
					message: `this host has no path to the backend servers${request.isRelayed ? ' either' : ', and no other host relays the request'}`,
					ran,
					step: 'reserve',
					retryAfterMs: this.retryAdviceMs({kind: 'full'}, now),
				}),
			};
		}

		const choice = this.#chooseServer({excluded: this.#excluded, hasArrived: this.#hasArrived}, now);
		if (!choice) {
			const waitMs = limitWaitMs(parts, request, now);
			return {
				kind: 'refused',
				failure: failure({
					code: ran === 'not_run' ? 'no_capacity' : 'backend_failed',
					message: `no available backend server for service ${request.service.name}${waitMs === undefined ? '' : ' takes a further request now'}`,
					ran,
					step: 'reserve',
					retryAfterMs: this.retryAdviceMs(waitMs === undefined ? {kind: 'no_server'} : {kind: 'limited', waitMs}, now),
				}),
			};
		}

		const silenceLimitMs = clientSilenceLimitMs(request.route);
		const limitMs = MAX_EXPECTED_SHARE * silenceLimitMs;
		if (ran === 'not_run' && choice.expectedMs > limitMs) {
			return {
				kind: 'refused',
				failure: failure({
					code: 'overloaded',
					message: `expected time to the first event (${Math.round(choice.expectedMs)} ms) is too long for the client's limit of ${silenceLimitMs} ms`,
					ran,
					step: 'reserve',
					retryAfterMs: this.retryAdviceMs({kind: 'too_late', expectedMs: choice.expectedMs, limitMs}, now),
				}),
			};
		}

		return {kind: 'server', choice};
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
		if (host !== undefined || parts.relay.isNeeded) {
			return host;
		}

		for (const excluded of exclusions) {
			const choice = this.#chooseServer({excluded, hasArrived: true}, now);
			if (choice && choice.expectedMs <= MAX_EXPECTED_SHARE * clientSilenceLimitMs(request.route)) {
				return {kind: 'server', choice};
			}
		}

		return undefined;
	}

	/**
	 * Returns a host that relays the request, if this one seems to have no path to the servers. A request that another host relays through
	 * this one is never relayed further.
	 */
	#chooseHost(now: number): Extract<Destination, {kind: 'host'}> | undefined {
		const {parts, request} = this;
		const hasNoPath = parts.relay.isNeeded || this.#unconnectedServers >= MAX_UNCONNECTED_SERVERS;
		const address = request.isRelayed || !hasNoPath || this.#relayAddresses.size >= MAX_RELAY_TRIES
			? undefined
			: parts.relay.chooseAddress((host, failureDomain) => !this.#relayAddresses.has(host) && isAllowedDomain(parts, request, failureDomain), now);
		return address === undefined ? undefined : {kind: 'host', address};
	}

	#chooseServer(earlier: Omit<EarlierChoices, 'count'>, now: number): ServerChoice | undefined {
		return chooseServer(this.parts, this.request, {...earlier, count: this.#choices++}, now);
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
