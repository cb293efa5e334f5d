/** `status`: shows the stored version and the state of each daemon. */
import {z} from 'zod';
import type {Command} from './command.js';
import {requestReports, listDaemons, type DaemonReport} from './daemons.js';
import {EXIT} from './exit-codes.js';
import {readStored} from './stored-configuration.js';

/** Response of a daemon to `GET /status`; additional fields are preserved for `--json`. */
const statusSchema = z.looseObject({
	configurationVersion: z.number().nullish(),
	draining: z.boolean(),
	pools: z.array(z.string()),
	openRequests: z.number(),
});

type Status = z.infer<typeof statusSchema>;

export const status: Command = {
	usage: 'status',
	description: 'Show the version in force and, for each daemon, its version, pools and whether it is draining',
	flags: [],
	async run(context) {
		const [stored, members] = [await readStored(context), await listDaemons(context)];
		const reports = await requestReports(context, members, '/status', body => statusSchema.parse(body));
		const silent = reports.filter(report => report.kind === 'silent');
		context.output.result(
			{configurationVersion: stored.version, daemons: reports.map(report => toJson(report))},
			[`version ${stored.version} is stored, ${reports.length - silent.length} of ${reports.length} daemons answered`, ...reports.map(report => toText(report, stored.version))].join('\n'),
		);
		return silent.length > 0 ? EXIT.partial : EXIT.done;
	},
};

function toJson(report: DaemonReport<Status>) {
	const {id, failureDomain, address} = report.member;
	return report.kind === 'answered'
		? {
			id, failureDomain, address, answered: true, status: report.report,
		}
		: {
			id, failureDomain, address, answered: false, message: report.message,
		};
}

function toText(report: DaemonReport<Status>, storedVersion: number): string {
	const {id, failureDomain, address} = report.member;
	const head = `  ${failureDomain}  ${id}  ${address}`;
	if (report.kind === 'silent') {
		return `${head}  did not answer: ${report.message}`;
	}

	const {configurationVersion, draining, pools, openRequests} = report.report;
	const lag = configurationVersion === storedVersion ? '' : ' (differs from the stored version)';
	const facts = [
		`version ${configurationVersion ?? 'none'}${lag}`,
		`${openRequests} open requests`,
		pools.length === 0 ? 'coordinates no pool' : `coordinates ${pools.join(', ')}`,
		...(draining ? ['draining'] : []),
	];
	return `${head}  ${facts.join('; ')}`;
}
