/** Settings and faults of the object API stand-in. */
import {z} from 'zod';
import {cutCallersSchema} from '../unanswered-calls.js';
import {portSetting} from '../run-stand-in.js';

export const objectApiSettingsSchema = z.object({
	port: portSetting,
	seed: z.coerce.number().int().default(1).describe('seed that selects the writes affected by a fault'),
	writesPerSecond: z.coerce.number().min(0).default(0).describe('writes per second above which the stand-in responds with 429, 0 for no limit'),
	readsPerSecond: z.coerce.number().min(0).default(0).describe('reads, lists and watches per second above which the stand-in responds with 429, 0 for no limit'),
});

const rateLimitSchema = z.number().min(0).optional();

export const objectApiFaultsSchema = z.strictObject({
	/** `refuse` responds with 503; `hang` never responds. In both modes writes do not take effect. */
	outage: z.enum(['none', 'refuse', 'hang']).default('none'),
	/** Delay in ms added to every response. */
	slowMs: z.number().min(0).default(0),
	/**
	 * Loses responses to writes by closing the connection. With `after-effect` the write has taken effect, with
	 * `before-effect` it has not; with `late-effect` it takes effect `lateMs` later if its condition still holds then.
	 */
	lost: z.strictObject({
		mode: z.enum(['after-effect', 'before-effect', 'late-effect']),
		/** Fraction of writes that are affected. */
		share: z.number().min(0).max(1).default(1),
		/** Number of affected writes after which the fault ends. */
		count: z.number().int().positive().optional(),
		/** Affects only keys with this prefix. */
		keyPrefix: z.string().default(''),
		lateMs: z.number().min(0).default(1000),
	}).optional(),
	/** Callers that never get a response. */
	cutCallers: cutCallersSchema,
	/** Rate limits that override those of the settings. */
	writesPerSecond: rateLimitSchema,
	readsPerSecond: rateLimitSchema,
});

export type ObjectApiSettings = z.infer<typeof objectApiSettingsSchema>;
export type ObjectApiFaults = z.infer<typeof objectApiFaultsSchema>;
