/**
 * Invariants that hold in every scenario. They are checked against the counters of the stand-ins and the outcomes that
 * callers recorded. A check returns a message for each violation.
 */
import type {LengthClass} from '../src/util/length-class.js';
import type {RunState} from '../src/util/failure.js';
import {expectedText} from './expected-token.js';
import type {CompletionRecord} from './load/completion-client.js';

/** Tolerance above a deadline, for the last bytes and the timers of the caller. */
const DEADLINE_MARGIN_MS = 1000;

/** A model request as its caller saw it. `daemonUnavailable`: its daemon was killed or frozen during the request. */
export type ObservedCompletion = {
	readonly record: CompletionRecord;
	readonly prompt: string;
	/** First characters of the prompt, the key of the engines' counters. */
	readonly promptHead: string;
	readonly maxTokens: number;
	readonly lengthClass: LengthClass;
	readonly deadlineMs: number;
	readonly daemonUnavailable: boolean;
};

/** How a call to a plain service ended. */
export type PlainCallOutcome =
	| {readonly kind: 'answered'; readonly status: number; readonly repeated: boolean; readonly body: string}
	| {readonly kind: 'refused'; readonly code: string; readonly ran: RunState; readonly message: string}
	| {readonly kind: 'cut'; readonly message: string};

/** A call to a plain service as its caller saw it. `operation` is set for bookings. */
export type ObservedPlainCall = {
	readonly operation: string | undefined;
	readonly daemon: string;
	readonly startedAt: number;
	readonly totalMs: number;
	readonly deadlineMs: number;
	readonly outcome: PlainCallOutcome;
	readonly daemonUnavailable: boolean;
};

/** A backend server at the end of a run. */
export type ObservedBackend = {
	readonly id: string;
	readonly coldRequests: number;
	readonly maxColdRequests: number;
	readonly overloadCrashes: number;
};

/** An engine at the end of a run, after the time that daemons have to free its streams. */
export type ObservedEngine = ObservedBackend & {
	readonly coldPrefillTokens: number;
	readonly maxColdPrefillTokens: number;
	readonly held: number;
	readonly startsByPrompt: Readonly<Record<string, number>>;
};

export type ObservedService = ObservedBackend & {
	/** Number of executions by operation id. */
	readonly operations: Readonly<Record<string, number>>;
};

/** All observations of a run. */
export type Observations = {
	readonly completions: readonly ObservedCompletion[];
	readonly plainCalls: readonly ObservedPlainCall[];
	readonly engines: readonly ObservedEngine[];
	readonly services: readonly ObservedService[];
	/** Configuration versions in the order of reading, by daemon and incarnation. */
	readonly configurationVersions: Readonly<Record<string, readonly number[]>>;
};

export type Violation = {readonly invariant: string; readonly message: string};

type Check = (observed: Observations) => readonly string[];

const executionsOf = (services: readonly ObservedService[]): ReadonlyMap<string, number> => {
	const sums = new Map<string, number>();
	for (const [operation, count] of services.flatMap(({operations}) => Object.entries(operations))) {
		sums.set(operation, (sums.get(operation) ?? 0) + count);
	}

	return sums;
};

const executedAtMostOnce: Check = ({services}) => [...executionsOf(services)]
	.filter(([, count]) => count > 1)
	.map(([operation, count]) => `operation ${operation} was executed ${count} times`);

/** If all calls of an operation were answered `not_run`, it must not have been executed. A prompt answered `not_run` must not have been started. */
const notRunIsTrue: Check = ({plainCalls, services, completions, engines}) => {
	const executions = executionsOf(services);
	const maybeRan = new Set(plainCalls.filter(({outcome}) => outcome.kind !== 'refused' || outcome.ran !== 'not_run').map(({operation}) => operation));
	const operations = plainCalls
		.filter(({operation}) => operation !== undefined && !maybeRan.has(operation) && (executions.get(operation) ?? 0) > 0)
		.map(({operation}) => `operation ${operation} was answered not_run and executed`);
	const prompts = completions
		.filter(({record: {outcome}}) => (outcome.kind === 'refused' || outcome.kind === 'failed') && outcome.ran === 'not_run')
		.filter(({promptHead}) => engines.some(({startsByPrompt}) => (startsByPrompt[promptHead] ?? 0) > 0))
		.map(({promptHead}) => `prompt ${JSON.stringify(promptHead)} was answered not_run and started at an engine`);
	return [...new Set(operations), ...prompts];
};

