/** Messages between daemons about prompt parts that crash engines. */
import {z} from 'zod';

const partId = z.string().min(1).max(64);

export const crashedSchema = z.object({
	kind: z.literal('crashed'),
	/** Id of one start of the server. */
	server: z.string(),
	request: z.string(),
	parts: z.array(partId).max(64).readonly(),
});

/** Suspected parts that have been written, and how long ago in ms. */
export const soundSchema = z.object({
	kind: z.literal('sound'),
	parts: z.array(z.object({part: partId, ageMs: z.number().nonnegative()})).readonly(),
});

/** Quarantined parts, and the time in ms until the end of their quarantine. */
export const quarantinedSchema = z.object({
	kind: z.literal('quarantined'),
	parts: z.array(z.object({part: partId, remainingMs: z.number()})).readonly(),
});

export type QuarantineMessage = z.infer<typeof crashedSchema> | z.infer<typeof soundSchema> | z.infer<typeof quarantinedSchema>;
