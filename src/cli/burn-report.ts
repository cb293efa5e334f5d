/** The burn report as data, shared by its text and HTML forms. */
import type {BurnWindow, ObjectiveBurn, Share} from '../service-levels/burn-rate.js';

/** Shares listed for each objective. */
const SHOWN_SHARES = 5;

const MINUTE_MS = 60_000;

/** Daemons whose data is missing. */
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
	/** Share of the registered daemons that did not answer. */
	readonly missingShare: number;
	/** Shortest time over which an answering daemon has recorded, in ms; undefined without one. */
	readonly leastRecordedMs: number | undefined;
	readonly objectives: readonly ObjectiveBurn[];
};

export const formatPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

/** A time span in the largest unit of which it holds at least one. */
export function formatWindow(ms: number): string {
	if (ms < MINUTE_MS) {
		return `${Math.round(ms / 1000)} s`;
	}

	return ms < 60 * MINUTE_MS ? `${Math.round(ms / MINUTE_MS)} min` : `${Math.round(ms / (60 * MINUTE_MS))} h`;
}

export const titleOf = ({objective}: ObjectiveBurn): string => `${objective.service}, ${objective.lengthClass} prompts`;

/** What the objective asks for, in words. */
export function describeObjective({objective: {target, firstTokenMs, betweenTokensMs, totalMs}}: ObjectiveBurn): string {
	return `${formatPercent(target)} within ${firstTokenMs} ms to the first token, ${betweenTokensMs} ms between tokens, ${totalMs} ms in all`;
}

export const describeWindow = ({total, missed, burnRate}: BurnWindow): string => total === 0 ? 'no requests' : `burn rate ${burnRate.toFixed(2)} (${missed} of ${total} missed)`;

/** One line for each latency with percentiles. */
export function describeLatencies({latencies}: ObjectiveBurn): readonly string[] {
	const rows = [['first token', latencies.firstToken], ['between tokens', latencies.betweenTokens], ['total', latencies.total]] as const;
	return rows.filter(([, {count}]) => count > 0).map(([name, {p50, p95, p99}]) => `${name}: p50 ${p50} ms, p95 ${p95} ms, p99 ${p99} ms`);
}

/** The largest shares as one line, or undefined when nothing was missed. */
export function describeShares(shares: readonly Share[]): string | undefined {
	const shown = shares.slice(0, SHOWN_SHARES).map(({name, missed}) => `${name} ${missed}`);
	return shown.length === 0 ? undefined : shown.join(', ');
}

/** Parts of what burned the budget, with their titles. */
export const burnedBy = (burn: ObjectiveBurn): ReadonlyArray<readonly [title: string, text: string]> => ([
	['cause', describeShares(burn.causes)],
	['workspace', describeShares(burn.workspaces)],
	['failure domain', describeShares(burn.failureDomains)],
] as const).flatMap(([title, text]) => text === undefined ? [] : [[title, text] as const]);

/** What the report does not cover. */
export function describeCoverage({answered, missing, missingShare, leastRecordedMs}: BurnReport): readonly string[] {
	const recorded = leastRecordedMs === undefined ? [] : [`Shortest record of a daemon: ${formatWindow(leastRecordedMs)}; longer windows hold less of its data.`];
	return [
		`${answered} of ${answered + missing.length} daemons answered; the data of ${formatPercent(missingShare)} of them is missing.`,
		...missing.map(({id, failureDomain, address, message}) => `Did not answer: ${id} (${failureDomain}, ${address}): ${message}`),
		...recorded,
	];
}
