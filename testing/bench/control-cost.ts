/**
 * CPU time, network traffic and memory that a daemon uses for control as a deployment grows. CPU time is that of the
 * whole process. Traffic covers connections to peers, the object API and the host list in both directions, but not the
 * polling of backend servers. Memory is the anonymous memory in excess of that of a daemon at the smallest size of the
 * same run.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {exampleKeys} from '../../examples/sacaria.js';
import type {Traffic} from '../../src/util/traffic-meter.js';
import {Deployment, sendJsonRequest, type Daemon} from '../deployment.js';
import {runLoad} from '../load/load-run.js';
import {BackendStubs} from './backend-stubs.js';
import {
	baseSize, configurationOf, DAEMON_REGION, dimensions, hostsOf, requestedModel, sizeAt, initialConfigurationOf, type Dimension, type DeploymentSize,
} from './control-cost-sizes.js';
import type {Benchmark, BenchmarkOptions} from './benchmark.js';
import {readProcessUsage} from './process-usage.js';
import type {ResultRow} from './row.js';
import {drawEqualArrivals} from './single-daemon.js';

const BENCHMARK_NAME = 'control-cost';
/** Right after their start, daemons spend more time on JIT compilation and garbage collection. */
const INITIAL_SETTLE_MS = 6000;
const SETTLE_MS = 3000;

/** Multiples of the 3 s interval at which daemons refresh the state of their region. */
const IDLE_PERIOD_MS = 6000;
const LOADED_PERIOD_MS = 3000;
const REQUESTS_PER_SECOND_PER_DAEMON = 1;
const PROMPT_TOKENS = 1000;

/** Limits for one daemon, stated in the requirements. */
const MAX_CPU_PERCENT = 1;
const MAX_ADDED_MEMORY_MB = 32;
const MAX_TRAFFIC_KB_PER_SECOND = 22;

/** Means over all daemons. */
type DaemonCost = {readonly cpuPercent: number; readonly kilobytesPerSecond: number; readonly megabytes: number};

type Measurement = {readonly x: number; readonly idle: DaemonCost; readonly loaded: DaemonCost};

type UsageSample = {readonly cpuMs: number; readonly bytes: number; readonly anonymousBytes: number};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

async function sampleUsage({process}: Daemon): Promise<UsageSample> {
	const usage = await readProcessUsage(process.pid!);
	const {body} = await sendJsonRequest('GET', `${process.url}/status`);
	const {receivedBytes, sentBytes} = (body as {readonly controlTraffic: Traffic}).controlTraffic;
	return {...usage, bytes: receivedBytes + sentBytes};
}

async function measureCostDuring(daemons: readonly Daemon[], run: () => Promise<unknown>): Promise<DaemonCost> {
	const startedAt = performance.now();
	const before = await Promise.all(daemons.map(async daemon => sampleUsage(daemon)));
	await run();
	const after = await Promise.all(daemons.map(async daemon => sampleUsage(daemon)));
	const elapsedMs = performance.now() - startedAt;
	return {
		cpuPercent: mean(after.map(({cpuMs}, index) => cpuMs - before[index]!.cpuMs)) / elapsedMs * 100,
		kilobytesPerSecond: mean(after.map(({bytes}, index) => bytes - before[index]!.bytes)) / elapsedMs,
		megabytes: mean(after.map(({anonymousBytes}) => anonymousBytes)) / 1024 / 1024,
	};
}

async function sendLowRateLoad(deployment: Deployment, seed: number): Promise<void> {
	const targets = deployment.daemons.map(({process}) => process.url);
	const arrivals = drawEqualArrivals({
		seed, durationMs: LOADED_PERIOD_MS, requestsPerSecond: targets.length * REQUESTS_PER_SECOND_PER_DAEMON, promptTokens: PROMPT_TOKENS, maxTokens: 1,
	});
	await runLoad(arrivals, {
		targets, apiKeys: [exampleKeys.mills], model: requestedModel, label: `control ${seed}`,
	});
}

async function scaleTo(deployment: Deployment, size: DeploymentSize, stubs: BackendStubs): Promise<void> {
	await deployment.applyConfiguration(configurationOf(size));
	await deployment.replaceHosts(hostsOf(size, stubs));
	const domains = configurationOf(size).failureDomains.filter(({region}) => region === DAEMON_REGION);
	while (deployment.daemons.length < size.daemons) {
		await Promise.all(domains.map(async domain => deployment.addDaemon(domain)));
	}

	await delay(SETTLE_MS);
}

