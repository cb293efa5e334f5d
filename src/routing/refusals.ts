/** Combines the refusals of coordinators into the failure that the caller receives. */
import {failure, type Failure} from '../util/failure.js';
import type {RefusalReason, Refused, Unreachable} from './reservation.js';

const DEFAULT_RETRY_AFTER_MS = 1000;

export type NotGranted = Refused | Unreachable;

/** Whether the pool may grant the reservation soon, after its coordinator has changed. */
export const isTransient = (outcome: NotGranted): boolean =>
	outcome.kind === 'unreachable' || outcome.reason === 'not_coordinator' || outcome.reason === 'draining';

/** When pools refuse for different reasons, the first of these is reported. Ordered by how useful the reason is to the caller. */
const precedence: readonly RefusalReason[] = ['overloaded', 'deadline', 'limit', 'too_large', 'no_servers', 'domain_out', 'draining', 'not_coordinator'];

const failureCodes = {
	limit: 'limit_exceeded',
	overloaded: 'overloaded',
	deadline: 'deadline_unreachable',
	too_large: 'too_large',
	no_servers: 'no_capacity',
	domain_out: 'no_capacity',
	draining: 'no_capacity',
	not_coordinator: 'no_capacity',
} as const satisfies Record<RefusalReason, Failure['code']>;

const precedenceOf = (outcome: NotGranted): number => outcome.kind === 'refused' ? precedence.indexOf(outcome.reason) : precedence.length;

/** Failure of a request that no pool of `service` granted capacity to. The request did not run. */
export function refusalFailure(service: string, outcomes: readonly NotGranted[]): Failure {
	const tooLargeCount = outcomes.filter(outcome => outcome.kind === 'refused' && outcome.reason === 'too_large').length;
	// `too_large` is reported only if all pools refused so: a pool that refused otherwise or did not answer may hold the request.
	const relevant = tooLargeCount === outcomes.length ? outcomes : outcomes.filter(outcome => outcome.kind !== 'refused' || outcome.reason !== 'too_large');
	const [first] = relevant.toSorted((a, b) => precedenceOf(a) - precedenceOf(b));
	if (!first) {
		return failure({
			code: 'no_capacity', message: `service ${service} has no active failure domain in this region`, ran: 'not_run', step: 'reserve', retryAfterMs: DEFAULT_RETRY_AFTER_MS,
		});
	}

	const code = first.kind === 'refused' ? failureCodes[first.reason] : 'no_capacity';
	const waitMs = first.kind === 'refused' ? first.retryAfterMs : undefined;
	const retryAfterMs = waitMs ?? (code === 'too_large' ? undefined : DEFAULT_RETRY_AFTER_MS);
	return failure({
		code,
		message: `reserving capacity for service ${service}: ${first.message}`,
		ran: 'not_run',
		step: 'reserve',
		...(first.peer === undefined ? {} : {peer: first.peer}),
		...(retryAfterMs === undefined ? {} : {retryAfterMs}),
	});
}
