/**
 * The suspicions that follow from the remembered crashes at one moment.
 *
 * Its cost is bounded whatever is remembered: parts that met the same crashes are judged as one, and only those with most crashes are
 * judged at all.
 */
import type {Crash, CrashMemory, Run} from './crash-memory.js';
import {CrashSet} from './crash-set.js';
import {isRequest} from './crash-subject.js';

/** Crashes within this time in ms have a common cause, such as a failure domain without power, and count once. */
export const COMMON_CAUSE_MS = 100;
/** Crashes without an answer in between after which a subject is found to crash servers. */
export const MIN_CRASHES = 3;
/** One request may meet several ordinary crashes, since it is retried. */
export const MIN_REQUESTS = 2;
/** Bounds on what is judged. Of more, those with most crashes are. */
const MAX_GROUPS = 128;
const MAX_REQUESTS = 32;

/** Uncleared crashes of one subject. */
export type Suspicion = {
	readonly subject: string;
	/** The subject has been written before its crashes. */
	readonly isKnown: boolean;
	/** Position among all suspicions. */
	readonly order: number;
	/** Crashes of the runs that count, and the identities of their requests, in the same order. */
	readonly runCrashes: readonly number[];
	readonly runIdentities: readonly number[];
	/** Crash of each run with the subject, also of those that were cleared or don't count. */
	readonly allRuns: readonly number[];
	/** Number of different identities. */
	readonly requests: number;
	/** Largest position of a part in a prompt. Parts further back are shared by fewer requests. */
	readonly depth: number;
};

/** Parts that met the same crashes. */
export type Group = {
	readonly crashes: CrashSet;
	readonly isKnown: boolean;
	/** Whether at least `MIN_REQUESTS` requests crashed with each of the parts. */
	readonly hasSeveralRequests: boolean;
	/** Depth of the deepest parts, which are the likeliest reasons. */
	readonly depth: number;
	readonly members: readonly Suspicion[];
	readonly deepest: readonly Suspicion[];
};

export type SuspectedRequest = {
	readonly suspicion: Suspicion;
	readonly crashes: CrashSet;
	/** It has crashed so often that it may explain crashes of others. */
	readonly isAccused: boolean;
};

/** A suspicion while it is built. */
type OpenSuspicion = {
	readonly subject: string;
	readonly isKnown: boolean;
	readonly soundAt: number;
	readonly isPart: boolean;
	/** A request that crashed once proves nothing. */
	readonly isIgnored: boolean;
	order: number;
	readonly runCrashes: number[];
	readonly runIdentities: number[];
	readonly allRuns: number[];
	requests: number;
	depth: number;
	/** Number of different crashes in `runCrashes`. */
	crashes: number;
};

export class CrashAnalysis {
	static create(memory: CrashMemory, now: number): CrashAnalysis {
		return new CrashAnalysis(memory, now);
	}

	/** Crashes by number, oldest first. */
	readonly crashes: readonly Crash[];
	/** All subjects with crashes. Those whose crashes were cleared have no runs. */
	readonly suspicions: ReadonlyMap<string, Suspicion>;
	/** Parts with more than one crash, the likeliest reasons first. */
	readonly groups: readonly Group[];
	/** Most crashes first. */
	readonly requests: readonly SuspectedRequest[];
	/** Parts with this many crashes or fewer may have been left out, and are not judged. */
	readonly maxCrashesLeftOut: number;
	readonly version: number;

	private constructor(memory: CrashMemory, readonly createdAt: number) {
		this.version = memory.version;
		this.crashes = memory.crashes;
		const open = this.#collect(memory);
		this.suspicions = open;
		const several = [...open.values()].filter(({crashes}) => crashes > 1);
		const groups = this.#group(several.filter(({isPart}) => isPart)).sort((a, b) => b.crashes.size - a.crashes.size);
		this.maxCrashesLeftOut = groups[MAX_GROUPS]?.crashes.size ?? 0;
		this.groups = groups.slice(0, MAX_GROUPS).sort((a, b) => compareLikelihood(a, b));
		this.requests = several.filter(({isPart, crashes}) => !isPart && crashes >= MIN_CRASHES).sort((a, b) => b.crashes - a.crashes || a.order - b.order)
			.slice(0, MAX_REQUESTS).map(suspicion => {
				const crashes = this.crashesOf(suspicion);
				return {suspicion, crashes, isAccused: this.causes(crashes).length >= MIN_CRASHES};
			});
	}

