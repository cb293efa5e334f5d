/**
 * Fair shares of the scarce room of a service between the workspaces that use it, from the placements of all daemons.
 *
 * Designed for a workspace that sends many times its usual rate to a fleet whose daemons get about one request a second each: a daemon sees
 * too few requests of its own to tell which workspace takes the room, and hears of all placements within 5 to 45 ms.
 */
import {DecayingCount} from '../util/decaying-count.js';

/** Half-life in ms of work: the shares of a burst are known within a second, and a dozen requests a second are enough to tell them apart. */
const HALF_LIFE_MS = 1000;
/**
 * Work that a workspace might want, as a multiple of what it has had lately. Work that waits at other daemons is not known; what a workspace
 * leaves of its share beyond this is lent to others.
 */
const DEMAND_FACTOR = 2;
/** A workspace below this multiple of an equal share is never over its share: the work of a few requests a second differs by chance. */
const EQUAL_SHARE_MARGIN = 1.25;
/** A workspace whose work is a smaller part of that of its service than this no longer counts. */
const MIN_WORK_PART = 0.001;
/** Time in ms for which a judgement is used again: a tenth of the half-life, in which shares hardly change. */
const JUDGEMENT_MS = 100;
/**
 * Share of the slots of a service's engines that is kept free of workspaces over their share: the requests that a busy fleet places while
 * its daemons hear of each other, and a few more.
 */
const RESERVED_SLOTS_SHARE = 1 / 16;
/** Longest time in ms between two judgements while there are placements, so that workspaces without work are forgotten. */
const MAX_JUDGEMENT_AGE_MS = 10_000;

/** Work that one workspace has had on a service by a placement. */
export type PlacedWork = {
	readonly service: string;
	/** 32-bit hash of its name. */
	readonly workspace: number;
	/** Prompt and output tokens, as weighted by the placement. */
	readonly tokens: number;
};

export type ShareState = {
	/** Number of workspaces that have had work lately. */
	readonly workspaces: number;
	readonly over: ReadonlySet<number>;
	/** Work in tokens above which a workspace is over its share. */
	readonly level: number;
};

/** An engine that a request may be placed on. */
export type EngineRoom = {readonly slots: number; readonly requests: number};

type ServiceWork = {
	readonly work: Map<number, DecayingCount>;
	state: ShareState;
	judgedAt: number;
	readonly firstAt: number;
};

const noWork: ShareState = {workspaces: 0, over: new Set(), level: Infinity};

/**
 * Whether the room on `engines` is so scarce that a request of a workspace over its share leaves it to others. Its workspace still
 * gets what is free beyond that, and any place once it is below its share.
 */
export function isRoomReserved(engines: readonly EngineRoom[]): boolean {
	let slots = 0;
	let free = 0;
	for (const engine of engines) {
		slots += engine.slots;
		free += Math.max(0, engine.slots - engine.requests);
	}

	return free <= RESERVED_SLOTS_SHARE * slots;
}

/**
 * Judges workspaces by max-min fairness with equal weights: each gets what it may want or the level, whichever is less, and the levels add up
 * to the work that the service has done. `work` is in tokens.
 */
export function judgeShares(work: ReadonlyMap<number, number>): ShareState {
	if (work.size === 0) {
		return noWork;
	}

	// Numbers of a typed array are sorted without a comparing function, which takes several times as long.
	const ascending = Float64Array.from(work.values()).sort();
	const total = ascending.reduce((sum, tokens) => sum + tokens, 0);
	let level = total;
	let left = total;
	for (const [index, tokens] of ascending.entries()) {
		level = left / (ascending.length - index);
		if (DEMAND_FACTOR * tokens >= level) {
			break;
		}

		left -= DEMAND_FACTOR * tokens;
	}

	const limit = Math.max(level, EQUAL_SHARE_MARGIN * total / work.size);
	const over = new Set<number>();
	for (const [workspace, tokens] of work) {
		if (tokens > limit) {
			over.add(workspace);
		}
	}

	return {workspaces: work.size, level: limit, over};
}

export class WorkspaceShares {
	static create(): WorkspaceShares {
		return new WorkspaceShares();
	}

	readonly #services = new Map<string, ServiceWork>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Records a placement of any daemon that was opened at `at`, which may be earlier than those recorded before. */
	record({service, workspace, tokens}: PlacedWork, at: number): void {
		let known = this.#services.get(service);
		if (!known) {
			known = {
				work: new Map(), state: noWork, judgedAt: -Infinity, firstAt: at,
			};
			this.#services.set(service, known);
		}

		const work = known.work.get(workspace) ?? DecayingCount.create(HALF_LIFE_MS);
		known.work.set(workspace, work);
		work.add(at, tokens);
		if (at - Math.max(known.judgedAt, known.firstAt) >= MAX_JUDGEMENT_AGE_MS) {
			this.state(service, at);
		}
	}

	/** Takes back a placement of the time `at` whose request a server has refused. */
	takeBack({service, workspace, tokens}: PlacedWork, at: number): void {
		this.#services.get(service)?.work.get(workspace)?.add(at, -tokens);
	}

	/** Whether a workspace has had more than its share of the service lately. */
	isOver(service: string, workspace: number, now: number): boolean {
		return this.state(service, now).over.has(workspace);
	}

	/** The shares of a service, at most some ms old. */
	state(service: string, now: number): ShareState {
		const known = this.#services.get(service);
		if (!known) {
			return noWork;
		}

		if (now - known.judgedAt >= JUDGEMENT_MS) {
			known.state = judgeShares(recentWork(known.work, now));
			known.judgedAt = now;
		}

		return known.state;
	}

	/** Forgets services that are not in `known`. */
	retain(known: ReadonlySet<string>): void {
		for (const service of this.#services.keys()) {
			if (!known.has(service)) {
				this.#services.delete(service);
			}
		}
	}
}

/** The work of each workspace by now. Those that have had hardly any are forgotten. */
function recentWork(work: Map<number, DecayingCount>, now: number): ReadonlyMap<number, number> {
	const recent = new Map<number, number>();
	let total = 0;
	for (const [workspace, count] of work) {
		const tokens = count.count(now);
		recent.set(workspace, tokens);
		total += Math.max(0, tokens);
	}

	const least = MIN_WORK_PART * total;
	for (const [workspace, tokens] of recent) {
		if (tokens <= least) {
			recent.delete(workspace);
			work.delete(workspace);
		}
	}

	return recent;
}
