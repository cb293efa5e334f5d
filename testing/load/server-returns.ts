/**
 * Plays the return of servers to a busy service: daemons that hear of each other's placements late choose servers, with one of several
 * methods that limit the requests of all daemons to a server. In process, without a network; times are played, in ms.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {BackendServer} from '../../src/fleet/backend-server.js';
import {MAX_MESH_SIZE} from '../../src/fleet/fleet-topology.js';
import {PlacementTable, type PlacementListener} from '../../src/fleet/placement-table.js';
import {chooseLeastLoaded} from '../../src/placement/least-loaded.js';
import type {BeyondPace, Offer} from '../../src/scheduling/server-pace.js';

const MESSAGE_DELAY_MS = [5, 45] as const;
const MAX_SENDS = 3;
/** Requests that wait on a server whose slots are taken, as a share of its slots. Further ones are rejected. */
const QUEUE_SHARE = 0.5;
/** A request is slow beyond this multiple of its work. */
const SLOW_FACTOR = 2.5;
const CARRY_WINDOW_MS = 500;
const CARRY_SHARE = 0.8;
/** Unix time in ms at the start of a play. */
export const PLAY_UNIX_MS = 1_764_800_000_000;

/** How one daemon limits servers. */
export type PlayedMethod = PlacementListener & {
	/** Servers that may not get the request, and servers that should not. */
	limitServers(offer: Offer, now: number): {readonly blocked?: ReadonlySet<string>; readonly beyondPace?: BeyondPace};
	recordFailure(server: string, failure: {readonly placement: string; readonly isRejected: boolean}, now: number): void;
};

export type PlayedDaemon = {
	readonly id: string;
	readonly placements: PlacementTable;
	/** Number of daemons, and share of them that this one hears. */
	readonly daemons: number;
	heardShare(now: number): number;
};

export type PlayedServer = {
	readonly id: string;
	/** Time at which it is registered, at which it bears as many requests as it has slots, and at which it ends. */
	readonly from: number;
	readonly warmAt?: number;
	readonly until?: number;
	/** What becomes of its requests. */
	readonly fault?: (now: number) => 'fails' | 'silent' | undefined;
};

export type Play = {
	readonly seed: number;
	readonly daemons: number;
	readonly requestsPerSecond: number;
	readonly servers: readonly PlayedServer[];
	readonly slots: number;
	readonly workMs: number;
	readonly durationMs: number;
	/**
	 * Requests that a server bears at once when it is registered; they grow evenly to its slots until it is warm. Beyond them the time of each
	 * request grows with their number.
	 */
	readonly coldSlots?: number;
	/** Daemons that hear no other daemon and are not heard. */
	readonly cutDaemons?: number;
	/** A daemon starts anew at this time. */
	readonly restartAllAt?: number;
	createMethod(daemon: PlayedDaemon): PlayedMethod;
};

export type SentRequest = {readonly server: string; readonly at: number; readonly end: 'answered' | 'slow' | 'rejected' | 'failed' | 'open'; readonly endedAt: number};

type Daemon = PlayedDaemon & {readonly method: PlayedMethod; readonly isCut: boolean};
/** A request of a caller. `answeredAfterMs` is undefined if it was refused or failed. */
export type PlayedCall = {readonly arrivedAt: number; readonly answeredAfterMs: number | undefined};

type CalledRequest = {readonly id: string; readonly arrivedAt: number; readonly sends: number; readonly tried: readonly string[]};
type Host = PlayedServer & {running: number; readonly waiting: Array<(now: number) => void>};

export type PlayedReturns = {
	readonly sent: readonly SentRequest[];
	/** Times at which requests found no server. */
	readonly refusedAt: readonly number[];
	/** Requests that have ended. */
	readonly calls: readonly PlayedCall[];
};

