/** Time from the acceptance of a configuration until every daemon has applied it, and object API calls per change. */
import {setTimeout as delay} from 'node:timers/promises';
import {configuration as sacaria} from '../../examples/sacaria.js';
import {percentilesOf} from '../load/summary.js';
import {Deployment, sendJsonRequest, type Daemon} from '../deployment.js';
import type {Benchmark, BenchmarkOptions} from './benchmark.js';
import {countCallsDuring, type ObjectApiCalls} from './object-api-calls.js';
import type {ResultRow} from './row.js';

const BENCHMARK_NAME = 'configuration-delivery';
const DAEMONS_PER_DOMAIN = 8;
const CHANGES = 20;

/** Not a multiple of any interval of the daemons, so that changes fall at varying phases of their timers. */
const CHANGE_INTERVAL_MS = 1370;
const POLL_INTERVAL_MS = 50;
const APPLY_TIMEOUT_MS = 30_000;

/** Limit stated in the requirements. */
const MAX_DELIVERY_MS = 12_000;

async function waitForVersion({process}: Daemon, version: number): Promise<void> {
	const deadline = performance.now() + APPLY_TIMEOUT_MS;
	for (;;) {
		const {body} = await sendJsonRequest('GET', `${process.url}/status`);
		if (((body as {readonly configurationVersion?: number}).configurationVersion ?? 0) >= version) {
			return;
		}

		if (performance.now() > deadline) {
			throw new Error(`${process.name} did not apply configuration ${version} within ${APPLY_TIMEOUT_MS} ms`);
		}

		await delay(POLL_INTERVAL_MS);
	}
}

/** Changes the weight of one workspace, a typical operator change. Returns the time in ms until each daemon has applied it. */
async function applyChange(deployment: Deployment, changeNumber: number): Promise<readonly number[]> {
	const [first, ...others] = sacaria.workspaces;
	const version = await deployment.applyConfiguration({...sacaria, workspaces: [{...first!, weight: changeNumber + 1}, ...others]});
	const acceptedAt = performance.now();
	return Promise.all(deployment.daemons.map(async daemon => {
		await waitForVersion(daemon, version);
		return performance.now() - acceptedAt;
	}));
}

async function runChanges(deployment: Deployment, {log}: BenchmarkOptions): Promise<{
	readonly times: ReadonlyArray<readonly number[]>;
	readonly idle: ObjectApiCalls;
	readonly changing: ObjectApiCalls;
}> {
	const times: Array<readonly number[]> = [];
	const idle = await countCallsDuring(deployment, async () => delay(CHANGES * CHANGE_INTERVAL_MS));
	const changing = await countCallsDuring(deployment, async () => {
		for (let number = 1; number <= CHANGES; number++) {
			times.push(await applyChange(deployment, number));
			await delay(CHANGE_INTERVAL_MS);
		}
	});
	log(`${CHANGES} changes, ${deployment.daemons.length} daemons`);
	return {times, idle, changing};
}

/** Object API calls per change in excess of the idle rate. */
const callsPerChange = (idle: ObjectApiCalls, changing: ObjectApiCalls, kind: 'reads' | 'writes' | 'watches' | 'lists'): number =>
	(changing[kind] - (idle[kind] * changing.elapsedMs / idle.elapsedMs)) / CHANGES;

/** Benchmark `configuration-delivery`. */
export const configurationDelivery: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Time until every daemon has applied a configuration',
	async run(options) {
		const deployment = await Deployment.create({
			configuration: sacaria, backendsPerDomain: 0, daemonsPerDomain: DAEMONS_PER_DOMAIN, seed: options.seed,
		});
		try {
			const {times, idle, changing} = await runChanges(deployment, options);
			const each = percentilesOf(times.flat());
			const last = percentilesOf(times.map(list => Math.max(...list)));
			const row = (metric: string, unit: string, value: number, note?: string): ResultRow => ({
				measure: BENCHMARK_NAME, metric, unit, baseline: undefined, value, bound: {kind: 'none'}, note,
			});
			return [
				row('in force at a daemon p50', 'ms', each.p50, `n=${each.count}, polled every ${POLL_INTERVAL_MS} ms`),
				{...row('in force at a daemon p99', 'ms', each.p99), bound: {kind: 'at_most', limit: MAX_DELIVERY_MS}},
				row('in force at the last daemon p50', 'ms', last.p50, `${CHANGES} changes, ${deployment.daemons.length} daemons`),
				{...row('in force at the last daemon, slowest change', 'ms', last.max), bound: {kind: 'at_most', limit: MAX_DELIVERY_MS}},
				...(['reads', 'watches', 'lists', 'writes'] as const).map(kind => {
					const idlePerSecond = (idle[kind] / idle.elapsedMs * 1000).toFixed(2);
					const note = `idle ${idlePerSecond} per second; includes the operator's own read and write`;
					return row(`object API ${kind} of one change`, 'calls', callsPerChange(idle, changing, kind), note);
				}),
			];
		} finally {
			await deployment.close();
		}
	},
};
