/**
 * Messages between daemons, sent by tRPC over HTTP and validated at both ends.
 * Times are sent as durations, since the clocks of different hosts are not comparable.
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

/** Requests capacity for one request from the coordinator of a pool. Answered once it is granted or refused. */
export const reserveSchema = z.object({
	/** Unique among all daemons: `<daemon id>.<incarnation>.<sequence>`. Also used as the stream id at the engine. */
	id: z.string(),
	sender: senderSchema,
	pool: z.string(),
	workspace: z.string(),
	/** Requested model; absent for plain services. */
	model: z.string().optional(),
	/** Rank of the priority class; 0 is served first. */
	priority: z.number().int(),
	weight: z.number().positive(),
	lengthClass: z.enum(lengthClasses),
	/** Estimated prompt tokens; 0 for plain services. */
	promptTokens: tokens,
	/** Prompt and generated tokens that the KV cache has to hold. */
	kvTokens: tokens,
	/** Hashes of the leading blocks of the prompt, shortest prefix first. */
	prefixHashes: z.array(z.string()).max(64).readonly(),
	/** Time until the deadline of the request. */
	remainingMs: z.number(),
	/** Ids of backend servers at which this request has already failed. */
	exclude: z.array(z.string()).readonly(),
	/** For an open reservation of a split prompt with this id: the backend server that the sender is about to use next. */
	activate: z.string().optional(),
}).readonly();

/** One backend server of a grant. Of a split prompt each server holds `tokens` tokens, and the last server decodes. */
export const grantedServerSchema = z.object({
	id: z.string(),
	address: z.string(),
	tokens,
}).readonly();

/** Load of a pool, sent with answers to reservations. */
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
		/** The grant expires this long after the reservation was requested or last confirmed as queued. */
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

/** Reports that a backend server has sent response headers, so it has accepted the request. */
export const acknowledgeSchema = z.object({
	sender: senderSchema,
	pool: z.string(),
	id: z.string(),
	server: z.string(),
	boot: z.string(),
	warm: z.boolean(),
	/** The first token has arrived, so the prompt no longer counts as pending prefill. */
	prefilled: z.boolean().optional(),
}).readonly();

/** Reports the end of a reservation. `failed` and `silent` count as failures of the backend server. */
export const releaseSchema = z.object({
	sender: senderSchema,
	pool: z.string(),
	id: z.string(),
	outcome: z.enum(['finished', 'cancelled', 'not_sent', 'failed', 'silent']),
	/** Milliseconds from sending the request to the first token, if one arrived. */
	firstTokenMs: z.number().optional(),
}).readonly();

/** Lists the sender's open reservations in a pool. Sent once per second; it also registers them with a new coordinator. */
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
		/** For a split prompt: tokens on each of `servers`. */
		serverTokens: z.array(tokens).readonly().optional(),
		/** Progress at each of `servers`; `inactive` for servers of a split prompt that are not in use yet. */
		serverStates: z.array(z.enum(['inactive', 'unacknowledged', 'acknowledged', 'prefilled'])).readonly().optional(),
	}).readonly()).readonly(),
}).readonly();

export const keepAliveAnswerSchema = z.object({
	kind: z.enum(['accepted', 'not_coordinator']),
	epoch: z.number().int(),
	/**
	 * Listed reservations that the coordinator did not know. The request of such a reservation must not be sent if it has
	 * not been yet.
	 */
	unknown: z.array(z.string()).readonly().optional(),
}).readonly();

/** Asks a replaced coordinator to confirm that it no longer grants reservations under epochs below `epoch`. */
export const stepDownSchema = z.object({pool: z.string(), epoch: z.number().int()}).readonly();

/** Asks a peer to promise not to take over the pool within `forMs`. */
export const promiseSchema = z.object({
	sender: senderSchema, pool: z.string(), epoch: z.number().int(), forMs: z.number(),
}).readonly();

/** Long poll for a configuration newer than `knownVersion`. */
export const configurationPollSchema = z.object({knownVersion: z.number().int(), waitMs: z.number().min(0).max(60_000)}).readonly();

/** A configuration change: the whole configuration, or only the entries that changed since `fromVersion`. */
export const configurationPollAnswerSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('unchanged'),
		version: z.number().int(),
		/** Time since the answering daemon last had an answer from the object API; absent if it does not watch the object API. */
		sourceAgeMs: z.number().optional(),
	}),
	z.object({kind: z.literal('whole'), version: z.number().int(), configuration: z.unknown()}),
	z.object({
		kind: z.literal('delta'),
		version: z.number().int(),
		fromVersion: z.number().int(),
		/** Changed entries by section. Entries of array sections are matched by name; new ones have their index in `at`. */
		set: z.array(z.object({
			section: z.string(), name: z.string(), value: z.unknown(), at: z.number().int().min(0).optional(),
		}).readonly()).readonly(),
		removed: z.array(z.object({section: z.string(), name: z.string()}).readonly()).readonly(),
	}),
]);

/** Asks the relay of a claim partition to record the claim of an attempt to an operation. */
export const claimSchema = z.object({
	/** SHA-256 of workspace, service and key, in hex. */
	operation: z.string(),
	/** Unix time in ms that the UUID version 7 key contains. */
	keyTimeMs: z.number().int(),
	attempt: z.string(),
	/** SHA-256 of method, path and body, in hex. */
	requestDigest: z.string(),
	remainingMs: z.number(),
}).readonly();

/** A response that is stored to answer repeats of an operation. */
export const storedResponseSchema = z.object({
	status: z.number().int(),
	contentType: z.string(),
	/** Undefined if the body was too large to store. */
	body: z.string().optional(),
}).readonly();

export const claimAnswerSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('claimed')}),
	z.object({kind: z.literal('held'), attempt: z.string(), ageMs: z.number()}),
	z.object({kind: z.literal('done'), response: storedResponseSchema, requestDigest: z.string()}),
	z.object({kind: z.literal('mismatch')}),
	/** `unwritten`: no write of this claim has been or will be sent, so there is nothing to release. */
	z.object({kind: z.literal('unavailable'), message: z.string(), unwritten: z.boolean().optional()}),
]);

/** Records the end of an attempt. `released`: it was never sent. `done`: it has a response. */
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
 * Methods that a daemon offers to its peers. The peer router maps each tRPC procedure to the method of the same name, and
 * the peer client implements the interface for an address. Methods reject only on transport errors.
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
	/** Also rejects if the settlement was not recorded in time. */
	settle(message: Settle): Promise<void>;
	/** Returns serialized latency histograms and counters, see `src/service-levels`. */
	levels(): Promise<unknown>;
};
