/** Time between tokens at the caller, through a daemon and sent directly to the engines. */
import {countEnds, percentilesOf} from '../load/summary.js';
import type {CompletionRecord} from '../load/completion-client.js';
import type {Measure} from './measure.js';
import {drawEqual, withSingleDaemon} from './single-daemon.js';

const MEASURE = 'token-gap';
const ENGINES = 4;
const DECODE_TOKENS_PER_SECOND = 50;
const ROUNDS = 3;
const DURATION_MS = 8000;
const REQUESTS_PER_SECOND = 8;
const PROMPT_TOKENS = 1000;
const ANSWER_TOKENS = 96;

/** Stated targets. */
const GAP_P95_LIMIT_MS = 77;
const ADDED_LIMIT_MS = 2;

const gapsOf = (records: readonly CompletionRecord[]) => percentilesOf(records.flatMap(({tokenGapsMs}) => tokenGapsMs));

/** Measure `token-gap`. Runs alternate, so that a disturbance of the machine meets both. */
export const tokenGap: Measure = {
	name: MEASURE,
	title: 'Time between tokens (baseline: the same load sent directly to the engines)',
	async run({seed, log}) {
		return withSingleDaemon({engines: ENGINES, decodeTokensPerSecond: DECODE_TOKENS_PER_SECOND, seed}, async daemon => {
			const own: CompletionRecord[] = [];
			const direct: CompletionRecord[] = [];
			for (let round = 0; round < ROUNDS; round++) {
				const arrivals = drawEqual({
					seed: seed + round, durationMs: DURATION_MS, requestsPerSecond: REQUESTS_PER_SECOND, promptTokens: PROMPT_TOKENS, maxTokens: ANSWER_TOKENS,
				});
				log(`round ${round + 1}: ${arrivals.length} requests`);
				direct.push(...await daemon.runDirect(arrivals));
				own.push(...await daemon.run(arrivals));
			}

			const ownGaps = gapsOf(own);
			const directGaps = gapsOf(direct);
			const common = {measure: MEASURE, unit: 'ms'};
			return [
				{
					...common, metric: 'gap p50', baseline: directGaps.p50, value: ownGaps.p50, bound: {kind: 'none'}, note: `n=${ownGaps.count}`,
				},
				{
					...common,
					metric: 'gap p95',
					baseline: directGaps.p95,
					value: ownGaps.p95,
					bound: {kind: 'at_most', limit: GAP_P95_LIMIT_MS},
					note: `${JSON.stringify(countEnds(own))}; direct ${JSON.stringify(countEnds(direct))}`,
				},
				{
					...common, metric: 'gap p99', baseline: directGaps.p99, value: ownGaps.p99, bound: {kind: 'none'},
				},
				{
					...common, metric: 'added by the daemon to the p95', baseline: undefined, value: ownGaps.p95 - directGaps.p95, bound: {kind: 'at_most', limit: ADDED_LIMIT_MS},
				},
			];
		});
	},
};
