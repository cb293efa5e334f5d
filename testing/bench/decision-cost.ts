/** Time of one placement and grant decision of a pool coordinator, measured in process, by number of backend servers. */
import type {Configuration, ModelService} from '../../src/configuration/schema.js';
import type {Reserve} from '../../src/peer/protocol.js';
import {formatPool} from '../../src/membership/directory.js';
import {PoolAdmission} from '../../src/capacity/pool-admission.js';
import {WorkspaceLimits} from '../../src/capacity/workspace-limits.js';
import {configuration as sacaria} from '../../examples/sacaria.js';
import {createRandom} from '../load/arrivals.js';
import {percentilesOf, type Percentiles} from '../load/summary.js';
import type {Benchmark} from './benchmark.js';
import type {ResultRow} from './row.js';

const BENCHMARK_NAME = 'decision-cost';
const SERVER_COUNTS = [16, 160, 1400];

/** Backend servers per pool at the planned scale in two years. */
const SERVERS_PER_POOL = 4;

/** Workspaces and approximate number of pools in three failure domains at the planned scale in two years. */
const PLANNED_WORKSPACES = 700;
const PLANNED_POOLS = 117;

const MEASURED_DECISIONS = 4000;
const MIN_WARM_UP_DECISIONS = 1000;

/** Reservations per backend server that are kept open. */
const OPEN_RESERVATIONS_PER_SERVER = 4;
const DECISIONS_BETWEEN_REPORTS = 200;

/** Time after which slow start no longer reduces the limits of a warm server. */
const SLOW_START_MS = 60_000;
const MICROSECONDS_PER_MS = 1000;

const service = sacaria.services.find((candidate): candidate is ModelService => candidate.kind === 'model')!;

/** Sets workspace limits so high that they do not affect the measurement, although each pool shard gets only a share of them. */
function configurationOf(poolShards: number): Configuration {
	const limits = {requestsPerSecond: 1e9, concurrentRequests: 1_000_000_000, promptTokensPerMinute: 1e12};
	return {
		...sacaria,
		services: [{...service, poolShards}],
		workspaces: sacaria.workspaces.filter(({services}) => services.includes(service.name)).map(workspace => ({...workspace, limits})),
	};
}

const FULL_GRANTS = {kind: 'full', unconfirmed: 0} as const;
const sender = {id: 'braga-1', incarnation: 'a', peerAddress: '127.0.0.1:1'};

/** One pool with warm servers, driven by simulated time instead of a clock. */
class PoolDriver {
	readonly #admission: PoolAdmission;
	readonly #openReservations: Reserve[] = [];

	constructor(private readonly name: string, private readonly servers: number, private readonly configuration: Configuration) {
		this.#admission = PoolAdmission.create({
			pool: name, epoch: 1, service, configuration, clean: true, longPromptQuota: true, startedAtMs: 0,
		});
		this.#admission.servers.applyHosts(Array.from({length: servers}, (_, index) => ({
			id: `${name}-${index}`, address: `127.0.0.1:${index + 1}`, service: service.name, failureDomain: 'braga', state: 'live' as const,
		})));
		for (const server of this.#admission.servers.all()) {
			server.applyListing({
				boot: 'b', warm: true, streams: [], segments: [],
			}, 0, 0);
		}
	}

	/** Applies a health and load report for each server, as the coordinator receives them. */
	applyLoadReports(now: number): void {
		for (const server of this.#admission.servers.all()) {
			server.applyHealth({boot: 'b', warm: true}, now, now);
			server.applyLoad({
				boot: 'b', warm: true, ageMs: 0, runningRequests: server.totals.requests, pendingPrefillTokens: 0,
			}, now);
		}
	}

	/** Returns the time of one decision in ms, from message to answer, and then acknowledges the reservation; undefined when it is not granted. */
	timeDecision(sequence: number, random: () => number, now: number): number | undefined {
		const message = this.#createReservation(sequence, random);
		const startedAt = performance.now();
		const refused = this.#admission.admit(message, FULL_GRANTS, now);
		const {answers} = this.#admission.dispatch(FULL_GRANTS, now);
		const elapsedMs = performance.now() - startedAt;
		const answer = refused ? undefined : answers.find(({id}) => id === message.id)?.answer;
		if (answer?.kind !== 'granted') {
			this.#admission.cancel(message, now);
			return undefined;
		}

		this.#admission.acknowledge({
			sender, pool: this.name, id: message.id, server: answer.servers[0]!.id, boot: 'b', warm: true, prefilled: true,
		}, now);
		this.#openReservations.push(message);
		this.#releaseOldest(now);
		return elapsedMs;
	}

	#releaseOldest(now: number): void {
		const oldest = this.#openReservations.length > this.servers * OPEN_RESERVATIONS_PER_SERVER ? this.#openReservations.shift() : undefined;
		if (oldest) {
			this.#admission.release({
				sender, pool: this.name, id: oldest.id, outcome: 'finished',
			}, now);
		}
	}

	#createReservation(sequence: number, random: () => number): Reserve {
		const {workspaces} = this.configuration;
		const promptTokens = 1000 + Math.floor(random() * 6900);
		const workspace = workspaces[sequence % workspaces.length]!;
		return {
			id: `braga-1.a.${sequence}`,
			sender,
			pool: this.name,
			workspace: workspace.name,
			priority: 0,
			weight: workspace.weight,
			lengthClass: 'short',
			promptTokens,
			kvTokens: promptTokens + 64,
			prefixHashes: [`p${sequence % 50}`, `p${sequence}`],
			remainingMs: 30_000,
			exclude: [],
		};
	}
}

