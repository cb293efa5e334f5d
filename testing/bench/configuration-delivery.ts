/** Time from an accepted configuration to its effect at every daemon, and the object API calls of one change. */
import {setTimeout as delay} from 'node:timers/promises';
import {configuration as sacaria} from '../../examples/sacaria.js';
import {percentilesOf} from '../load/summary.js';
import {Deployment, sendJsonRequest, type Daemon} from '../deployment.js';
import type {Measure, MeasureOptions} from './measure.js';
import {callsDuring, type Calls} from './object-api-calls.js';
import type {Row} from './row.js';

const MEASURE = 'configuration-delivery';
const DAEMONS_PER_DOMAIN = 8;
const CHANGES = 20;

/** Time between changes that is not a multiple of any interval of the daemons. */
const GAP_MS = 1370;
const POLL_MS = 50;
const WAIT_LIMIT_MS = 30_000;

/** Stated target. */
const IN_FORCE_LIMIT_MS = 12_000;

async function waitForVersion({process}: Daemon, version: number): Promise<void> {
	const end = performance.now() + WAIT_LIMIT_MS;
	for (;;) {
		const {body} = await sendJsonRequest('GET', `${process.url}/status`);
		if (((body as {readonly configurationVersion?: number}).configurationVersion ?? 0) >= version) {
			return;
		}

		if (performance.now() > end) {
			throw new Error(`${process.name} did not apply configuration ${version} within ${WAIT_LIMIT_MS} ms`);
		}

		await delay(POLL_MS);
	}
}

/** Changes the weight of one workspace, as operators do. Returns the time to each daemon in ms. */
async function change(deployment: Deployment, number: number): Promise<readonly number[]> {
	const [first, ...others] = sacaria.workspaces;
	const version = await deployment.applyConfiguration({...sacaria, workspaces: [{...first!, weight: number + 1}, ...others]});
	const acceptedAt = performance.now();
	return Promise.all(deployment.daemons.map(async daemon => {
		await waitForVersion(daemon, version);
		return performance.now() - acceptedAt;
	}));
}

async function run(deployment: Deployment, {log}: MeasureOptions): Promise<{readonly times: ReadonlyArray<readonly number[]>; readonly idle: Calls; readonly changing: Calls}> {
	const times: Array<readonly number[]> = [];
	const idle = await callsDuring(deployment, async () => delay(CHANGES * GAP_MS));
	const changing = await callsDuring(deployment, async () => {
		for (let number = 1; number <= CHANGES; number++) {
			times.push(await change(deployment, number));
			await delay(GAP_MS);
		}
	});
	log(`${CHANGES} changes at ${deployment.daemons.length} daemons`);
	return {times, idle, changing};
}

/** Calls of one change: those above the idle rate. */
const callsOfOne = (idle: Calls, changing: Calls, kind: 'reads' | 'writes' | 'watches' | 'lists'): number =>
	(changing[kind] - (idle[kind] * changing.elapsedMs / idle.elapsedMs)) / CHANGES;

/** Measure `configuration-delivery`. */
export const configurationDelivery: Measure = {
	name: MEASURE,
	title: 'Configuration in force at every daemon',
	async run(options) {
		const deployment = await Deployment.create({
			configuration: sacaria, backendsPerDomain: 0, daemonsPerDomain: DAEMONS_PER_DOMAIN, seed: options.seed,
		});
		try {
			const {times, idle, changing} = await run(deployment, options);
			const each = percentilesOf(times.flat());
			const last = percentilesOf(times.map(list => Math.max(...list)));
			const row = (metric: string, unit: string, value: number, note?: string): Row => ({
				measure: MEASURE, metric, unit, baseline: undefined, value, bound: {kind: 'none'}, note,
			});
			return [
				row('in force at a daemon p50', 'ms', each.p50, `n=${each.count}, polled every ${POLL_MS} ms`),
				{...row('in force at a daemon p99', 'ms', each.p99), bound: {kind: 'at_most', limit: IN_FORCE_LIMIT_MS}},
				row('in force at the last daemon p50', 'ms', last.p50, `${CHANGES} changes, ${deployment.daemons.length} daemons`),
				{...row('in force at the last daemon, slowest change', 'ms', last.max), bound: {kind: 'at_most', limit: IN_FORCE_LIMIT_MS}},
				...(['reads', 'watches', 'lists', 'writes'] as const).map(kind => {
					const idlePerSecond = (idle[kind] / idle.elapsedMs * 1000).toFixed(2);
					const note = `idle ${idlePerSecond} a second; the operator's own read and write are included`;
					return row(`object API ${kind} of one change`, 'calls', callsOfOne(idle, changing, kind), note);
				}),
			];
		} finally {
			await deployment.close();
		}
	},
};