	crashesOf({runCrashes}: Pick<Suspicion, 'runCrashes'>): CrashSet {
		return this.setOf(runCrashes);
	}

	setOf(numbers: Iterable<number>): CrashSet {
		return CrashSet.of(numbers, this.crashes.length);
	}

	/** Times of the crashes without those that have a common cause with an earlier one. */
	causes(crashes: CrashSet): readonly number[] {
		const times: number[] = [];
		for (const number of crashes.numbers) {
			const {at} = this.crashes[number]!;
			if (at - (times.at(-1) ?? -Infinity) >= COMMON_CAUSE_MS) {
				times.push(at);
			}
		}

		return times;
	}

	#collect(memory: CrashMemory): ReadonlyMap<string, OpenSuspicion> {
		const open = new Map<string, OpenSuspicion>();
		const identities = new Map<string, number>();
		let order = 0;
		for (const [crash, {runs}] of this.crashes.entries()) {
			for (const run of runs.values()) {
				const identity = numberOf(identityOf(run, memory, this.createdAt), identities);
				for (const [depth, subject] of run.subjects.entries()) {
					const suspicion = open.get(subject) ?? this.#open(subject, memory);
					if (suspicion.allRuns.length === 0) {
						open.set(subject, suspicion);
					}

					suspicion.allRuns.push(crash);
					if (suspicion.soundAt >= run.at || suspicion.isIgnored) {
						continue;
					}

					if (suspicion.order === -1) {
						suspicion.order = order++;
					}

					suspicion.depth = Math.max(suspicion.depth, depth);
					addRun(suspicion, crash, identity);
				}
			}
		}

		return open;
	}

	#open(subject: string, memory: CrashMemory): OpenSuspicion {
		const isPart = !isRequest(subject);
		return {
			subject,
			isKnown: memory.isKnown(subject, this.createdAt),
			soundAt: memory.soundAt(subject),
			isPart,
			isIgnored: !isPart && !memory.isRepeated(subject),
			order: -1,
			runCrashes: [],
			runIdentities: [],
			allRuns: [],
			requests: 0,
			depth: 0,
			crashes: 0,
		};
	}

	#group(parts: readonly OpenSuspicion[]): Group[] {
		const groups = new Map<string, {readonly crashes: CrashSet; readonly members: Suspicion[]}>();
		for (const part of parts) {
			const crashes = this.crashesOf(part);
			const key = `${part.isKnown} ${part.requests >= MIN_REQUESTS} ${crashes.key}`;
			const group = groups.get(key) ?? {crashes, members: []};
			groups.set(key, group);
			group.members.push(part);
		}

		return [...groups.values()].map(({crashes, members}) => {
			const [first] = members;
			const depth = Math.max(...members.map(member => member.depth));
			return {
				crashes, isKnown: first!.isKnown, hasSeveralRequests: first!.requests >= MIN_REQUESTS, depth, members, deepest: members.filter(member => member.depth === depth),
			};
		});
	}
}

/** Tells requests apart. Repeats of a request that is written at other times may differ in their prompts. */
const identityOf = ({request, whole}: Run, memory: CrashMemory, now: number): string =>
	whole === undefined || memory.isKnown(whole, now) ? request : whole;

function numberOf(key: string, numbers: Map<string, number>): number {
	const known = numbers.get(key);
	if (known !== undefined) {
		return known;
	}

	const {size} = numbers;
	numbers.set(key, size);
	return size;
}

/** Adds a run. For a part, two runs of one request count: those of one attempt of its client. */
function addRun(suspicion: OpenSuspicion, crash: number, identity: number): void {
	const {isPart, runCrashes, runIdentities} = suspicion;
	const first = runIdentities.indexOf(identity);
	if (isPart && first !== -1 && runIdentities.includes(identity, first + 1)) {
		return;
	}

	suspicion.requests += first === -1 ? 1 : 0;
	suspicion.crashes += runCrashes.at(-1) === crash ? 0 : 1;
	runCrashes.push(crash);
	runIdentities.push(identity);
}

/** Negative if `a` is the likelier reason of a crash that both may explain: it was never written, or is shared by fewer requests. */
export const compareLikelihood = (a: Pick<Group, 'isKnown' | 'depth'>, b: Pick<Group, 'isKnown' | 'depth'>): number =>
	a.isKnown === b.isKnown ? b.depth - a.depth : Number(a.isKnown) - Number(b.isKnown);
