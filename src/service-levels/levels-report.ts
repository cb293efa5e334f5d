/** Schema of the service-level report of one daemon, returned by `GET /levels` and in the peer protocol. */
import {z} from 'zod';
import {lengthClasses} from '../util/length-class.js';

const count = z.number().int().nonnegative();

/** Counters and serialized histograms (in ms) of one service, workspace and length class since the daemon started. */
export const seriesSchema = z.object({
	service: z.string(),
	/** `*` stands for the workspaces beyond the limit on series. */
	workspace: z.string(),
	lengthClass: z.enum(lengthClasses),
	outcomes: z.object({
		finished: count, refused: count, late: count, failed: count,
	}),
	firstToken: z.string(),
	betweenTokens: z.string(),
	total: z.string(),
});

/** Number of requests of one service and length class in a time slice, and of those that missed the objective, by cause. */
export const sliceCountSchema = z.object({
	service: z.string(),
	lengthClass: z.enum(lengthClasses),
	total: count,
	causes: z.object({
		refused: count, failed: count, late: count, first_token: count, between_tokens: count,
	}),
	/** Number of requests that missed the objective by workspace; `*` stands for the workspaces beyond the limit. */
	workspaces: z.record(z.string(), count),
});

/** A time slice. Ages are relative to the time of the response, so that clocks of different hosts are never compared. */
export const sliceSchema = z.object({
	/** Time since the start of the slice, in ms. */
	ageMs: z.number(),
	durationMs: z.number(),
	counts: z.array(sliceCountSchema),
});

export const levelsReportSchema = z.object({
	daemon: z.string(),
	/** Time since the daemon started recording, in ms. */
	recordedMs: z.number(),
	series: z.array(seriesSchema),
	slices: z.array(sliceSchema),
});

export type Series = z.infer<typeof seriesSchema>;
export type SliceCount = z.infer<typeof sliceCountSchema>;
export type Slice = z.infer<typeof sliceSchema>;
export type LevelsReport = z.infer<typeof levelsReportSchema>;
