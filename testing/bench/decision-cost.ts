/** Time of one placement and grant decision of a pool coordinator, in process, by the number of backend servers. */
import type {Configuration, ModelService} from '../../src/configuration/schema.js';
import type {Reserve} from '../../src/peer/protocol.js';
import {formatPool} from '../../src/membership/directory.js';
import {PoolAdmission} from '../../src/capacity/pool-admission.js';
import {WorkspaceLimits} from '../../src/capacity/workspace-limits.js';
import {configuration as sacaria} from '../../examples/sacaria.js';
import {createRandom} from '../load/arrivals.js';
import {percentilesOf, type Percentiles} from '../load/summary.js';
import type {Measure} from './measure.js';
import type {Row} from './row.js';

const MEASURE = 'decision-cost';
const SERVER_COUNTS = [16, 160, 1400];

/** Backend servers of one pool that the design plans for the two-year scale. */
const SERVERS_PER_POOL = 4;

/** Workspaces of the two-year scale, and about its pools in three failure domains. */
const WORKSPACES = 700;
const SYSTEM_POOLS = 117;

const DECISIONS = 4000;
const MIN_WARM_UP_DECISIONS = 1000;

/** Reservations that stay open, for each backend server. */
const OPEN_PER_SERVER = 4;
const REPORT_INTERVAL = 200;

/** Time after which the limits of a warm server are no longer reduced. */
const SLOW_START_MS = 60_000;
const MICROSECONDS_PER_MS = 1000;

const service = sacaria.services.find((candidate): candidate is ModelService => candidate.kind === 'model')!;

/** Limits of workspaces are not under measurement; a pool of each shard has a share of them. */
function configurationOf(poolShards: number): Configuration {
	const limits = {requestsPerSecond: 1e9, concurrentRequests: 1_000_000_000, promptTokensPerMinute: 1e12};
	return {
		...sacaria,
		services: [{...service, poolShards}],
		workspaces: sacaria.workspaces.filter(({services}) => services.includes(service.name)).map(workspace => ({...workspace, limits})),
	};
}

const FULL = {kind: 'full', unconfirmed: 0} as const;
const sender = {id: 'braga-1', incarnation: 'a', peerAddress: '127.0.0.1:1'};

/** One pool with warm servers; its time is that of the reservations, not of a clock. */
class Pool {
	readonly #admission: PoolAdmission;
	readonly #open: Reserve[] = [];

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

	/** Load reports as the coordinator gets them. */
	report(now: number): void {
		for (const server of this.#admission.servers.all()) {
			server.applyHealth({boot: 'b', warm: true}, now, now);
			server.applyLoad({
				boot: 'b', warm: true, ageMs: 0, runningRequests: server.totals.requests, pendingPrefillTokens: 0,
			}, now);
		}
	}

	/** Time of one decision in ms, from the message to the answer; the reservation is then acknowledged. */
	decide(sequence: number, random: () => number, now: number): number | undefined {
		const message = this.#message(sequence, random);
		const startedAt = performance.now();
		const refused = this.#admission.admit(message, FULL, now);
		const {answers} = this.#admission.dispatch(FULL, now);
		const elapsedMs = performance.now() - startedAt;
		const granted = refused ? undefined : answers.find(({id}) => id === message.id)?.answer;
		if (granted?.kind !== 'granted') {
			this.#admission.cancel(message, now);
			return undefined;
		}

		this.#admission.acknowledge({
			sender, pool: this.name, id: message.id, server: granted.servers[0]!.id, boot: 'b', warm: true, prefilled: true,
		}, now);
		this.#open.push(message);
		this.#releaseOldest(now);
		return elapsedMs;
	}

	#releaseOldest(now: number): void {
		const oldest = this.#open.length > this.servers * OPEN_PER_SERVER ? this.#open.shift() : undefined;
		if (oldest) {
			this.#admission.release({
				sender, pool: this.name, id: oldest.id, outcome: 'finished',
			}, now);
		}
	}

	#message(sequence: number, random: () => number): Reserve {
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

/** Decides for `servers` in pools of `poolSize`, in turn. */
function measure(servers: number, poolSize: number, seed: number): Percentiles & {readonly refused: number} {
	const random = createRandom(seed);
	const shards = Math.ceil(servers / poolSize);
	const configuration = configurationOf(shards);
	const pools = Array.from({length: shards}, (_, shard) => {
		const name = formatPool({failureDomain: 'braga', service: service.name, shard});
		return new Pool(name, poolSize, configuration);
	});
	const times: number[] = [];
	let refused = 0;
	// Each workspace has been used in each pool once before, since its share is computed at its first use.
	const warmUp = Math.max(MIN_WARM_UP_DECISIONS, shards * configuration.workspaces.length);
	for (let sequence = 0; sequence < warmUp + DECISIONS; sequence++) {
		const now = SLOW_START_MS + sequence;
		if (sequence % REPORT_INTERVAL === 0) {
			for (const pool of pools) {
				pool.report(now);
			}
		}

		const elapsedMs = pools[sequence % pools.length]!.decide(sequence, random, now);
		if (sequence < warmUp) {
			continue;
		}

		refused += elapsedMs === undefined ? 1 : 0;
		times.push(...elapsedMs === undefined ? [] : [elapsedMs * MICROSECONDS_PER_MS]);
	}

	return {...percentilesOf(times), refused};
}

/** Time in ms to follow a change of one workspace, in a pool that all workspaces use. */
function measureChange(poolShards: number): number {
	const [first] = configurationOf(poolShards).workspaces;
	const workspaces = Array.from({length: WORKSPACES}, (_, index) => ({...first!, name: `workspace-${index}`}));
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

/** Measure `decision-cost`. The baseline is one pool of all backend servers; the value is for pools of the planned size. */
export const decisionCost: Measure = {
	name: MEASURE,
	title: 'Time of one placement and grant decision in pools of four backend servers (baseline: one pool of all)',
	async run({seed, log}) {
		const decisions = SERVER_COUNTS.flatMap(servers => {
			log(`${servers} backend servers`);
			const whole = measure(servers, servers, seed);
			const split = measure(servers, SERVERS_PER_POOL, seed);
			return (['p50', 'p99'] as const).map((percentile): Row => ({
				measure: MEASURE,
				metric: `${servers} backend servers ${percentile}`,
				unit: 'µs',
				baseline: whole[percentile],
				value: split[percentile],
				bound: {kind: 'none'},
				note: `granted ${split.count}, not granted ${split.refused}; one pool: granted ${whole.count}, not granted ${whole.refused}`,
			}));
		});
		return [...decisions, {
			measure: MEASURE,
			metric: 'change of one workspace at a pool coordinator',
			unit: 'ms',
			baseline: undefined,
			value: measureChange(SYSTEM_POOLS),
			bound: {kind: 'none'},
			note: `${WORKSPACES} workspaces in use, ${SYSTEM_POOLS} pools in each of ${sacaria.failureDomains.length} failure domains`,
		}];
	},
};
