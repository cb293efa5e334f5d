/** Formats the burn report as a self-contained HTML page. */
import type {ObjectiveBurn} from '../service-levels/burn-rate.js';
import {
	describeBreakdowns, describeCoverage, describeLatencies, describeObjective, describeWindow, formatPercent, formatDuration, formatTitle, type BurnReport,
} from './burn-report.js';

/** Burn rate at which a bar has its full width. */
const FULL_BURN_RATE = 15;

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; color: #222; }
h2 { margin: 2rem 0 0; font-size: 1.1rem; }
table { border-collapse: collapse; width: 100%; }
td { padding: .15rem .6rem .15rem 0; white-space: nowrap; }
td.bar { width: 45%; }
td.bar div { height: .9rem; background: #4a7; }
.page td.bar div, .page .alert { background: #c33; }
.ticket td.bar div, .ticket .alert { background: #d90; }
.alert { color: #fff; padding: 0 .5rem; border-radius: .3rem; font-weight: normal; }
`;

export function formatBurnAsHtml(report: BurnReport): string {
	return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Service levels</title><style>${STYLE}</style></head>
<body>
<h1>Service levels against version ${report.configurationVersion}</h1>
${describeCoverage(report).map(line => paragraph(line)).join('\n')}
${report.objectives.map(burn => formatObjective(burn)).join('\n')}
</body>
</html>
`;
}

function formatObjective(burn: ObjectiveBurn): string {
	const alert = burn.alert === 'none' ? '' : ` <span class="alert">${burn.alert}</span>`;
	const rows = burn.windows.map(window => `<tr><td>${formatDuration(window.windowMs)}</td>${barCell(window.burnRate)}<td>${escapeHtml(describeWindow(window))}</td></tr>`);
	return `<section class="${burn.alert}">
<h2>${escapeHtml(formatTitle(burn))}${alert}</h2>
${paragraph(`Objective: ${describeObjective(burn)}`)}
<table>${rows.join('')}</table>
${paragraph(`Error budget left: ${formatPercent(burn.budgetLeft)}`)}
${describeBreakdowns(burn).map(([title, text]) => paragraph(`Burned by ${title}: ${text}`)).join('\n')}
${describeLatencies(burn).map(line => paragraph(line)).join('\n')}
</section>`;
}

function barCell(burnRate: number): string {
	const width = Math.min(100, (burnRate / FULL_BURN_RATE) * 100);
	return `<td class="bar"><div style="width:${width.toFixed(1)}%"></div></td>`;
}

const paragraph = (text: string): string => `<p>${escapeHtml(text)}</p>`;

const escapeHtml = (text: string): string => text
	.replaceAll('&', '&amp;')
	.replaceAll('<', '&lt;')
	.replaceAll('>', '&gt;')
	.replaceAll('"', '&quot;');
