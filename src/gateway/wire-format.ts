/** How requests and responses carry their facts in headers. The adapter of a platform implements it. */
import type {IncomingHttpHeaders} from 'node:http';

export type HeaderFields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** What a client says about its request. */
export type ClientFacts = {
	/** Identity of this try of the client; responses repeat it. */
	readonly attemptId: string | undefined;
	/** Time in ms that the client waits, from its sending. */
	readonly deadlineMs: number | undefined;
	readonly apiKey: string | undefined;
	readonly promptTokens: number | undefined;
	readonly maxOutputTokens: number | undefined;
	/** The client's estimate of the output tokens. */
	readonly outputHint: number | undefined;
	/** The last event that the client has, when it resumes a stream. */
	readonly lastEventId: number | undefined;
};

/** What a backend server is told beside the client's own headers. */
export type Instructions = {
	readonly instanceId: string;
	readonly deadlineMs: number;
	readonly workspace: string | undefined;
	readonly lastEventId: number | undefined;
	/** Engines that prefill parts of the prompt, with the reservation under which they keep their share of its memory. */
	readonly helpers: ReadonlyArray<{readonly address: string; readonly reservation: string | undefined}>;
	/** 0 is served first, 9 last; undefined leaves the engine's default. */
	readonly urgency: number | undefined;
};

/** What a backend server says about its response. */
export type ResponseFacts = {
	readonly attemptId: string | undefined;
	/** The response is signed by the backend server. */
	readonly isSigned: boolean;
	/** The request did not run and never will. */
	readonly isNotExecuted: boolean;
	/** The address belongs to another server than the one that the request was meant for. */
	readonly isMisdirected: boolean;
	/** IP:PORT of the server at fault, where it is another one. */
	readonly faultyAddress: string | undefined;
};

export type WireFormat = {
	readClient(headers: IncomingHttpHeaders): ClientFacts;
	/** Headers for the backend server, names and values in turn, from the client's raw headers. */
	backendHeaders(rawHeaders: readonly string[], instructions: Instructions): readonly string[];
	readResponse(status: number, headers: HeaderFields): ResponseFacts;
	/** Headers for the client, names and values in turn. Length and framing are set by the caller. */
	clientHeaders(headers: HeaderFields): readonly string[];
	formatRetryAfter(ms: number): string;
};
