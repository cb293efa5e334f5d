/** Configuration of a gateway: routes, services and workspaces, decoded from whatever store holds it. */

/**
 * What may be repeated. `idempotent` requests may run more than once, `non_idempotent` ones at most once; a `stream` is a
 * sequence of events with increasing ids.
 */
export type RouteKind =
	| {readonly kind: 'idempotent'}
	| {readonly kind: 'non_idempotent'}
	| {
		readonly kind: 'stream';
		/** Whether it may go on at another backend server after the last event that was delivered. */
		readonly resumable: boolean;
		/** Longest pause between two events in ms for which the response is on time. */
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
	/** Time in ms to the response, for a stream to its first event, that counts as on time. */
	readonly targetLatencyMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly services: readonly WeightedService[];
	/** Largest number of backend servers that may run one request. */
	readonly maxAttempts: number;
	/** Needs no API key. */
	readonly isAnonymous: boolean;
	/** Regions whose backend servers may run it; undefined allows all. */
	readonly regions: readonly string[] | undefined;
};

/** Speed and memory of the model engines of a service. Times in ms, memory in tokens. */
export type EngineProfile = {
	/** Requests that run at once. */
	readonly slots: number;
	readonly memoryTokens: number;
	/** Token steps in one pass while a request is writing. */
	readonly stepsPerPass: number;
	readonly stepMs: number;
	/** Added to each step for each request that is writing. */
	readonly stepMsPerWriter: number;
	/** Added to each step for 1,000 tokens of context of each request that is writing. */
	readonly stepMsPerKiloContext: number;
	readonly prefillTokensPerMs: number;
	/** Attention cost of prefill: ms for a million pairs of a token and an earlier one. */
	readonly msPerMillionPairs: number;
	/** Added to each step of an engine whose prompt was prefilled by several. */
	readonly hopMs: number;
	/** Mean tokens of a prompt and of an answer. */
	readonly usualPromptTokens: number;
	readonly usualOutputTokens: number;
};

export type Service = {
	readonly name: string;
	/** Requests a second that one of its servers bears while it is cold; 0 for no limit. */
	readonly coldRequestsPerSecond: number;
	readonly engine: EngineProfile | undefined;
};

export type Workspace = {
	readonly name: string;
	readonly apiKeys: readonly string[];
	/** Takes precedence over the priority of a route. */
	readonly priority: number | undefined;
	readonly regions: readonly string[] | undefined;
};

/** What a client may send, and how long it may stay idle. */
export type ClientLimits = {
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type ServingConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	/** Undefined when requests need no key at all. */
	readonly workspaces: readonly Workspace[] | undefined;
	readonly limits: ClientLimits;
};
