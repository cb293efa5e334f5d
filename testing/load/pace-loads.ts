/** Loads on which rules for the pace of servers are compared, and their figures. Six servers, of which four or all serve at first. */
import {
	playReturns, type Play, type PlayedReturns, type PlayedServer,
} from './server-returns.js';

const SLOTS = 6;
const WORK_MS = 150;
/** Time in ms within which an answer is in time: what a request that waited for another one takes at most. */
const IN_TIME_MS = 375;
const SERVER_ANSWERS_PER_SECOND = SLOTS * 1000 / WORK_MS;
const WARM_UP_MS = 3000;
export const RETURNED_AT_MS = 3000;
const FIRST_MS = 10_000;

const sound = (count: number): readonly PlayedServer[] => Array.from({length: count}, (_, index) => ({id: `a${index}`, from: -60_000}));

/** Servers of a failure domain that return within a second and bear two requests at first. */
const returned = ['x0', 'x1'].map((id, index): PlayedServer => ({
	id, from: RETURNED_AT_MS + (400 * index), warmAt: RETURNED_AT_MS + (400 * index) + WARM_UP_MS,
}));

const createLoad = (servers: readonly PlayedServer[], share: number, changes: Partial<Play> = {}): Omit<Play, 'createMethod' | 'daemons' | 'seed'> => ({
	servers, requestsPerSecond: share * 6 * SERVER_ANSWERS_PER_SECOND, slots: SLOTS, workMs: WORK_MS, durationMs: 7000, coldSlots: 2, ...changes,
});

export const paceLoads = {
	'a domain returns': createLoad([...sound(4), ...returned], 0.6),
	'all servers start': createLoad(sound(6).map(server => ({...server, from: 0, warmAt: WARM_UP_MS})), 0.5, {durationMs: 5000}),
	'all servers fail for 1 s': createLoad(sound(6).map(server => ({...server, fault: now => now >= 2000 && now < 3000 ? 'fails' as const : undefined})), 0.6, {durationMs: 5000}),
	overload: createLoad(sound(6), 1.1, {durationMs: 4000}),
	'all daemons start anew': createLoad(sound(6), 0.75, {durationMs: 4000, restartAllAt: 2000}),
	'a server that lies': createLoad([...sound(5), {id: 'x0', from: RETURNED_AT_MS, fault: () => 'fails'}], 0.6, {durationMs: 6000}),
} as const;

export type PaceLoad = keyof typeof paceLoads;

export type PaceFigures = {
	/** Shares of the callers whose requests got no answer, and an answer in time. */
	readonly unanswered: number;
	readonly inTime: number;
	/** Number of requests that found no server. */
	readonly refused: number;
	/** At servers that returned or started, in their first 10 s: rejected, slow and failed requests, and the time in ms of 95 % of their answers. */
	readonly rejected: number;
	readonly slow: number;
	readonly failed: number;
	readonly p95Ms: number | undefined;
};

export function measurePaceLoad(load: PaceLoad, run: Pick<Play, 'createMethod' | 'daemons' | 'seed'>): PaceFigures {
	const play = {...paceLoads[load], ...run};
	return measure(playReturns(play), new Map(play.servers.map(({id, from}) => [id, from])));
}

function measure({sent, refusedAt, calls}: PlayedReturns, startedAt: ReadonlyMap<string, number>): PaceFigures {
	const first = sent.filter(({server, at}) => startedAt.get(server)! >= 0 && at < startedAt.get(server)! + FIRST_MS);
	const countOf = (kind: string): number => first.filter(({end}) => end === kind).length;
	const times = first.filter(({end}) => end === 'answered' || end === 'slow').map(({at, endedAt}) => endedAt - at).sort((a, b) => a - b);
	const shareOf = (isCounted: (answeredAfterMs: number | undefined) => boolean): number => calls.filter(({answeredAfterMs}) => isCounted(answeredAfterMs)).length / calls.length;
	return {
		unanswered: shareOf(ms => ms === undefined),
		inTime: shareOf(ms => ms !== undefined && ms <= IN_TIME_MS),
		refused: refusedAt.length,
		rejected: countOf('rejected'),
		slow: countOf('slow'),
		failed: countOf('failed'),
		p95Ms: times[Math.floor(0.95 * times.length)],
	};
}
