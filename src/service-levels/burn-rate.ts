/**
 * Computes error budget and burn rate of each objective. The burn rate is the share of requests that missed the
 * objective, divided by the share that may miss it: at a burn rate of 1, the budget lasts exactly for its period. An alert
 * requires a long and a short window to reach the same burn rate: the long one shows that the problem is significant, the
 * short one that it is ongoing.
 */
import type {Configuration, Objective} from '../configuration/schema.js';
import {addCount, emptyCount, RETENTION_MS} from './budget-slices.js';
import {LatencyRecorder, type LatencySummary} from './latency-recorder.js';
import type {LevelsReport, Slice, SliceCount} from './levels-report.js';
import {causes, type Cause} from './observation.js';

const MINUTE_MS = 60_000;

/** Windows in reports, in ms. The last one is the period of the error budget. */
export const WINDOWS_MS = [5 * MINUTE_MS, 30 * MINUTE_MS, 60 * MINUTE_MS, RETENTION_MS] as const;

export type Alert = 'page' | 'ticket' | 'none';

/** Alert rules, most urgent first. A rule matches when the burn rates of both its windows reach `burnRate`. */
const ALERT_RULES = [
	{
		alert: 'page', shortMs: 5 * MINUTE_MS, longMs: 60 * MINUTE_MS, burnRate: 14.4,
	},
	{
		alert: 'ticket', shortMs: 30 * MINUTE_MS, longMs: RETENTION_MS, burnRate: 6,
	},
] as const;

/** The report of one daemon, with its failure domain. */
export type DomainReport = {
	readonly failureDomain: string;
	readonly report: LevelsReport;
};

export type BurnWindow = {
	readonly windowMs: number;
	readonly total: number;
	readonly missed: number;
	readonly burnRate: number;
};

/** Number of requests in the whole period that missed the objective, for one cause, workspace or failure domain. */
export type MissedCount<T extends string = string> = {
	readonly name: T;
	readonly missed: number;
};

export type ObjectiveBurn = {
	readonly objective: Objective;
	readonly alert: Alert;
	readonly windows: readonly BurnWindow[];
	/** Share of the error budget of the period that is left; negative when the budget is exceeded. */
	readonly budgetLeft: number;
	/** Largest count first, as in the two breakdowns below. */
	readonly causes: ReadonlyArray<MissedCount<Cause>>;
	readonly workspaces: readonly MissedCount[];
	readonly failureDomains: readonly MissedCount[];
	readonly latencies: LatencySummary;
};

/** Merges the daemons' reports and computes the burn rates of each objective. Throws on a malformed histogram. */
export function computeBurn({objectives}: Configuration, reports: readonly DomainReport[]): readonly ObjectiveBurn[] {
	const latencies = LatencyRecorder.create();
	for (const {report} of reports) {
		latencies.merge(report.series);
	}

	return objectives.map(objective => computeObjectiveBurn(objective, reports, latencies));
}

function computeObjectiveBurn(objective: Objective, reports: readonly DomainReport[], latencies: LatencyRecorder): ObjectiveBurn {
	const slices = reports.flatMap(({report}) => report.slices);
	const windows = WINDOWS_MS.map(windowMs => computeWindow(objective, slices, windowMs));
	const period = sumCounts(objective, slices, RETENTION_MS);
	return {
		objective,
		alert: selectAlert(windows),
		windows,
		budgetLeft: 1 - windows.at(-1)!.burnRate,
		causes: toBreakdown(causes.map(name => ({name, missed: period.causes[name]}))),
		workspaces: toBreakdown(Object.entries(period.workspaces).map(([name, missed]) => ({name, missed}))),
		failureDomains: countMissedByDomain(objective, reports),
		latencies: latencies.summarize(objective.service, objective.lengthClass),
	};
}

function computeWindow(objective: Objective, slices: readonly Slice[], windowMs: number): BurnWindow {
	const count = sumCounts(objective, slices, windowMs);
	const missed = sumMissed(count);
	const missedShare = count.total === 0 ? 0 : missed / count.total;
	return {
		windowMs, total: count.total, missed, burnRate: missedShare / (1 - objective.target),
	};
}

/** Sums the counts of the slices whose midpoint lies in the window. */
function sumCounts(objective: Objective, slices: readonly Slice[], windowMs: number): SliceCount {
	const sum = emptyCount(objective);
	for (const slice of slices.filter(({ageMs, durationMs}) => ageMs - (durationMs / 2) <= windowMs)) {
		for (const count of slice.counts) {
			if (count.service === objective.service && count.lengthClass === objective.lengthClass) {
				addCount(sum, count);
			}
		}
	}

	return sum;
}

function sumMissed(count: SliceCount): number {
	let missed = 0;
	for (const cause of causes) {
		missed += count.causes[cause];
	}

	return missed;
}

function countMissedByDomain(objective: Objective, reports: readonly DomainReport[]): readonly MissedCount[] {
	const names = [...new Set(reports.map(({failureDomain}) => failureDomain))];
	return toBreakdown(names.map(name => {
		const slices = reports.filter(({failureDomain}) => failureDomain === name).flatMap(({report}) => report.slices);
		return {name, missed: sumMissed(sumCounts(objective, slices, RETENTION_MS))};
	}));
}

const toBreakdown = <T extends string>(counts: ReadonlyArray<MissedCount<T>>): ReadonlyArray<MissedCount<T>> => counts
	.filter(({missed}) => missed > 0)
	.toSorted((a, b) => b.missed - a.missed);

function selectAlert(windows: readonly BurnWindow[]): Alert {
	const rateOf = (ms: number) => windows.find(({windowMs}) => windowMs === ms)?.burnRate ?? 0;
	const rule = ALERT_RULES.find(({shortMs, longMs, burnRate}) => rateOf(shortMs) >= burnRate && rateOf(longMs) >= burnRate);
	return rule?.alert ?? 'none';
}
