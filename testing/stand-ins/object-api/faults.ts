/** Faults and settings of the object API stand-in. */
import {z} from 'zod';
import {cutCallersSchema} from '../held-calls.js';
import {portSetting} from '../run-stand-in.js';

export const objectApiSettingsSchema = z.object({
	port: portSetting,
	seed: z.coerce.number().int().default(1).describe('seed of the choice of writes that a fault hits'),
	writesPerSecond: z.coerce.number().min(0).default(0).describe('writes a second before 429, 0 for no limit'),
	readsPerSecond: z.coerce.number().min(0).default(0).describe('reads, lists and watches a second before 429, 0 for no limit'),
});

const limit = z.number().min(0).optional();

export const objectApiFaultsSchema = z.strictObject({
	/** `refuse` answers 503; `hang` never answers. Neither lets a write take effect. */
	outage: z.enum(['none', 'refuse', 'hang']).default('none'),
	/** Added to every answer. */
	slowMs: z.number().min(0).default(0),
	/**
	 * Loses the answers of writes by closing the connection: `after-effect` and `before-effect` say whether the write
	 * took effect; with `late-effect` it takes effect `lateMs` later if its condition still holds then.
	 */
	lost: z.strictObject({
		mode: z.enum(['after-effect', 'before-effect', 'late-effect']),
		/** Share of writes that are hit. */
		share: z.number().min(0).max(1).default(1),
		/** Number of writes that are hit before the fault ends by itself. */
		count: z.number().int().positive().optional(),
		/** Only keys that start with this. */
		keyPrefix: z.string().default(''),
		lateMs: z.number().min(0).default(1000),
	}).optional(),
	/** Callers that are never answered. */
	cutCallers: cutCallersSchema,
	/** Rate limits; the settings hold where absent. */
	writesPerSecond: limit,
	readsPerSecond: limit,
});

export type ObjectApiSettings = z.infer<typeof objectApiSettingsSchema>;
export type ObjectApiFaults = z.infer<typeof objectApiFaultsSchema>;
