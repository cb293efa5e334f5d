/**
 * CPU, bytes and memory that a daemon spends on control as a deployment grows. CPU is the whole process. Bytes are
 * those of connections to peers, object API and host list, both directions; polls of backend servers are not among
 * them. Memory is anonymous memory above that of a daemon at the smallest size of the same run.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {exampleKeys} from '../../examples/sacaria.js';
import type {Traffic} from '../../src/util/traffic-meter.js';
import {Deployment, sendJsonRequest, type Daemon} from '../deployment.js';
import {runLoad} from '../load/load-run.js';
import {BackendCrowd} from './backend-crowd.js';
import {
	base, configurationOf, DAEMON_REGION, dimensions, hostsOf, requestedModel, startConfigurationOf, type Dimension, type Size,
} from './control-plan.js';
import type {Measure, MeasureOptions} from './measure.js';
import {readUsage} from './process-usage.js';
import type {Row} from './row.js';
import {drawEqual} from './single-daemon.js';

const MEASURE = 'control-cost';
const SETTLE_MS = 4000;
const IDLE_MS = 6000;
const LOADED_MS = 2000;
const REQUESTS_PER_SECOND_OF_DAEMON = 1;
const PROMPT_TOKENS = 1000;

/** Stated targets for one daemon. */
const CPU_LIMIT_PERCENT = 1;
const MEMORY_LIMIT_MB = 32;
const TRAFFIC_LIMIT_KB = 22;

/** Means over the daemons. */
type Cost = {readonly cpuPercent: number; readonly kilobytesPerSecond: number; readonly megabytes: number};

type Point = {readonly x: number; readonly idle: Cost; readonly loaded: Cost};

type Sample = {readonly cpuMs: number; readonly bytes: number; readonly anonymousBytes: number};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

async function sample({process}: Daemon): Promise<Sample> {
	const usage = await readUsage(process.pid!);
	const {body} = await sendJsonRequest('GET', `${process.url}/status`);
	const {receivedBytes, sentBytes} = (body as {readonly controlTraffic: Traffic}).controlTraffic;
	return {...usage, bytes: receivedBytes + sentBytes};
}

async function costDuring(daemons: readonly Daemon[], run: () => Promise<unknown>): Promise<Cost> {
	const startedAt = performance.now();
	const before = await Promise.all(daemons.map(async daemon => sample(daemon)));
	await run();
	const after = await Promise.all(daemons.map(async daemon => sample(daemon)));
	const elapsedMs = performance.now() - startedAt;
	return {
		cpuPercent: mean(after.map(({cpuMs}, index) => cpuMs - before[index]!.cpuMs)) / elapsedMs * 100,
		kilobytesPerSecond: mean(after.map(({bytes}, index) => bytes - before[index]!.bytes)) / elapsedMs,
		megabytes: mean(after.map(({anonymousBytes}) => anonymousBytes)) / 1024 / 1024,
	};
}

async function lowRate(deployment: Deployment, seed: number): Promise<void> {
	const targets = deployment.daemons.map(({process}) => process.url);
	const arrivals = drawEqual({
		seed, durationMs: LOADED_MS, requestsPerSecond: targets.length * REQUESTS_PER_SECOND_OF_DAEMON, promptTokens: PROMPT_TOKENS, maxTokens: 1,
	});
	await runLoad(arrivals, {
		targets, apiKeys: [exampleKeys.mills], model: requestedModel, label: `control ${seed}`,
	});
}

async function growTo(deployment: Deployment, size: Size, crowd: BackendCrowd): Promise<void> {
	await deployment.applyConfiguration(configurationOf(size));
	await deployment.listHosts(hostsOf(size, crowd));
	const domains = configurationOf(size).failureDomains.filter(({region}) => region === DAEMON_REGION);
	while (deployment.daemons.length < size.daemons) {
		await Promise.all(domains.map(async domain => deployment.addDaemon(domain)));
	}

	await delay(SETTLE_MS);
}

