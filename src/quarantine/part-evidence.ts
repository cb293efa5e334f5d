/**
 * Decides which part of prompts crashes engines, from the crashes and the written answers of all daemons.
 *
 * An engine crashes when it begins to write on such a part, whatever else the prompt holds. Each request of the crashed engine that
 * had not written yet is a suspect with all its shared parts. A part that is written anywhere is cleared of all its earlier
 * crashes, which clears what sound requests share: first parts, sessions, documents. Ordinary crashes hit a part seldom and
 * never for long without an answer in between.
 *
 * Where several parts may explain the same crashes, one that was never written is likelier than one that was, and a later part
 * of the prompts, which fewer requests share, is likelier than an earlier one. A less likely part needs crashes that the likelier
 * ones do not explain. A doubtful decision waits until answers that are being written have had time to clear the part.
 *
 * Designed for up to some crashes a second, several crashing parts at once, and daemons that each see few of the requests.
 */

import {setNewest} from './part-times.js';

/** Events after which an answer is sound. Most answers have more, and shorter ones count when they are complete. */
export const SOUND_EVENTS = 8;

/** Crashes without an answer in between after which a part is found to crash engines. */
const MIN_CRASHES = 3;
/** The same for a part that has been written before, or where the crashes may be due to another part. */
const MIN_CRASHES_IF_DOUBTFUL = 5;
/** Time in ms after which answers that are being written have cleared the other parts of the crashed requests. */
const CLEARING_MS = 1500;
/** The same where a part that is shared by fewer requests may be the reason. */
const LONG_CLEARING_MS = 2500;
/** One request may meet several ordinary crashes, since it is retried. */
const MIN_REQUESTS = 2;
/** Crashes within this time in ms have a common cause, such as a failure domain without power, and count once. */
const COMMON_CAUSE_MS = 100;
/** Largest probability that a sound part has met its crashes by chance, and the same for parts that have been written before. */
const MAX_CHANCE = 1e-5;
const MAX_CHANCE_IF_KNOWN = 1e-8;
/** Time in ms for which crashes and written answers are remembered; crashing parts may come minutes apart. */
const MEMORY_MS = 600_000;
/** Length of the periods in ms over which begun answers are counted. */
const START_PERIOD_MS = 250;
/** Bounds on the memory of the evidence. */
const MAX_CRASHES = 200;
const MAX_RUNS_PER_CRASH = 64;

/** A request whose server closed the connection before the answer was sound. */
export type CrashReport = {
	/** Id of one start of the server. */
	readonly server: string;
	readonly request: string;
	/** Parts that the prompt may share with others, in order. */
	readonly parts: readonly string[];
};

type Run = {readonly parts: readonly string[]; readonly at: number};
type Crash = {readonly server: string; readonly at: number; readonly runs: Map<string, Run>};

/** The crashes of one part that no written answer has cleared. */
type Suspicion = {
	readonly part: string;
	/** The part has been written before its crashes. */
	readonly isKnown: boolean;
	/** Ids of the crashed requests with the part, by crash. */
	readonly crashes: Map<Crash, string[]>;
	/** Largest position of the part in a prompt. Parts further back are shared by fewer requests. */
	depth: number;
};

export class PartEvidence {
	static create(): PartEvidence {
		return new PartEvidence();
	}

	/** Crashes by server, oldest first. */
	readonly #crashes = new Map<string, Crash>();
	/** Latest time at which a part was written, oldest first. */
	readonly #soundTimes = new Map<string, number>();
	/** Latest crash of each part that is remembered. */
	readonly #crashTimes = new Map<string, number>();
	/** Number of begun answers by period, while there are crashes. */
	readonly #starts = new Map<number, number>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	recordCrash({server, request, parts}: CrashReport, now: number): void {
		this.#dropOld(now);
		let crash = this.#crashes.get(server);
		if (!crash) {
			crash = {server, at: now, runs: new Map()};
			this.#crashes.set(server, crash);
		}

