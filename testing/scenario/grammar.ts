/**
 * Patterns of scenario statements. A pattern is a sentence in which `<name>` is a placeholder for a field. Fields are
 * validated with zod; the parser matches the words itself, since none of the installed libraries parses such a language.
 */
import {z} from 'zod';
import {lengthClasses} from '../../src/util/length-class.js';
import type {
	Expectation, Fault, Load, Statement,
} from './statement.js';

const MS_PER_UNIT = {ms: 1, s: 1000, min: 60_000} as const;

/** A duration, or a time from the start of the run: `200ms`, `2s`, `1.5min`. */
const time = z.string().regex(/^\d+(?:\.\d+)?(?:ms|s|min)$/v).transform(text => {
	const [, number, unit] = /^(?<number>[\d.]+)(?<unit>\w+)$/v.exec(text)!;
	return Math.round(Number(number) * MS_PER_UNIT[unit as keyof typeof MS_PER_UNIT]);
}).describe('a time such as 200ms, 2s or 1min');

const share = z.string().regex(/^\d{1,3}(?:\.\d+)?%$/v).transform(text => Number(text.slice(0, -1)) / 100).pipe(z.number().max(1))
	.describe('a share such as 30%');
const count = z.string().regex(/^[1-9]\d{0,3}$/v).transform(Number).describe('a whole number from 1');
const factor = z.string().regex(/^\d+(?:\.\d+)?$/v).transform(Number).pipe(z.number().positive()).describe('a number such as 20 or 0.5');
const name = z.string().regex(/^[a-z][a-z\d\-]*$/v);
const domain = name.describe('the name of a failure domain');
const daemon = name.describe('the name of a daemon such as braga-1');
const lengthClass = z.enum(lengthClasses).describe(lengthClasses.join(', '));
const example = z.enum(['sacaria', 'frialia']).describe('sacaria or frialia');
const effect = z.enum(['before', 'after', 'late']).describe('before, after or late');

/** One word of a pattern: a literal word or a field. */
export type PatternWord =
	| {readonly kind: 'word'; readonly text: string}
	| {readonly kind: 'field'; readonly name: string; readonly schema: z.ZodType};

export type StatementPattern = {
	readonly words: readonly PatternWord[];
	readonly build: (fields: Readonly<Record<string, unknown>>) => Statement;
};

function pattern<S extends z.ZodRawShape>(sentence: string, shape: S, build: (fields: z.infer<z.ZodObject<S>>) => Statement): StatementPattern {
	const words = sentence.split(' ').map((text): PatternWord => {
		const field = /^<(?<field>\w+)>$/v.exec(text)?.groups?.field;
		return field === undefined ? {kind: 'word', text} : {kind: 'field', name: field, schema: shape[field] as z.ZodType};
	});
	return {words, build: build as StatementPattern['build']};
}

const fault = <S extends z.ZodRawShape>(sentence: string, shape: S, build: (fields: z.infer<z.ZodObject<S>>) => Fault): StatementPattern =>
	pattern(`at <at> ${sentence}`, {at: time, ...shape}, fields => {
		const {at, ...rest} = fields as {at: number} & z.infer<z.ZodObject<S>>;
		return {kind: 'fault', atMs: at, fault: build(rest as unknown as z.infer<z.ZodObject<S>>)};
	});

/** Patterns of a load that lasts until the end of the run, and of one with an end time. */
const load = <S extends z.ZodRawShape>(sentence: string, shape: S, build: (fields: z.infer<z.ZodObject<S>>) => Load): readonly StatementPattern[] =>
	['from <from>', 'from <from> to <to>'].map(prefix => pattern(`${prefix} ${sentence}`, {from: time, to: time.optional().describe(time.description!), ...shape}, fields => {
		const {from, to} = fields as {from: number; to?: number};
		return {
			kind: 'load', fromMs: from, toMs: to, load: build(fields as unknown as z.infer<z.ZodObject<S>>),
		};
	}));

const expectation = <S extends z.ZodRawShape>(sentence: string, shape: S, build: (fields: z.infer<z.ZodObject<S>>) => Expectation): StatementPattern =>
	pattern(`expect ${sentence}`, shape, fields => ({kind: 'expect', expectation: build(fields)}));

const setup: readonly StatementPattern[] = [
	pattern('deployment <example> daemons <daemons> per domain engines <engines> per domain', {example, daemons: count, engines: count}, fields => ({kind: 'deployment', ...fields})),
	pattern('backend servers start warm', {}, () => ({kind: 'warmth', startsWarm: true})),
	pattern('backend servers start cold', {}, () => ({kind: 'warmth', startsWarm: false})),
	pattern('engines run <factor> times as fast', {factor}, fields => ({kind: 'speed', ...fields})),
	pattern('run for <ms>', {ms: time}, fields => ({kind: 'duration', ...fields})),
];

