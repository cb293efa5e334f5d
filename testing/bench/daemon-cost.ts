/** Latency that a daemon adds to a request, and the load that it can serve with one core. */
import {setTimeout as delay} from 'node:timers/promises';
import {countOutcomes, firstTokenPercentiles} from '../load/summary.js';
import type {CompletionRecord} from '../load/completion-client.js';
import type {Arrival} from '../load/arrivals.js';
import type {Benchmark, BenchmarkOptions} from './benchmark.js';
import type {ResultRow} from './row.js';
import {drawEqualArrivals, withSingleDaemon, type SingleDaemon} from './single-daemon.js';

const BENCHMARK_NAME = 'daemon-cost';
const ENGINES = 4;
const DECODE_TOKENS_PER_SECOND = 20;
const LATENCY_ROUNDS = 4;
const DURATION_MS = 6000;
const REQUESTS_PER_SECOND = 20;
const PROMPT_TOKENS = 1000;

/** Request rates at which the CPU time per request and per token is measured. */
const SINGLE_TOKEN_REQUESTS_PER_SECOND = 40;
const STREAM_REQUESTS_PER_SECOND = 16;
const STREAM_TOKENS = 100;

const OPEN_STREAMS = 240;
const OPEN_STREAM_TOKENS = 120;
const RAMP_UP_MS = 2000;

const IDLE_PERIOD_MS = 3000;

type LoadCost = {readonly records: readonly CompletionRecord[]; readonly cpuMs: number; readonly elapsedMs: number};

async function measureLoadCost(daemon: SingleDaemon, arrivals: readonly Arrival[]): Promise<LoadCost> {
	const before = await daemon.usage();
	const startedAt = performance.now();
	const records = await daemon.run(arrivals);
	const after = await daemon.usage();
	return {records, cpuMs: after.cpuMs - before.cpuMs, elapsedMs: performance.now() - startedAt};
}

/** CPU time of an idle daemon as a fraction of elapsed time. */
async function measureIdleCpuShare(daemon: SingleDaemon): Promise<number> {
	const before = await daemon.usage();
	await delay(IDLE_PERIOD_MS);
	const after = await daemon.usage();
	return (after.cpuMs - before.cpuMs) / IDLE_PERIOD_MS;
}

async function measureLatency(daemon: SingleDaemon, {seed, log}: BenchmarkOptions): Promise<readonly ResultRow[]> {
	const throughDaemon: CompletionRecord[] = [];
	const direct: CompletionRecord[] = [];
	for (let round = 0; round < LATENCY_ROUNDS; round++) {
		const arrivals = drawEqualArrivals({
			seed: seed + round, durationMs: DURATION_MS, requestsPerSecond: REQUESTS_PER_SECOND, promptTokens: PROMPT_TOKENS, maxTokens: 2,
		});
		log(`latency round ${round + 1}: ${arrivals.length} requests`);
		direct.push(...await daemon.runDirect(arrivals));
		throughDaemon.push(...await daemon.run(arrivals));
	}

	const note = `n=${throughDaemon.length}; ${JSON.stringify(countOutcomes(throughDaemon))}; direct ${JSON.stringify(countOutcomes(direct))}`;
	return (['p50', 'p99'] as const).flatMap((percentile): readonly ResultRow[] => {
		const value = firstTokenPercentiles(throughDaemon)[percentile];
		const baseline = firstTokenPercentiles(direct)[percentile];
		const common = {measure: BENCHMARK_NAME, unit: 'ms', bound: {kind: 'none'}} as const;
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

async function measureCpu(daemon: SingleDaemon, {seed, log}: BenchmarkOptions): Promise<readonly ResultRow[]> {
	const idleCpuShare = await measureIdleCpuShare(daemon);
	log('single-token requests');
	const singleToken = await measureLoadCost(daemon, drawEqualArrivals({
		seed, durationMs: DURATION_MS, requestsPerSecond: SINGLE_TOKEN_REQUESTS_PER_SECOND, promptTokens: PROMPT_TOKENS, maxTokens: 1,
	}));
	const requestCpuMs = (singleToken.cpuMs - (idleCpuShare * singleToken.elapsedMs)) / singleToken.records.length;
	log('streamed requests');
	const streamed = await measureLoadCost(daemon, drawEqualArrivals({
		seed, durationMs: DURATION_MS, requestsPerSecond: STREAM_REQUESTS_PER_SECOND, promptTokens: PROMPT_TOKENS, maxTokens: STREAM_TOKENS,
	}));
	const tokens = streamed.records.reduce((sum, record) => sum + record.tokens.length, 0);
	const tokenCpuMs = (streamed.cpuMs - (idleCpuShare * streamed.elapsedMs) - (requestCpuMs * streamed.records.length)) / tokens;
	const common = {measure: BENCHMARK_NAME, baseline: undefined, bound: {kind: 'none'}} as const;
	return [
		{
			...common,
			metric: 'CPU for one request of one token',
			unit: 'ms',
			value: requestCpuMs,
			note: `n=${singleToken.records.length}; idle ${(idleCpuShare * 100).toFixed(2)}% of a core subtracted; ${JSON.stringify(countOutcomes(singleToken.records))}`,
		},
		{
			...common, metric: 'requests a second for one core', unit: '1/s', value: 1000 / requestCpuMs,
		},
		{
			...common, metric: 'CPU for one streamed token', unit: 'ms', value: tokenCpuMs, note: `n=${tokens}; ${JSON.stringify(countOutcomes(streamed.records))}`,
		},
		{
			...common, metric: 'streamed tokens a second for one core', unit: '1/s', value: 1000 / tokenCpuMs,
		},
	];
}

async function measureMemory(daemon: SingleDaemon, {seed, log}: BenchmarkOptions): Promise<readonly ResultRow[]> {
	log(`${OPEN_STREAMS} open streams`);
	const before = await daemon.usage();
	const arrivals = drawEqualArrivals({
		seed, durationMs: RAMP_UP_MS, requestsPerSecond: OPEN_STREAMS * 1000 / RAMP_UP_MS, promptTokens: PROMPT_TOKENS, maxTokens: OPEN_STREAM_TOKENS,
	});
	const run = daemon.run(arrivals);
	await delay(RAMP_UP_MS * 2);
	const during = await daemon.usage();
	const records = await run;
	return [{
		measure: BENCHMARK_NAME,
		metric: 'memory for one open stream',
		unit: 'kB',
		baseline: undefined,
		value: (during.anonymousBytes - before.anonymousBytes) / 1024 / arrivals.length,
		bound: {kind: 'none'},
		note: `n=${arrivals.length}; includes garbage that is not collected yet; ${JSON.stringify(countOutcomes(records))}`,
	}];
}

/** Benchmark `daemon-cost`. */
export const daemonCost: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Cost of one daemon (baseline: the same load sent directly to the engines)',
	async run(options) {
		return withSingleDaemon({engines: ENGINES, decodeTokensPerSecond: DECODE_TOKENS_PER_SECOND, seed: options.seed}, async daemon => [
			...await measureLatency(daemon, options),
			...await measureCpu(daemon, options),
			...await measureMemory(daemon, options),
		]);
	},
};
