/** Service while a failure domain is taken out and returns, and while it is lost without warning. */
import {setTimeout as delay} from 'node:timers/promises';
import type {Configuration} from '../../src/configuration/schema.js';
import {drawArrivals, type MixPart} from '../load/arrivals.js';
import type {CompletionRecord} from '../load/completion-client.js';
import {countEnds, firstTokenOf, ofClass} from '../load/summary.js';
import type {Measure, MeasureOptions} from './measure.js';
import {withModelFixture, type ModelFixture} from './model-fixture.js';
import type {Row} from './row.js';

const OUT_AT_MS = 10_000;
const IN_AT_MS = 25_000;
const DURATION_MS = 45_000;
const WINDOW_MS = 5000;
const REQUESTS_PER_SECOND = 24;
const ANSWER_TOKENS = 16;

/** Mostly short prompts, so that each window holds enough of them, with a constant share of long work beside them. */
const mix: readonly MixPart[] = [
	{share: 0.92, fromTokens: 1000, toTokens: 7900},
	{share: 0.08, fromTokens: 32_000, toTokens: 100_000},
];

const DEPLOYMENT = {example: 'frialia', enginesPerDomain: 6, daemonsPerDomain: 3} as const;

/** Stated target: p95 of short requests in each 5-second window against the steady value. */
const WINDOW_RATIO_LIMIT = 1.5;

type Window = {readonly fromMs: number; readonly p95: number; readonly count: number};

type Run = {
	readonly records: readonly CompletionRecord[];
	readonly startedAt: number;
};

function windowsOf({records, startedAt}: Run): readonly Window[] {
	const short = ofClass(records, 'short');
	return Array.from({length: DURATION_MS / WINDOW_MS}, (_, index) => {
		const fromMs = index * WINDOW_MS;
		const inside = short.filter(record => {
			const atMs = record.startedAt - startedAt;
			return atMs >= fromMs && atMs < fromMs + WINDOW_MS;
		});
		const {p95, count} = firstTokenOf(inside);
		return {fromMs, p95, count};
	});
}

const setState = (configuration: Configuration, domain: string, state: 'in' | 'out'): Configuration => ({
	...configuration,
	failureDomains: configuration.failureDomains.map(candidate => candidate.name === domain ? {...candidate, state} : candidate),
});

async function runWith(fixture: ModelFixture, {seed, log}: MeasureOptions, change: (log: (text: string) => void) => Promise<void>): Promise<Run> {
	const arrivals = drawArrivals({
		seed, durationMs: DURATION_MS, requestsPerSecond: REQUESTS_PER_SECOND, mix, maxTokens: ANSWER_TOKENS,
	});
	log(`${arrivals.length} requests over ${DURATION_MS / 1000} s`);
	const startedAt = performance.now();
	const [records] = await Promise.all([fixture.run('fireflyport', arrivals), change(log)]);
	return {records, startedAt};
}

function windowRows(measure: string, windows: readonly Window[], steady: number, isBound: boolean): readonly Row[] {
	const worst = windows.toSorted((a, b) => b.p95 - a.p95)[0]!;
	const perWindow = windows.map(({fromMs, p95, count}) => `${fromMs / 1000}s ${Math.round(p95)} ms n=${count}`).join(', ');
	return [
		{
			measure, metric: 'steady short p95', unit: 'ms', baseline: undefined, value: steady, bound: {kind: 'none'}, note: perWindow,
		},
		{
			measure,
			metric: `worst 5 s window (from ${worst.fromMs / 1000} s) ÷ steady`,
			unit: 'ratio',
			baseline: undefined,
			value: worst.p95 / steady,
			bound: isBound ? {kind: 'at_most', limit: WINDOW_RATIO_LIMIT} : {kind: 'none'},
		},
		{
			measure,
			metric: 'windows without answers',
			unit: 'windows',
			baseline: undefined,
			value: windows.filter(({count}) => count === 0).length,
			bound: {kind: 'at_most', limit: 0},
		},
	];
}