export function playReturns(play: Play): PlayedReturns {
	const random = xoroshiro128plus(play.seed);
	const chance = () => uniformFloat64(random);
	const due = new Map<number, Array<(now: number) => void>>();
	const at = (time: number, step: (now: number) => void) => {
		const ms = Math.ceil(time);
		const steps = due.get(ms);
		if (steps) {
			steps.push(step);
		} else {
			due.set(ms, [step]);
		}
	};

	const sent: SentRequest[] = [];
	const refusedAt: number[] = [];
	const calls: PlayedCall[] = [];
	const hosts = new Map<string, Host>(play.servers.map(server => [server.id, {...server, running: 0, waiting: []}]));
	let daemons = Array.from({length: play.daemons}, (_, index) => createDaemon(play, index));
	// Messages between two daemons arrive in their order.
	const delays = new Map(daemons.map(({id}) => [id, daemons.map(() => MESSAGE_DELAY_MS[0] + (chance() * (MESSAGE_DELAY_MS[1] - MESSAGE_DELAY_MS[0])))]));
	// The daemon may have started anew when the message arrives.
	const hear = (index: number, time: number, apply: (daemon: Daemon, now: number) => void) => {
		at(time, now => {
			apply(daemons[index]!, now);
		});
	};

	const tell = (from: Daemon, now: number, apply: (daemon: Daemon, now: number) => void) => {
		apply(from, now);
		for (const index of daemons.keys()) {
			if (daemons[index] !== from && !from.isCut && !daemons[index]!.isCut) {
				hear(index, now + delays.get(from.id)![index]!, apply);
			}
		}
	};

	const usable = (now: number): readonly BackendServer[] => play.servers
		.filter(({from, until = Infinity}) => now >= from && now < until)
		.map(({id, from}) => ({
			id, instanceId: id, service: 'desk', address: '', failureDomain: 'braga', slots: play.slots, isDraining: false, coldUntil: -Infinity, startedAt: PLAY_UNIX_MS + from,
		}));

	const send = (daemon: Daemon, request: CalledRequest, now: number): void => {
		const servers = usable(now);
		const {blocked, beyondPace} = daemon.method.limitServers({request: request.id, service: 'desk', servers}, now);
		const server = chooseLeastLoaded(servers.filter(({id}) => !blocked?.has(id) && !request.tried.includes(id)).map(candidate => ({
			server: candidate,
			requests: daemon.placements.entriesOn(candidate.id).length,
			isSuspect: false,
			spread: play.daemons > MAX_MESH_SIZE ? chance() : undefined,
			loadBeyondPace: beyondPace?.get(candidate.id),
		})), 'braga');
		if (!server) {
			refusedAt.push(now);
			calls.push({arrivedAt: request.arrivedAt, answeredAfterMs: undefined});
			return;
		}

		const placement = {
			id: `${request.id}#${request.sends}`, server: server.id, helpers: [], prefillMs: 0, contextTokens: 0, reserved: [], gapTargetMs: 0, weight: 1, targetMs: 10 * play.workMs,
		};
		tell(daemon, now, (other, time) => {
			other.placements.open(daemon.id, placement, time);
		});
		const end = (kind: SentRequest['end'], time: number) => {
			sent.push({
				server: server.id, at: now, end: kind, endedAt: time,
			});
			const isAnswered = kind === 'answered' || kind === 'slow';
			tell(daemon, time, (other, heardAt) => {
				other.placements.close(daemon.id, placement.id, {isAnswered, now: heardAt});
			});
			if (isAnswered || request.sends + 1 === MAX_SENDS) {
				calls.push({arrivedAt: request.arrivedAt, answeredAfterMs: isAnswered ? time - request.arrivedAt : undefined});
			}

			if (!isAnswered) {
				daemon.method.recordFailure(server.id, {placement: placement.id, isRejected: kind === 'rejected'}, time);
				if (request.sends + 1 < MAX_SENDS) {
					send(daemon, {...request, sends: request.sends + 1, tried: [...request.tried, server.id]}, time);
				}
			}
		};

		at(now + 1, time => {
			serve(hosts.get(server.id)!, now, end, time);
		});
	};

	const serve = (host: Host, sentAt: number, end: (kind: SentRequest['end'], now: number) => void, now: number): void => {
		const fault = host.fault?.(now);
		if (fault === 'silent') {
			at(now + 3000, time => {
				end('failed', time);
			});
			return;
		}

		if (fault === 'fails' || now >= (host.until ?? Infinity)) {
			end('failed', now);
			return;
		}

		if (host.running >= play.slots) {
			if (host.waiting.length >= play.slots * QUEUE_SHARE) {
				end('rejected', now);
			} else {
				host.waiting.push(time => {
					serve(host, sentAt, end, time);
				});
			}

			return;
		}

		host.running++;
		const workMs = play.workMs * (0.7 + (0.6 * chance())) * Math.max(1, host.running / bearableRequests(play, host, now));
		at(now + workMs, time => {
			host.running--;
			host.waiting.shift()?.(time);
			end(time - sentAt > SLOW_FACTOR * play.workMs ? 'slow' : 'answered', time);
		});
	};

	let requests = 0;
	const sendNew = (now: number) => {
		send(daemons[Math.floor(chance() * play.daemons)]!, {
			id: `r${requests++}`, arrivedAt: now, sends: 0, tried: [],
		}, now);
	};

	for (let now = 0; now < play.durationMs; now++) {
		if (now === play.restartAllAt) {
			daemons = daemons.map((_, index) => createDaemon(play, index));
		}

		// Steps may add further ones for the same ms.
		for (let steps = due.get(now); steps !== undefined; steps = due.get(now)) {
			due.delete(now);
			for (const step of steps) {
				step(now);
			}
		}

		for (let expected = play.requestsPerSecond / 1000; chance() < expected; expected--) {
			sendNew(now);
		}
	}

	return {sent, refusedAt, calls};
}