		if (crash.runs.size < MAX_RUNS_PER_CRASH && !crash.runs.has(request)) {
			crash.runs.set(request, {parts, at: now});
			for (const part of parts) {
				setNewest(this.#crashTimes, part, now);
			}
		}
	}

	/** Records that an answer to a prompt with `part` was written at `at`. */
	recordSound(part: string, at: number): void {
		setNewest(this.#soundTimes, part, at);
	}

	/** Records that any server has begun an answer. */
	recordStart(now: number): void {
		if (this.#crashes.size > 0) {
			const period = Math.floor(now / START_PERIOD_MS);
			this.#starts.set(period, (this.#starts.get(period) ?? 0) + 1);
		}
	}

	/** Latest crash of each part with remembered crashes. */
	get crashTimes(): ReadonlyMap<string, number> {
		return this.#crashTimes;
	}

	/** Removes the crashes that `part` explains, except for parts that several requests also crashed other servers with. */
	removeCrashesWith(part: string, now: number): void {
		const suspicions = this.#suspicions(now);
		const explained = suspicions.find(suspicion => suspicion.part === part);
		const isLikelyToo = (other: Suspicion): boolean => explained !== undefined && other !== explained && !isLikelier(explained, other)
			&& hasEnoughCrashes(other.crashes) && countRequests(withoutCrashesOf(other.crashes, [explained])) >= MIN_REQUESTS;
		const alsoLikely = new Set(suspicions.filter(other => isLikelyToo(other)).map(other => other.part));
		for (const [server, {runs}] of this.#crashes) {
			if (![...runs.values()].some(({parts}) => parts.includes(part))) {
				continue;
			}

			for (const [request, {parts}] of runs) {
				if (parts.includes(part) || !parts.some(id => alsoLikely.has(id))) {
					runs.delete(request);
				}
			}

			if (runs.size === 0) {
				this.#crashes.delete(server);
			}
		}
	}

	/** Returns a part that crashes engines according to the evidence, or undefined. */
	findCrashingPart(now: number): string | undefined {
		this.#dropOld(now);
		const suspicions = this.#suspicions(now);
		return suspicions.find(suspicion => hasEnoughCrashes(suspicion.crashes) && this.#isProven(suspicion, suspicions, now))?.part;
	}

	#suspicions(now: number): readonly Suspicion[] {
		const suspicions = new Map<string, Suspicion>();
		for (const crash of this.#crashes.values()) {
			for (const [request, {parts, at}] of crash.runs) {
				for (const [depth, part] of parts.entries()) {
					if ((this.#soundTimes.get(part) ?? -Infinity) >= at) {
						continue;
					}

					const suspicion: Suspicion = suspicions.get(part) ?? {
						part, isKnown: now - (this.#soundTimes.get(part) ?? -Infinity) <= MEMORY_MS, crashes: new Map(), depth,
					};
					suspicions.set(part, suspicion);
					suspicion.crashes.set(crash, [...(suspicion.crashes.get(crash) ?? []), request]);
					suspicion.depth = Math.max(suspicion.depth, depth);
				}
			}
		}

		return [...suspicions.values()];
	}

	/** Whether the crashes that no likelier part explains are enough, not met by chance, and not doubtful any more. */
	#isProven(suspicion: Suspicion, suspicions: readonly Suspicion[], now: number): boolean {
		const {part, isKnown} = suspicion;
		// A part with a single crash explains nothing about several ones.
		const others = suspicions.filter(other => other !== suspicion && other.crashes.size > 1);
		const likelier = others.filter(other => isLikelier(other, suspicion));
		const crashes = withoutCrashesOf(suspicion.crashes, likelier.filter(other => countRequests(other.crashes) >= MIN_REQUESTS));
		if (!hasEnoughCrashes(crashes) || this.#chance(part, crashes) > (isKnown ? MAX_CHANCE_IF_KNOWN : MAX_CHANCE)) {
			return false;
		}

		const rivals = others.filter(other => isKnown || !other.isKnown);
		const isDoubtful = mayExplain(crashes, rivals);
		const equalRivals = rivals.filter(other => !isLikelier(other, suspicion) && !isLikelier(suspicion, other) && mayExplain(crashes, [other]));
		const hasLikelierRival = mayExplain(crashes, likelier);
		const minCrashes = isKnown || equalRivals.length > 0 || hasLikelierRival ? MIN_CRASHES_IF_DOUBTFUL : MIN_CRASHES;
		const clearingMs = hasLikelierRival ? LONG_CLEARING_MS : CLEARING_MS;
		const decidingCause = causes(crashes)[minCrashes - 1];
		return decidingCause !== undefined
			&& (!isDoubtful || now - decidingCause >= clearingMs)
			&& equalRivals.every(rival => crashes.size >= rival.crashes.size);
	}

	/**
	 * Probability that all runs of a sound part crashed by chance: the share of the other runs since its first crash that
	 * crashed, to the power of its own runs. Adds one crash and one answer to the others, so that few of them prove little.
	 */
	#chance(part: string, crashes: ReadonlyMap<Crash, readonly string[]>): number {
		const firstAt = Math.min(...[...crashes.keys()].map(({at}) => at));
		let starts = 0;
		for (const [period, count] of this.#starts) {
			starts += (period + 1) * START_PERIOD_MS > firstAt ? count : 0;
		}

		let others = 0;
		for (const crash of this.#crashes.values()) {
			// Runs on a server that the part may have crashed say nothing about the other servers.
			others += crash.at >= firstAt && !crashes.has(crash) ? [...crash.runs.values()].filter(({parts}) => !parts.includes(part)).length : 0;
		}

		const runs = [...crashes.values()].flat().length;
		return ((others + 1) / (others + starts + 2)) ** runs;
	}

	#dropOld(now: number): void {
		for (const [server, {at}] of this.#crashes) {
			if (now - at > MEMORY_MS || this.#crashes.size > MAX_CRASHES) {
				this.#crashes.delete(server);
			}
		}

		for (const [part, at] of this.#crashTimes) {
			if (now - at > MEMORY_MS) {
				this.#crashTimes.delete(part);
			}
		}

		if (this.#crashes.size === 0) {
			this.#starts.clear();
		}

		for (const period of this.#starts.keys()) {
			if (now - (period * START_PERIOD_MS) > MEMORY_MS) {
				this.#starts.delete(period);
			}
		}
	}
}

