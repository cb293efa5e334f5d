/**
 * What fireflyport expects of a plain service.
 *
 * Requests are passed through with `x-request-id`, and `x-operation-id` for a non-idempotent operation. Answers carry
 * `x-backend-boot` and `x-backend-warm` (`true` or `false`); an answer without them counts as warm with an empty boot.
 * `GET /health` answers `{boot, warm}`; `GET /load` answers `{boot, warm, ageMs, runningRequests}`, lagging.
 */
import {z} from 'zod';

export const plainServiceHealthSchema = z.object({boot: z.string(), warm: z.boolean()}).readonly();

export const plainServiceLoadSchema = z.object({
	boot: z.string(),
	warm: z.boolean(),
	ageMs: z.number(),
	runningRequests: z.number().int(),
}).readonly();

export type PlainServiceLoad = z.infer<typeof plainServiceLoadSchema>;
