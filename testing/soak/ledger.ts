/** Observations of callers and backend servers in a soak test, and the invariants that are checked against them. */

export type CallKind = 'idempotent' | 'non_idempotent' | 'stream' | 'stream_once';

/** A request as its caller saw it. Times in ms from the start of the soak. */
export type Seen = {
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
	readonly answeredId: string | undefined;
	readonly body: string;
};

/** A request that arrived at a backend server. */
export type Arrived = {readonly id: string; readonly server: string; readonly at: number; readonly hasRun: boolean};

/** Response of a daemon to a probe of the route that a configuration version adds. */
export type Probed = {readonly daemon: string; readonly incarnation: number; readonly at: number; readonly version: number; readonly isKnown: boolean};

/** Time span of a fault or planned stop. */
export type Span = {readonly from: number; readonly to: number};

export type Ledger = {
	readonly seen: readonly Seen[];
	readonly arrived: readonly Arrived[];
	readonly probed: readonly Probed[];
	/** Configuration versions and when they were stored. */
	readonly versions: ReadonlyArray<{readonly version: number; readonly at: number}>;
	/** When servers were registered as draining. */
	readonly left: ReadonlyArray<{readonly server: string; readonly at: number}>;
	/** Spans of all faults except planned operations. */
	readonly disturbed: readonly Span[];
	/** Planned stops of daemons. */
	readonly stopped: ReadonlyArray<Span & {readonly daemon: string}>;
	/** Memory reservations still held some seconds after the last request. */
	readonly reservedAtEnd: number;
	/** Span after the last fault and the recovery time, in which requests have to be served again. */
	readonly recovery: Span;
	readonly events: number;
};

export type Violation = {readonly promise: string; readonly message: string};

/** Statuses which guarantee that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** A fault excuses violations for this long after its end, as the time bounds of the deployments state. */
const STABLE_WINDOW_MS = 3000;
const DRAIN_MS = 2000;
const CONFIGURATION_MS = 2000;
const BUDGET_WINDOW_MS = 10_000;
const RECOVERED_SHARE = 0.9;
const OK_STATUS = 200;

export function checkLedger(ledger: Ledger, budget: {readonly share: number; readonly slack: number}): readonly Violation[] {
	return [
		...checkRuns(ledger),
		...checkAnswers(ledger),
		...checkLeaving(ledger),
		...checkConfiguration(ledger),
		...checkPlannedStops(ledger),
		...checkBudget(ledger, budget),
		...checkEnd(ledger),
	];
}

/** Whether a span overlaps `from` to `to`, or ended within the stable window before. */
const isDisturbed = (spans: readonly Span[], from: number, to: number): boolean =>
	spans.some(span => span.from <= to && span.to + STABLE_WINDOW_MS >= from);

function checkRuns({seen, arrived}: Ledger): readonly Violation[] {
	const violations: Violation[] = [];
	const runs = new Map<string, number>();
	for (const {id, hasRun} of arrived) {
		runs.set(id, (runs.get(id) ?? 0) + (hasRun ? 1 : 0));
	}

	for (const {id, kind, status} of seen) {
		const count = runs.get(id) ?? 0;
		const isRepeatable = kind === 'idempotent' || kind === 'stream';
		if (!isRepeatable && count > 1) {
			violations.push({promise: 'at most once', message: `${kind} ${id} ran ${count} times`});
		}

		if (!isRepeatable && status !== undefined && NOT_RUN_STATUSES.has(status) && count > 0) {
			violations.push({promise: 'true refusals', message: `${kind} ${id} got status ${status} and ran`});
		}
	}

	return violations;
}

function checkAnswers({seen, events}: Ledger): readonly Violation[] {
	const violations: Violation[] = [];
	for (const {id, kind, status, isComplete, answeredId, body} of seen) {
		if (status === OK_STATUS) {
			if (answeredId !== id) {
				violations.push({promise: 'own answers', message: `${id} received the response to ${answeredId ?? 'a request without id'}`});
			}

			const isStream = kind === 'stream' || kind === 'stream_once';
			const ids = [...body.matchAll(/^id: (?<id>\d+)\n(?=data: event \d+ \n\n)/gmv)].map(({groups}) => Number(groups!.id));
			if (isStream && ids.some((event, index) => event !== index + 1)) {
				violations.push({promise: 'no event missing or twice', message: `${id} received events ${ids.join(',')}`});
			}

			const isWhole = isStream ? ids.length === events : /^\S+ answered$/v.test(body);
			if (isComplete && !isWhole) {
				violations.push({promise: 'whole answers', message: `${id} ended without error but the body ends with ${JSON.stringify(body.slice(-60))}`});
			}
		}
	}

	return violations;
}