const countRequests = (crashes: ReadonlyMap<Crash, readonly string[]>): number => new Set([...crashes.values()].flat()).size;

const hasEnoughCrashes = (crashes: Suspicion['crashes']): boolean => crashes.size >= MIN_CRASHES && countRequests(crashes) >= MIN_REQUESTS;

/** Times of the crashes without those that have a common cause with an earlier one. */
function causes(crashes: ReadonlyMap<Crash, unknown>): readonly number[] {
	const times: number[] = [];
	for (const at of [...crashes.keys()].map(crash => crash.at).sort((a, b) => a - b)) {
		if (at - (times.at(-1) ?? -Infinity) >= COMMON_CAUSE_MS) {
			times.push(at);
		}
	}

	return times;
}

/** Whether `a` is the likelier reason of a crash that both may explain: it was never written, or is shared by fewer requests. */
const isLikelier = (a: Suspicion, b: Suspicion): boolean => a.isKnown === b.isKnown ? a.depth > b.depth : b.isKnown;

const withoutCrashesOf = (crashes: Suspicion['crashes'], others: readonly Suspicion[]): Suspicion['crashes'] =>
	new Map([...crashes].filter(([crash]) => !others.some(other => other.crashes.has(crash))));

/** Whether `others` may together explain half or more of the crashes. */
const mayExplain = (crashes: Suspicion['crashes'], others: readonly Suspicion[]): boolean => 2 * withoutCrashesOf(crashes, others).size <= crashes.size;
