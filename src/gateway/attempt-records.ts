/** Records what the attempts of one request show about servers and hosts, and tells the other daemons. No answer depends on it. */
import type {BackendServer} from '../fleet/backend-server.js';
import {LEAVING_MS} from '../fleet/fleet-view.js';
import {SOUND_EVENTS} from '../quarantine/crash-evidence.js';
import type {RequestSubjects} from '../quarantine/crash-subject.js';
import type {RelayNote} from '../relaying/relayed-response.js';
import {stackOf} from '../util/stack-of.js';
import type {AttemptResult} from './attempt-result.js';
import type {FlowParts} from './flow-parts.js';
import type {GatewayRequest} from './gateway-request.js';
import type {AttemptOutcome} from './retry-policy.js';
import type {ServerChoice} from './server-choice.js';
import type {ResponseMetadata} from './wire-format.js';

/**
 * Time in ms for which a server is excluded whose address now belongs to another one: three heartbeats of 1.2 s and a
 * margin, after which its registration has expired. It registers again under a new id.
 */
const MOVED_EXCLUSION_MS = 6000;
/** Time in ms for which a server is excluded if nothing listens on its address; a restart takes one or two seconds. */
const REFUSED_EXCLUSION_MS = 1500;
const FIRST_SERVER_ERROR_STATUS = 500;
/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429]);

export class AttemptRecords {
	static create(parts: FlowParts, request: GatewayRequest, subjects: RequestSubjects): AttemptRecords {
		return new AttemptRecords(parts, request, subjects);
	}

	private constructor(private readonly parts: FlowParts, private readonly request: GatewayRequest, private readonly subjects: RequestSubjects) {}

	/** Runs a step of bookkeeping. An exception in it is logged. */
	guard(step: () => void): void {
		try {
			step();
		} catch (err) {
			this.logError(err);
		}
	}

	logError(err: unknown): void {
		this.parts.logger.error('unexpected_error', {request: this.request.id, message: stackOf(err)});
	}

	openPlacement({placement, expectedMs}: ServerChoice, now: number): void {
		this.guard(() => {
			this.parts.pace?.recordExpected(placement.id, expectedMs);
			this.parts.loadExchange.openPlacement(placement, now);
		});
	}

	/** `isAnswered`: the answer shows that the server has run the request. */
	closePlacement({placement}: ServerChoice, isAnswered: boolean): void {
		this.guard(() => {
			this.parts.loadExchange.closePlacement(placement.id, isAnswered);
		});
	}

	/** Records what the response head says about the server. */
	recordMetadata(server: BackendServer, {isMisdirected, isLeaving, closedForMs, maxRequestsPerSecond}: ResponseMetadata, sentAt: number): void {
		const now = this.parts.clock();
		if (!isMisdirected) {
			this.#recordLimit(server, maxRequestsPerSecond, {sentAt, now});
		}

		if (closedForMs !== undefined) {
			this.#recordClosed(server, closedForMs, now);
		}

		if (isLeaving) {
			this.#recordLeaving(server, now);
		}
	}

	/** Records what a response that another host passes on says about its server, and by which configuration it was handled. */
	recordRelayedMetadata({isLeaving}: ResponseMetadata, {server, configuration}: Partial<RelayNote> = {}): void {
		const {fleet, relay, clock, logger} = this.parts;
		if (configuration !== undefined) {
			relay.recordConfiguration(configuration);
		}

		if (server !== undefined && isLeaving && fleet.markLeaving(server, clock())) {
			logger.info('server_leaving', {server, source: 'relayed_response'});
		}
	}

	/** Records that the server has written `events` new events. */
	recordEvents({placement}: ServerChoice, events: number): void {
		const {parts, request} = this;
		if (events === 1) {
			parts.loadExchange.startPlacement(placement.id, parts.clock());
		}

		if (events === SOUND_EVENTS) {
			parts.quarantine.reportWritten(this.subjects, parts.clock());
		}
	}

	/** Reports whether the server wrote the answer or ended before. */
	recordEnd({server}: ServerChoice, {outcome, isDisconnected, events = 0}: AttemptResult, now: number): void {
		const {quarantine} = this.parts;
		if (outcome.kind === 'delivered') {
			quarantine.reportWritten(this.subjects, now);
		} else if (hasRun(outcome)) {
			quarantine.reportAnswered(this.subjects, now);
		} else if (isDisconnected && events < SOUND_EVENTS) {
			quarantine.reportCrash({server: server.id, request: this.request.id, subjects: this.subjects}, now);
		}
	}

