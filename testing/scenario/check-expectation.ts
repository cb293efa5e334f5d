/** Checks the expectations of a scenario. */
import type {Observations, ObservedCompletion, ObservedPlainCall} from '../invariants.js';
import {firstTokenPercentiles} from '../load/summary.js';
import type {WorkSnapshot} from './observer.js';
import type {Expectation} from './statement.js';

/** Input of a check. `workSinceSnapshot` counts requests after the time that the expectation states, by backend server id. */
export type CheckInput = {
	readonly observed: Observations;
	readonly workSinceSnapshot: WorkSnapshot;
};

/** Result of one check, with the value that decided it. */
export type CheckResult = {readonly ok: boolean; readonly detail: string};

const isAnswered = ({record}: ObservedCompletion): boolean => record.outcome.kind === 'finished';
const isPlainAnswered = ({outcome}: ObservedPlainCall): boolean => outcome.kind === 'answered' && outcome.status < 300;

export function checkExpectation(expectation: Expectation, {observed, workSinceSnapshot}: CheckInput): CheckResult {
	const {completions, plainCalls, services} = observed;
	switch (expectation.kind) {
		case 'executed-at-most-once': {
			return checkAtMostOnce(services.flatMap(({operations}) => Object.entries(operations)));
		}

		case 'no-request-cut': {
			const cut = [...completions.map(({record}) => record.outcome), ...plainCalls.map(({outcome}) => outcome)].filter(({kind}) => kind === 'cut' || kind === 'failed');
			return {ok: cut.length === 0, detail: `${cut.length} of ${completions.length + plainCalls.length} requests were cut or failed${cut[0] ? `, the first: ${JSON.stringify(cut[0])}` : ''}`};
		}

		case 'first-token': {
			const {p95, count} = firstTokenPercentiles(completions.filter(({lengthClass}) => lengthClass === expectation.lengthClass).map(({record}) => record));
			return {ok: count > 0 && p95 < expectation.belowMs, detail: `p95 of ${p95} ms over ${count} requests`};
		}

		case 'answered-share': {
			return expectation.of === 'bookings'
				? checkShare(answeredBookings(plainCalls), expectation.share)
				: checkShare([...completions.map(call => isAnswered(call)), ...plainCalls.map(call => isPlainAnswered(call))], expectation.share);
		}

		case 'answered-from': {
			const prompts = completions.filter(({record}) => record.startedAt >= expectation.fromMs).map(call => isAnswered(call));
			const calls = plainCalls.filter(({startedAt}) => startedAt >= expectation.fromMs).map(call => isPlainAnswered(call));
			return checkShare([...prompts, ...calls], expectation.share);
		}

		case 'no-work-to-domain': {
			return checkNoWork(Object.entries(workSinceSnapshot));
		}

		case 'no-work-to-engine': {
			const {domain, number} = expectation.engine;
			return checkNoWork(Object.entries(workSinceSnapshot).filter(([id]) => id.endsWith(`-${domain}-${number}`)));
		}
	}
}

function checkAtMostOnce(executions: ReadonlyArray<readonly [string, number]>): CheckResult {
	const operations = new Set(executions.map(([operation]) => operation));
	let total = 0;
	for (const [, count] of executions) {
		total += count;
	}

	return {ok: total === operations.size, detail: `${total} executions of ${operations.size} operations`};
}

/** For each booking, whether at least one of its calls was answered. */
function answeredBookings(calls: readonly ObservedPlainCall[]): readonly boolean[] {
	const answered = new Map<string, boolean>();
	for (const call of calls) {
		if (call.operation !== undefined) {
			answered.set(call.operation, (answered.get(call.operation) ?? false) || isPlainAnswered(call));
		}
	}

	return [...answered.values()];
}

function checkShare(results: readonly boolean[], wanted: number): CheckResult {
	const good = results.filter(Boolean).length;
	return {ok: results.length > 0 && good / results.length >= wanted, detail: `${good} of ${results.length} were answered`};
}

function checkNoWork(work: ReadonlyArray<readonly [string, number]>): CheckResult {
	const busy = work.filter(([, count]) => count > 0).map(([id, count]) => `${id} received ${count} requests`);
	return {ok: work.length > 0 && busy.length === 0, detail: busy.length === 0 ? `${work.length} backend servers received no requests` : busy.join(', ')};
}
