/**
 * Messages between daemons, validated at both ends. They travel by tRPC over HTTP.
 * Durations are relative, since clocks of different hosts are not compared.
 */
import {z} from 'zod';
import {lengthClasses} from '../util/length-class.js';

const tokens = z.number().int().nonnegative();

/** The daemon that sends a message. */
export const senderSchema = z.object({
	id: z.string(),
	incarnation: z.string(),
	peerAddress: z.string(),
}).readonly();

/** Asks the coordinator of a pool for capacity for one request. Answered when granted or refused. */
export const reserveSchema = z.object({
	/** Unique over all daemons: `<daemon id>.<incarnation>.<sequence>`. Also the stream id at the engine. */
	id: z.string(),
	sender: senderSchema,
	pool: z.string(),
	workspace: z.string(),
	/** Model that the request names; absent for plain services. */
	model: z.string().optional(),
	/** Rank of the priority class, 0 first. */
	priority: z.number().int(),
	weight: z.number().positive(),
	lengthClass: z.enum(lengthClasses),
	/** Estimated prompt tokens; 0 for plain services. */
	promptTokens: tokens,
	/** Prompt and generated tokens to hold in KV cache. */
	kvTokens: tokens,
	/** Hashes of the leading blocks of the prompt, longest prefix last. */
	prefixHashes: z.array(z.string()).max(64).readonly(),
	/** Time that is left to the request. */
	remainingMs: z.number(),
	/** Backend server ids that already failed this request. */
	exclude: z.array(z.string()).readonly(),
	/** Backend server of an open split reservation of this id that the sender is about to use next. */
	activate: z.string().optional(),
}).readonly();

/** One backend server of a grant. For a split prompt each holds `tokens` of it, the last one decodes. */
export const grantedServerSchema = z.object({
	id: z.string(),
	address: z.string(),
	tokens,
}).readonly();

/** Load of a pool, sent with each answer to a reservation. */
export const poolSummarySchema = z.object({
	pool: z.string(),
	epoch: z.number().int(),
	queued: z.number().int(),
	running: z.number().int(),
	/** Estimated wait for a short request in ms. */
	shortWaitMs: z.number(),
	/** Estimated wait for a long request in ms. */
	longWaitMs: z.number(),
}).readonly();

export const reserveAnswerSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('granted'),
		epoch: z.number().int(),
		servers: z.array(grantedServerSchema).min(1).readonly(),
		/** The grant is void this long after the reservation was asked for or last confirmed queued. */
		validForMs: z.number(),
		enginePriority: z.number().int(),
		/** Estimated time from the grant to the first token. */
		firstTokenMs: z.number().optional(),
		summary: poolSummarySchema,
	}),
	z.object({
		kind: z.literal('refused'),
		reason: z.enum(['not_coordinator', 'overloaded', 'limit', 'too_large', 'deadline', 'no_servers', 'domain_out', 'draining']),
		message: z.string(),
		retryAfterMs: z.number().optional(),
		summary: poolSummarySchema.optional(),
	}),
]);

/** The backend server answered with headers: the request is accepted there. */
export const acknowledgeSchema = z.object({
	sender: senderSchema,
	pool: z.string(),
	id: z.string(),
	server: z.string(),
	boot: z.string(),
	warm: z.boolean(),
	/** The first token arrived, so the prompt no longer counts as prefill. */
	prefilled: z.boolean().optional(),
}).readonly();

/** How a reservation ended. `failed` and `silent` count against the backend server. */
export const releaseSchema = z.object({
	sender: senderSchema,
	pool: z.string(),
	id: z.string(),
	outcome: z.enum(['finished', 'cancelled', 'not_sent', 'failed', 'silent']),
	/** Milliseconds from sending to the first token, when one arrived. */
	firstTokenMs: z.number().optional(),
}).readonly();

/** Lists the sender's open reservations in a pool, once per second; registers them with a new coordinator. */
export const keepAliveSchema = z.object({
	sender: senderSchema,
	pool: z.string(),
	open: z.array(z.object({
		id: z.string(),
		servers: z.array(z.string()).readonly(),
		promptTokens: tokens,
		kvTokens: tokens,
		workspace: z.string(),
		lengthClass: z.enum(lengthClasses),
		remainingMs: z.number(),
		acknowledged: z.boolean(),
		/** Tokens on each of `servers`, for a split prompt. */
		serverTokens: z.array(tokens).readonly().optional(),
		/** Progress at each of `servers`; `inactive` for members of a split prompt whose turn has not come. */
		serverStates: z.array(z.enum(['inactive', 'unacknowledged', 'acknowledged', 'prefilled'])).readonly().optional(),
	}).readonly()).readonly(),
}).readonly();

export const keepAliveAnswerSchema = z.object({
	kind: z.enum(['accepted', 'not_coordinator']),
	epoch: z.number().int(),
	/** Listed reservations that the coordinator did not hold before. One that was not sent yet must not be sent. */
	unknown: z.array(z.string()).readonly().optional(),
}).readonly();

/** Asks a replaced coordinator to confirm that it grants nothing under epochs below `epoch`. */
export const stepDownSchema = z.object({pool: z.string(), epoch: z.number().int()}).readonly();

