/**
 * Plans a planned stop and decides which requests are still taken during it.
 *
 * Designed for a daemon to which clients still come: the balancer needs some seconds, and sends on where most daemons of a
 * failure domain leave together. What fits into the time left is served; the rest is refused at once, so that its client goes
 * to another daemon instead of waiting for an answer that the end of the process forestalls.
 */
import {isRetryable} from './retry-policy.js';
import type {RouteKind} from './serving-configuration.js';

/** The balancer stops sending new connections after two failed checks, one per second; the rest is a margin. */
const BALANCER_LAG_MS = 2800;
/** Time in ms before the end of the grace at which the process exits by itself. */
const EXIT_MARGIN_MS = 300;
/** Time in ms before the end of the grace at which what is still open gets its final response, which then has to be sent. */
const ANSWER_MARGIN_MS = 700;
/** Largest share of the grace for each of these margins. */
const MAX_EXIT_SHARE = 1 / 12;
const MAX_ANSWER_SHARE = 1 / 6;
/** With less time left, a delay of the daemon or the server would leave no time for the response. */
const MIN_TIME_LEFT_MS = 500;
/** A request that may run only once is taken if this multiple of its expected time is left. */
const UNREPEATABLE_MARGIN_FACTOR = 1.5;

/** Times on the monotonic clock, in ms. */
export type StopPlan = {
	/** Until then the balancer may send new connections. */
	readonly balancedUntil: number;
	/** What is still open then gets its final response. */
	readonly answersAt: number;
	/** The process exits. */
	readonly exitAt: number;
};

/** Plans a stop that begins at `now`, with `graceMs` until the process is killed. */
export function planStop(graceMs: number, now: number): StopPlan {
	const answersAt = now + graceMs - Math.min(ANSWER_MARGIN_MS, graceMs * MAX_ANSWER_SHARE);
	return {
		balancedUntil: Math.min(now + BALANCER_LAG_MS, answersAt),
		answersAt,
		exitAt: now + graceMs - Math.min(EXIT_MARGIN_MS, graceMs * MAX_EXIT_SHARE),
	};
}

/** A request that comes during a stop. */
export type LateRequest = {
	readonly kind: RouteKind;
	/** Time in ms after which it has its final response at the latest. */
	readonly timeoutMs: number;
	readonly targetLatencyMs: number;
	/** Longest of the last requests on its route in ms; undefined before the first one. */
	readonly usualMs: number | undefined;
};

/** Whether a request that comes at `now` is still taken. */
export function isTakenDuringStop({kind, timeoutMs, targetLatencyMs, usualMs}: LateRequest, plan: StopPlan, now: number): boolean {
	const timeLeftMs = plan.answersAt - now;
	if (timeoutMs <= timeLeftMs) {
		return true;
	}

	// A stream that has begun cannot be given a final response, so none is begun that might not end in time once clients have another daemon.
	if (timeLeftMs < MIN_TIME_LEFT_MS || (kind.kind === 'stream' && now > plan.balancedUntil)) {
		return false;
	}

	// The target of a stream concerns its first event only.
	const expectedMs = usualMs ?? (kind.kind === 'stream' ? 0 : targetLatencyMs);
	return expectedMs * (isRetryable(kind) ? 1 : UNREPEATABLE_MARGIN_FACTOR) <= timeLeftMs;
}
