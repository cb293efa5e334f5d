/** Parses scenario files: one statement per line, `#` starts a comment. */
import {configuration as frialia} from '../../examples/frialia.js';
import {configuration as sacaria} from '../../examples/sacaria.js';
import type {Configuration} from '../../src/configuration/schema.js';
import {statementPatterns, type StatementPattern, type PatternWord} from './grammar.js';
import {ScenarioError} from './scenario-error.js';
import type {Statement, ParsedStatement} from './statement.js';

/** Time that a scenario without `run for` continues after its last load or fault. */
const TRAILING_MS = 3000;

type Word = {readonly text: string; readonly column: number};

/** First word of a line that does not match a pattern, and what the pattern expects there. */
type Mismatch = {readonly position: number; readonly expected: string};

/** A parsed scenario. */
export type Scenario = {
	readonly deployment: Extract<Statement, {readonly kind: 'deployment'}>;
	readonly configuration: Configuration;
	readonly startsWarm: boolean;
	readonly speed: number;
	readonly durationMs: number;
	readonly faults: ReadonlyArray<Extract<Statement, {readonly kind: 'fault'}>>;
	readonly loads: ReadonlyArray<Extract<Statement, {readonly kind: 'load'}>>;
	readonly expectations: ReadonlyArray<ParsedStatement<Extract<Statement, {readonly kind: 'expect'}>>>;
};

/** Parses the text of a scenario file. Throws a {@link ScenarioError} with line and column. */
export function parseScenario(text: string): Scenario {
	const statements = text.split('\n').flatMap((line, index) => parseLine(line, index + 1) ?? []);
	const [deployment, duplicate] = statementsOfKind(statements, 'deployment');
	if (!deployment) {
		throw new ScenarioError('the scenario needs a line such as: deployment sacaria daemons 2 per domain engines 2 per domain', {line: 1, column: 1});
	}

	if (duplicate) {
		throw new ScenarioError('the deployment is stated twice', duplicate.place);
	}

	const configuration = deployment.statement.example === 'sacaria' ? sacaria : frialia;
	checkNames(statements, configuration);
	checkTimes(statements);
	const loads = statementsOfKind(statements, 'load').map(({statement}) => statement);
	const faults = statementsOfKind(statements, 'fault').map(({statement}) => statement);
	return {
		deployment: deployment.statement,
		configuration,
		startsWarm: statementsOfKind(statements, 'warmth').at(-1)?.statement.startsWarm ?? true,
		speed: statementsOfKind(statements, 'speed').at(-1)?.statement.factor ?? 1,
		durationMs: statementsOfKind(statements, 'duration').at(-1)?.statement.ms
			?? Math.max(0, ...loads.map(({fromMs, toMs}) => toMs ?? fromMs), ...faults.map(({atMs}) => atMs)) + TRAILING_MS,
		faults,
		loads,
		expectations: statementsOfKind(statements, 'expect'),
	};
}

type ParsedOf<K extends Statement['kind']> = ParsedStatement<Extract<Statement, {readonly kind: K}>>;

function statementsOfKind<K extends Statement['kind']>(statements: readonly ParsedStatement[], kind: K): ReadonlyArray<ParsedOf<K>> {
	return statements.filter(({statement}) => statement.kind === kind) as unknown as ReadonlyArray<ParsedOf<K>>;
}

