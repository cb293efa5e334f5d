/** Reads what the response of a relaying host says about a request. */
import {RELAYED_CONFIGURATION_FIELD, RELAYED_SERVER_FIELD} from '../http/connection-headers.js';

/** Status by which a daemon states that a request has not run and never will, besides those of the client's errors. */
const NOT_RUN_STATUS = 503;
const isClientError = (status: number): boolean => status >= 400 && status < 500;

/** `answered`: the response of a backend server. `refused`: the request has not run and never will. `failed`: it may have run. */
export type RelayedResponseKind = 'answered' | 'refused' | 'failed';

/** What the daemon of a relaying host adds to a response; earlier versions add nothing. */
export type RelayNote = {
	/** Id of the start of the server that wrote the response. */
	readonly server: string | undefined;
	/** Version of the configuration by which the request was handled. */
	readonly configuration: number | undefined;
};

export const relayNoteHeaders = (server: string, configuration: number): readonly string[] =>
	[RELAYED_SERVER_FIELD, server, RELAYED_CONFIGURATION_FIELD, String(configuration)];

export const readRelayNote = (headers: Readonly<Record<string, string | readonly string[] | undefined>>): RelayNote => {
	const server = headers[RELAYED_SERVER_FIELD];
	return {server: typeof server === 'string' ? server : undefined, configuration: readRelayedConfiguration(headers)};
};

/** Reads the version of a configuration from the headers of a relayed request or of its response. */
export function readRelayedConfiguration(headers: Readonly<Record<string, string | readonly string[] | undefined>>): number | undefined {
	const version = Number(headers[RELAYED_CONFIGURATION_FIELD]);
	return Number.isSafeInteger(version) ? version : undefined;
}

/** `isSigned`: the response carries the signature of a backend server. */
export function relayedResponseKind(status: number, isSigned: boolean): RelayedResponseKind {
	if (isSigned) {
		return 'answered';
	}

	// A client error is due to a configuration that is older or newer than the one that admitted the request here.
	return status === NOT_RUN_STATUS || isClientError(status) ? 'refused' : 'failed';
}