/** Measures decisions for `servers` backend servers in pools of `poolSize`, using the pools in round-robin order. */
function measureDecisions(servers: number, poolSize: number, seed: number): Percentiles & {readonly refused: number} {
	const random = createRandom(seed);
	const shards = Math.ceil(servers / poolSize);
	const configuration = configurationOf(shards);
	const pools = Array.from({length: shards}, (_, shard) => {
		const name = formatPool({failureDomain: 'braga', service: service.name, shard});
		return new PoolDriver(name, poolSize, configuration);
	});
	const times: number[] = [];
	let refused = 0;
	// A pool computes the share of a workspace at its first use, so the warm-up uses each workspace in each pool once.
	const warmUp = Math.max(MIN_WARM_UP_DECISIONS, shards * configuration.workspaces.length);
	for (let sequence = 0; sequence < warmUp + MEASURED_DECISIONS; sequence++) {
		const now = SLOW_START_MS + sequence;
		if (sequence % DECISIONS_BETWEEN_REPORTS === 0) {
			for (const pool of pools) {
				pool.applyLoadReports(now);
			}
		}

		const elapsedMs = pools[sequence % pools.length]!.timeDecision(sequence, random, now);
		if (sequence < warmUp) {
			continue;
		}

		refused += elapsedMs === undefined ? 1 : 0;
		times.push(...elapsedMs === undefined ? [] : [elapsedMs * MICROSECONDS_PER_MS]);
	}

	return {...percentilesOf(times), refused};
}

/** Time in ms to apply a change of one workspace in a pool that all workspaces use. */
function measureWorkspaceChange(poolShards: number): number {
	const [first] = configurationOf(poolShards).workspaces;
	const workspaces = Array.from({length: PLANNED_WORKSPACES}, (_, index) => ({...first!, name: `workspace-${index}`}));
	const before: Configuration = {...configurationOf(poolShards), workspaces};
	const pool = formatPool({failureDomain: 'braga', service: service.name, shard: 0});
	const limits = WorkspaceLimits.create({pool, configuration: before, startsFull: true});
	for (const {name} of workspaces) {
		limits.register(name, 0);
	}

	const [changed, ...others] = structuredClone(workspaces);
	const after: Configuration = {
		...before,
		services: structuredClone(before.services),
		workspaces: [{...changed!, limits: {...changed!.limits, concurrentRequests: 7}}, ...others],
	};
	const startedAt = performance.now();
	limits.setConfiguration(after, 1);
	return performance.now() - startedAt;
}

/** Benchmark `decision-cost`. The baseline is one pool of all backend servers; the value is for pools of the planned size. */
export const decisionCost: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Time of one placement and grant decision in pools of four backend servers (baseline: one pool of all)',
	async run({seed, log}) {
		const decisions = SERVER_COUNTS.flatMap(servers => {
			log(`${servers} backend servers`);
			const onePool = measureDecisions(servers, servers, seed);
			const sharded = measureDecisions(servers, SERVERS_PER_POOL, seed);
			return (['p50', 'p99'] as const).map((percentile): ResultRow => ({
				measure: BENCHMARK_NAME,
				metric: `${servers} backend servers ${percentile}`,
				unit: 'µs',
				baseline: onePool[percentile],
				value: sharded[percentile],
				bound: {kind: 'none'},
				note: `granted ${sharded.count}, not granted ${sharded.refused}; one pool: granted ${onePool.count}, not granted ${onePool.refused}`,
			}));
		});
		return [...decisions, {
			measure: BENCHMARK_NAME,
			metric: 'change of one workspace at a pool coordinator',
			unit: 'ms',
			baseline: undefined,
			value: measureWorkspaceChange(PLANNED_POOLS),
			bound: {kind: 'none'},
			note: `${PLANNED_WORKSPACES} workspaces in use, ${PLANNED_POOLS} pools in each of ${sacaria.failureDomains.length} failure domains`,
		}];
	},
};
