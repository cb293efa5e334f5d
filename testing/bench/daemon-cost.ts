/** What a daemon adds to a request, and what it can serve with one core. */
import {setTimeout as delay} from 'node:timers/promises';
import {countEnds, firstTokenOf} from '../load/summary.js';
import type {CompletionRecord} from '../load/completion-client.js';
import type {Arrival} from '../load/arrivals.js';
import type {Measure, MeasureOptions} from './measure.js';
import type {Row} from './row.js';
import {drawEqual, withSingleDaemon, type SingleDaemon} from './single-daemon.js';

const MEASURE = 'daemon-cost';
const ENGINES = 4;
const DECODE_TOKENS_PER_SECOND = 20;
const ROUNDS = 4;
const DURATION_MS = 6000;
const REQUESTS_PER_SECOND = 20;
const PROMPT_TOKENS = 1000;

/** Rate at which the costs for each request and token are read from the CPU time. */
const COST_REQUESTS_PER_SECOND = 40;
const STREAM_REQUESTS_PER_SECOND = 16;
const STREAM_TOKENS = 100;

const OPEN_STREAMS = 240;
const OPEN_STREAM_TOKENS = 120;
const OPENING_MS = 2000;

const IDLE_MS = 3000;

type Cost = {readonly records: readonly CompletionRecord[]; readonly cpuMs: number; readonly elapsedMs: number};

async function costOf(daemon: SingleDaemon, arrivals: readonly Arrival[]): Promise<Cost> {
	const before = await daemon.usage();
	const startedAt = performance.now();
	const records = await daemon.run(arrivals);
	const after = await daemon.usage();
	return {records, cpuMs: after.cpuMs - before.cpuMs, elapsedMs: performance.now() - startedAt};
}

/** CPU time of an idle daemon for each ms. */
async function idleShare(daemon: SingleDaemon): Promise<number> {
	const before = await daemon.usage();
	await delay(IDLE_MS);
	const after = await daemon.usage();
	return (after.cpuMs - before.cpuMs) / IDLE_MS;
}

async function measureLatency(daemon: SingleDaemon, {seed, log}: MeasureOptions): Promise<readonly Row[]> {
	const own: CompletionRecord[] = [];
	const direct: CompletionRecord[] = [];
	for (let round = 0; round < ROUNDS; round++) {
		const arrivals = drawEqual({
			seed: seed + round, durationMs: DURATION_MS, requestsPerSecond: REQUESTS_PER_SECOND, promptTokens: PROMPT_TOKENS, maxTokens: 2,
		});
		log(`latency round ${round + 1}: ${arrivals.length} requests`);
		direct.push(...await daemon.runDirect(arrivals));
		own.push(...await daemon.run(arrivals));
	}

	const note = `n=${own.length}; ${JSON.stringify(countEnds(own))}; direct ${JSON.stringify(countEnds(direct))}`;
	return (['p50', 'p99'] as const).flatMap((percentile): readonly Row[] => {
		const value = firstTokenOf(own)[percentile];
		const baseline = firstTokenOf(direct)[percentile];
		const common = {measure: MEASURE, unit: 'ms', bound: {kind: 'none'}} as const;
		return [
			{
				...common, metric: `first token ${percentile}`, baseline, value, note,
			},
			{
				...common, metric: `added to the first token ${percentile}`, baseline: undefined, value: value - baseline,
			},
		];
	});
}

async function measureCpu(daemon: SingleDaemon, {seed, log}: MeasureOptions): Promise<readonly Row[]> {
	const idle = await idleShare(daemon);
	log('requests of one token');
	const short = await costOf(daemon, drawEqual({
		seed, durationMs: DURATION_MS, requestsPerSecond: COST_REQUESTS_PER_SECOND, promptTokens: PROMPT_TOKENS, maxTokens: 1,
	}));
	const requestMs = (short.cpuMs - (idle * short.elapsedMs)) / short.records.length;
	log('requests of many tokens');
	const long = await costOf(daemon, drawEqual({
		seed, durationMs: DURATION_MS, requestsPerSecond: STREAM_REQUESTS_PER_SECOND, promptTokens: PROMPT_TOKENS, maxTokens: STREAM_TOKENS,
	}));
	const tokens = long.records.reduce((sum, record) => sum + record.tokens.length, 0);
	const tokenMs = (long.cpuMs - (idle * long.elapsedMs) - (requestMs * long.records.length)) / tokens;
	const common = {measure: MEASURE, baseline: undefined, bound: {kind: 'none'}} as const;
	return [
		{
			...common,
			metric: 'CPU for one request of one token',
			unit: 'ms',
			value: requestMs,
			note: `n=${short.records.length}; idle ${(idle * 100).toFixed(2)}% of a core taken off; ${JSON.stringify(countEnds(short.records))}`,
		},
		{
			...common, metric: 'requests a second for one core', unit: '1/s', value: 1000 / requestMs,
		},
		{
			...common, metric: 'CPU for one streamed token', unit: 'ms', value: tokenMs, note: `n=${tokens}; ${JSON.stringify(countEnds(long.records))}`,
		},
		{
			...common, metric: 'streamed tokens a second for one core', unit: '1/s', value: 1000 / tokenMs,
		},
	];
}

async function measureMemory(daemon: SingleDaemon, {seed, log}: MeasureOptions): Promise<readonly Row[]> {
	log(`${OPEN_STREAMS} open streams`);
	const before = await daemon.usage();
	const arrivals = drawEqual({
		seed, durationMs: OPENING_MS, requestsPerSecond: OPEN_STREAMS * 1000 / OPENING_MS, promptTokens: PROMPT_TOKENS, maxTokens: OPEN_STREAM_TOKENS,
	});
	const run = daemon.run(arrivals);
	await delay(OPENING_MS * 2);
	const during = await daemon.usage();
	const records = await run;
	return [{
		measure: MEASURE,
		metric: 'memory for one open stream',
		unit: 'kB',
		baseline: undefined,
		value: (during.anonymousBytes - before.anonymousBytes) / 1024 / arrivals.length,
		bound: {kind: 'none'},
		note: `n=${arrivals.length}; garbage not yet collected is included; ${JSON.stringify(countEnds(records))}`,
	}];
}

/** Measure `daemon-cost`. */
export const daemonCost: Measure = {
	name: MEASURE,
	title: 'Cost of one daemon (baseline: the same load sent directly to the engines)',
	async run(options) {
		return withSingleDaemon({engines: ENGINES, decodeTokensPerSecond: DECODE_TOKENS_PER_SECOND, seed: options.seed}, async daemon => [
			...await measureLatency(daemon, options),
			...await measureCpu(daemon, options),
			...await measureMemory(daemon, options),
		]);
	},
};
