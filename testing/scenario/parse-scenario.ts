/** Parses scenario files: one statement per line, `#` starts a comment. */
import {configuration as frialia} from '../../examples/frialia.js';
import {configuration as sacaria} from '../../examples/sacaria.js';
import type {Configuration} from '../../src/configuration/schema.js';
import {forms, type Form, type FormWord} from './grammar.js';
import {ScenarioError} from './scenario-error.js';
import type {Statement, Written} from './statement.js';

/** Time that a scenario without `run for` continues after its last load or fault. */
const REST_MS = 3000;

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
	readonly expectations: ReadonlyArray<Written<Extract<Statement, {readonly kind: 'expect'}>>>;
};

/** Parses the text of a scenario file. Throws a {@link ScenarioError} with line and column. */
export function parseScenario(text: string): Scenario {
	const written = text.split('\n').flatMap((line, index) => parseLine(line, index + 1) ?? []);
	const [deployment, second] = ofKind(written, 'deployment');
	if (!deployment) {
		throw new ScenarioError('the scenario needs a line such as: deployment sacaria daemons 2 per domain engines 2 per domain', {line: 1, column: 1});
	}

	if (second) {
		throw new ScenarioError('the deployment is stated twice', second.place);
	}

	const configuration = deployment.statement.example === 'sacaria' ? sacaria : frialia;
	checkNames(written, configuration);
	checkTimes(written);
	const loads = ofKind(written, 'load').map(({statement}) => statement);
	const faults = ofKind(written, 'fault').map(({statement}) => statement);
	return {
		deployment: deployment.statement,
		configuration,
		startsWarm: ofKind(written, 'warmth').at(-1)?.statement.startsWarm ?? true,
		speed: ofKind(written, 'speed').at(-1)?.statement.factor ?? 1,
		durationMs: ofKind(written, 'duration').at(-1)?.statement.ms
			?? Math.max(0, ...loads.map(({fromMs, toMs}) => toMs ?? fromMs), ...faults.map(({atMs}) => atMs)) + REST_MS,
		faults,
		loads,
		expectations: ofKind(written, 'expect'),
	};
}

type WrittenOf<K extends Statement['kind']> = Written<Extract<Statement, {readonly kind: K}>>;

function ofKind<K extends Statement['kind']>(written: readonly Written[], kind: K): ReadonlyArray<WrittenOf<K>> {
	return written.filter(({statement}) => statement.kind === kind) as unknown as ReadonlyArray<WrittenOf<K>>;
}

function parseLine(text: string, line: number): Written | undefined {
	const words = [...text.replace(/#.*$/v, '').matchAll(/\S+/gv)].map((match): Word => ({text: match[0], column: match.index + 1}));
	if (words.length === 0) {
		return undefined;
	}

	const mismatches: Mismatch[] = [];
	for (const form of forms) {
		const mismatch = mismatchOf(form, words);
		if (!mismatch) {
			return {
				...readFields(form, words), text: text.trim(), place: {line, column: words[0]!.column},
			};
		}

		mismatches.push(mismatch);
	}

	throw errorOf(mismatches, words, line);
}

/** Returns where a line differs from a pattern, or undefined when it matches. */
function mismatchOf(form: Form, words: readonly Word[]): Mismatch | undefined {
	const position = form.words.findIndex((word, index) => !accepts(word, words[index]?.text));
	if (position !== -1) {
		return {position, expected: describe(form.words[position]!)};
	}

	return words.length > form.words.length ? {position: form.words.length, expected: 'the end of the line'} : undefined;
}

const accepts = (word: FormWord, text: string | undefined): boolean =>
	text !== undefined && (word.kind === 'word' ? word.text === text : word.schema.safeParse(text).success);

const describe = (word: FormWord): string => word.kind === 'word' ? JSON.stringify(word.text) : (word.schema.description ?? word.name);

function readFields(form: Form, words: readonly Word[]): Pick<Written, 'statement' | 'columns'> {
	const fields: Record<string, unknown> = {};
	const columns: Record<string, number> = {};
	for (const [index, word] of form.words.entries()) {
		if (word.kind === 'field') {
			fields[word.name] = word.schema.parse(words[index]!.text);
			columns[word.name] = words[index]!.column;
		}
	}

	return {statement: form.build(fields), columns};
}

/** Builds the error from the patterns that matched the most words. */
function errorOf(mismatches: readonly Mismatch[], words: readonly Word[], line: number): ScenarioError {
	const position = Math.max(...mismatches.map(mismatch => mismatch.position));
	const expected = [...new Set(mismatches.filter(mismatch => mismatch.position === position).map(mismatch => mismatch.expected))];
	const found = words[position];
	const last = words.at(-1)!;
	const column = found?.column ?? last.column + last.text.length;
	return new ScenarioError(`expected ${expected.join(' or ')}, found ${found ? JSON.stringify(found.text) : 'the end of the line'}`, {line, column});
}

/** Checks that failure domains exist and that daemon names belong to one. Any number is accepted, since daemons that are started during the run get the next numbers. */
function checkNames(written: readonly Written[], {failureDomains}: Configuration): void {
	const domains = failureDomains.map(({name}) => name);
	for (const {statement, columns, place} of written) {
		const fields = namesIn(statement);
		if (fields.domain !== undefined && !domains.includes(fields.domain)) {
			throw new ScenarioError(`there is no failure domain ${fields.domain}; there are ${domains.join(', ')}`, {line: place.line, column: columns.domain ?? place.column});
		}

		const {daemon} = fields;
		if (daemon !== undefined && !domains.some(domain => daemon.startsWith(`${domain}-`) && /^\d+$/v.test(daemon.slice(domain.length + 1)))) {
			throw new ScenarioError(`there is no daemon ${daemon}; daemons are named as ${domains[0]}-1`, {line: place.line, column: columns.daemon ?? place.column});
		}
	}
}

function namesIn(statement: Statement): {readonly domain?: string; readonly daemon?: string} {
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

function checkTimes(written: readonly Written[]): void {
	for (const {statement, columns, place} of written) {
		if (statement.kind === 'load' && statement.toMs !== undefined && statement.toMs <= statement.fromMs) {
			throw new ScenarioError('the load ends before it starts', {line: place.line, column: columns.to ?? place.column});
		}
	}
}