function parseLine(text: string, line: number): ParsedStatement | undefined {
	const words = [...text.replace(/#.*$/v, '').matchAll(/\S+/gv)].map((match): Word => ({text: match[0], column: match.index + 1}));
	if (words.length === 0) {
		return undefined;
	}

	const mismatches: Mismatch[] = [];
	for (const pattern of statementPatterns) {
		const mismatch = findMismatch(pattern, words);
		if (!mismatch) {
			return {
				...readFields(pattern, words), text: text.trim(), place: {line, column: words[0]!.column},
			};
		}

		mismatches.push(mismatch);
	}

	throw createSyntaxError(mismatches, words, line);
}

/** Returns where a line differs from a pattern, or undefined when it matches. */
function findMismatch(pattern: StatementPattern, words: readonly Word[]): Mismatch | undefined {
	const position = pattern.words.findIndex((word, index) => !matchesWord(word, words[index]?.text));
	if (position !== -1) {
		return {position, expected: describeWord(pattern.words[position]!)};
	}

	return words.length > pattern.words.length ? {position: pattern.words.length, expected: 'the end of the line'} : undefined;
}

const matchesWord = (word: PatternWord, text: string | undefined): boolean =>
	text !== undefined && (word.kind === 'word' ? word.text === text : word.schema.safeParse(text).success);

const describeWord = (word: PatternWord): string => word.kind === 'word' ? JSON.stringify(word.text) : (word.schema.description ?? word.name);

function readFields(pattern: StatementPattern, words: readonly Word[]): Pick<ParsedStatement, 'statement' | 'columns'> {
	const fields: Record<string, unknown> = {};
	const columns: Record<string, number> = {};
	for (const [index, word] of pattern.words.entries()) {
		if (word.kind === 'field') {
			fields[word.name] = word.schema.parse(words[index]!.text);
			columns[word.name] = words[index]!.column;
		}
	}

	return {statement: pattern.build(fields), columns};
}

/** Builds the error from the patterns that matched the most words. */
function createSyntaxError(mismatches: readonly Mismatch[], words: readonly Word[], line: number): ScenarioError {
	const position = Math.max(...mismatches.map(mismatch => mismatch.position));
	const expected = [...new Set(mismatches.filter(mismatch => mismatch.position === position).map(mismatch => mismatch.expected))];
	const found = words[position];
	const last = words.at(-1)!;
	const column = found?.column ?? last.column + last.text.length;
	return new ScenarioError(`expected ${expected.join(' or ')}, found ${found ? JSON.stringify(found.text) : 'the end of the line'}`, {line, column});
}

/** Checks that failure domains exist and that daemon names belong to one. Any number is accepted, since daemons that are started during the run get the next numbers. */
function checkNames(statements: readonly ParsedStatement[], {failureDomains}: Configuration): void {
	const domains = failureDomains.map(({name}) => name);
	for (const {statement, columns, place} of statements) {
		const fields = referencedNames(statement);
		if (fields.domain !== undefined && !domains.includes(fields.domain)) {
			throw new ScenarioError(`there is no failure domain ${fields.domain}; there are ${domains.join(', ')}`, {line: place.line, column: columns.domain ?? place.column});
		}

		const {daemon} = fields;
		if (daemon !== undefined && !domains.some(domain => daemon.startsWith(`${domain}-`) && /^\d+$/v.test(daemon.slice(domain.length + 1)))) {
			throw new ScenarioError(`there is no daemon ${daemon}; daemons are named as ${domains[0]}-1`, {line: place.line, column: columns.daemon ?? place.column});
		}
	}
}

function referencedNames(statement: Statement): {readonly domain?: string; readonly daemon?: string} {
	if (statement.kind !== 'fault' && statement.kind !== 'expect') {
		return {};
	}

	const subject = statement.kind === 'fault' ? statement.fault : statement.expectation;
	return {
		...('domain' in subject ? {domain: subject.domain} : {}),
		...('engine' in subject ? {domain: subject.engine.domain} : {}),
		...('service' in subject ? {domain: subject.service.domain} : {}),
		...('daemon' in subject ? {daemon: subject.daemon} : {}),
	};
}

function checkTimes(statements: readonly ParsedStatement[]): void {
	for (const {statement, columns, place} of statements) {
		if (statement.kind === 'load' && statement.toMs !== undefined && statement.toMs <= statement.fromMs) {
			throw new ScenarioError('the load ends before it starts', {line: place.line, column: columns.to ?? place.column});
		}
	}
}
