/** `report burn`: shows error budget and burn rate of each objective, merged from the reports of all daemons. */
import {computeBurn} from '../service-levels/burn-rate.js';
import {levelsReportSchema} from '../service-levels/levels-report.js';
import {requireStored} from './stored-configuration.js';
import {formatBurnAsHtml} from './burn-html.js';
import type {BurnReport} from './burn-report.js';
import {formatBurnAsText} from './burn-text.js';
import {CommandError, type CommandContext, type Command} from './command.js';
import {requestReports, listDaemons} from './daemons.js';
import {EXIT} from './exit-codes.js';

export const reportBurn: Command = {
	usage: 'report burn',
	description: 'Show error budgets, burn rates over several windows and the causes of spent budget',
	flags: [['--html <file>', 'Write the report to an HTML file instead']],
	async run(context) {
		const report = await collectReport(context);
		if (typeof context.flags.html === 'string') {
			await writeHtml(context, context.flags.html, report);
		} else {
			context.output.result(report, formatBurnAsText(report));
		}

		return report.missing.length > 0 ? EXIT.partial : EXIT.done;
	},
};

async function collectReport(context: CommandContext): Promise<BurnReport> {
	const {version, configuration} = await requireStored(context);
	const members = await listDaemons(context);
	const answers = await requestReports(context, members, '/levels', body => levelsReportSchema.parse(body));
	const reports = answers.flatMap(answer => answer.kind === 'answered' ? [{failureDomain: answer.member.failureDomain, report: answer.report}] : []);
	const missing = answers.flatMap(answer => answer.kind === 'silent' ? [{...pickMemberFields(answer.member), message: answer.message}] : []);
	return {
		configurationVersion: version,
		answered: reports.length,
		missing,
		missingShare: members.length === 0 ? 0 : missing.length / members.length,
		leastRecordedMs: reports.length === 0 ? undefined : Math.min(...reports.map(({report}) => report.recordedMs)),
		objectives: computeBurn(configuration, reports),
	};
}

const pickMemberFields = ({id, failureDomain, address}: {readonly id: string; readonly failureDomain: string; readonly address: string}) => ({id, failureDomain, address});

async function writeHtml(context: CommandContext, file: string, report: BurnReport): Promise<void> {
	try {
		await context.io.writeOutput(file, formatBurnAsHtml(report));
	} catch (err) {
		throw new CommandError(EXIT.unavailable, `could not write the report to ${file}: ${(err as Error).message}; choose another path`);
	}

	context.output.result({file}, `wrote ${file}`);
}
