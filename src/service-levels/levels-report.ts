/** Report of one daemon's service levels, as `GET /levels` and the peer protocol answer it. */
import {z} from 'zod';
import {lengthClasses} from '../util/length-class.js';

const count = z.number().int().nonnegative();

/** Counters and serialized histograms (ms) of one service, workspace and length class since the daemon started. */
export const seriesSchema = z.object({
	service: z.string(),
	/** `*` stands for the workspaces beyond the bound on series. */
	workspace: z.string(),
	lengthClass: z.enum(lengthClasses),
	outcomes: z.object({
		finished: count, refused: count, late: count, failed: count,
	}),
	firstToken: z.string(),
	betweenTokens: z.string(),
	total: z.string(),
});

/** Requests of one service and length class in one time slice, and those that missed the objective, by cause. */
export const sliceCountSchema = z.object({
	service: z.string(),
	lengthClass: z.enum(lengthClasses),
	total: count,
	causes: z.object({
		refused: count, failed: count, late: count, first_token: count, between_tokens: count,
	}),
	/** Requests that missed the objective, by workspace; `*` for those beyond the bound. */
	workspaces: z.record(z.string(), count),
});

/** A time slice. Ages are relative to the answer, since clocks of different hosts are not compared. */
export const sliceSchema = z.object({
	/** Age of the slice's start in ms. */
	ageMs: z.number(),
	durationMs: z.number(),
	counts: z.array(sliceCountSchema),
});

export const levelsReportSchema = z.object({
	daemon: z.string(),
	/** Time since the daemon began to record, in ms. */
	recordedMs: z.number(),
	series: z.array(seriesSchema),
	slices: z.array(sliceSchema),
});

export type Series = z.infer<typeof seriesSchema>;
export type SliceCount = z.infer<typeof sliceCountSchema>;
export type Slice = z.infer<typeof sliceSchema>;
export type LevelsReport = z.infer<typeof levelsReportSchema>;
