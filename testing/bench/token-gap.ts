/** Time between tokens at the caller, for requests through a daemon and for requests sent directly to the engines. */
import {countOutcomes, percentilesOf} from '../load/summary.js';
import type {CompletionRecord} from '../load/completion-client.js';
import type {Benchmark} from './benchmark.js';
import {drawEqualArrivals, withSingleDaemon} from './single-daemon.js';

const BENCHMARK_NAME = 'token-gap';
const ENGINES = 4;
const DECODE_TOKENS_PER_SECOND = 50;
const ROUNDS = 3;
const DURATION_MS = 8000;
const REQUESTS_PER_SECOND = 8;
const PROMPT_TOKENS = 1000;
const MAX_COMPLETION_TOKENS = 96;

/** Limits stated in the requirements. */
const MAX_GAP_P95_MS = 77;
const MAX_ADDED_GAP_MS = 2;

const gapsOf = (records: readonly CompletionRecord[]) => percentilesOf(records.flatMap(({tokenGapsMs}) => tokenGapsMs));

/** Benchmark `token-gap`. Runs alternate, so that other load on the host affects both series alike. */
export const tokenGap: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Time between tokens (baseline: the same load sent directly to the engines)',
	async run({seed, log}) {
		return withSingleDaemon({engines: ENGINES, decodeTokensPerSecond: DECODE_TOKENS_PER_SECOND, seed}, async daemon => {
			const throughDaemon: CompletionRecord[] = [];
			const direct: CompletionRecord[] = [];
			for (let round = 0; round < ROUNDS; round++) {
				const arrivals = drawEqualArrivals({
					seed: seed + round, durationMs: DURATION_MS, requestsPerSecond: REQUESTS_PER_SECOND, promptTokens: PROMPT_TOKENS, maxTokens: MAX_COMPLETION_TOKENS,
				});
				log(`round ${round + 1}: ${arrivals.length} requests`);
				direct.push(...await daemon.runDirect(arrivals));
				throughDaemon.push(...await daemon.run(arrivals));
			}

			const ownGaps = gapsOf(throughDaemon);
			const directGaps = gapsOf(direct);
			const common = {measure: BENCHMARK_NAME, unit: 'ms'};
			return [
				{
					...common, metric: 'gap p50', baseline: directGaps.p50, value: ownGaps.p50, bound: {kind: 'none'}, note: `n=${ownGaps.count}`,
				},
				{
					...common,
					metric: 'gap p95',
					baseline: directGaps.p95,
					value: ownGaps.p95,
					bound: {kind: 'at_most', limit: MAX_GAP_P95_MS},
					note: `${JSON.stringify(countOutcomes(throughDaemon))}; direct ${JSON.stringify(countOutcomes(direct))}`,
				},
				{
					...common, metric: 'gap p99', baseline: directGaps.p99, value: ownGaps.p99, bound: {kind: 'none'},
				},
				{
					...common, metric: 'added by the daemon to the p95', baseline: undefined, value: ownGaps.p95 - directGaps.p95, bound: {kind: 'at_most', limit: MAX_ADDED_GAP_MS},
				},
			];
		});
	},
};
