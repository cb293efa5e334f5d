/** Observations of callers and backend servers in a soak test, and the invariants that are checked against them. */

export type CallKind = 'idempotent' | 'non_idempotent' | 'stream' | 'stream_once';

/** A request as its caller saw it. Times in ms from the start of the soak. */
export type ObservedRequest = {
	readonly id: string;
	readonly kind: CallKind;
	readonly daemon: string;
	readonly incarnation: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** Undefined when the connection failed before a status arrived. */
	readonly status: number | undefined;
	/** Whether the response ended without a connection error. */
	readonly isComplete: boolean;
	/** Request id in the response headers. */
	readonly responseRequestId: string | undefined;
	readonly body: string;
	/** Whether the connection was established, so that the request was written. */
	readonly wasSent: boolean;
	/** Why the connection failed. */
	readonly failure: string | undefined;
};

/** A request that arrived at a backend server. */
export type ObservedArrival = {readonly id: string; readonly server: string; readonly at: number; readonly hasRun: boolean};

/** Response of a daemon to a probe of the route that a configuration version adds. */
export type RouteProbe = {readonly daemon: string; readonly incarnation: number; readonly at: number; readonly version: number; readonly isServed: boolean};

/** Time span of a fault or planned stop. */
export type TimeSpan = {
	readonly from: number;
	readonly to: number;
	/** Whether a request that crashes its servers caused it. */
	readonly isDeadly?: boolean;
};

export type SoakObservations = {
	readonly requests: readonly ObservedRequest[];
	/** Repetitions of one request that crashes each server that runs it. */
	readonly deadlyRequests: readonly ObservedRequest[];
	/** Kills and suspensions of daemons. */
	readonly daemonFaults: ReadonlyArray<TimeSpan & {readonly daemon: string}>;
	/** Daemons that ended by themselves. */
	readonly ownExits: ReadonlyArray<{readonly daemon: string; readonly incarnation: number; readonly code: number | null}>;
	readonly arrivals: readonly ObservedArrival[];
	/** Ids of requests that a daemon has named in its log, and so has read. */
	readonly readIds: ReadonlySet<string>;
	readonly probes: readonly RouteProbe[];
	/** Configuration versions and when they were stored. */
	readonly versions: ReadonlyArray<{readonly version: number; readonly at: number}>;
	/** When servers were registered as draining. */
	readonly departures: ReadonlyArray<{readonly server: string; readonly at: number}>;
	/** Spans of all faults except planned operations. */
	readonly faultSpans: readonly TimeSpan[];
	/** Planned stops of daemons. */
	readonly plannedStops: ReadonlyArray<TimeSpan & {readonly daemon: string}>;
	/** Memory reservations still held some seconds after the last request. */
	readonly reservedAtEnd: number;
	/** Span after the last fault and the recovery time, in which requests have to be served again. */
	readonly recovery: TimeSpan;
	readonly eventsPerStream: number;
	readonly stopGraceMs: number;
};

export type Violation = {readonly invariant: string; readonly message: string};

/** Statuses which guarantee that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** A fault excuses violations for this long after its end, as the time bounds of the deployments state. */
const STABLE_WINDOW_MS = 3000;
/** Time within which daemons have to stop sending requests to a draining server. */
const DRAIN_DELAY_MS = 2000;
/** Time within which a stored configuration has to be in effect at all daemons. */
const CONFIGURATION_DELAY_MS = 2000;
/** A connection that is closed within this time after the last byte of a request may have crossed it. */
const LOSS_SLACK_MS = 200;
/** A run that is still at work in the last sixth of the grace may be cut if its request was sent this early after SIGTERM. */
const LATE_SEND_MS = 3000;
const GRACE_SHARE = 5 / 6;
const MAX_LATE_DEADLY_REQUESTS = 3;
const DEADLY_CRASHES = 3;
const BUDGET_WINDOW_MS = 10_000;
const MIN_RECOVERED_SHARE = 0.9;
const OK_STATUS = 200;

export function checkObservations(observations: SoakObservations, budget: {readonly share: number; readonly slack: number}): readonly Violation[] {
	return [
		...checkExecutions(observations),
		...checkResponses(observations),
		...checkDepartures(observations),
		...checkConfiguration(observations),
		...checkPlannedStops(observations),
		...checkRetryBudget(observations, budget),
		...checkRecovery(observations),
		...checkAnswers(observations),
		...checkDeadlyRequests(observations),
		...observations.ownExits.map(({daemon, incarnation, code}) => ({invariant: 'no daemon ends by itself', message: `${daemon} start ${incarnation} ended with code ${code ?? 'none'}`})),
	];
}

/** Whether a span overlaps `from` to `to`, or ended within the stable window before. */
const overlapsFault = (spans: readonly TimeSpan[], from: number, to: number): boolean =>
	spans.some(span => span.from <= to && span.to + STABLE_WINDOW_MS >= from);

