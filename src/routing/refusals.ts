/** Turns refusals of coordinators into the failure that the caller receives. */
import {failure, type Failure} from '../util/failure.js';
import type {RefusalReason, Refused, Unreachable} from './reservation.js';

const DEFAULT_RETRY_AFTER_MS = 1000;

export type NotGranted = Refused | Unreachable;

/** Whether the same pool may grant soon, after a change of its coordinator. */
export const isTransient = (outcome: NotGranted): boolean =>
	outcome.kind === 'unreachable' || outcome.reason === 'not_coordinator' || outcome.reason === 'draining';

/** Most useful to the caller first; each other reason says less about what to do next. */
const precedence: readonly RefusalReason[] = ['overloaded', 'deadline', 'limit', 'too_large', 'no_servers', 'domain_out', 'draining', 'not_coordinator'];

const codes = {
	limit: 'limit_exceeded',
	overloaded: 'overloaded',
	deadline: 'deadline_unreachable',
	too_large: 'too_large',
	no_servers: 'no_capacity',
	domain_out: 'no_capacity',
	draining: 'no_capacity',
	not_coordinator: 'no_capacity',
} as const satisfies Record<RefusalReason, Failure['code']>;

const place = (outcome: NotGranted): number => outcome.kind === 'refused' ? precedence.indexOf(outcome.reason) : precedence.length;

/** The failure for a request that no pool of `service` took. It did not run. */
export function refusalFailure(service: string, outcomes: readonly NotGranted[]): Failure {
	const refusedSize = outcomes.filter(outcome => outcome.kind === 'refused' && outcome.reason === 'too_large').length;
	// A pool that did not answer may be able to hold what another one cannot.
	const relevant = refusedSize === outcomes.length ? outcomes : outcomes.filter(outcome => outcome.kind !== 'refused' || outcome.reason !== 'too_large');
	const [first] = relevant.toSorted((a, b) => place(a) - place(b));
	if (!first) {
		return failure({
			code: 'no_capacity', message: `service ${service} has no failure domain in service in this region`, ran: 'not_run', step: 'reserve', retryAfterMs: DEFAULT_RETRY_AFTER_MS,
		});
	}

	const code = first.kind === 'refused' ? codes[first.reason] : 'no_capacity';
	const waitMs = first.kind === 'refused' ? first.retryAfterMs : undefined;
	const retryAfterMs = waitMs ?? (code === 'too_large' ? undefined : DEFAULT_RETRY_AFTER_MS);
	return failure({
		code,
		message: `reserving capacity of ${service}: ${first.message}`,
		ran: 'not_run',
		step: 'reserve',
		...(first.peer === undefined ? {} : {peer: first.peer}),
		...(retryAfterMs === undefined ? {} : {retryAfterMs}),
	});
}