/** P95 over the windows before the change. */
const steadyOf = ({records, startedAt}: Run): number =>
	firstTokenOf(ofClass(records, 'short').filter(record => record.startedAt - startedAt < OUT_AT_MS)).p95;

/** Measure `domain-leave`: taken out under load and brought back. */
export const domainLeave: Measure = {
	name: 'domain-leave',
	title: 'A failure domain leaves and returns under load',
	async run(options) {
		return withModelFixture({...DEPLOYMENT, seed: options.seed}, async fixture => {
			const domain = fixture.configuration.failureDomains[1]!.name;
			const run = await runWith(fixture, options, async log => {
				await delay(OUT_AT_MS);
				log(`${domain} out`);
				await fixture.deployment.applyConfiguration(setState(fixture.configuration, domain, 'out'));
				await delay(IN_AT_MS - OUT_AT_MS);
				log(`${domain} in`);
				await fixture.deployment.applyConfiguration(setState(fixture.configuration, domain, 'in'));
			});
			const unfinished = run.records.filter(({end}) => end.kind !== 'finished');
			return [
				...windowRows('domain-leave', windowsOf(run), steadyOf(run), true),
				{
					measure: 'domain-leave',
					metric: 'requests cut, refused or failed',
					unit: 'requests',
					baseline: undefined,
					value: unfinished.length,
					bound: {kind: 'at_most', limit: 0},
					note: JSON.stringify(countEnds(run.records)),
				},
			];
		});
	},
};

/** Time after the loss from which on short requests are answered as fast as the bound of `domain-leave` asks. */
function recoveryMs(windows: readonly Window[], steady: number): number {
	const late = windows.filter(({p95, fromMs}) => fromMs >= OUT_AT_MS && !(p95 <= steady * WINDOW_RATIO_LIMIT));
	return late.length === 0 ? 0 : late.at(-1)!.fromMs + WINDOW_MS - OUT_AT_MS;
}

/** Measure `domain-loss`: all hosts of a failure domain end at once. */
export const domainLoss: Measure = {
	name: 'domain-loss',
	title: 'A failure domain is lost without warning under load',
	async run(options) {
		return withModelFixture({...DEPLOYMENT, seed: options.seed}, async fixture => {
			const domain = fixture.configuration.failureDomains[1]!.name;
			const {deployment} = fixture;
			const lost = new Set(deployment.daemons.filter(daemon => daemon.failureDomain === domain).map(({process}) => process.url));
			const run = await runWith(fixture, options, async log => {
				await delay(OUT_AT_MS);
				log(`${domain} killed`);
				const processes = [...deployment.daemons.filter(daemon => daemon.failureDomain === domain), ...deployment.backends.filter(({host}) => host.failureDomain === domain)];
				for (const {process} of processes) {
					process.kill('SIGKILL');
				}
			});
			// The balancer's part is not under measurement: callers of the lost daemons are counted apart.
			const others = run.records.filter(({target}) => !lost.has(target));
			const windows = windowsOf({...run, records: others});
			const steady = steadyOf({...run, records: others});
			const cut = others.filter(({end}) => end.kind === 'cut');
			return [
				...windowRows('domain-loss', windows, steady, false),
				{
					measure: 'domain-loss', metric: 'recovery of short p95', unit: 'ms', baseline: undefined, value: recoveryMs(windows, steady), bound: {kind: 'none'},
				},
				{
					measure: 'domain-loss',
					metric: 'requests through remaining daemons without an answer',
					unit: 'requests',
					baseline: undefined,
					value: cut.length,
					bound: {kind: 'at_most', limit: 0},
					note: `${JSON.stringify(countEnds(others))}; through lost daemons ${JSON.stringify(countEnds(run.records.filter(({target}) => lost.has(target))))}`,
				},
			];
		});
	},
};
