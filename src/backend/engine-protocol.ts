/**
 * HTTP protocol of model engines as published by their operators, which is also implemented by the stand-in for tests.
 *
 * - `POST /v1/streams` with {@link StreamRequest}: 200 as soon as the request is accepted, with the headers
 *   `x-engine-boot`, `x-engine-warm`, `x-stream-id`. The body consists of server-sent events: `event: token` with
 *   {@link TokenEvent}, then `event: done` with {@link DoneEvent} or `event: failed` with {@link FailedEvent}.
 *   503: not accepted, the request has not run. 409: a stream with this id exists.
 * - `GET /v1/streams/<id>?from=<index>`: resumes with the token at that index. 404: unknown stream.
 *   The engine keeps a finished or disconnected stream until its time is over or it is cancelled.
 * - `DELETE /v1/streams/<id>`: cancels and frees the stream. 204, also when unknown.
 * - `GET /v1/streams`: {@link EngineListing}, the streams and segments that hold memory at present, without delay.
 * - `POST /v1/segments` with {@link SegmentRequest}: prefills part of a prompt and keeps its KV cache. Sends the headers as
 *   above immediately, and the JSON body `{id, tokens}` when the prefill is finished. `DELETE /v1/segments/<id>`: 204.
 * - `GET /v1/streams/<id>/export`: KV cache and position as opaque bytes. `POST /v1/streams/<id>/import`: continues from them.
 * - `GET /health`: {@link EngineHealth}. `GET /load`: {@link EngineLoad}, delayed.
 * - `GET /cache-events?after=<sequence>`: {@link CacheEvents}, delayed and with gaps.
 * - `POST /v1/orders` with {@link EngineOrder}: 200, or 409 `{highest}` for an old fencing token if the engine checks it.
 */
import {z} from 'zod';

const tokens = z.number().int().nonnegative();

/** Location of a KV cache segment of a split prompt. `address` is IP:PORT. */
export const segmentReferenceSchema = z.object({address: z.string(), id: z.string(), tokens}).readonly();

/** A generation request. `remainingMs` limits how long the engine keeps any memory for it. */
export const streamRequestSchema = z.object({
	id: z.string().min(1),
	model: z.string(),
	prompt: z.string(),
	maxTokens: z.number().int().positive(),
	/** 0 is the highest priority. */
	priority: z.number().int().min(0),
	remainingMs: z.number().positive(),
	segments: z.array(segmentReferenceSchema).readonly().default([]),
}).readonly();

export const segmentRequestSchema = z.object({
	id: z.string().min(1),
	model: z.string(),
	prompt: z.string(),
	priority: z.number().int().min(0),
	remainingMs: z.number().positive(),
	previous: z.array(segmentReferenceSchema).readonly().default([]),
}).readonly();

export const tokenEventSchema = z.object({id: z.string(), index: z.number().int().min(0), text: z.string()}).readonly();

export const doneEventSchema = z.object({
	id: z.string(),
	finishReason: z.enum(['stop', 'length']),
	promptTokens: tokens,
	completionTokens: tokens,
	cachedTokens: tokens,
}).readonly();

export const failedEventSchema = z.object({
	id: z.string(),
	code: z.enum(['out_of_memory', 'segment_lost', 'cancelled', 'expired', 'internal']),
	message: z.string(),
}).readonly();

/**
 * Memory held by each stream and segment. `remainingMs` is the time until the engine frees it by itself, if it does so
 * at all.
 */
export const engineListingSchema = z.object({
	boot: z.string(),
	warm: z.boolean(),
	streams: z.array(z.object({
		id: z.string(),
		state: z.enum(['queued', 'prefill', 'decode', 'finished']),
		promptTokens: tokens,
		kvTokens: tokens,
		ageMs: z.number(),
		remainingMs: z.number(),
	}).readonly()).readonly(),
	segments: z.array(z.object({
		id: z.string(),
		kvTokens: tokens,
		ageMs: z.number(),
		remainingMs: z.number(),
	}).readonly()).readonly(),
}).readonly();

export const engineHealthSchema = z.object({boot: z.string(), warm: z.boolean()}).readonly();

/** Load report, which lags behind the engine. `ageMs` is the age of the snapshot. */
export const engineLoadSchema = z.object({
	boot: z.string(),
	warm: z.boolean(),
	ageMs: z.number(),
	runningRequests: z.number().int(),
	pendingPrefillTokens: tokens,
	kvTokensUsed: tokens,
	kvTokensTotal: tokens,
	models: z.array(z.string()).readonly(),
	/** Version of each model. Omitted by engines that do not report versions. */
	modelVersions: z.record(z.string(), z.string()).readonly().optional(),
	role: z.enum(['mixed', 'prefill', 'decode']),
}).readonly();

/** Prefix cache changes. `prefix` is a block hash from {@link prefixHashes}. Skipped values of `sequence` are lost events. */
export const cacheEventsSchema = z.object({
	events: z.array(z.object({
		sequence: z.number().int(),
		kind: z.enum(['stored', 'evicted']),
		prefix: z.string(),
		tokens,
	}).readonly()).readonly(),
}).readonly();

export const engineOrderSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('load-model'), model: z.string(), version: z.string(), fencing: z.number().int(),
	}),
	z.object({kind: z.literal('unload-model'), model: z.string(), fencing: z.number().int()}),
	z.object({
		kind: z.literal('load-adapter'), adapter: z.string(), version: z.string(), fencing: z.number().int(),
	}),
	z.object({kind: z.literal('set-role'), role: z.enum(['mixed', 'prefill', 'decode']), fencing: z.number().int()}),
]);

export type SegmentReference = z.infer<typeof segmentReferenceSchema>;
export type StreamRequest = z.infer<typeof streamRequestSchema>;
export type SegmentRequest = z.infer<typeof segmentRequestSchema>;
export type TokenEvent = z.infer<typeof tokenEventSchema>;
export type DoneEvent = z.infer<typeof doneEventSchema>;
export type FailedEvent = z.infer<typeof failedEventSchema>;
export type EngineListing = z.infer<typeof engineListingSchema>;
export type EngineHealth = z.infer<typeof engineHealthSchema>;
export type EngineLoad = z.infer<typeof engineLoadSchema>;
export type CacheEvents = z.infer<typeof cacheEventsSchema>;
export type EngineOrder = z.infer<typeof engineOrderSchema>;