function checkExecutions({requests, arrivals}: SoakObservations): readonly Violation[] {
	const violations: Violation[] = [];
	const runs = new Map<string, number>();
	for (const {id, hasRun} of arrivals) {
		runs.set(id, (runs.get(id) ?? 0) + (hasRun ? 1 : 0));
	}

	for (const {id, kind, status} of requests) {
		const count = runs.get(id) ?? 0;
		const isRetryable = kind === 'idempotent' || kind === 'stream';
		if (!isRetryable && count > 1) {
			violations.push({invariant: 'at most once', message: `${kind} ${id} ran ${count} times`});
		}

		if (!isRetryable && status !== undefined && NOT_RUN_STATUSES.has(status) && count > 0) {
			violations.push({invariant: 'true refusals', message: `${kind} ${id} got status ${status} and ran`});
		}
	}

	return violations;
}

function checkResponses({requests, eventsPerStream}: SoakObservations): readonly Violation[] {
	const violations: Violation[] = [];
	for (const {id, kind, status, isComplete, responseRequestId, body} of requests) {
		if (status === OK_STATUS) {
			if (responseRequestId !== id) {
				violations.push({invariant: 'own answers', message: `${id} received the response to ${responseRequestId ?? 'a request without id'}`});
			}

			const isStream = kind === 'stream' || kind === 'stream_once';
			const ids = [...body.matchAll(/^id: (?<id>\d+)\n(?=data: event \d+ \n\n)/gmv)].map(({groups}) => Number(groups!.id));
			if (isStream && ids.some((event, index) => event !== index + 1)) {
				violations.push({invariant: 'no event missing or twice', message: `${id} received events ${ids.join(',')}`});
			}

			const isBodyComplete = isStream ? ids.length === eventsPerStream : /^\S+ answered$/v.test(body);
			if (isComplete && !isBodyComplete) {
				violations.push({invariant: 'whole answers', message: `${id} ended without error but the body ends with ${JSON.stringify(body.slice(-60))}`});
			}
		}
	}

	return violations;
}

function checkDepartures({arrivals, departures, faultSpans}: SoakObservations): readonly Violation[] {
	return departures.flatMap(({server, at}) => arrivals
		.filter(arrival => arrival.server === server && arrival.hasRun && arrival.at > at + DRAIN_DELAY_MS && !overlapsFault(faultSpans, at, arrival.at))
		.map(arrival => ({invariant: 'nothing to a server that left', message: `${arrival.id} ran at ${server} ${Math.round(arrival.at - at)} ms after it started to drain`})));
}

function checkConfiguration({probes, versions, faultSpans, plannedStops}: SoakObservations): readonly Violation[] {
	const violations: Violation[] = [];
	const lastServedAt = new Map<string, number>();
	for (const {daemon, incarnation, at, version, isServed} of probes) {
		const key = `${daemon} start ${incarnation} version ${version}`;
		if (isServed) {
			lastServedAt.set(key, at);
		} else if (lastServedAt.has(key)) {
			violations.push({invariant: 'configuration never older', message: `${key} was in effect at ${Math.round(lastServedAt.get(key)!)} ms and not at ${Math.round(at)} ms`});
		}

		const appliedAt = versions.find(applied => applied.version === version)?.at ?? Infinity;
		if (!isServed && at > appliedAt + CONFIGURATION_DELAY_MS && !overlapsFault([...faultSpans, ...plannedStops], appliedAt, at)) {
			violations.push({invariant: 'configuration in time', message: `${key} was not in effect ${Math.round(at - appliedAt)} ms after it was stored`});
		}
	}

	return violations;
}

function checkPlannedStops({requests, arrivals, plannedStops, faultSpans}: SoakObservations): readonly Violation[] {
	const arrivedIds = new Set(arrivals.map(({id}) => id));
	return plannedStops.flatMap(stop => requests
		.filter(request => request.daemon === stop.daemon && !request.isComplete && arrivedIds.has(request.id)
			&& request.endedAt >= stop.from && request.sentAt <= stop.to && !overlapsFault(faultSpans, request.sentAt, request.endedAt))
		.map(request => ({invariant: 'planned stops cut nothing', message: `${request.id} was interrupted ${Math.round(request.endedAt - stop.from)} ms after ${stop.daemon} received SIGTERM`})));
}

