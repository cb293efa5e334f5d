/**
 * Schema of the configuration that operators apply.
 * It validates every single field; references between fields are validated in `check-references.ts`.
 */
import {z} from 'zod';
import {lengthClasses} from '../util/length-class.js';

const name = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'lower-case letters, digits and hyphens, starting with a letter, at most 63 characters');
const positiveInteger = z.number().int().positive();
const nonNegativeInteger = z.number().int().nonnegative();

/** A failure domain. New work is sent only to domains in state `in`. */
export const failureDomainSchema = z.strictObject({
	name,
	region: name,
	state: z.enum(['in', 'out']),
}).readonly();

/** Concurrent load limits of one backend server: requests in flight and their prompt tokens that are not yet prefilled. */
export const loadLimitsSchema = z.strictObject({
	requests: positiveInteger,
	prefillTokens: positiveInteger,
}).readonly();

/** A model service: a pool of engines in each of its failure domains. */
export const modelServiceSchema = z.strictObject({
	kind: z.literal('model'),
	name,
	failureDomains: z.array(name).min(1).readonly(),
	/** Values that clients may send as `model`. The first is the base model; the others are adapters or versions. */
	models: z.array(z.strictObject({name: z.string().min(1), version: z.string().min(1)}).readonly()).min(1).readonly(),
	warm: loadLimitsSchema,
	cold: loadLimitsSchema,
	/** KV cache capacity of one engine, in tokens. */
	kvTokens: positiveInteger,
	/** Prefill speed of one warm engine in tokens per second, used for estimates until the speed has been observed. */
	prefillTokensPerSecond: positiveInteger,
	/** Decoding speed of one stream on a warm engine, in tokens per second. */
	decodeTokensPerSecond: positiveInteger,
	/** Share of a pool's engines that may run long prefills concurrently. */
	longPromptShare: z.number().min(0.1).max(1),
	/** Maximum number of engines that one prompt may be split across. */
	maxGangSize: positiveInteger,
	/** Whether the engines refuse orders that carry an outdated fencing token. */
	fencing: z.enum(['checked', 'ignored']),
	/** Number of pools into which the backend servers of one failure domain are split. */
	poolShards: positiveInteger,
}).readonly();

/** A route of a plain service. The first route whose method and path prefix match applies. */
export const plainRouteSchema = z.strictObject({
	method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
	pathPrefix: z.string().startsWith('/'),
	idempotent: z.boolean(),
	timeoutMs: positiveInteger,
}).readonly();

/** A plain service, reached under `/services/<name>/...`. */
export const plainServiceSchema = z.strictObject({
	kind: z.literal('plain'),
	name,
	failureDomains: z.array(name).min(1).readonly(),
	warm: z.strictObject({requests: positiveInteger}).readonly(),
	cold: z.strictObject({requests: positiveInteger}).readonly(),
	/** `checked`: the backend servers refuse to execute the same operation identity twice, so retries are safe. */
	operationIdentity: z.enum(['checked', 'unchecked']),
	routes: z.array(plainRouteSchema).min(1).readonly(),
	poolShards: positiveInteger,
}).readonly();

export const serviceSchema = z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema]);

/** A priority class. A lower `rank` is served first, both in the queue and at the engine. */
export const prioritySchema = z.strictObject({
	name,
	rank: nonNegativeInteger.max(9),
}).readonly();

/** Latency limits for requests of one length class, and the share of requests that must meet them. */
export const objectiveSchema = z.strictObject({
	service: name,
	lengthClass: z.enum(lengthClasses),
	firstTokenMs: positiveInteger,
	betweenTokensMs: positiveInteger,
	/** Maximum time from the arrival of a request until it finishes or fails. */
	totalMs: positiveInteger,
	/** Share of requests that must meet the objective, for example 0.95. */
	target: z.number().min(0.5).max(0.9999),
}).readonly();

/** Limits of one workspace across the whole system. */
export const workspaceLimitsSchema = z.strictObject({
	requestsPerSecond: z.number().positive(),
	concurrentRequests: positiveInteger,
	promptTokensPerMinute: positiveInteger,
}).readonly();

export const workspaceSchema = z.strictObject({
	name,
	/** SHA-256 digests of API keys, in lower-case hex. */
	apiKeyDigests: z.array(z.string().regex(/^[\da-f]{64}$/v, 'SHA-256 digest in lower-case hex')).min(1).readonly(),
	services: z.array(name).min(1).readonly(),
	/** Names of the priority classes by length class. */
	priorities: z.strictObject({
		short: name, medium: name, long: name, huge: name,
	}).readonly(),
	/** Weight in fair queueing among workspaces of the same priority. */
	weight: positiveInteger,
	limits: workspaceLimitsSchema,
}).readonly();

export const configurationSchema = z.strictObject({
	formatVersion: z.literal(1),
	deployment: name,
	failureDomains: z.array(failureDomainSchema).min(1).readonly(),
	services: z.array(serviceSchema).min(1).readonly(),
	priorities: z.array(prioritySchema).min(1).readonly(),
	objectives: z.array(objectiveSchema).readonly(),
	workspaces: z.array(workspaceSchema).readonly(),
	claims: z.strictObject({
		/** How long an operation claim is retained. */
		retentionMs: positiveInteger,
		/** Number of claim objects per time bucket. */
		partitions: positiveInteger.max(256),
	}).readonly(),
	weightStore: z.strictObject({
		/** Maximum rate of model loads from the weight store, for the whole system. */
		loadsPerMinute: positiveInteger,
	}).readonly(),
}).readonly();

export type FailureDomain = z.infer<typeof failureDomainSchema>;
export type ModelService = z.infer<typeof modelServiceSchema>;
export type PlainRoute = z.infer<typeof plainRouteSchema>;
export type PlainService = z.infer<typeof plainServiceSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Priority = z.infer<typeof prioritySchema>;
export type Objective = z.infer<typeof objectiveSchema>;
export type WorkspaceLimits = z.infer<typeof workspaceLimitsSchema>;
export type Workspace = z.infer<typeof workspaceSchema>;
export type Configuration = z.infer<typeof configurationSchema>;

/** A valid configuration with the version that the object API assigned to it. */
export type AcceptedConfiguration = {
	readonly version: number;
	readonly configuration: Configuration;
};

/** Key of the configuration in the object API. */
export const CONFIGURATION_KEY = 'config/current';
