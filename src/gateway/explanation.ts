/** Messages of `GET /explain` on the metrics port of a gateway daemon: what a request would be, and where it would go now. */
import {z} from 'zod';

export const EXPLAIN_PATH = '/explain';

const MAX_TOKENS = 100_000_000;
const MAX_PARTS = 64;

const nameSchema = z.string().min(1).max(253);
const tokensSchema = z.coerce.number().int().min(0).max(MAX_TOKENS);

/** A request without a body. Either `route`, or `host` and `path`. API keys have no field. */
export const explainQuerySchema = z.strictObject({
	host: nameSchema.optional(),
	path: z.string().startsWith('/').max(2048).optional(),
	route: nameSchema.optional(),
	workspace: nameSchema.optional(),
	promptTokens: tokensSchema.optional(),
	outputTokens: tokensSchema.optional(),
	/** Ids of prompt parts, separated by commas. */
	parts: z.string().transform(text => text.split(',').filter(part => part !== '')).pipe(z.array(nameSchema).max(MAX_PARTS)).optional(),
}).superRefine(({host, path, route}, context) => {
	if (route !== undefined && (host !== undefined || path !== undefined)) {
		context.addIssue({code: 'custom', path: ['route'], message: 'must not be combined with host and path'});
	} else if (route === undefined && (host === undefined || path === undefined)) {
		context.addIssue({code: 'custom', path: [host === undefined ? 'host' : 'path'], message: 'is missing; give host and path, or route'});
	}
});

export type ExplainQuery = z.infer<typeof explainQuerySchema>;

/** Why a server is left out; `null` for the chosen one and its helpers. */
const leftOutSchema = z.enum([
	'draining', 'domain_out', 'lost', 'doubtful', 'region_not_allowed', 'closed', 'at_limit', 'at_pace', 'no_memory', 'costs_more', 'not_examined',
]);

const serverSchema = z.object({
	server: z.string(),
	failureDomain: z.string(),
	/** Requests on the server, over all daemons, as far as this daemon knows. */
	requests: z.number(),
	/** Undefined for servers without an engine. */
	backlogMs: z.number().optional(),
	usedTokens: z.number().optional(),
	/** Expected time in ms to the first event without helpers; undefined if the server cannot take the request alone. */
	expectedMs: z.number().optional(),
	isSuspect: z.boolean(),
	isCold: z.boolean(),
	/** Time in ms until a limit lets a further request through; 0 if none binds. */
	limitWaitMs: z.number(),
	leftOut: leftOutSchema.nullable(),
});

const decisionSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('server'),
		server: z.string(),
		failureDomain: z.string(),
		expectedMs: z.number(),
		helpers: z.array(z.string()),
		reserved: z.array(z.object({server: z.string(), tokens: z.number()})),
		/** Servers between which random numbers decide, `server` included; empty if none do. */
		equalServers: z.array(z.string()),
	}),
	z.object({kind: z.literal('host'), address: z.string()}),
	z.object({
		kind: z.literal('wait'), why: z.string(), placeInMs: z.number(), isKnown: z.boolean(), longestMs: z.number(),
	}),
	z.object({
		kind: z.literal('refused'), code: z.string(), message: z.string(), retryAfterMs: z.number().optional(),
	}),
]);

export const explanationSchema = z.object({
	/** Undefined before the first configuration. */
	configuration: z.number().optional(),
	/** Undefined if the request is refused before it has a service. */
	request: z.object({
		route: z.string(),
		workspace: z.string().optional(),
		service: z.string(),
		/** Services of the route, one of which is drawn by weight for each request. */
		services: z.array(z.object({service: z.string(), weight: z.number()})),
		rank: z.number(),
		urgency: z.number().optional(),
		deadlineMs: z.number(),
		targetMs: z.number(),
		/** Expected first events later than this are refused. */
		silenceLimitMs: z.number(),
		/** Regions that route and workspace both allow; undefined if neither names any. */
		regions: z.array(z.string()).optional(),
		maxBodyBytes: z.number(),
		coldRequestsPerSecond: z.number(),
	}).optional(),
	queue: z.object({
		/** Whether requests to the service may wait. */
		isUsed: z.boolean(),
		waiting: z.number(),
		/** Place that the request would get among those of its service; 1 is the first. */
		position: z.number(),
	}).optional(),
	servers: z.array(serverSchema),
	decision: decisionSchema,
});

export type Explanation = z.infer<typeof explanationSchema>;
export type ExplainedServer = z.infer<typeof serverSchema>;
export type ExplainedDecision = z.infer<typeof decisionSchema>;

/** The query names something that does not exist, or is malformed. */
export const explainErrorSchema = z.object({error: z.object({field: z.string(), message: z.string()})});

export type ExplainError = z.infer<typeof explainErrorSchema>;

/** Describes the first fault of a query without its value, which may be a key that was pasted into the wrong field. */
export function describeQueryError({issues: [issue]}: z.ZodError): ExplainError {
	const isUnknown = issue?.code === 'unrecognized_keys';
	return {
		error: {
			field: isUnknown ? issue.keys.join(', ') : String(issue?.path[0] ?? 'query'),
			message: isUnknown ? 'is not known' : issue?.message ?? 'is invalid',
		},
	};
}