/** The tokens of a finished request are the complete answer to its prompt; those of any other request are a prefix of it. */
const answersAreWhole: Check = ({completions}) => completions.flatMap(({record, prompt, promptHead, maxTokens}) => {
	const got = record.tokens.join('');
	const expected = expectedText(prompt, maxTokens);
	const isRight = record.outcome.kind === 'finished' ? got === expected : expected.startsWith(got);
	return isRight ? [] : [`prompt ${JSON.stringify(promptHead)} received ${JSON.stringify(got.slice(0, 80))}, expected ${JSON.stringify(expected.slice(0, 80))}, outcome ${record.outcome.kind}`];
});

/** The response to a booking contains the operation id of that booking. */
const bookingsAreTheirOwn: Check = ({plainCalls}) => plainCalls
	.filter(({operation, outcome}) => operation !== undefined && outcome.kind === 'answered' && outcome.status < 300 && !outcome.body.includes(operation))
	.map(({operation}) => `operation ${operation} received the response to another operation`);

const coldLimitIsKept: Check = ({engines, services}) => [
	...[...engines, ...services]
		.filter(({maxColdRequests, coldRequests, overloadCrashes}) => maxColdRequests > coldRequests || overloadCrashes > 0)
		.map(({id, maxColdRequests, coldRequests, overloadCrashes}) => `${id} had ${maxColdRequests} requests while cold, its limit is ${coldRequests}; crashes from overload: ${overloadCrashes}`),
	...engines
		.filter(({maxColdPrefillTokens, coldPrefillTokens}) => maxColdPrefillTokens > coldPrefillTokens)
		.map(({id, maxColdPrefillTokens, coldPrefillTokens}) => `${id} had ${maxColdPrefillTokens} prefill tokens while cold, its limit is ${coldPrefillTokens}`),
];

const memoryIsFreed: Check = ({engines}) => engines
	.filter(({held}) => held > 0)
	.map(({id, held}) => `${id} still holds ${held} streams or segments`);

const versionsNeverDecrease: Check = ({configurationVersions}) => Object.entries(configurationVersions).flatMap(([daemon, versions]) => {
	const index = versions.findIndex((version, position) => version < (versions[position - 1] ?? version));
	return index === -1 ? [] : [`daemon ${daemon} went from configuration version ${versions[index - 1]} to ${versions[index]}`];
});

const deadlinesAreKept: Check = ({completions, plainCalls}) => [
	...completions
		.filter(({record, deadlineMs, daemonUnavailable}) => !daemonUnavailable && record.totalMs > deadlineMs + DEADLINE_MARGIN_MS)
		.map(({promptHead, record, deadlineMs}) => `prompt ${JSON.stringify(promptHead)} ended after ${Math.round(record.totalMs)} ms, its deadline is ${deadlineMs} ms`),
	...plainCalls
		.filter(({totalMs, deadlineMs, daemonUnavailable}) => !daemonUnavailable && totalMs > deadlineMs + DEADLINE_MARGIN_MS)
		.map(({operation, totalMs, deadlineMs}) => `call ${operation ?? 'lookup'} ended after ${Math.round(totalMs)} ms, its deadline is ${deadlineMs} ms`),
];

/** Checks by the name of their invariant. */
const checks: Readonly<Record<string, Check>> = {
	'operations run at most once': executedAtMostOnce,
	'not_run is true': notRunIsTrue,
	'answers are whole': answersAreWhole,
	'bookings receive their own answer': bookingsAreTheirOwn,
	'cold limits are kept': coldLimitIsKept,
	'engines free their memory': memoryIsFreed,
	'configuration versions never decrease': versionsNeverDecrease,
	'requests end by their deadline': deadlinesAreKept,
};

/** Names of the invariants. */
export const invariants: readonly string[] = Object.keys(checks);

/** Checks all invariants and returns the violations. */
export function checkInvariants(observed: Observations): readonly Violation[] {
	return Object.entries(checks).flatMap(([invariant, check]) => check(observed).map(message => ({invariant, message})));
}