/** Limits the retries of all daemons together in any window. Requests that callers repeat have ids of their own and are not counted. */
function checkRetryBudget({requests, arrivals}: SoakObservations, {share, slack}: {readonly share: number; readonly slack: number}): readonly Violation[] {
	const seenIds = new Set<string>();
	const retries = arrivals.toSorted((a, b) => a.at - b.at).filter(({id}) => {
		const isRetry = seenIds.has(id);
		seenIds.add(id);
		return isRetry;
	});
	for (const {at} of retries) {
		const retryCount = retries.filter(retry => retry.at > at - BUDGET_WINDOW_MS && retry.at <= at).length;
		const recentRequests = requests.filter(({sentAt}) => sentAt > at - (2 * BUDGET_WINDOW_MS) && sentAt <= at).length;
		if (retryCount > (share * recentRequests) + slack) {
			return [{invariant: 'budget of repeats', message: `${retryCount} retries for ${recentRequests} requests in ${BUDGET_WINDOW_MS} ms`}];
		}
	}

	return [];
}

/** Requests that were sent whole, and ended without an answer or a refusal although nothing happened to their daemon that excuses it. */
export function unansweredRequests({requests, deadlyRequests, arrivals, readIds, daemonFaults, plannedStops, stopGraceMs}: SoakObservations): readonly ObservedRequest[] {
	const arrivedIds = new Set(arrivals.map(({id}) => id));
	return [...requests, ...deadlyRequests].filter(({id, daemon, sentAt, endedAt, status, wasSent}) => {
		const isMeanwhile = (span: TimeSpan & {readonly daemon: string}): boolean => span.daemon === daemon && span.from <= endedAt && span.to >= sentAt;
		const wasPassedOn = arrivedIds.has(id);
		const hasCrossedClose = !wasPassedOn && !readIds.has(id) && endedAt - sentAt <= LOSS_SLACK_MS;
		const isCutByStop = wasPassedOn && plannedStops.some(stop => isMeanwhile(stop)
			&& sentAt <= stop.from + LATE_SEND_MS && endedAt >= stop.from + (stopGraceMs * GRACE_SHARE));
		return wasSent && status === undefined && !hasCrossedClose && !isCutByStop && !daemonFaults.some(span => isMeanwhile(span));
	});
}

/** Counts unanswered requests for each process of a daemon. */
export function describeUnanswered(requests: readonly ObservedRequest[]): string {
	const counts = new Map<string, number>();
	for (const {daemon, incarnation} of requests) {
		const key = `${daemon} start ${incarnation}`;
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	return `${requests.length} unanswered${counts.size > 0 ? ` (${[...counts].map(([key, count]) => `${key}: ${count}`).join(', ')})` : ''}`;
}

function checkAnswers(observations: SoakObservations): readonly Violation[] {
	const arrivedIds = new Set(observations.arrivals.map(({id}) => id));
	return unansweredRequests(observations).map(({id, kind, daemon, incarnation, sentAt, endedAt, failure}) => {
		const request = `${kind} ${id}, sent to ${daemon} start ${incarnation} at ${Math.round(sentAt)} ms and ${arrivedIds.has(id) ? '' : 'not '}passed on`;
		return {invariant: 'an answer to each request', message: `${request}, ended without one after ${Math.round(endedAt - sentAt)} ms: ${failure ?? 'no reason'}`};
	});
}

/** Limits the requests that still reach a server some time after the same request has crashed three. */
function checkDeadlyRequests({deadlyRequests, arrivals, faultSpans}: SoakObservations): readonly Violation[] {
	const ids = new Set(deadlyRequests.map(({id}) => id));
	const runs = arrivals.filter(({id, hasRun}) => hasRun && ids.has(id)).toSorted((a, b) => a.at - b.at);
	const lastFreeAt = (runs[DEADLY_CRASHES - 1]?.at ?? Infinity) + STABLE_WINDOW_MS;
	const otherFaults = faultSpans.filter(({isDeadly}) => !isDeadly);
	const late = deadlyRequests.filter(({id, sentAt}) => sentAt > lastFreeAt && runs.some(run => run.id === id) && !overlapsFault(otherFaults, sentAt, sentAt));
	return late.length > MAX_LATE_DEADLY_REQUESTS
		? [{
			invariant: 'crashing requests are held back',
			message: `${late.length} of ${deadlyRequests.length} repetitions ran later than ${STABLE_WINDOW_MS} ms after the third crash, ${runs.length} runs in all`,
		}]
		: [];
}

function checkRecovery({requests, recovery, reservedAtEnd}: SoakObservations): readonly Violation[] {
	const violations: Violation[] = [];
	const recoveryRequests = requests.filter(({sentAt}) => sentAt >= recovery.from && sentAt <= recovery.to);
	const served = recoveryRequests.filter(({status, isComplete}) => status === OK_STATUS && isComplete);
	if (served.length < MIN_RECOVERED_SHARE * recoveryRequests.length || recoveryRequests.length === 0) {
		violations.push({invariant: 'recovery', message: `${served.length} of ${recoveryRequests.length} requests were served after the last fault`});
	}

	if (reservedAtEnd > 0) {
		violations.push({invariant: 'no memory left set aside', message: `${reservedAtEnd} reservations held at the end`});
	}

	return violations;
}
