/** Settings and faults of the engine stand-in. */
import {z} from 'zod';
import {portSetting} from '../run-stand-in.js';

const number = z.coerce.number();
const share = number.min(0).max(1);

export const engineSettingsSchema = z.object({
	port: portSetting,
	seed: number.int().default(1).describe('seed that selects the lost cache events'),
	speed: number.positive().default(1).describe('factor by which prefill, decode, loading and warm-up are faster than configured'),
	kvTokens: number.int().positive().default(200_000).describe('size of the KV memory in tokens'),
	prefillTokensPerSecond: number.positive().default(10_000).describe('prompt tokens prefilled per second'),
	decodeTokensPerSecond: number.positive().default(40).describe('tokens generated per second and stream'),
	chunkTokens: number.int().positive().default(2048).describe('prompt tokens prefilled per step'),
	answerTokens: number.int().min(0).default(0).describe('number of tokens after which an answer stops, 0 to apply only maxTokens'),
	coldRequests: number.int().positive().default(2).describe('concurrent requests above which a cold engine crashes'),
	coldPrefillTokens: number.int().positive().default(16_000).describe('pending prefill tokens above which a cold engine crashes'),
	warmAfterMs: number.min(0).default(3000).describe('time from the first request until the engine is warm, in ms'),
	startsWarm: z.boolean().default(false).describe('the first boot is warm from the start'),
	maxQueued: number.int().min(0).default(256).describe('number of queued requests at which new ones are refused with 503'),
	models: z.coerce.string().default('').describe('models loaded at boot, a comma-separated list of name or name@version'),
	loadMs: number.min(0).default(1000).describe('time to load a model in ms'),
	weightStore: z.string().optional().describe('URL of the weight store'),
	fencing: z.enum(['checked', 'ignored']).default('checked').describe('whether orders with an old fencing number are refused'),
	loadLagMs: number.min(0).default(500).describe('age of the load report in ms'),
	cacheEventLagMs: number.min(0).default(300).describe('delay of cache events in ms'),
	cacheEventLossShare: share.default(0.05).describe('share of cache events that is lost'),
	leak: z.boolean().default(false).describe('never frees expired streams and segments'),
});

export const engineFaultsSchema = z.strictObject({
	/**
	 * Performed once when set: `crash` ends all streams, resets all connections and boots cold; `turn-cold` becomes
	 * cold without notice; `silence` stops all output on the open connections, while new ones work.
	 */
	act: z.enum(['crash', 'turn-cold', 'silence']).optional(),
	/** Factor by which steps are slower. */
	slowFactor: z.number().positive().default(1),
	/** Time between accepting a request and its response headers. */
	headersDelayMs: z.number().min(0).default(0),
	/** Time between receiving a request and accepting it; it is accepted even when the client disconnects in the meantime. */
	acceptDelayMs: z.number().min(0).default(0),
	/** Number of accepted requests whose connection is closed without response headers. */
	loseHeaders: z.number().int().min(0).default(0),
	/** Number of token events after which output on each new connection stops. */
	silentAfterTokens: z.number().int().positive().optional(),
	/** Number of token events that are written to the connection of another stream. */
	swapTokens: z.number().int().min(0).default(0),
	/** Refuses every new request with 503. */
	refuse: z.boolean().default(false),
});

export type EngineSettings = z.infer<typeof engineSettingsSchema>;
export type EngineSettingsInput = z.input<typeof engineSettingsSchema>;
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
export type EngineFaultsInput = z.input<typeof engineFaultsSchema>;
