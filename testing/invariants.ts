/**
 * Invariants that hold in every scenario, whatever it is about, over what the stand-ins counted and what callers saw.
 * A check returns the violations that it found.
 */
import type {LengthClass} from '../src/util/length-class.js';
import type {RunState} from '../src/util/failure.js';
import {expectedText} from './expected-token.js';
import type {CompletionRecord} from './load/completion-client.js';

/** Allowed over a deadline for the last bytes and the timers of the caller. */
const DEADLINE_MARGIN_MS = 1000;

/** A model request as its caller saw it. `disturbed`: its daemon was killed or frozen meanwhile. */
export type ObservedCompletion = {
	readonly record: CompletionRecord;
	readonly prompt: string;
	/** First characters of the prompt, by which engines count. */
	readonly promptHead: string;
	readonly maxTokens: number;
	readonly lengthClass: LengthClass;
	readonly deadlineMs: number;
	readonly disturbed: boolean;
};

/** How a call to a plain service ended. */
export type PlainEnd =
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
	readonly end: PlainEnd;
	readonly disturbed: boolean;
};

/** A backend server at the end of a run. */
export type ObservedBackend = {
	readonly id: string;
	readonly coldRequests: number;
	readonly maxColdRequests: number;
	readonly overloadCrashes: number;
};

/** An engine at the end of a run, after its streams had time to be freed. */
export type ObservedEngine = ObservedBackend & {
	readonly coldPrefillTokens: number;
	readonly maxColdPrefillTokens: number;
	readonly held: number;
	readonly startsByPrompt: Readonly<Record<string, number>>;
};

export type ObservedService = ObservedBackend & {
	/** Executions by operation. */
	readonly operations: Readonly<Record<string, number>>;
};

/** Everything that was observed in a run. */
export type Observations = {
	readonly completions: readonly ObservedCompletion[];
	readonly plainCalls: readonly ObservedPlainCall[];
	readonly engines: readonly ObservedEngine[];
	readonly services: readonly ObservedService[];
	/** Configuration versions in the order in which they were read, by daemon and incarnation. */
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

/** An operation all of whose calls were answered with `not_run` must not have been executed; a refused prompt must not have been started. */
const notRunIsTrue: Check = ({plainCalls, services, completions, engines}) => {
	const executions = executionsOf(services);
	const maybeRan = new Set(plainCalls.filter(({end}) => end.kind !== 'refused' || end.ran !== 'not_run').map(({operation}) => operation));
	const operations = plainCalls
		.filter(({operation}) => operation !== undefined && !maybeRan.has(operation) && (executions.get(operation) ?? 0) > 0)
		.map(({operation}) => `operation ${operation} was answered not_run and executed`);
	const prompts = completions
		.filter(({record: {end}}) => (end.kind === 'refused' || end.kind === 'failed') && end.ran === 'not_run')
		.filter(({promptHead}) => engines.some(({startsByPrompt}) => (startsByPrompt[promptHead] ?? 0) > 0))
		.map(({promptHead}) => `prompt ${JSON.stringify(promptHead)} was answered not_run and started at an engine`);
	return [...new Set(operations), ...prompts];
};

/** A finished answer is the whole answer to its own prompt, and a broken one is its beginning. */
const answersAreWhole: Check = ({completions}) => completions.flatMap(({record, prompt, promptHead, maxTokens}) => {
	const got = record.tokens.join('');
	const expected = expectedText(prompt, maxTokens);
	const isRight = record.end.kind === 'finished' ? got === expected : expected.startsWith(got);
	return isRight ? [] : [`prompt ${JSON.stringify(promptHead)} received ${JSON.stringify(got.slice(0, 80))}, expected ${JSON.stringify(expected.slice(0, 80))}, end ${record.end.kind}`];
});

/** An answered booking names its own operation. */
const bookingsAreTheirOwn: Check = ({plainCalls}) => plainCalls
	.filter(({operation, end}) => operation !== undefined && end.kind === 'answered' && end.status < 300 && !end.body.includes(operation))
	.map(({operation}) => `operation ${operation} received the answer of another one`);

const coldLimitIsKept: Check = ({engines, services}) => [
	...[...engines, ...services]
		.filter(({maxColdRequests, coldRequests, overloadCrashes}) => maxColdRequests > coldRequests || overloadCrashes > 0)
		.map(({id, maxColdRequests, coldRequests, overloadCrashes}) => `${id} had ${maxColdRequests} requests while cold, its limit is ${coldRequests}; crashes by overload: ${overloadCrashes}`),
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
		.filter(({record, deadlineMs, disturbed}) => !disturbed && record.totalMs > deadlineMs + DEADLINE_MARGIN_MS)
		.map(({promptHead, record, deadlineMs}) => `prompt ${JSON.stringify(promptHead)} ended after ${Math.round(record.totalMs)} ms, its time is ${deadlineMs} ms`),
	...plainCalls
		.filter(({totalMs, deadlineMs, disturbed}) => !disturbed && totalMs > deadlineMs + DEADLINE_MARGIN_MS)
		.map(({operation, totalMs, deadlineMs}) => `call ${operation ?? 'lookup'} ended after ${Math.round(totalMs)} ms, its time is ${deadlineMs} ms`),
];

/** The checks by what they guarantee. */
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

/** Checks all invariants. */
export function checkInvariants(observed: Observations): readonly Violation[] {
	return Object.entries(checks).flatMap(([invariant, check]) => check(observed).map(message => ({invariant, message})));
}
