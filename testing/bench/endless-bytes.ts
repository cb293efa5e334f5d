/** Memory of a daemon, and what calm callers get, beside backend servers that send bytes without end. */
import {
	HOST_MEMORY_MB, ORDER_TARGET_MS, runEndlessLoad, type EndlessLoad,
} from '../load/endless-run.js';
import type {Benchmark} from './benchmark.js';
import type {ResultRow} from './row.js';

const DURATION_MS = 8000;

const endlessLoads: readonly EndlessLoad[] = [
	...([
		['held comments', 60], ['comments', 30], ['repeated events', 30], ['short events', 30], ['event', 67], ['large events', 67], ['tiny chunks', 67],
	] as const)
		.map(([bytes, requests]) => ({
			bytes, kind: 'stream' as const, requests, isReading: true, durationMs: DURATION_MS,
		})),
	{
		bytes: 'large events', kind: 'stream', requests: 200, isReading: false, durationMs: DURATION_MS,
	},
	...([['body', 200], ['tiny chunks', 200], ['informational heads', 200], ['head', 200], ['garbage', 200]] as const)
		.map(([bytes, requests]) => ({
			bytes, kind: 'call' as const, requests, isReading: true, durationMs: DURATION_MS,
		})),
];

const describeLoad = ({bytes, kind, requests, isReading}: EndlessLoad): string => `${requests} ${kind}s, ${bytes}${isReading ? '' : ', clients that do not read'}`;

/** Share of the calm orders that have to be in time. */
const TIMELY_SHARE = 0.9;

export const endlessBytes: Benchmark = {
	name: 'endless-bytes',
	title: 'Daemon beside backend servers that send bytes without end',
	async run({log}) {
		const rows: ResultRow[] = [];
		for (const load of endlessLoads) {
			const measure = describeLoad(load);
			log(measure);
			const {peakMb, failedOrders, orderMs} = await runEndlessLoad(load);
			const note = `${orderMs.length} orders`;
			const row = (metric: string, unit: string, value: number | undefined, limit: number): ResultRow => ({
				measure, metric: `${metric}, ${measure}`, unit, baseline: undefined, value: value ?? Number.NaN, bound: {kind: 'at_most', limit}, note: peakMb === undefined ? 'the daemon ended' : note,
			});
			rows.push(
				row('peak memory', 'MB', peakMb, HOST_MEMORY_MB),
				row('failed orders', 'orders', failedOrders.length, 0),
				row('order p90', 'ms', orderMs[Math.floor(TIMELY_SHARE * orderMs.length)], ORDER_TARGET_MS),
			);
		}

		return rows;
	},
};
