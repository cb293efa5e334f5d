/** Conversion of request and response metadata from and to headers. Implemented by the adapter of a platform. */
import type {IncomingHttpHeaders} from 'node:http';

export type HeaderFields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Metadata of a request from its client. */
export type ClientMetadata = {
	/** Identifies this attempt of the client; responses repeat it. */
	readonly attemptId: string | undefined;
	/** Time in ms that the client waits, counted from when it sent the request. */
	readonly deadlineMs: number | undefined;
	readonly apiKey: string | undefined;
	readonly promptTokens: number | undefined;
	/** Ids of the parts that the prompt may share with others, in order; the last part belongs to the request itself. */
	readonly sharedParts: readonly string[];
	readonly maxOutputTokens: number | undefined;
	/** The client's estimate of the number of output tokens. */
	readonly outputHint: number | undefined;
	/** Id of the last event that the client received, if it resumes a stream. */
	readonly lastEventId: number | undefined;
};

/** What a backend server is told in addition to the client's own headers. */
export type BackendInstructions = {
	readonly instanceId: string;
	readonly deadlineMs: number;
	readonly workspace: string | undefined;
	readonly lastEventId: number | undefined;
	/** Engines that prefill parts of the prompt, with the id of the reservation that holds their share of its memory. */
	readonly helpers: ReadonlyArray<{readonly address: string; readonly reservation: string | undefined}>;
	/** Scheduling priority from 0 (first) to 9 (last); undefined for the engine's default. */
	readonly urgency: number | undefined;
};

/** What a daemon that relays a request is told in place of the client's own headers. */
export type RelayInstructions = Pick<BackendInstructions, 'deadlineMs' | 'lastEventId'>;

/** Metadata of a response from a backend server. */
export type ResponseMetadata = {
	readonly attemptId: string | undefined;
	/** The response is signed by the backend server. */
	readonly isSigned: boolean;
	/** The request did not run and never will. */
	readonly isNotExecuted: boolean;
	/** The address belongs to another server than the intended one. */
	readonly isMisdirected: boolean;
	/** Time in ms for which the server, which refused this request, takes no requests of this daemon. */
	readonly closedForMs: number | undefined;
	/** The server is about to stop and takes no new requests. */
	readonly isLeaving: boolean;
	/** IP:PORT of the server that caused the failure, if it is another one. */
	readonly faultyAddress: string | undefined;
	/** Requests per second that the server takes from all daemons together, for as long as its responses say so. */
	readonly maxRequestsPerSecond: number | undefined;
};

export type WireFormat = {
	readClientMetadata(headers: IncomingHttpHeaders): ClientMetadata;
	/** Returns the headers for the backend server, with names and values alternating, from the client's raw headers. */
	backendHeaders(rawHeaders: readonly string[], instructions: BackendInstructions): readonly string[];
	/** Returns the headers for a daemon that relays the request, with names and values alternating: those of the client, API key included. */
	relayHeaders(rawHeaders: readonly string[], instructions: RelayInstructions): readonly string[];
	readResponseMetadata(status: number, headers: HeaderFields): ResponseMetadata;
	/** Returns the headers for the client, with names and values alternating. The caller sets length and framing. */
	clientHeaders(headers: HeaderFields): readonly string[];
	formatRetryAfter(ms: number): string;
};
