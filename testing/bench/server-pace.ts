/** Compares methods that limit the requests to servers that return, on the same played load. */
import {limitMethods} from '../baselines/limit-methods.js';
import {ServerPace, type AnswerJudge, type BeyondPace} from '../../src/scheduling/server-pace.js';
import {
	measureReturn, PLAY_UNIX_MS, playReturns, type Play, type PlayedDaemon, type PlayedMethod, type ReturnFigures,
} from '../load/server-returns.js';
import {
	measurePaceLoad, paceLoads, type PaceFigures, type PaceLoad,
} from '../load/pace-loads.js';
import type {Benchmark} from './benchmark.js';
import type {ResultRow} from './row.js';

const BENCHMARK_NAME = 'server-pace';
const FLEETS = [9, 77];
const LOAD_FLEETS = [10, 77];
const RETURNED_AT_MS = 3500;
const SPAN_MS = 10_000;
const WARM_UP_MS = 3000;
const SLOTS = 11;
const WORK_MS = 60;
const OTHERS = ['a', 'b', 'c', 'd'];
const RETURNED = ['x', 'y'];
/** The others have work for most of their slots. */
const REQUESTS_PER_SECOND = 0.75 * OTHERS.length * SLOTS * 1000 / WORK_MS;

function playPace({id, placements, daemons, heardShare}: PlayedDaemon, limitServers: (beyondPace: BeyondPace) => ReturnType<PlayedMethod['limitServers']>, judge?: AnswerJudge): PlayedMethod {
	const pace = ServerPace.create({
		placements, daemon: id, daemons: () => daemons, heardShare, unixTime: () => PLAY_UNIX_MS, onPhase: () => undefined,
	}, judge);
	return {
		opened(...args) {
			pace.opened(...args);
		},
		started(...args) {
			pace.started(...args);
		},
		closed(...args) {
			pace.closed(...args);
		},
		recordFailure(...args) {
			pace.recordFailure(...args);
		},
		limitServers: (offer, now) => limitServers(pace.findBeyondPace(offer, now)),
	};
}

export const createPace = (daemon: PlayedDaemon): PlayedMethod => playPace(daemon, beyondPace => ({beyondPace}));

/** The pace before it became a preference: servers beyond it get nothing, and each bad answer counts against its server. */
export const createStrictPace = (daemon: PlayedDaemon): PlayedMethod => playPace(daemon, beyondPace => ({blocked: new Set(beyondPace.keys())}), {record: () => false, retain: () => undefined});

const createPlay = (daemons: number, seed: number, coldSlots: number): Omit<Play, 'createMethod'> => ({
	seed,
	daemons,
	requestsPerSecond: REQUESTS_PER_SECOND,
	servers: [...OTHERS.map(id => ({id, from: -60_000})), ...RETURNED.map(id => ({id, from: RETURNED_AT_MS, warmAt: RETURNED_AT_MS + WARM_UP_MS}))],
	slots: SLOTS,
	workMs: WORK_MS,
	durationMs: RETURNED_AT_MS + SPAN_MS + 500,
	coldSlots,
});

const formatFigures = ({rejected, slow, answered, refused, carriesAfterMs}: ReturnFigures): string =>
	`rejected ${rejected}, slow ${slow}, answered ${answered}, refused by all ${refused}, 80 % of its share after ${carriesAfterMs ?? '-'} ms`;

const formatPaceFigures = ({
	inTime, refused, rejected, slow, failed, p95Ms,
}: PaceFigures): string =>
	`in time ${(100 * inTime).toFixed(1)} %, refused ${refused}; new servers: rejected ${rejected}, slow ${slow}, failed ${failed}, p95 ${p95Ms ?? '-'} ms`;

export const serverPace: Benchmark = {
	name: BENCHMARK_NAME,
	title: 'Requests in the first 10 s of two servers that return to four busy ones, by the method that limits them',
	async run({seed, log}) {
		const rows: ResultRow[] = [];
		for (const coldSlots of [SLOTS, 2]) {
			for (const daemons of FLEETS) {
				for (const [name, createMethod] of [...Object.entries(limitMethods), ['strict pace', createStrictPace] as const, ['pace', createPace] as const]) {
					log(`${daemons} daemons, ${name}`);
					const figures = measureReturn(playReturns({...createPlay(daemons, seed, coldSlots), createMethod}), {
						returned: RETURNED, others: OTHERS, returnedAt: RETURNED_AT_MS, spanMs: SPAN_MS,
					});
					rows.push({
						measure: BENCHMARK_NAME,
						metric: `${name}, ${daemons} daemons, bears ${coldSlots} at first: rejected or slow`,
						unit: 'requests',
						baseline: undefined,
						value: figures.rejected + figures.slow,
						bound: {kind: 'none'},
						note: formatFigures(figures),
					});
				}
			}
		}

		for (const load of Object.keys(paceLoads) as PaceLoad[]) {
			for (const daemons of LOAD_FLEETS) {
				for (const [name, createMethod] of [['no limit', limitMethods['no limit']!], ['strict pace', createStrictPace], ['pace', createPace]] as const) {
					log(`${load}, ${daemons} daemons, ${name}`);
					const figures = measurePaceLoad(load, {daemons, seed, createMethod});
					rows.push({
						measure: BENCHMARK_NAME,
						metric: `${load}, ${name}, ${daemons} daemons: without an answer`,
						unit: '%',
						baseline: undefined,
						value: 100 * figures.unanswered,
						bound: {kind: 'none'},
						note: formatPaceFigures(figures),
					});
				}
			}
		}

		return rows;
	},
};
