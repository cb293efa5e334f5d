/** Lists the registered daemons and requests reports from them. */
import {memberSchema, type Member} from '../membership/directory.js';
import {describeError, JsonClient} from '../object-api/json-client.js';
import {CommandError, type CommandContext} from './command.js';
import {EXIT} from './exit-codes.js';
import {CALL_TIMEOUT_MS} from './stored-configuration.js';

/** Maximum number of concurrent requests to daemons. */
const MAX_CONCURRENT_CALLS = 32;
const REPORT_TIMEOUT_MS = 2000;

/** A daemon's parsed report, or the reason why it is missing. */
export type DaemonReport<T> =
	| {readonly kind: 'answered'; readonly member: Member; readonly report: T}
	| {readonly kind: 'silent'; readonly member: Member; readonly message: string};

/** Lists the daemons registered in the object API, sorted by failure domain and id. */
export async function listDaemons(context: CommandContext): Promise<readonly Member[]> {
	const outcome = await context.objectApi().list('members/', {timeoutMs: CALL_TIMEOUT_MS, signal: context.signal});
	if (outcome.kind === 'unavailable') {
		throw new CommandError(EXIT.unavailable, `could not list the daemons at ${context.objectApiUrl}: ${outcome.message}; check the address and try again`);
	}

	return outcome.objects
		.map(object => memberSchema.safeParse(object.value))
		.flatMap(parsed => parsed.success ? [parsed.data] : [])
		.toSorted((a, b) => `${a.failureDomain}/${a.id}`.localeCompare(`${b.failureDomain}/${b.id}`));
}

/** Sends `GET <path>` to each daemon and parses the responses. Every daemon is in the result, including those that failed. */
export async function requestReports<T>(context: CommandContext, members: readonly Member[], path: string, parse: (body: unknown) => T): Promise<ReadonlyArray<DaemonReport<T>>> {
	const reports: Array<DaemonReport<T>> = [];
	for (let start = 0; start < members.length; start += MAX_CONCURRENT_CALLS) {
		context.output.progress(`queried ${start} of ${members.length} daemons`);
		const batch = members.slice(start, start + MAX_CONCURRENT_CALLS);
		reports.push(...await Promise.all(batch.map(async member => requestReport(context, member, path, parse))));
	}

	return reports;
}

async function requestReport<T>(context: CommandContext, member: Member, path: string, parse: (body: unknown) => T): Promise<DaemonReport<T>> {
	const client = JsonClient.create(`http://${member.address}`, 'fireflyport');
	try {
		const answer = await client.call({method: 'GET', path}, {timeoutMs: REPORT_TIMEOUT_MS, signal: context.signal});
		return answer.status === 200
			? {kind: 'answered', member, report: parse(answer.body)}
			: {kind: 'silent', member, message: `status ${answer.status}`};
	} catch (err) {
		return {kind: 'silent', member, message: describeError(err)};
	} finally {
		await client.close();
	}
}
