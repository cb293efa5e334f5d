/**
 * HTTP protocol of a model engine, as its operators publish it. Engines and their stand-in speak it.
 *
 * - `POST /v1/streams` with {@link StreamRequest}: 200 as soon as the request is accepted, headers
 *   `x-engine-boot`, `x-engine-warm`, `x-stream-id`; the body is server-sent events: `event: token` with
 *   {@link TokenEvent}, then `event: done` with {@link DoneEvent}, or `event: failed` with {@link FailedEvent}.
 *   503: not accepted, the request did not run. 409: a stream with this id exists.
 * - `GET /v1/streams/<id>?from=<index>`: resumes with the token of that index. 404: unknown stream.
 *   The engine keeps a finished or detached stream until its time is over or it is cancelled.
 * - `DELETE /v1/streams/<id>`: cancels and frees the stream. 204, also when unknown.
 * - `GET /v1/streams`: {@link EngineListing}: what holds memory now, without lag.
 * - `POST /v1/segments` with {@link SegmentRequest}: prefills part of a prompt and keeps its KV cache; headers at once
 *   as above, body JSON `{id, tokens}` when the prefill is finished. `DELETE /v1/segments/<id>`: 204.
 * - `GET /v1/streams/<id>/export`: KV cache and position as opaque bytes; `POST /v1/streams/<id>/import`: continues there.
 * - `GET /health`: {@link EngineHealth}. `GET /load`: {@link EngineLoad}, lagging.
 * - `GET /cache-events?after=<sequence>`: {@link CacheEvents}, late and with gaps.
 * - `POST /v1/orders` with {@link EngineOrder}: 200, or 409 `{highest}` for an old fencing number where the engine checks it.
 */
import {z} from 'zod';

const tokens = z.number().int().nonnegative();

/** Where a KV segment of a split prompt is kept. `address` is IP:PORT. */
export const segmentReferenceSchema = z.object({address: z.string(), id: z.string(), tokens}).readonly();

/** A request to generate. `remainingMs` bounds how long the engine keeps anything of it. */
export const streamRequestSchema = z.object({
	id: z.string().min(1),
	model: z.string(),
	prompt: z.string(),
	maxTokens: z.number().int().positive(),
	/** 0 is the most urgent. */
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

/** Held memory by stream and by segment; `remainingMs` is the time until the engine frees it by itself, if it does. */
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

/** Lagging load report; `ageMs` is the age of the snapshot. */
export const engineLoadSchema = z.object({
	boot: z.string(),
	warm: z.boolean(),
	ageMs: z.number(),
	runningRequests: z.number().int(),
	pendingPrefillTokens: tokens,
	kvTokensUsed: tokens,
	kvTokensTotal: tokens,
	models: z.array(z.string()).readonly(),
	/** Version by model. Engines that do not report versions leave it out. */
	modelVersions: z.record(z.string(), z.string()).readonly().optional(),
	role: z.enum(['mixed', 'prefill', 'decode']),
}).readonly();

/** Prefix cache changes. `prefix` is a block hash from {@link prefixHashes}. A jump in `sequence` is a gap. */
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
