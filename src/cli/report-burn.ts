/** `report burn`: shows error budget and burn rate of each objective, merged from the reports of all daemons. */
import {computeBurn} from '../service-levels/burn-rate.js';
import {levelsReportSchema} from '../service-levels/levels-report.js';
import {requireStored} from './stored-configuration.js';
import {burnAsHtml} from './burn-html.js';
import type {BurnReport} from './burn-report.js';
import {burnAsText} from './burn-text.js';
import {CommandError, type Call, type Command} from './command.js';
import {askDaemons, listDaemons} from './daemons.js';
import {EXIT} from './exit-codes.js';

export const reportBurn: Command = {
	usage: 'report burn',
	description: 'Show error budgets, burn rates over several windows and the causes of spent budget',
	flags: [['--html <file>', 'Write the report to an HTML file instead']],
	async run(call) {
		const report = await collect(call);
		if (typeof call.flags.html === 'string') {
			await writeHtml(call, call.flags.html, report);
		} else {
			call.output.result(report, burnAsText(report));
		}

		return report.missing.length > 0 ? EXIT.partial : EXIT.done;
	},
};

async function collect(call: Call): Promise<BurnReport> {
	const {version, configuration} = await requireStored(call);
	const members = await listDaemons(call);
	const answers = await askDaemons(call, members, '/levels', body => levelsReportSchema.parse(body));
	const reports = answers.flatMap(answer => answer.kind === 'answered' ? [{failureDomain: answer.member.failureDomain, report: answer.report}] : []);
	const missing = answers.flatMap(answer => answer.kind === 'silent' ? [{...pickMember(answer.member), message: answer.message}] : []);
	return {
		configurationVersion: version,
		answered: reports.length,
		missing,
		missingShare: members.length === 0 ? 0 : missing.length / members.length,
		leastRecordedMs: reports.length === 0 ? undefined : Math.min(...reports.map(({report}) => report.recordedMs)),
		objectives: computeBurn(configuration, reports),
	};
}

const pickMember = ({id, failureDomain, address}: {readonly id: string; readonly failureDomain: string; readonly address: string}) => ({id, failureDomain, address});

async function writeHtml(call: Call, file: string, report: BurnReport): Promise<void> {
	try {
		await call.io.writeOutput(file, burnAsHtml(report));
	} catch (err) {
		throw new CommandError(EXIT.unavailable, `could not write the report to ${file}: ${(err as Error).message}; choose another path`);
	}

	call.output.result({file}, `wrote ${file}`);
}
