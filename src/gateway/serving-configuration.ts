/** Configuration of a gateway (routes, services and workspaces), independent of the store that holds it. */

/**
 * Determines what may be retried. `idempotent` requests may run more than once, `non_idempotent` ones at most once; a
 * `stream` is a sequence of events with increasing ids.
 */
export type RouteKind =
	| {readonly kind: 'idempotent'}
	| {readonly kind: 'non_idempotent'}
	| {
		readonly kind: 'stream';
		/** Whether another backend server may continue the stream after the last delivered event. */
		readonly resumable: boolean;
		/** Longest pause between two events in ms that counts as on time. */
		readonly gapTargetMs: number;
	};

export type WeightedService = {readonly service: string; readonly weight: number};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Longest time in ms until the response is complete. */
	readonly timeoutMs: number;
	/** Time in ms to the response, or to the first event of a stream, that counts as on time. */
	readonly targetLatencyMs: number;
	/** 0 is the highest priority. */
	readonly priority: number;
	readonly services: readonly WeightedService[];
	/** Largest number of backend servers that may run one request. */
	readonly maxAttempts: number;
	/** Does not require an API key. */
	readonly isAnonymous: boolean;
	/** Regions whose backend servers may run requests of the route; undefined allows all. */
	readonly regions: readonly string[] | undefined;
};

/** Speed and memory of the model engines of a service. Times are in ms, memory is in tokens. */
export type EngineProfile = {
	/** Number of requests that run concurrently. */
	readonly slots: number;
	readonly memoryTokens: number;
	/** Token steps in one pass while any request is decoding. */
	readonly stepsPerPass: number;
	readonly stepMs: number;
	/** Added to each step for each decoding request. */
	readonly stepMsPerDecodingRequest: number;
	/** Added to each step for every 1,000 tokens of context of each decoding request. */
	readonly stepMsPerThousandContextTokens: number;
	readonly prefillTokensPerMs: number;
	/** Attention cost of prefill in ms for a million pairs of a token and an earlier token. */
	readonly attentionMsPerMillionPairs: number;
	/** Added to each step of an engine whose prompt was prefilled by several engines. */
	readonly hopMs: number;
	/** Mean number of tokens of a prompt and of an output. */
	readonly meanPromptTokens: number;
	readonly meanOutputTokens: number;
};

export type Service = {
	readonly name: string;
	/** Requests per second that each of its servers can take while it is cold; 0 for no limit. */
	readonly coldRequestsPerSecond: number;
	readonly engine: EngineProfile | undefined;
};

export type Workspace = {
	readonly name: string;
	readonly apiKeys: readonly string[];
	/** Overrides the priority of a route. */
	readonly priority: number | undefined;
	readonly regions: readonly string[] | undefined;
};

/** Limits on what a client may send and on how long it may be idle. */
export type ClientLimits = {
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type ServingConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	/** Undefined if no request requires a key. */
	readonly workspaces: readonly Workspace[] | undefined;
	readonly limits: ClientLimits;
};
