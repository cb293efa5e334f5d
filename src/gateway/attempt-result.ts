/** How one attempt at a backend server ended, and what that says about the server. */
import type {ExchangeEnd} from '../forwarding/exchange.js';
import type {ResponseAccount} from '../forwarding/response-buffers.js';
import {relayedResponseKind} from '../relaying/relayed-response.js';
import type {AttemptOutcome} from './retry-policy.js';
import type {ResponseMetadata} from './wire-format.js';

/** A complete response that has not been sent to the client. */
export type BufferedResponse = {
	readonly status: number;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** The memory of the body, to be closed when the response has been sent. */
	readonly account: ResponseAccount;
};

export type AttemptResult = {
	readonly outcome: AttemptOutcome;
	/** Set if the outcome is `answered`. */
	readonly response?: BufferedResponse;
	/** Set if the outcome is `nothing_left`: the headers for the client. */
	readonly streamHead?: readonly string[];
	/** Whether the backend server may have run the request. */
	readonly mayHaveRun: boolean;
	/** The server was silent when another attempt went on. */
	readonly isGivenUp?: boolean;
	/** Nothing was sent to the server. */
	readonly isUnsent?: boolean;
	/** The server had no part in the failure. */
	readonly isBlameless?: boolean;
	/** IP:PORT of the server that caused the failure, if it is not the chosen one. */
	readonly faultyAddress?: string;
	/** New events that the server sent. */
	readonly events?: number;
	/** The server closed or reset the connection before the end of the response. */
	readonly isDisconnected?: boolean;
	/** The address now belongs to another server (`moved`), or nothing listens on it (`refused`). */
	readonly lostReason?: 'moved' | 'refused';
	/** No connection could be opened. */
	readonly isNotConnected?: boolean;
};

/** Result of an attempt for which no connection could be opened. */
export const notConnected = ({message, isInvalid, isRefused}: Extract<ExchangeEnd, {kind: 'not_connected'}>): AttemptResult => ({
	outcome: {kind: 'rejected', reason: `no connection: ${message}`},
	mayHaveRun: false,
	isUnsent: true,
	isNotConnected: !isInvalid,
	isBlameless: isInvalid,
	lostReason: isRefused ? 'refused' : undefined,
});

/** Result of an attempt that another daemon did not serve; undefined if its response is that of a backend server. */
export function relayFailureOf(status: number, isSigned: boolean): AttemptResult | undefined {
	const kind = relayedResponseKind(status, isSigned);
	const reason = `the relaying daemon answered with status ${status}`;
	switch (kind) {
		case 'answered': {
			return undefined;
		}

		case 'refused': {
			// No backend server has got it, so it does not count as received.
			return {outcome: {kind: 'rejected', reason}, mayHaveRun: false, isUnsent: true};
		}

		case 'failed': {
			return {outcome: {kind: 'broken', reason}, mayHaveRun: true};
		}
	}
}

export function rejection({isMisdirected, faultyAddress}: ResponseMetadata, status: number): AttemptResult {
	const reason = isMisdirected ? 'the address now belongs to another server' : `rejected with status ${status}`;
	return {
		outcome: {kind: 'rejected', reason}, mayHaveRun: false, faultyAddress, lostReason: isMisdirected ? 'moved' : undefined,
	};
}
