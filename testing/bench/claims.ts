/** Claims for each write of the object API, and the time of non-idempotent operations, as their rate grows. */
import {setTimeout as delay} from 'node:timers/promises';
import {configuration as sacaria, exampleKeys} from '../../examples/sacaria.js';
import type {Configuration} from '../../src/configuration/schema.js';
import {wallClockMs} from '../../src/util/clock.js';
import {Deployment} from '../deployment.js';
import {drawArrivals, shortMix, type Arrival} from '../load/arrivals.js';
import {percentilesOf, type Percentiles} from '../load/summary.js';
import {createBooking, PlainCaller} from '../scenario/plain-caller.js';
import type {Measure, MeasureOptions} from './measure.js';
import {callsDuring, type Calls} from './object-api-calls.js';
import type {Row} from './row.js';

const MEASURE = 'claims';
const RATES = [20, 80, 160, 320];
const DAEMONS_PER_DOMAIN = 2;
const SERVICES_PER_DOMAIN = 2;
const DURATION_MS = 6000;
const IDLE_MS = 6000;
const SERVICE = 'balcao';
const WORKSPACE = 'mills';

/** Writes a second of the object API for the whole system: the stated "several hundred". */
const WRITES_LIMIT = 300;

/** A claim is recorded before the operation is sent and settled after it. */
const RECORDS_OF_OPERATION = 2;

type Result = {readonly calls: Calls; readonly operations: number; readonly answered: number; readonly other: Readonly<Record<string, number>>; readonly times: Percentiles};

/** Neither limits of workspaces nor of backend servers are under measurement. */
function withoutLimits(configuration: Configuration): Configuration {
	const limits = {requestsPerSecond: 1e6, concurrentRequests: 1_000_000, promptTokensPerMinute: 1_000_000_000_000};
	return {
		...configuration,
		services: configuration.services.map(service => service.kind === 'plain' ? {...service, warm: {requests: 256}, cold: {requests: 256}} : service),
		workspaces: configuration.workspaces.map(workspace => ({...workspace, limits})),
	};
}

class Load {
	readonly #caller = PlainCaller.create();
	#number = 0;

	constructor(private readonly deployment: Deployment) {}

	/** Sends one call for each arrival to the daemons in turn: bookings, or lookups that need no claim. */
	async run(method: 'GET' | 'POST', arrivals: readonly Arrival[]): Promise<Omit<Result, 'calls'>> {
		const startedAt = performance.now();
		const times: number[] = [];
		const other: Record<string, number> = {};
		await Promise.all(arrivals.map(async arrival => {
			await delay(Math.max(0, arrival.atMs - (performance.now() - startedAt)));
			const sentAt = performance.now();
			const end = await this.#send(method, arrival.index);
			if (end === 'answered') {
				times.push(performance.now() - sentAt);
			} else {
				other[end] = (other[end] ?? 0) + 1;
			}
		}));
		return {
			operations: arrivals.length, answered: times.length, other, times: percentilesOf(times),
		};
	}

	async close(): Promise<void> {
		await this.#caller.close();
	}

	async #send(method: 'GET' | 'POST', index: number): Promise<string> {
		const {daemons} = this.deployment;
		const booking = method === 'POST' ? createBooking(WORKSPACE, SERVICE, this.#number++, wallClockMs()) : undefined;
		const end = await this.#caller.send({
			daemon: daemons[index % daemons.length]!, method, path: `/services/${SERVICE}/orders`, apiKey: exampleKeys[WORKSPACE], booking,
		}, AbortSignal.timeout(30_000));
		return end.kind === 'refused' ? `refused ${end.code}` : end.kind;
	}
}

async function measureRate(deployment: Deployment, load: Load, rate: number, {seed, log}: MeasureOptions): Promise<readonly [Result, Omit<Result, 'calls'>]> {
	const arrivals = drawArrivals({
		seed: seed + rate, durationMs: DURATION_MS, requestsPerSecond: rate, mix: shortMix, maxTokens: 1,
	});
	log(`${rate} operations a second`);
	const lookups = await load.run('GET', arrivals);
	let bookings!: Omit<Result, 'calls'>;
	const calls = await callsDuring(deployment, async () => {
		bookings = await load.run('POST', arrivals);
	});
	return [{...bookings, calls}, lookups];
}

function rowsOf(rate: number, idle: Calls, [bookings, lookups]: readonly [Result, Omit<Result, 'calls'>]): readonly Row[] {
	const {calls} = bookings;
	const writes = calls.writes - (idle.writes * calls.elapsedMs / idle.elapsedMs);
	const perSecond = writes / calls.elapsedMs * 1000;
	const common = {measure: MEASURE, baseline: undefined, bound: {kind: 'none'}} as const;
	return [
		{
			...common,
			metric: `${rate}/s claims and settlements for each write`,
			unit: 'records',
			value: bookings.answered * RECORDS_OF_OPERATION / writes,
			note: `${bookings.answered} of ${bookings.operations} answered ${JSON.stringify(bookings.other)}, ${calls.conflicts} conflicts`,
		},
		{
			...common, metric: `${rate}/s writes a second`, unit: '1/s', value: perSecond, bound: {kind: 'at_most', limit: WRITES_LIMIT},
		},
		...(['p50', 'p99'] as const).map((percentile): Row => ({
			...common,
			metric: `${rate}/s operation ${percentile}`,
			unit: 'ms',
			baseline: lookups.times[percentile],
			value: bookings.times[percentile],
			note: `lookups ${lookups.answered} of ${lookups.operations}`,
		})),
	];
}

/** Measure `claims`. The object API answers without delay, so the time that a claim adds is that of the relays. */
export const claims: Measure = {
	name: MEASURE,
	title: 'Claims of non-idempotent operations (baseline: lookups, which need no claim)',
	async run(options) {
		const deployment = await Deployment.create({
			configuration: withoutLimits(sacaria),
			backendsPerDomain: {[SERVICE]: SERVICES_PER_DOMAIN},
			daemonsPerDomain: DAEMONS_PER_DOMAIN,
			seed: options.seed,
			startsWarm: true,
		});
		const load = new Load(deployment);
		try {
			await delay(IDLE_MS);
			const idle = await callsDuring(deployment, async () => delay(IDLE_MS));
			const rows: Row[] = [];
			for (const rate of RATES) {
				rows.push(...rowsOf(rate, idle, await measureRate(deployment, load, rate, options)));
			}

			return rows;
		} finally {
			await load.close();
			await deployment.close();
		}
	},
};
