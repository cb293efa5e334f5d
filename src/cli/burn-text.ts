/** Formats the burn report as plain text with bar charts. */
import type {ObjectiveBurn} from '../service-levels/burn-rate.js';
import {
	describeBreakdowns, describeCoverage, describeLatencies, describeObjective, describeWindow, formatPercent, formatDuration, formatTitle, type BurnReport,
} from './burn-report.js';

/** Width of the longest bar in characters. */
const BAR_WIDTH = 24;

/** Burn rate at which a bar has its full width. */
const FULL_BURN_RATE = 15;

export function formatBurnAsText(report: BurnReport): string {
	const sections = report.objectives.map(burn => formatObjective(burn));
	return [`Service levels against version ${report.configurationVersion}`, ...describeCoverage(report), ...sections].join('\n');
}

function formatObjective(burn: ObjectiveBurn): string {
	const alert = burn.alert === 'none' ? '' : `  [${burn.alert}]`;
	return [
		'',
		`${formatTitle(burn)}${alert}`,
		`  objective: ${describeObjective(burn)}`,
		...burn.windows.map(window => `  ${formatDuration(window.windowMs).padStart(6)} |${bar(window.burnRate)}| ${describeWindow(window)}`),
		`  error budget left: ${formatPercent(burn.budgetLeft)}`,
		...describeBreakdowns(burn).map(([title, text]) => `  burned by ${title}: ${text}`),
		...describeLatencies(burn).map(line => `  ${line}`),
	].join('\n');
}

function bar(burnRate: number): string {
	const length = Math.min(BAR_WIDTH, Math.ceil((burnRate / FULL_BURN_RATE) * BAR_WIDTH));
	return '#'.repeat(length).padEnd(BAR_WIDTH);
}