function checkLeaving({arrived, left, disturbed}: Ledger): readonly Violation[] {
	return left.flatMap(({server, at}) => arrived
		.filter(arrival => arrival.server === server && arrival.hasRun && arrival.at > at + DRAIN_MS && !isDisturbed(disturbed, at, arrival.at))
		.map(arrival => ({promise: 'nothing to a server that left', message: `${arrival.id} ran at ${server} ${Math.round(arrival.at - at)} ms after it started to drain`})));
}

function checkConfiguration({probed, versions, disturbed, stopped}: Ledger): readonly Violation[] {
	const violations: Violation[] = [];
	const known = new Map<string, number>();
	for (const {daemon, incarnation, at, version, isKnown} of probed) {
		const key = `${daemon} start ${incarnation} version ${version}`;
		if (isKnown) {
			known.set(key, at);
		} else if (known.has(key)) {
			violations.push({promise: 'configuration never older', message: `${key} was in effect at ${Math.round(known.get(key)!)} ms and not at ${Math.round(at)} ms`});
		}

		const appliedAt = versions.find(applied => applied.version === version)?.at ?? Infinity;
		if (!isKnown && at > appliedAt + CONFIGURATION_MS && !isDisturbed([...disturbed, ...stopped], appliedAt, at)) {
			violations.push({promise: 'configuration in time', message: `${key} was not in effect ${Math.round(at - appliedAt)} ms after it was stored`});
		}
	}

	return violations;
}

function checkPlannedStops({seen, arrived, stopped, disturbed}: Ledger): readonly Violation[] {
	const sent = new Set(arrived.map(({id}) => id));
	return stopped.flatMap(stop => seen
		.filter(request => request.daemon === stop.daemon && !request.isComplete && sent.has(request.id)
			&& request.endedAt >= stop.from && request.sentAt <= stop.to && !isDisturbed(disturbed, request.sentAt, request.endedAt))
		.map(request => ({promise: 'planned stops cut nothing', message: `${request.id} was interrupted ${Math.round(request.endedAt - stop.from)} ms after ${stop.daemon} received SIGTERM`})));
}

/** Limits the retries of all daemons together in any window. Requests that callers repeat have ids of their own and are not counted. */
function checkBudget({seen, arrived}: Ledger, {share, slack}: {readonly share: number; readonly slack: number}): readonly Violation[] {
	const first = new Set<string>();
	const repeats = arrived.toSorted((a, b) => a.at - b.at).filter(({id}) => {
		const isRepeat = first.has(id);
		first.add(id);
		return isRepeat;
	});
	for (const {at} of repeats) {
		const count = repeats.filter(repeat => repeat.at > at - BUDGET_WINDOW_MS && repeat.at <= at).length;
		const requests = seen.filter(({sentAt}) => sentAt > at - (2 * BUDGET_WINDOW_MS) && sentAt <= at).length;
		if (count > (share * requests) + slack) {
			return [{promise: 'budget of repeats', message: `${count} retries for ${requests} requests in ${BUDGET_WINDOW_MS} ms`}];
		}
	}

	return [];
}

function checkEnd({seen, recovery, reservedAtEnd}: Ledger): readonly Violation[] {
	const violations: Violation[] = [];
	const after = seen.filter(({sentAt}) => sentAt >= recovery.from && sentAt <= recovery.to);
	const served = after.filter(({status, isComplete}) => status === OK_STATUS && isComplete);
	if (served.length < RECOVERED_SHARE * after.length || after.length === 0) {
		violations.push({promise: 'recovery', message: `${served.length} of ${after.length} requests were served after the last fault`});
	}

	if (reservedAtEnd > 0) {
		violations.push({promise: 'no memory left set aside', message: `${reservedAtEnd} reservations held at the end`});
	}

	return violations;
}
