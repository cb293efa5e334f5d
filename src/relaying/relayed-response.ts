/** Reads what the response of a relaying host says about a request. */

/** Status by which a daemon states that a request has not run and never will, besides those of the client's errors. */
const NOT_RUN_STATUS = 503;
const isClientError = (status: number): boolean => status >= 400 && status < 500;

/** `answered`: the response of a backend server. `refused`: the request has not run and never will. `failed`: it may have run. */
export type RelayedResponseKind = 'answered' | 'refused' | 'failed';

/** `isSigned`: the response carries the signature of a backend server. */
export function relayedResponseKind(status: number, isSigned: boolean): RelayedResponseKind {
	if (isSigned) {
		return 'answered';
	}

	// A client error is due to a configuration that is older or newer than the one that admitted the request here.
	return status === NOT_RUN_STATUS || isClientError(status) ? 'refused' : 'failed';
}