/** Asks for a promise not to take over the pool within `forMs`. */
export const promiseSchema = z.object({
	sender: senderSchema, pool: z.string(), epoch: z.number().int(), forMs: z.number(),
}).readonly();

/** Long poll for a configuration newer than `knownVersion`. */
export const configurationPollSchema = z.object({knownVersion: z.number().int(), waitMs: z.number().min(0).max(60_000)}).readonly();

/** A change of configuration: whole, or the top-level entries that changed since `fromVersion`. */
export const configurationPollAnswerSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('unchanged'),
		version: z.number().int(),
		/** Time since the answering daemon last heard from the object API; absent when it does not watch. */
		sourceAgeMs: z.number().optional(),
	}),
	z.object({kind: z.literal('whole'), version: z.number().int(), configuration: z.unknown()}),
	z.object({
		kind: z.literal('delta'),
		version: z.number().int(),
		fromVersion: z.number().int(),
		/** Changed entries by section; entries of array sections are matched by name. New ones have their index in `at`. */
		set: z.array(z.object({
			section: z.string(), name: z.string(), value: z.unknown(), at: z.number().int().min(0).optional(),
		}).readonly()).readonly(),
		removed: z.array(z.object({section: z.string(), name: z.string()}).readonly()).readonly(),
	}),
]);

/** Asks the relay of a claim partition to record a claim. */
export const claimSchema = z.object({
	/** SHA-256 of workspace, service and key, in hex. */
	operation: z.string(),
	/** Unix time in ms from the UUID version 7 key. */
	keyTimeMs: z.number().int(),
	attempt: z.string(),
	/** SHA-256 of method, path and body, in hex. */
	requestDigest: z.string(),
	remainingMs: z.number(),
}).readonly();

/** A response to keep for repeats of an operation. */
export const storedResponseSchema = z.object({
	status: z.number().int(),
	contentType: z.string(),
	/** Undefined when it was too large to keep. */
	body: z.string().optional(),
}).readonly();

export const claimAnswerSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('claimed')}),
	z.object({kind: z.literal('held'), attempt: z.string(), ageMs: z.number()}),
	z.object({kind: z.literal('done'), response: storedResponseSchema, requestDigest: z.string()}),
	z.object({kind: z.literal('mismatch')}),
	/** `unwritten`: no write with this claim was or will be sent, so there is nothing to release. */
	z.object({kind: z.literal('unavailable'), message: z.string(), unwritten: z.boolean().optional()}),
]);

/** Records the end of an attempt: `released` was never sent, `done` has its response. */
export const settleSchema = z.object({
	operation: z.string(),
	keyTimeMs: z.number().int(),
	attempt: z.string(),
	result: z.discriminatedUnion('kind', [
		z.object({kind: z.literal('released')}),
		z.object({kind: z.literal('done'), response: storedResponseSchema}),
	]),
}).readonly();

export type Sender = z.infer<typeof senderSchema>;
export type Reserve = z.infer<typeof reserveSchema>;
export type ReserveAnswer = z.infer<typeof reserveAnswerSchema>;
export type GrantedServer = z.infer<typeof grantedServerSchema>;
export type PoolSummary = z.infer<typeof poolSummarySchema>;
export type Acknowledge = z.infer<typeof acknowledgeSchema>;
export type Release = z.infer<typeof releaseSchema>;
export type KeepAlive = z.infer<typeof keepAliveSchema>;
export type KeepAliveAnswer = z.infer<typeof keepAliveAnswerSchema>;
export type StepDown = z.infer<typeof stepDownSchema>;
export type PromiseRequest = z.infer<typeof promiseSchema>;
export type ConfigurationPoll = z.infer<typeof configurationPollSchema>;
export type ConfigurationPollAnswer = z.infer<typeof configurationPollAnswerSchema>;
export type Claim = z.infer<typeof claimSchema>;
export type ClaimAnswer = z.infer<typeof claimAnswerSchema>;
export type StoredResponse = z.infer<typeof storedResponseSchema>;
export type Settle = z.infer<typeof settleSchema>;

/**
 * What a daemon answers to its peers. The peer server routes each tRPC procedure of the same name to this;
 * the peer client offers the same methods for an address. Methods reject only on transport errors.
 */
export type PeerService = {
	reserve(message: Reserve, signal?: AbortSignal): Promise<ReserveAnswer>;
	acknowledge(message: Acknowledge): Promise<void>;
	release(message: Release): Promise<void>;
	keepAlive(message: KeepAlive): Promise<KeepAliveAnswer>;
	stepDown(message: StepDown): Promise<{readonly confirmed: boolean}>;
	promise(message: PromiseRequest): Promise<{readonly promised: boolean}>;
	configuration(message: ConfigurationPoll, signal?: AbortSignal): Promise<ConfigurationPollAnswer>;
	claim(message: Claim, signal?: AbortSignal): Promise<ClaimAnswer>;
	/** Rejects also when the settlement was not recorded in time. */
	settle(message: Settle): Promise<void>;
	/** Serialized latency histograms and counters, see `src/service-levels`. */
	levels(): Promise<unknown>;
};