const backend = {domain, number: count};

const faults: readonly StatementPattern[] = [
	fault('kill daemon <daemon>', {daemon}, fields => ({kind: 'kill-daemon', ...fields})),
	fault('stop daemon <daemon>', {daemon}, fields => ({kind: 'stop-daemon', ...fields})),
	fault('freeze daemon <daemon> for <forMs>', {daemon, forMs: time}, fields => ({kind: 'freeze-daemon', ...fields})),
	fault('start daemon in <domain>', {domain}, fields => ({kind: 'start-daemon', ...fields})),
	fault('object-api outage for <forMs>', {forMs: time}, fields => ({kind: 'object-api-outage', ...fields})),
	fault('object-api slow by <byMs> for <forMs>', {byMs: time, forMs: time}, fields => ({kind: 'object-api-slow', ...fields})),
	fault('object-api lose answers <share> for <forMs>', {share, forMs: time}, fields => ({kind: 'object-api-loses-answers', effect: 'after', ...fields})),
	fault('object-api lose answers <share> <effect> effect for <forMs>', {share, effect, forMs: time}, fields => ({kind: 'object-api-loses-answers', ...fields})),
	fault('cut domain <domain> from object-api for <forMs>', {domain, forMs: time}, fields => ({kind: 'object-api-unreachable', ...fields})),
	fault('cold engine <domain> <number>', backend, fields => ({kind: 'engine-act', act: 'turn-cold', engine: fields})),
	fault('crash engine <domain> <number>', backend, fields => ({kind: 'engine-act', act: 'crash', engine: fields})),
	fault('silence engine <domain> <number>', backend, fields => ({kind: 'engine-act', act: 'silence', engine: fields})),
	fault('slow engine <domain> <number> <factor> times for <forMs>', {...backend, factor, forMs: time}, ({domain, number, ...rest}) => ({kind: 'engine-slow', engine: {domain, number}, ...rest})),
	fault('leave engine <domain> <number>', backend, fields => ({kind: 'engine-leaves', engine: fields})),
	fault('cold service <domain> <number>', backend, fields => ({kind: 'service-act', act: 'turn-cold', service: fields})),
	fault('crash service <domain> <number>', backend, fields => ({kind: 'service-act', act: 'crash', service: fields})),
	fault('services lose answers for <forMs>', {forMs: time}, fields => ({kind: 'services-lose-answers', ...fields})),
	fault('take out domain <domain>', {domain}, fields => ({kind: 'domain-out', ...fields})),
	fault('bring back domain <domain>', {domain}, fields => ({kind: 'domain-in', ...fields})),
];

const loads: readonly StatementPattern[] = [
	...load('send <perSecond> <lengthClass> per second', {perSecond: factor, lengthClass}, ({perSecond, lengthClass}) => ({kind: 'prompts', perSecond, lengthClass})),
	...load('send <perSecond> bookings per second', {perSecond: factor}, ({perSecond}) => ({kind: 'bookings', perSecond, repeat: false})),
	...load('send <perSecond> bookings per second repeat through another daemon', {perSecond: factor}, ({perSecond}) => ({kind: 'bookings', perSecond, repeat: true})),
	...load('send <perSecond> lookups per second', {perSecond: factor}, ({perSecond}) => ({kind: 'lookups', perSecond})),
];

const expectations: readonly StatementPattern[] = [
	expectation('bookings executed at most once', {}, () => ({kind: 'executed-at-most-once'})),
	expectation('no request cut', {}, () => ({kind: 'no-request-cut'})),
	expectation('<lengthClass> first token p95 below <belowMs>', {lengthClass, belowMs: time}, fields => ({kind: 'first-token', ...fields})),
	expectation('<share> of requests answered', {share}, fields => ({kind: 'answered-share', of: 'requests', ...fields})),
	expectation('<share> of bookings answered', {share}, fields => ({kind: 'answered-share', of: 'bookings', ...fields})),
	expectation('<share> of requests from <fromMs> answered', {share, fromMs: time}, fields => ({kind: 'answered-from', ...fields})),
	expectation('no work to domain <domain> after <afterMs>', {domain, afterMs: time}, fields => ({kind: 'no-work-to-domain', ...fields})),
	expectation('no work to engine <domain> <number> after <afterMs>', {...backend, afterMs: time}, ({afterMs, ...reference}) => ({kind: 'no-work-to-engine', engine: reference, afterMs})),
];

/** All statement patterns. */
export const statementPatterns: readonly StatementPattern[] = [...setup, ...faults, ...loads, ...expectations];