function bearableRequests({slots, coldSlots = slots}: Play, {from, warmAt = from}: PlayedServer, now: number): number {
	return now >= warmAt ? slots : coldSlots + ((slots - coldSlots) * (now - from) / (warmAt - from));
}

function createDaemon(play: Play, index: number): Daemon {
	const isCut = index < (play.cutDaemons ?? 0);
	const placements = PlacementTable.create();
	const heard = isCut ? 1 : play.daemons - (play.cutDaemons ?? 0);
	const daemon = {
		id: `d${index}`, placements, daemons: play.daemons, heardShare: () => heard / play.daemons,
	};
	const method = play.createMethod(daemon);
	placements.listen(method);
	return {...daemon, method, isCut};
}

export type ReturnFigures = {
	/** Requests that the returned servers rejected, and that they answered late, by the time they were sent after the return. */
	readonly rejected: number;
	readonly slow: number;
	readonly answered: number;
	/** Requests of the service that found no server. */
	readonly refused: number;
	/** Time in ms from the return until the servers answer 80 % as many requests as the others, for each server; undefined if not. */
	readonly carriesAfterMs: number | undefined;
};

/** Figures of the servers in `returned` in the `spanMs` after their return. */
export function measureReturn({sent, refusedAt}: Pick<PlayedReturns, 'sent' | 'refusedAt'>, {returned, others, returnedAt, spanMs}: {
	readonly returned: readonly string[]; readonly others: readonly string[]; readonly returnedAt: number; readonly spanMs: number;
}): ReturnFigures {
	const isWithin = (time: number): boolean => time >= returnedAt && time < returnedAt + spanMs;
	const own = sent.filter(({server, at}) => returned.includes(server) && isWithin(at));
	const countOf = (kind: SentRequest['end']): number => own.filter(({end}) => end === kind).length;
	const answeredBy = (servers: readonly string[], from: number): number =>
		sent.filter(({server, end, endedAt}) => servers.includes(server) && (end === 'answered' || end === 'slow') && endedAt >= from && endedAt < from + CARRY_WINDOW_MS).length / servers.length;
	let carriesAfterMs: number | undefined;
	for (let from = returnedAt; carriesAfterMs === undefined && from < returnedAt + spanMs; from += 100) {
		if (answeredBy(returned, from) >= CARRY_SHARE * answeredBy(others, from)) {
			carriesAfterMs = from + CARRY_WINDOW_MS - returnedAt;
		}
	}

	return {
		rejected: countOf('rejected'), slow: countOf('slow'), answered: countOf('answered'), refused: refusedAt.filter(time => isWithin(time)).length, carriesAfterMs,
	};
}
