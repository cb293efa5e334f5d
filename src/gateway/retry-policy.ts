/** Decides the next step after an attempt at a backend server: retry, deliver or fail. */
import type {RouteKind} from './serving-configuration.js';

/** How one attempt ended. */
export type AttemptOutcome =
	/** The whole response has been sent to the client. */
	| {readonly kind: 'delivered'}
	/** A whole, signed stream without events, for a client that has asked for what follows the last event of an earlier response. */
	| {readonly kind: 'nothing_left'}
	/** A whole, signed response that has not been sent to the client. */
	| {readonly kind: 'answered'; readonly status: number}
	/** The request did not run and never will. */
	| {readonly kind: 'rejected'; readonly reason: string}
	/** The request was sent and may have run. */
	| {readonly kind: 'broken'; readonly reason: string}
	/** The deadline has passed. `wasSent` is true if anything was sent to a backend server. */
	| {readonly kind: 'expired'; readonly wasSent: boolean}
	/** The request has ended otherwise, for example because its client has disconnected. */
	| {readonly kind: 'aborted'};

/** State of a request after an attempt. */
export type RetryState = {
	readonly kind: RouteKind;
	readonly maxAttempts: number;
	/** Attempts that may have run. */
	readonly runs: number;
	/** All attempts. */
	readonly sends: number;
	/** Attempts that reached a backend server, whether or not it ran them. */
	readonly receivedSends: number;
	/** Those of `sends` that have a limit of their own, since they never connected to a server; 0 where all count alike. */
	readonly unconnectedSends: number;
	/** Whether the client has patience for more of them than of other attempts. */
	readonly hasPatience: boolean;
	/** Times that the request has waited for a place. */
	readonly waits: number;
	readonly timeLeftMs: number;
	/** Another attempt is going on, silent or not. */
	readonly isOtherRunning: boolean;
	/** Takes one retry from the shared budget of the daemons, if available; called last. */
	tryBudget(): boolean;
};

export type NextStep =
	| {readonly kind: 'finished'}
	| {readonly kind: 'deliver'}
	| {readonly kind: 'repeat'}
	/** The attempt that is still going on decides. */
	| {readonly kind: 'wait'}
	| {readonly kind: 'fail'; readonly ran: 'not_run' | 'unknown'; readonly reason: string; readonly isExpired: boolean};

/** Limit of attempts per request, including rejected ones. More would use up the shared budget when the fleet is full. */
const MAX_SENDS = 4;
/**
 * Limit of attempts that never connected, which cost the servers nothing: most of the engines of a failure domain of a large fleet, each of
 * which may refuse a connection before the daemons have told each other that it is gone.
 */
const MAX_UNCONNECTED_SENDS = 16;
/** With less time left, another attempt would only add load. */
const MIN_TIME_LEFT_MS = 50;
const SERVER_ERROR_STATUS = 500;

/** Whether a request of this kind may run more than once. */
export const isRetryable = (kind: RouteKind): boolean => kind.kind === 'idempotent' || (kind.kind === 'stream' && kind.resumable);

/** Whether an attempt that may have run can be followed by another one, not counting the budget. */
export const canRunAgain = (state: Omit<RetryState, 'tryBudget'>): boolean =>
	isRetryable(state.kind) && state.runs < state.maxAttempts && canSendAgain(state);

/** A place has been seen for the request before each wait ends, so each wait allows one more attempt. */
const canSendAgain = ({
	sends, unconnectedSends, hasPatience, waits, timeLeftMs,
}: Omit<RetryState, 'tryBudget'>): boolean =>
	timeLeftMs > MIN_TIME_LEFT_MS
	&& sends - unconnectedSends < MAX_SENDS + waits
	&& unconnectedSends < (hasPatience ? MAX_UNCONNECTED_SENDS : MAX_SENDS);

/**
 * What the end of one attempt means for the request. A silent server may be sound, so an attempt that fails never ends the request, nor
 * leads to a further one, while another attempt is going on.
 */
export function nextStep(outcome: AttemptOutcome, state: RetryState): NextStep {
	return state.isOtherRunning && !isFinal(outcome) ? {kind: 'wait'} : stepOf(outcome, state);
}

/** What the end of the only attempt, or of one that ends the request, means. */
function stepOf(outcome: AttemptOutcome, state: RetryState): NextStep {
	switch (outcome.kind) {
		case 'delivered':
		case 'nothing_left':
		case 'aborted': {
			return {kind: 'finished'};
		}

		case 'answered': {
			const shouldRetry = outcome.status >= SERVER_ERROR_STATUS && canRunAgain(state);
			return shouldRetry && state.tryBudget() ? {kind: 'repeat'} : {kind: 'deliver'};
		}

		case 'rejected': {
			// The budget limits what backend servers receive; an attempt that never connected cost them nothing.
			if (canSendAgain(state) && (state.receivedSends === 0 || state.tryBudget())) {
				return {kind: 'repeat'};
			}

			return {
				kind: 'fail', ran: state.runs === 0 ? 'not_run' : 'unknown', reason: outcome.reason, isExpired: false,
			};
		}

		case 'broken': {
			if (canRunAgain(state) && state.tryBudget()) {
				return {kind: 'repeat'};
			}

			return {
				kind: 'fail', ran: 'unknown', reason: outcome.reason, isExpired: false,
			};
		}

		case 'expired': {
			const ran = state.runs === 0 && !outcome.wasSent ? 'not_run' : 'unknown';
			return {
				kind: 'fail', ran, reason: 'the deadline of the request has passed', isExpired: true,
			};
		}
	}
}

/** Whether an end says nothing against the server: its part is done, or the attempt was ended for another reason. */
export const isEndWithoutFault = ({kind}: AttemptOutcome): boolean => kind === 'delivered' || kind === 'nothing_left' || kind === 'aborted';

/** Whether an attempt ends its request whatever another attempt may still show. */
function isFinal(outcome: AttemptOutcome): boolean {
	switch (outcome.kind) {
		case 'delivered':
		case 'nothing_left': {
			return true;
		}

		case 'answered': {
			return outcome.status < SERVER_ERROR_STATUS;
		}

		case 'rejected':
		case 'broken':
		case 'expired':
		case 'aborted': {
			return false;
		}
	}
}