	/** Records the outcome in the health of the server at fault. */
	recordAttempt(choice: ServerChoice, result: AttemptResult, faultyServer: BackendServer, next: string): void {
		const {parts, request} = this;
		const {outcome, lostReason, isNotConnected} = result;
		const isSuccess = outcome.kind === 'answered' && outcome.status < 500;
		const now = parts.clock();
		if (!result.isBlameless) {
			parts.health.recordOutcome(faultyServer.id, isSuccess, now);
			if (!isSuccess) {
				parts.pace?.recordFailure(faultyServer.id, {placement: choice.placement.id, isRejected: outcome.kind === 'rejected' && !isNotConnected}, now);
			}
		}

		if (faultyServer !== choice.server && faultyServer.failureDomain !== choice.server.failureDomain) {
			parts.partitions.record(faultyServer.failureDomain, choice.server.failureDomain, now);
		}

		if (isNotConnected) {
			parts.relay.recordNotConnected(faultyServer, now);
		}

		// If this host may have no path to the servers, its failure to connect says nothing about this one.
		if (lostReason !== undefined && !parts.relay.isPathDoubtful) {
			this.#excludeLost(faultyServer, lostReason, now);
		}

		if (!isSuccess) {
			parts.logger.warn('attempt_failed', {
				request: request.id,
				identity: request.identity.digest,
				server: faultyServer.instanceId,
				outcome: outcome.kind,
				reason: 'reason' in outcome ? outcome.reason : undefined,
				status: 'status' in outcome ? outcome.status : undefined,
				events: result.events,
				disconnected: result.isDisconnected,
				parts: request.metadata.sharedParts.join(','),
				route: request.route.name,
				workspace: request.workspace?.name,
				next,
			});
		}
	}

	/** Records that the daemon of another host did not answer a request. */
	recordRelay(address: string, {outcome, events, isNotConnected}: AttemptResult, next: string): void {
		const {parts, request} = this;
		if (isNotConnected === true || outcome.kind === 'broken') {
			parts.relay.skip(address, parts.clock());
		}

		if (outcome.kind === 'rejected' || outcome.kind === 'broken') {
			parts.logger.warn('relay_failed', {
				request: request.id, host: address, outcome: outcome.kind, reason: outcome.reason, events, next,
			});
		}
	}

	/** Records a limit that the server names, or that it no longer does, and tells the other daemons. */
	#recordLimit({id, instanceId}: BackendServer, perSecond: number | undefined, {sentAt, now}: {readonly sentAt: number; readonly now: number}): void {
		const {limits, loadExchange, logger} = this.parts;
		const notice = limits.recordResponse({server: id, perSecond}, sentAt, now);
		if (notice) {
			loadExchange.broadcastLimit(notice);
			logger.info('server_limited', {server: instanceId, per_second: perSecond});
		}
	}

	#recordClosed({id, instanceId}: BackendServer, ms: number, now: number): void {
		const {limits, logger} = this.parts;
		limits.recordClosed(id, now + ms);
		logger.info('server_closed', {server: instanceId, ms: Math.round(ms)});
	}

	/** Other daemons prefer other servers; this one, which has the server's own word, sends it nothing. */
	#recordLeaving({id, instanceId, isDraining, startedAt}: BackendServer, now: number): void {
		const {fleet, loadExchange, logger} = this.parts;
		if (fleet.markLeaving(id, now)) {
			// Without the time of its start, the id may soon be that of a new start.
			loadExchange.broadcastLost(id, startedAt === undefined ? MOVED_EXCLUSION_MS : LEAVING_MS);
			logger.info('server_leaving', {server: instanceId, source: 'response', was_draining: isDraining});
		}
	}

	/** Excludes a server here and at the other daemons, which would otherwise each lose a request to find out the same. */
	#excludeLost({id, instanceId}: BackendServer, lostReason: 'moved' | 'refused', now: number): void {
		const {fleet, loadExchange, logger} = this.parts;
		const ms = lostReason === 'moved' ? MOVED_EXCLUSION_MS : REFUSED_EXCLUSION_MS;
		if (fleet.markLost(id, now + ms, now)) {
			logger.info('server_lost', {server: instanceId, ms, reason: lostReason});
			loadExchange.broadcastLost(id, ms);
		}
	}
}

/** Whether the answer shows that the server has run the request. It may fail requests before it begins to run them. */
export const hasRun = (outcome: AttemptOutcome): boolean =>
	outcome.kind === 'answered' && outcome.status < FIRST_SERVER_ERROR_STATUS && !NOT_RUN_STATUSES.has(outcome.status);
