/** What callers and backend servers of a soak saw, and the promises that it is checked against. */

export type CallKind = 'idempotent' | 'non_idempotent' | 'stream' | 'stream_once';

/** A request as its caller saw it. Times in ms of the soak. */
export type Seen = {
	readonly id: string;
	readonly kind: CallKind;
	readonly daemon: string;
	readonly incarnation: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** Undefined when the connection broke before a status. */
	readonly status: number | undefined;
	/** Whether the response ended as a complete one. */
	readonly isComplete: boolean;
	/** Id of the request that the response carries, and the instance that signed it. */
	readonly answeredId: string | undefined;
	readonly body: string;
};

/** A request at a backend server. */
export type Arrived = {readonly id: string; readonly server: string; readonly at: number; readonly hasRun: boolean};

/** A daemon answered a route that exists from a version of the configuration on. */
export type Probed = {readonly daemon: string; readonly incarnation: number; readonly at: number; readonly version: number; readonly isKnown: boolean};

/** A span in which something is disturbed. */
export type Span = {readonly from: number; readonly to: number};

export type Ledger = {
	readonly seen: readonly Seen[];
	readonly arrived: readonly Arrived[];
	readonly probed: readonly Probed[];
	/** Versions of the configuration, with the time at which the store had them. */
	readonly versions: ReadonlyArray<{readonly version: number; readonly at: number}>;
	/** When a server was announced to be leaving. */
	readonly left: ReadonlyArray<{readonly server: string; readonly at: number}>;
	/** Everything but planned stops. */
	readonly disturbed: readonly Span[];
	/** Planned stops of daemons. */
	readonly stopped: ReadonlyArray<Span & {readonly daemon: string}>;
	/** Memory that is still set aside at the end, some seconds after the last request. */
	readonly reservedAtEnd: number;
	/** Requests that were sent after all faults had ended and the system had time to recover. */
	readonly recovery: Span;
	readonly events: number;
};

export type Violation = {readonly promise: string; readonly message: string};

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** A disturbance counts for this long after its end, as the bounds of the deployments say. */
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

/** Whether something was disturbed between `from` and `to`, or shortly before. */
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
			violations.push({promise: 'true refusals', message: `${kind} ${id} was answered ${status} and ran`});
		}
	}

	return violations;
}

function checkAnswers({seen, events}: Ledger): readonly Violation[] {
	const violations: Violation[] = [];
	for (const {id, kind, status, isComplete, answeredId, body} of seen) {
		if (status === OK_STATUS) {
			if (answeredId !== id) {
				violations.push({promise: 'own answers', message: `${id} got the answer of ${answeredId ?? 'nobody'}`});
			}

			const isStream = kind === 'stream' || kind === 'stream_once';
			const ids = [...body.matchAll(/^id: (?<id>\d+)\n(?=data: event \d+ \n\n)/gmv)].map(({groups}) => Number(groups!.id));
			if (isStream && ids.some((event, index) => event !== index + 1)) {
				violations.push({promise: 'no event missing or twice', message: `${id} got the events ${ids.join(',')}`});
			}

			const isWhole = isStream ? ids.length === events : /^\S+ answered$/v.test(body);
			if (isComplete && !isWhole) {
				violations.push({promise: 'whole answers', message: `${id} ended as complete with ${JSON.stringify(body.slice(-60))}`});
			}
		}
	}

	return violations;
}

function checkLeaving({arrived, left, disturbed}: Ledger): readonly Violation[] {
	return left.flatMap(({server, at}) => arrived
		.filter(arrival => arrival.server === server && arrival.hasRun && arrival.at > at + DRAIN_MS && !isDisturbed(disturbed, at, arrival.at))
		.map(arrival => ({promise: 'nothing to a server that left', message: `${arrival.id} ran at ${server} ${Math.round(arrival.at - at)} ms after it was announced to leave`})));
}

function checkConfiguration({probed, versions, disturbed, stopped}: Ledger): readonly Violation[] {
	const violations: Violation[] = [];
	const known = new Map<string, number>();
	for (const {daemon, incarnation, at, version, isKnown} of probed) {
		const key = `${daemon} start ${incarnation} version ${version}`;
		if (isKnown) {
			known.set(key, at);
		} else if (known.has(key)) {
			violations.push({promise: 'configuration never older', message: `${key} was in force at ${Math.round(known.get(key)!)} and not at ${Math.round(at)}`});
		}

		const appliedAt = versions.find(applied => applied.version === version)?.at ?? Infinity;
		if (!isKnown && at > appliedAt + CONFIGURATION_MS && !isDisturbed([...disturbed, ...stopped], appliedAt, at)) {
			violations.push({promise: 'configuration in time', message: `${key} was not in force ${Math.round(at - appliedAt)} ms after it was stored`});
		}
	}

	return violations;
}

function checkPlannedStops({seen, arrived, stopped, disturbed}: Ledger): readonly Violation[] {
	const sent = new Set(arrived.map(({id}) => id));
	return stopped.flatMap(stop => seen
		.filter(request => request.daemon === stop.daemon && !request.isComplete && sent.has(request.id)
			&& request.endedAt >= stop.from && request.sentAt <= stop.to && !isDisturbed(disturbed, request.sentAt, request.endedAt))
		.map(request => ({promise: 'planned stops cut nothing', message: `${request.id} was cut ${Math.round(request.endedAt - stop.from)} ms after ${stop.daemon} was asked to stop`})));
}

/** Repeats of the daemons, summed, in any window. Requests that callers repeat have ids of their own. */
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
			return [{promise: 'budget of repeats', message: `${count} repeats for ${requests} requests in ${BUDGET_WINDOW_MS} ms`}];
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
		violations.push({promise: 'no memory left set aside', message: `${reservedAtEnd} reservations at the end`});
	}

	return violations;
}
