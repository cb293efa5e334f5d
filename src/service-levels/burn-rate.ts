/**
 * Error budget and burn rate by objective. The burn rate is the share of requests that missed the objective over the
 * share that may miss it: at 1 the budget lasts exactly for its period. An alert needs a long and a short window above
 * the same rate: the long one shows that it matters, the short one that it still goes on.
 */
import type {Configuration, Objective} from '../configuration/schema.js';
import {addCount, emptyCount, RETENTION_MS} from './budget-slices.js';
import {LatencyRecorder, type LatencySummary} from './latency-recorder.js';
import type {LevelsReport, Slice, SliceCount} from './levels-report.js';
import {causes, type Cause} from './observation.js';

const MINUTE_MS = 60_000;

/** Windows shown, in ms; the last one is the period of the error budget. */
export const WINDOWS_MS = [5 * MINUTE_MS, 30 * MINUTE_MS, 60 * MINUTE_MS, RETENTION_MS] as const;

export type Alert = 'page' | 'ticket' | 'none';

/** Pairs of windows with the burn rate that both have to reach, most urgent first. */
const ALERT_RULES = [
	{
		alert: 'page', shortMs: 5 * MINUTE_MS, longMs: 60 * MINUTE_MS, burnRate: 14.4,
	},
	{
		alert: 'ticket', shortMs: 30 * MINUTE_MS, longMs: RETENTION_MS, burnRate: 6,
	},
] as const;

/** One daemon's report with the failure domain that it serves. */
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

/** A part of the missed requests of the whole period, largest first. */
export type Share<T extends string = string> = {
	readonly name: T;
	readonly missed: number;
};

export type ObjectiveBurn = {
	readonly objective: Objective;
	readonly alert: Alert;
	readonly windows: readonly BurnWindow[];
	/** Share of the error budget of the period that is left; negative when overspent. */
	readonly budgetLeft: number;
	readonly causes: ReadonlyArray<Share<Cause>>;
	readonly workspaces: readonly Share[];
	readonly failureDomains: readonly Share[];
	readonly latencies: LatencySummary;
};

/** Merges the daemons' reports and computes each objective's burn. Throws on a malformed histogram. */
export function computeBurn({objectives}: Configuration, reports: readonly DomainReport[]): readonly ObjectiveBurn[] {
	const latencies = LatencyRecorder.create();
	for (const {report} of reports) {
		latencies.merge(report.series);
	}

	return objectives.map(objective => burnOf(objective, reports, latencies));
}

function burnOf(objective: Objective, reports: readonly DomainReport[], latencies: LatencyRecorder): ObjectiveBurn {
	const slices = reports.flatMap(({report}) => report.slices);
	const windows = WINDOWS_MS.map(windowMs => windowOf(objective, slices, windowMs));
	const period = sumCounts(objective, slices, RETENTION_MS);
	return {
		objective,
		alert: alertOf(windows),
		windows,
		budgetLeft: 1 - windows.at(-1)!.burnRate,
		causes: toShares(causes.map(name => ({name, missed: period.causes[name]}))),
		workspaces: toShares(Object.entries(period.workspaces).map(([name, missed]) => ({name, missed}))),
		failureDomains: missedByDomain(objective, reports),
		latencies: latencies.summarize(objective.service, objective.lengthClass),
	};
}

function windowOf(objective: Objective, slices: readonly Slice[], windowMs: number): BurnWindow {
	const count = sumCounts(objective, slices, windowMs);
	const missed = missedOf(count);
	const missedShare = count.total === 0 ? 0 : missed / count.total;
	return {
		windowMs, total: count.total, missed, burnRate: missedShare / (1 - objective.target),
	};
}

/** Sums the slices whose middle lies in the window. */
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

function missedOf(count: SliceCount): number {
	let missed = 0;
	for (const cause of causes) {
		missed += count.causes[cause];
	}

	return missed;
}

function missedByDomain(objective: Objective, reports: readonly DomainReport[]): readonly Share[] {
	const names = [...new Set(reports.map(({failureDomain}) => failureDomain))];
	return toShares(names.map(name => {
		const slices = reports.filter(({failureDomain}) => failureDomain === name).flatMap(({report}) => report.slices);
		return {name, missed: missedOf(sumCounts(objective, slices, RETENTION_MS))};
	}));
}

const toShares = <T extends string>(shares: ReadonlyArray<Share<T>>): ReadonlyArray<Share<T>> => shares
	.filter(({missed}) => missed > 0)
	.toSorted((a, b) => b.missed - a.missed);

function alertOf(windows: readonly BurnWindow[]): Alert {
	const rateOf = (ms: number) => windows.find(({windowMs}) => windowMs === ms)?.burnRate ?? 0;
	const rule = ALERT_RULES.find(({shortMs, longMs, burnRate}) => rateOf(shortMs) >= burnRate && rateOf(longMs) >= burnRate);
	return rule?.alert ?? 'none';
}
