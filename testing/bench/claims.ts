/** Claims per object API write, and the latency of non-idempotent operations, at increasing request rates. */
import {setTimeout as delay} from 'node:timers/promises';
import {configuration as sacaria, exampleKeys} from '../../examples/sacaria.js';
import type {Configuration} from '../../src/configuration/schema.js';
import {wallClockMs} from '../../src/util/clock.js';
import {Deployment} from '../deployment.js';
import {drawArrivals, shortMix, type Arrival} from '../load/arrivals.js';
import {percentilesOf, type Percentiles} from '../load/summary.js';
import {createBooking, PlainClient} from '../scenario/plain-client.js';
import type {Benchmark, BenchmarkOptions} from './benchmark.js';
import {countCallsDuring, type ObjectApiCalls} from './object-api-calls.js';
import type {ResultRow} from './row.js';

const BENCHMARK_NAME = 'claims';
const OPERATIONS_PER_SECOND = [20, 80, 160, 320];
const DAEMONS_PER_DOMAIN = 2;
const SERVICES_PER_DOMAIN = 2;
const DURATION_MS = 6000;
const IDLE_MS = 6000;
const SERVICE = 'balcao';
const WORKSPACE = 'mills';

/** Object API writes per second available to the whole system; the requirement states "several hundred". */
const MAX_WRITES_PER_SECOND = 300;

/** One record claims the operation before it is sent, and one settles it afterwards. */
const RECORDS_PER_OPERATION = 2;

type LoadResult = {readonly calls: ObjectApiCalls; readonly operations: number; readonly answered: number; readonly failures: Readonly<Record<string, number>>; readonly latencies: Percentiles};

/** Raises the limits of workspaces and backend servers so far that they do not affect the measurement. */
function withoutLimits(configuration: Configuration): Configuration {
	const limits = {requestsPerSecond: 1e6, concurrentRequests: 1_000_000, promptTokensPerMinute: 1_000_000_000_000};
	return {
		...configuration,
		services: configuration.services.map(service => service.kind === 'plain' ? {...service, warm: {requests: 256}, cold: {requests: 256}} : service),
		workspaces: configuration.workspaces.map(workspace => ({...workspace, limits})),
	};
}

class LoadGenerator {
	readonly #caller = PlainClient.create();
	#nextBooking = 0;

	constructor(private readonly deployment: Deployment) {}

	/** Sends one request per arrival to the daemons in round-robin order: `POST` creates a booking, `GET` is a lookup, which needs no claim. */
	async run(method: 'GET' | 'POST', arrivals: readonly Arrival[]): Promise<Omit<LoadResult, 'calls'>> {
		const startedAt = performance.now();
		const latencies: number[] = [];
		const failures: Record<string, number> = {};
		await Promise.all(arrivals.map(async arrival => {
			await delay(Math.max(0, arrival.atMs - (performance.now() - startedAt)));
			const sentAt = performance.now();
			const end = await this.#send(method, arrival.index);
			if (end === 'answered') {
				latencies.push(performance.now() - sentAt);
			} else {
				failures[end] = (failures[end] ?? 0) + 1;
			}
		}));
		return {
			operations: arrivals.length, answered: latencies.length, failures, latencies: percentilesOf(latencies),
		};
	}

	async close(): Promise<void> {
		await this.#caller.close();
	}

	async #send(method: 'GET' | 'POST', index: number): Promise<string> {
		const {daemons} = this.deployment;
		const booking = method === 'POST' ? createBooking(WORKSPACE, SERVICE, this.#nextBooking++, wallClockMs()) : undefined;
		const end = await this.#caller.send({
			daemon: daemons[index % daemons.length]!, method, path: `/services/${SERVICE}/orders`, apiKey: exampleKeys[WORKSPACE], booking,
		}, AbortSignal.timeout(30_000));
		return end.kind === 'refused' ? `refused ${end.code}` : end.kind;
	}
}

async function measureRate(deployment: Deployment, generator: LoadGenerator, rate: number, {seed, log}: BenchmarkOptions): Promise<readonly [LoadResult, Omit<LoadResult, 'calls'>]> {
	const arrivals = drawArrivals({
		seed: seed + rate, durationMs: DURATION_MS, requestsPerSecond: rate, mix: shortMix, maxTokens: 1,
	});
	log(`${rate} operations per second`);
	const lookups = await generator.run('GET', arrivals);
	let bookings!: Omit<LoadResult, 'calls'>;
	const calls = await countCallsDuring(deployment, async () => {
		bookings = await generator.run('POST', arrivals);
	});
	return [{...bookings, calls}, lookups];
}

function rowsOf(rate: number, idle: ObjectApiCalls, [bookings, lookups]: readonly [LoadResult, Omit<LoadResult, 'calls'>]): readonly ResultRow[] {
	const {calls} = bookings;
	const writes = calls.writes - (idle.writes * calls.elapsedMs / idle.elapsedMs);
	const perSecond = writes / calls.elapsedMs * 1000;
	const common = {measure: BENCHMARK_NAME, baseline: undefined, bound: {kind: 'none'}} as const;
	return [
		{
			...common,
			metric: `${rate}/s claims and settlements for each write`,
			unit: 'records',
			value: bookings.answered * RECORDS_PER_OPERATION / writes,
			note: `${bookings.answered} of ${bookings.operations} answered ${JSON.stringify(bookings.failures)}, ${calls.conflicts} conflicts`,
		},
		{
			...common, metric: `${rate}/s writes a second`, unit: '1/s', value: perSecond, bound: {kind: 'at_most', limit: MAX_WRITES_PER_SECOND},
		},
		...(['p50', 'p99'] as const).map((percentile): ResultRow => ({
			...common,
			metric: `${rate}/s operation ${percentile}`,
			unit: 'ms',
			baseline: lookups.latencies[percentile],
			value: bookings.latencies[percentile],
			note: `lookups ${lookups.answered} of ${lookups.operations}`,
		})),
	];
}

/** Benchmark `claims`. The object API answers without delay, so the latency that a claim adds is that of the relays. */
export const claims: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Claims for non-idempotent operations (baseline: lookups, which need no claim)',
	async run(options) {
		const deployment = await Deployment.create({
			configuration: withoutLimits(sacaria),
			backendsPerDomain: {[SERVICE]: SERVICES_PER_DOMAIN},
			daemonsPerDomain: DAEMONS_PER_DOMAIN,
			seed: options.seed,
			startsWarm: true,
		});
		const load = new LoadGenerator(deployment);
		try {
			await delay(IDLE_MS);
			const idle = await countCallsDuring(deployment, async () => delay(IDLE_MS));
			const rows: ResultRow[] = [];
			for (const rate of OPERATIONS_PER_SECOND) {
				rows.push(...rowsOf(rate, idle, await measureRate(deployment, load, rate, options)));
			}

			return rows;
		} finally {
			await load.close();
			await deployment.close();
		}
	},
};
