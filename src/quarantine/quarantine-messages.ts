/**
 * Messages between daemons about subjects that crash servers. Their fields are called parts, as daemons of earlier versions, which
 * take a request for a part, read them.
 */
import {z} from 'zod';

const subjectId = z.string().min(1).max(64);

/** Daemons of earlier versions read no more. */
export const MAX_REPORTED_SUBJECTS = 64;

export const crashedSchema = z.object({
	kind: z.literal('crashed'),
	/** Id of one start of the server. */
	server: z.string(),
	request: z.string(),
	parts: z.array(subjectId).max(MAX_REPORTED_SUBJECTS).readonly(),
});

/** Suspects that have been written, and how long ago in ms. */
export const soundSchema = z.object({
	kind: z.literal('sound'),
	parts: z.array(z.object({part: subjectId, ageMs: z.number().nonnegative()})).readonly(),
});

/** Quarantined subjects, and the time in ms until the end of their quarantine. */
export const quarantinedSchema = z.object({
	kind: z.literal('quarantined'),
	parts: z.array(z.object({part: subjectId, remainingMs: z.number()})).readonly(),
});

export type QuarantineMessage = z.infer<typeof crashedSchema> | z.infer<typeof soundSchema> | z.infer<typeof quarantinedSchema>;
