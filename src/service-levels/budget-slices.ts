/** Counts requests against the error budget in time slices: fine slices for the last hour, coarse ones for six hours. */
import type {LengthClass} from '../util/length-class.js';
import {OTHER_WORKSPACES} from './latency-recorder.js';
import type {Slice, SliceCount} from './levels-report.js';
import {causes, type Cause} from './observation.js';

const MINUTE_MS = 60_000;
export const FINE_SLICE_MS = MINUTE_MS;
export const COARSE_SLICE_MS = 10 * MINUTE_MS;
/** One coarse slice longer than the one-hour window of reports, so that this window contains fine slices only. */
const FINE_RETENTION_MS = (60 * MINUTE_MS) + COARSE_SLICE_MS;
export const RETENTION_MS = 360 * MINUTE_MS;

/** Maximum number of workspaces counted separately per slice, service and length class. The others share one count. */
const MAX_WORKSPACES = 100;

export type BudgetKey = {
	readonly service: string;
	readonly lengthClass: LengthClass;
};

type Counts = Map<string, SliceCount>;

export class BudgetSlices {
	static create(): BudgetSlices {
		return new BudgetSlices();
	}

	/** Slices by their start time on the monotonic clock, in ms. */
	readonly #fine = new Map<number, Counts>();
	readonly #coarse = new Map<number, Counts>();

	/** Counts one request. `cause` is the reason why it missed its objective, or undefined when it met the objective. */
	record(key: BudgetKey, workspace: string, cause: Cause | undefined, nowMs: number): void {
		this.#expire(nowMs);
		const count = getOrCreateCount(getOrCreateSlice(this.#fine, nowMs, FINE_SLICE_MS), key);
		count.total++;
		if (cause) {
			count.causes[cause]++;
			addWorkspace(count, workspace, 1);
		}
	}

	/** Returns the slices that have not expired, oldest first. */
	report(nowMs: number): readonly Slice[] {
		this.#expire(nowMs);
		return [...toSlices(this.#coarse, COARSE_SLICE_MS, nowMs), ...toSlices(this.#fine, FINE_SLICE_MS, nowMs)];
	}

	#expire(nowMs: number): void {
		for (const [startMs, counts] of this.#fine) {
			if (startMs + FINE_RETENTION_MS < nowMs) {
				addCounts(getOrCreateSlice(this.#coarse, startMs, COARSE_SLICE_MS), counts);
				this.#fine.delete(startMs);
			}
		}

		for (const startMs of this.#coarse.keys()) {
			if (startMs + RETENTION_MS < nowMs) {
				this.#coarse.delete(startMs);
			}
		}
	}
}

const toSlices = (slices: ReadonlyMap<number, Counts>, durationMs: number, nowMs: number): readonly Slice[] => [...slices]
	.toSorted(([a], [b]) => a - b)
	.map(([startMs, counts]) => ({ageMs: nowMs - startMs, durationMs, counts: structuredClone([...counts.values()])}));

function getOrCreateSlice(slices: Map<number, Counts>, ms: number, durationMs: number): Counts {
	const startMs = Math.floor(ms / durationMs) * durationMs;
	const slice = slices.get(startMs) ?? new Map<string, SliceCount>();
	slices.set(startMs, slice);
	return slice;
}

function getOrCreateCount(counts: Counts, {service, lengthClass}: BudgetKey): SliceCount {
	const key = `${service}/${lengthClass}`;
	const count = counts.get(key) ?? emptyCount({service, lengthClass});
	counts.set(key, count);
	return count;
}

/** Creates a count with all values at zero. */
export const emptyCount = ({service, lengthClass}: BudgetKey): SliceCount => ({
	service,
	lengthClass,
	total: 0,
	causes: {
		refused: 0, failed: 0, late: 0, first_token: 0, between_tokens: 0,
	},
	workspaces: {},
});

function addCounts(sum: Counts, counts: Counts): void {
	for (const count of counts.values()) {
		addCount(getOrCreateCount(sum, count), count);
	}
}

/** Adds `count` to `sum`. */
export function addCount(sum: SliceCount, count: SliceCount): void {
	sum.total += count.total;
	for (const cause of causes) {
		sum.causes[cause] += count.causes[cause];
	}

	for (const [workspace, missed] of Object.entries(count.workspaces)) {
		addWorkspace(sum, workspace, missed);
	}
}

function addWorkspace({workspaces}: SliceCount, workspace: string, missed: number): void {
	const isKnown = Object.hasOwn(workspaces, workspace) || Object.keys(workspaces).length < MAX_WORKSPACES;
	const name = isKnown ? workspace : OTHER_WORKSPACES;
	workspaces[name] = (workspaces[name] ?? 0) + missed;
}
