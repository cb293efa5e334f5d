/** Settings and faults of the engine stand-in. */
import {z} from 'zod';
import {portSetting} from '../run-stand-in.js';

const number = z.coerce.number();
const share = number.min(0).max(1);

export const engineSettingsSchema = z.object({
	port: portSetting,
	seed: number.int().default(1).describe('seed of the choice of lost cache events'),
	speed: number.positive().default(1).describe('factor by which prefill, decode, loading and warm-up are faster than stated'),
	kvTokens: number.int().positive().default(200_000).describe('KV memory in tokens'),
	prefillTokensPerSecond: number.positive().default(10_000).describe('prefill speed'),
	decodeTokensPerSecond: number.positive().default(40).describe('generated tokens per second of one stream'),
	chunkTokens: number.int().positive().default(2048).describe('prompt tokens prefilled in one step'),
	answerTokens: number.int().min(0).default(0).describe('tokens after which an answer stops, 0 for maxTokens only'),
	coldRequests: number.int().positive().default(2).describe('requests borne at once while cold'),
	coldPrefillTokens: number.int().positive().default(16_000).describe('unfinished prefill tokens borne while cold'),
	warmAfterMs: number.min(0).default(3000).describe('time from the first request until warm, in ms'),
	startsWarm: z.boolean().default(false).describe('first boot is warm at once'),
	maxQueued: number.int().min(0).default(256).describe('queued requests before 503'),
	models: z.coerce.string().default('').describe('models loaded at boot: name or name@version, separated by commas'),
	loadMs: number.min(0).default(1000).describe('time of loading a model in ms'),
	weightStore: z.string().optional().describe('URL of the weight store'),
	fencing: z.enum(['checked', 'ignored']).default('checked').describe('whether orders with an old fencing number are refused'),
	loadLagMs: number.min(0).default(500).describe('age of the load report in ms'),
	cacheEventLagMs: number.min(0).default(300).describe('delay of cache events in ms'),
	cacheEventLossShare: share.default(0.05).describe('share of cache events that is lost'),
	leak: z.boolean().default(false).describe('never frees a stream or segment by itself'),
});

export const engineFaultsSchema = z.strictObject({
	/**
	 * Done once when set: `crash` ends all streams, resets all connections and boots cold; `turn-cold` becomes cold
	 * without notice; `silence` writes nothing more on the open connections, while new ones work.
	 */
	act: z.enum(['crash', 'turn-cold', 'silence']).optional(),
	/** Factor by which steps take longer. */
	slowFactor: z.number().positive().default(1),
	/** Time between accepting a request and its response headers. */
	headersDelayMs: z.number().min(0).default(0),
	/** Time between receiving a request and accepting it; it is accepted even when the client has left meanwhile. */
	acceptDelayMs: z.number().min(0).default(0),
	/** Number of accepted requests whose connection is closed without response headers. */
	loseHeaders: z.number().int().min(0).default(0),
	/** Each new connection goes silent after this many token events. */
	silentAfterTokens: z.number().int().positive().optional(),
	/** Number of token events that are delivered on the connection of another stream. */
	swapTokens: z.number().int().min(0).default(0),
	/** Refuses every new request with 503. */
	refuse: z.boolean().default(false),
});

export type EngineSettings = z.infer<typeof engineSettingsSchema>;
export type EngineSettingsInput = z.input<typeof engineSettingsSchema>;
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
export type EngineFaultsInput = z.input<typeof engineFaultsSchema>;