async function measureDimension({key, sizes, perSize, name}: Dimension, crowd: BackendCrowd, {seed, log}: MeasureOptions): Promise<readonly Point[]> {
	const first: Size = {...base, [key]: sizes[0]};
	const deployment = await Deployment.create({
		configuration: startConfigurationOf(first),
		backendsPerDomain: 0,
		daemonsPerDomain: first.daemons / 3,
		seed,
	});
	try {
		const points: Point[] = [];
		for (const size of sizes) {
			await growTo(deployment, {...base, [key]: size}, crowd);
			const idle = await costDuring(deployment.daemons, async () => delay(IDLE_MS));
			const loaded = await costDuring(deployment.daemons, async () => lowRate(deployment, seed + size));
			log(`${name} ${size}: idle ${format(idle)}; with requests ${format(loaded)}`);
			points.push({x: perSize(size), idle, loaded});
		}

		return points;
	} finally {
		await deployment.close();
	}
}

const format = ({cpuPercent, kilobytesPerSecond, megabytes}: Cost): string =>
	`${cpuPercent.toFixed(2)}% ${kilobytesPerSecond.toFixed(2)} kB/s ${megabytes.toFixed(1)} MB`;

/** Least-squares slope. */
function slopeOf(points: readonly Point[], pick: (cost: Cost) => number): number {
	const meanX = mean(points.map(({x}) => x));
	const meanY = mean(points.map(({idle}) => pick(idle)));
	const covariance = mean(points.map(({x, idle}) => (x - meanX) * (pick(idle) - meanY)));
	return covariance / mean(points.map(({x}) => (x - meanX) ** 2));
}

type Quantity = {readonly metric: string; readonly unit: string; readonly pick: (cost: Cost) => number; readonly limit: number; readonly addedOnly: boolean};

const quantities: readonly Quantity[] = [
	{
		metric: 'CPU', unit: '% of a core', pick: cost => cost.cpuPercent, limit: CPU_LIMIT_PERCENT, addedOnly: false,
	},
	{
		metric: 'traffic', unit: 'kB/s', pick: cost => cost.kilobytesPerSecond, limit: TRAFFIC_LIMIT_KB, addedOnly: false,
	},
	{
		metric: 'memory', unit: 'MB', pick: cost => cost.megabytes, limit: MEMORY_LIMIT_MB, addedOnly: true,
	},
];

/** X of {@link base} in a dimension. */
const baseX = ({key, perSize}: Dimension): number => perSize(base[key]);

function rowsOfDimension(dimension: Dimension, points: readonly Point[], {metric, unit, pick}: Quantity): readonly Row[] {
	const slope = slopeOf(points, pick);
	const measured = points.map(({x, idle, loaded}) => `${x}: ${pick(idle).toFixed(2)} (with requests ${pick(loaded).toFixed(2)})`).join(', ');
	return [{
		measure: MEASURE,
		metric: `${metric} slope by ${dimension.name}`,
		unit: `${unit} for 1000 ${dimension.unit}`,
		baseline: undefined,
		value: slope * 1000,
		bound: {kind: 'none'},
		note: measured,
	}];
}

function totalRow(measured: ReadonlyArray<readonly [Dimension, readonly Point[]]>, {metric, unit, pick, limit, addedOnly}: Quantity): Row {
	const start = addedOnly ? 0 : mean(measured.map(([dimension, points]) => pick(points.find(({x}) => x === baseX(dimension))!.idle)));
	const grown = measured.reduce((sum, [dimension, points]) => sum + (slopeOf(points, pick) * (dimension.target - baseX(dimension))), 0);
	return {
		measure: MEASURE,
		metric: `${metric} of one idle daemon at the two-year scale${addedOnly ? ', added' : ''}`,
		unit,
		baseline: undefined,
		value: start + grown,
		bound: {kind: 'at_most', limit},
		note: `extrapolated: ${start.toFixed(2)} at the base size and slopes × ${measured.map(([{name, target}]) => `${target} ${name}`).join(', ')}`,
	};
}

/** Measure `control-cost`. */
export const controlCost: Measure = {
	name: MEASURE,
	title: 'Cost of control for one daemon as a deployment grows',
	async run(options) {
		const crowd = await BackendCrowd.create();
		try {
			const measured: Array<readonly [Dimension, readonly Point[]]> = [];
			for (const dimension of dimensions) {
				measured.push([dimension, await measureDimension(dimension, crowd, options)]);
			}

			return quantities.flatMap(quantity => [
				...measured.flatMap(([dimension, points]) => rowsOfDimension(dimension, points, quantity)),
				totalRow(measured, quantity),
			]);
		} finally {
			await crowd.close();
		}
	},
};
