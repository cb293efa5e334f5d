/** How the handling of one request ends, and what its client is told when it fails. */
import type {Failure, FailureCode} from '../util/failure.js';
import type {AttemptCounts} from './attempt-runner.js';
import type {NextStep} from './retry-policy.js';

/** Result of a request, for logs and metrics. */
export type FlowResult = {
	/** `superseded`: the request has run nowhere and is to be handled again, by the configuration that is now in force. */
	readonly outcome: 'delivered' | 'answered' | 'failed' | 'left' | 'superseded';
	readonly status: number;
	readonly sends: number;
	/** Hosts that were asked to relay the request; undefined for none. */
	readonly hosts?: number;
	/** Time in ms to the first event of a stream, and the longest pause between events. */
	readonly firstEventMs?: number;
	readonly longestGapMs?: number;
	readonly failure?: Failure;
	/** Set if the request was ended from outside. */
	readonly stoppedBy?: StopReason['kind'];
};

/** Why a request is ended from outside: the daemon stops, or the deadline of the request has passed. */
export type StopReason = {readonly kind: 'shutdown'} | {readonly kind: 'overdue'};

/** How a request was handled by an earlier configuration. It has run nowhere. */
export type EarlierHandling = {
	readonly counts: AttemptCounts;
	readonly waits: number;
	/** Number of servers that were chosen. */
	readonly choices: number;
};

/** What the client of a stopped request is told. */
export function stopFailure(reason: StopReason, ran: 'not_run' | 'unknown'): {readonly code: FailureCode; readonly message: string} {
	switch (reason.kind) {
		case 'shutdown': {
			return {code: ran === 'not_run' ? 'draining' : 'backend_failed', message: 'this daemon is shutting down'};
		}

		case 'overdue': {
			return {code: ran === 'not_run' ? 'no_capacity' : 'deadline_exceeded', message: 'the deadline of the request has passed'};
		}
	}
}

export function failureCode({ran, isExpired}: Extract<NextStep, {kind: 'fail'}>): FailureCode {
	if (ran === 'not_run') {
		return 'no_capacity';
	}

	return isExpired ? 'deadline_exceeded' : 'backend_failed';
}