async function measureDimension(dimension: Dimension, stubs: BackendStubs, {seed, log}: BenchmarkOptions): Promise<readonly Measurement[]> {
	const {sizes, toCostFactor, name} = dimension;
	const first = sizeAt(dimension, sizes[0]!);
	const deployment = await Deployment.create({
		configuration: initialConfigurationOf(first),
		backendsPerDomain: 0,
		daemonsPerDomain: first.daemons / 3,
		seed,
	});
	try {
		await delay(INITIAL_SETTLE_MS);
		const points: Measurement[] = [];
		for (const size of sizes) {
			await scaleTo(deployment, sizeAt(dimension, size), stubs);
			const idle = await measureCostDuring(deployment.daemons, async () => delay(IDLE_PERIOD_MS));
			const loaded = await measureCostDuring(deployment.daemons, async () => sendLowRateLoad(deployment, seed + size));
			log(`${name} ${size}: idle ${formatCost(idle)}; with requests ${formatCost(loaded)}`);
			points.push({x: toCostFactor(size), idle, loaded});
		}

		return points;
	} finally {
		await deployment.close();
	}
}

const formatCost = ({cpuPercent, kilobytesPerSecond, megabytes}: DaemonCost): string =>
	`${cpuPercent.toFixed(2)}% ${kilobytesPerSecond.toFixed(2)} kB/s ${megabytes.toFixed(1)} MB`;

/** Least-squares slope of the idle cost. */
function leastSquaresSlope(points: readonly Measurement[], select: (cost: DaemonCost) => number): number {
	const meanX = mean(points.map(({x}) => x));
	const meanY = mean(points.map(({idle}) => select(idle)));
	const covariance = mean(points.map(({x, idle}) => (x - meanX) * (select(idle) - meanY)));
	return covariance / mean(points.map(({x}) => (x - meanX) ** 2));
}

type CostMetric = {readonly metric: string; readonly unit: string; readonly select: (cost: DaemonCost) => number; readonly limit: number; readonly isIncrement: boolean};

const costMetrics: readonly CostMetric[] = [
	{
		metric: 'CPU', unit: '% of a core', select: cost => cost.cpuPercent, limit: MAX_CPU_PERCENT, isIncrement: false,
	},
	{
		metric: 'traffic', unit: 'kB/s', select: cost => cost.kilobytesPerSecond, limit: MAX_TRAFFIC_KB_PER_SECOND, isIncrement: false,
	},
	{
		metric: 'memory', unit: 'MB', select: cost => cost.megabytes, limit: MAX_ADDED_MEMORY_MB, isIncrement: true,
	},
];

/** Cost factor of {@link baseSize} in a dimension. */
const baseValueOf = ({key, toCostFactor}: Dimension): number => toCostFactor(baseSize[key]);

function rowsOfDimension(dimension: Dimension, points: readonly Measurement[], {metric, unit, select}: CostMetric): readonly ResultRow[] {
	const slope = leastSquaresSlope(points, select);
	const measured = points.map(({x, idle, loaded}) => `${x}: ${select(idle).toFixed(2)} (with requests ${select(loaded).toFixed(2)})`).join(', ');
	return [{
		measure: BENCHMARK_NAME,
		metric: `${metric} slope by ${dimension.name}`,
		unit: `${unit} for 1000 ${dimension.unit}`,
		baseline: undefined,
		value: slope * 1000,
		bound: {kind: 'none'},
		note: measured,
	}];
}

function extrapolatedRow(measured: ReadonlyArray<readonly [Dimension, readonly Measurement[]]>, {metric, unit, select, limit, isIncrement}: CostMetric): ResultRow {
	const baseCost = isIncrement ? 0 : mean(measured.map(([dimension, points]) => select(points.find(({x}) => x === baseValueOf(dimension))!.idle)));
	const increase = measured.reduce((sum, [dimension, points]) => sum + (leastSquaresSlope(points, select) * (dimension.target - baseValueOf(dimension))), 0);
	return {
		measure: BENCHMARK_NAME,
		metric: `${metric} of one idle daemon at the two-year scale${isIncrement ? ', added' : ''}`,
		unit,
		baseline: undefined,
		value: baseCost + increase,
		bound: {kind: 'at_most', limit},
		note: `extrapolated: ${baseCost.toFixed(2)} at the base size and slopes × ${measured.map(([{name, target}]) => `${target} ${name}`).join(', ')}`,
	};
}

/** Benchmark `control-cost`. */
export const controlCost: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Control overhead of one daemon as a deployment grows',
	async run(options) {
		const stubs = await BackendStubs.create();
		try {
			const measured: Array<readonly [Dimension, readonly Measurement[]]> = [];
			for (const dimension of dimensions) {
				measured.push([dimension, await measureDimension(dimension, stubs, options)]);
			}

			return costMetrics.flatMap(costMetric => [
				...measured.flatMap(([dimension, points]) => rowsOfDimension(dimension, points, costMetric)),
				extrapolatedRow(measured, costMetric),
			]);
		} finally {
			await stubs.close();
		}
	},
};
