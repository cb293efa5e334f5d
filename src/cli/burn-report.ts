/** Data of the burn report, and the texts that its text and HTML formats share. */
import type {BurnWindow, ObjectiveBurn, MissedCount} from '../service-levels/burn-rate.js';

/** Maximum number of entries in each breakdown of an objective. */
const MAX_SHOWN_COUNTS = 5;

const MINUTE_MS = 60_000;

/** A daemon whose data is missing from the report. */
export type MissingDaemon = {
	readonly id: string;
	readonly failureDomain: string;
	readonly address: string;
	readonly message: string;
};

export type BurnReport = {
	readonly configurationVersion: number;
	readonly answered: number;
	readonly missing: readonly MissingDaemon[];
	/** Fraction of the registered daemons that did not respond. */
	readonly missingShare: number;
	/** Shortest recording time of the daemons that responded, in ms; undefined when none did. */
	readonly leastRecordedMs: number | undefined;
	readonly objectives: readonly ObjectiveBurn[];
};

export const formatPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

/** Formats a duration in seconds, minutes or hours, using the largest unit that fits at least once. */
export function formatDuration(ms: number): string {
	if (ms < MINUTE_MS) {
		return `${Math.round(ms / 1000)} s`;
	}

	return ms < 60 * MINUTE_MS ? `${Math.round(ms / MINUTE_MS)} min` : `${Math.round(ms / (60 * MINUTE_MS))} h`;
}

export const formatTitle = ({objective}: ObjectiveBurn): string => `${objective.service}, ${objective.lengthClass} prompts`;

/** Describes the target and the latency limits of the objective. */
export function describeObjective({objective: {target, firstTokenMs, betweenTokensMs, totalMs}}: ObjectiveBurn): string {
	return `${formatPercent(target)} within ${firstTokenMs} ms to the first token, ${betweenTokensMs} ms between tokens, ${totalMs} ms in all`;
}

export const describeWindow = ({total, missed, burnRate}: BurnWindow): string => total === 0 ? 'no requests' : `burn rate ${burnRate.toFixed(2)} (${missed} of ${total} missed)`;

/** Returns one line with percentiles for each latency that has values. */
export function describeLatencies({latencies}: ObjectiveBurn): readonly string[] {
	const rows = [['first token', latencies.firstToken], ['between tokens', latencies.betweenTokens], ['total', latencies.total]] as const;
	return rows.filter(([, {count}]) => count > 0).map(([name, {p50, p95, p99}]) => `${name}: p50 ${p50} ms, p95 ${p95} ms, p99 ${p99} ms`);
}

/** Formats the largest entries of a breakdown as one line; undefined when no request missed its objective. */
export function describeMissedCounts(counts: readonly MissedCount[]): string | undefined {
	const shown = counts.slice(0, MAX_SHOWN_COUNTS).map(({name, missed}) => `${name} ${missed}`);
	return shown.length === 0 ? undefined : shown.join(', ');
}

/** Returns the breakdowns of the spent error budget, each with its title. */
export const describeBreakdowns = (burn: ObjectiveBurn): ReadonlyArray<readonly [title: string, text: string]> => ([
	['cause', describeMissedCounts(burn.causes)],
	['workspace', describeMissedCounts(burn.workspaces)],
	['failure domain', describeMissedCounts(burn.failureDomains)],
] as const).flatMap(([title, text]) => text === undefined ? [] : [[title, text] as const]);

/** Describes how much data the report is based on and what is missing. */
export function describeCoverage({answered, missing, missingShare, leastRecordedMs}: BurnReport): readonly string[] {
	const recorded = leastRecordedMs === undefined ? [] : [`Shortest recording time of a daemon: ${formatDuration(leastRecordedMs)}; longer windows contain only that much of its data.`];
	return [
		`${answered} of ${answered + missing.length} daemons answered; the data of ${formatPercent(missingShare)} of them is missing.`,
		...missing.map(({id, failureDomain, address, message}) => `Did not answer: ${id} (${failureDomain}, ${address}): ${message}`),
		...recorded,
	];
}
