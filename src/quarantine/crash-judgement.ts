/**
 * Judges the suspicions of one analysis.
 *
 * Where several parts may explain the same crashes, one that was never written is likelier than one that was, and a later part
 * of the prompts, which fewer requests share, is likelier than an earlier one. A less likely part needs crashes that the likelier
 * ones do not explain. A doubtful decision waits until answers that are being written have had time to clear the part. A request
 * is found to crash servers by crashes that no other subject with more of them explains; it is held back while answers that are
 * being written may still clear it. A part needs crashes of several requests, of which none is the likelier reason by itself.
 */
import {
	COMMON_CAUSE_MS, compareLikelihood, MIN_CRASHES, MIN_REQUESTS, type CrashAnalysis, type Group, type SuspectedRequest, type Suspicion,
} from './crash-analysis.js';
import {CALM_MS, type CrashMemory} from './crash-memory.js';
import type {CrashSet} from './crash-set.js';
import {isRequest} from './crash-subject.js';

/** The same as `MIN_CRASHES` for a part that has been written before, or where the crashes may be due to another subject. */
const MIN_CRASHES_IF_DOUBTFUL = 5;
/** Crashes after which a request is no longer sent to another server within the same attempt of its client. */
const MIN_CRASHES_OF_SUSPECT = 2;
/** Time in ms after which answers that are being written have cleared the other subjects of the crashed requests. */
const CLEARING_MS = 1500;
/** Time in ms for which one of several requests with the same crashes is sent alone, which clears it or shows that it is the reason. */
const SEPARATION_MS = 4000;
/** The clearing time where a part that is shared by fewer requests may be the reason. */
const LONG_CLEARING_MS = 2500;
/** The same as `MIN_REQUESTS` where requests that crash servers by themselves may explain the crashes. */
const MIN_REQUESTS_IF_DOUBTFUL = 3;
/** The same for the first part of a prompt, which such requests are likely to share. */
const MIN_REQUESTS_IF_FIRST = 4;
/** Largest probability that a sound part has met its crashes by chance, and the same for parts that have been written before. */
const MAX_CHANCE = 1e-5;
const MAX_CHANCE_IF_KNOWN = 1e-8;
/** The same for a request: a wrong decision only concerns its repeats. */
const MAX_CHANCE_OF_REQUEST = 1e-3;

/** What the evidence says about a request. `held`: crashes servers unless an answer that is being written clears it within `remainingMs`. */
export type RequestFinding =
	| {readonly kind: 'none'}
	| {readonly kind: 'suspect'}
	| {readonly kind: 'held'; readonly remainingMs: number}
	| {readonly kind: 'crashing'};

export class CrashJudgement {
	/** `analysis` may be older than `memory`, of which only the begun answers are read. */
	static create(analysis: CrashAnalysis, memory: CrashMemory): CrashJudgement {
		return new CrashJudgement(analysis, memory);
	}

	#startCounter: ((since: number) => number) | undefined;

	private constructor(private readonly analysis: CrashAnalysis, private readonly memory: CrashMemory) {}

	/** Returns a request that crashes servers and is not among `found`, or undefined. */
	findRequest(found: ReadonlySet<string>, now: number): string | undefined {
		return this.analysis.requests.find(({suspicion: {subject}}) => !found.has(subject) && this.judgeRequest(subject, now).kind === 'crashing')?.suspicion.subject;
	}

	judgeRequest(subject: string, now: number): RequestFinding {
		const {analysis} = this;
		const suspicion = analysis.suspicions.get(subject);
		if (!suspicion || suspicion.runCrashes.length === 0) {
			return {kind: 'none'};
		}

		const crashes = analysis.crashesOf(suspicion);
		const crashCount = this.#requestCauses(crashes, crashes).length;
		if (crashCount < MIN_CRASHES) {
			return {kind: crashCount < MIN_CRASHES_OF_SUSPECT ? 'none' : 'suspect'};
		}

		const others = analysis.requests.filter(other => other.suspicion !== suspicion);
		const stronger = [...others, ...this.#groupsWithout(suspicion, crashes)].filter(other => isStronger(other.crashes, crashes));
		const unexplained = this.#requestCauses(crashes.without(this.#unionOf(stronger)), crashes);
		const decidingCause = unexplained[MIN_CRASHES - 1];
		if (decidingCause === undefined) {
			return {kind: 'suspect'};
		}

		const excluded = this.#unionOf(others.filter(({isAccused}) => isAccused)).union(crashes);
		if (this.#chance(suspicion, {runs: unexplained.length, since: this.#firstCrashAt(crashes) - CALM_MS, excluded}) > MAX_CHANCE_OF_REQUEST) {
			return {kind: 'suspect'};
		}

		const equals = others.filter(other => other.crashes.equals(crashes)).map(other => other.suspicion.subject);
		if (equals.length > 0 && equals.every(other => subject < other) && now - decidingCause < SEPARATION_MS) {
			return {kind: 'suspect'};
		}

		const remainingMs = decidingCause + (equals.length > 0 ? SEPARATION_MS : CLEARING_MS) - now;
		return remainingMs > 0 ? {kind: 'held', remainingMs} : {kind: 'crashing'};
	}

	/** Returns a part that crashes servers, or undefined. */
	findPart(now: number): string | undefined {
		const {groups, maxCrashesLeftOut} = this.analysis;
		const likelier = new LikelierCrashes(groups, this.analysis.setOf([]));
		const accused = this.#unionOf(this.analysis.requests.filter(({isAccused}) => isAccused));
		const proven: Suspicion[] = [];
		for (const [index, group] of groups.entries()) {
			// Parts that are not the deepest of their group are explained by those that are.
			if (group.hasSeveralRequests && group.crashes.size >= MIN_CRASHES && group.crashes.size > maxCrashesLeftOut) {
				proven.push(...group.deepest.filter(part => this.#isProvenPart(part, group, {...likelier.at(index), accused}, now)));
			}
		}

		return proven.sort((a, b) => a.order - b.order)[0]?.subject;
	}

	/** Parts that remain suspects although `explained` crashes servers: because of several requests that crashed others. */
	likelyBeside(explained: string): ReadonlySet<string> {
		const {analysis} = this;
		const reason = analysis.suspicions.get(explained);
		if (!reason || reason.runCrashes.length === 0) {
			return new Set();
		}

		const crashes = analysis.crashesOf(reason);
		const isBeside = (other: Suspicion): boolean => {
			const isLessLikely = !isRequest(explained) && compareLikelihood(reason, other) < 0;
			if (other === reason || isRequest(other.subject) || isLessLikely || other.requests < MIN_REQUESTS || other.runCrashes.length < MIN_CRASHES) {
				return false;
			}

			const rest = analysis.crashesOf(other);
			return rest.size >= MIN_CRASHES && countRequests(other, rest.without(crashes)) >= MIN_REQUESTS;
		};

		return new Set([...analysis.suspicions.values()].filter(other => isBeside(other)).map(({subject}) => subject));
	}

	/** Groups of parts of several requests, without those whose parts are all parts of the crashed runs of `request`. */
	#groupsWithout({subject}: Suspicion, crashes: CrashSet): readonly Group[] {
		const own = new Set<string>();
		for (const number of crashes.numbers) {
			for (const {whole, subjects} of this.analysis.crashes[number]!.runs.values()) {
				for (const part of whole === subject ? subjects : []) {
					own.add(part);
				}
			}
		}

		return this.analysis.groups.filter(({hasSeveralRequests, members}) => hasSeveralRequests && members.some(member => !own.has(member.subject)));
	}

	/**
	 * Times of those of the crashes of a request, `own`, that may have causes of their own. Copies of a request that come together crash
	 * their servers at once; where servers without it crash in the same moment, all have a common cause.
	 */
	#requestCauses(crashes: CrashSet, own: CrashSet): readonly number[] {
		const {analysis} = this;
		const single: number[] = [];
		const common: number[] = [];
		for (const number of crashes.numbers) {
			if (this.#isCommon(number, own)) {
				common.push(number);
			} else {
				single.push(analysis.crashes[number]!.at);
			}
		}

		return [...single, ...analysis.causes(analysis.setOf(common))].sort((a, b) => a - b);
	}

	/** Whether a crash that is not among `own` happened at the same time. */
	#isCommon(number: number, own: CrashSet): boolean {
		const {crashes} = this.analysis;
		const {at} = crashes[number]!;
		for (const step of [-1, 1]) {
			for (let other = number + step; other >= 0 && other < crashes.length && Math.abs(crashes[other]!.at - at) < COMMON_CAUSE_MS; other += step) {
				if (!own.has(other)) {
					return true;
				}
			}
		}

		return false;
	}

	/** Whether the crashes that no likelier part explains are enough, not met by chance, and not doubtful any more. */
	#isProvenPart(part: Suspicion, group: Group, {likelier, likelierOfSeveral, rivals, equals, accused}: Rivals & {readonly accused: CrashSet}, now: number): boolean {
		const {isKnown, depth} = group;
		const crashes = group.crashes.without(likelierOfSeveral);
		const requests = countRequests(part, crashes);
		const runs = part.runCrashes.filter(crash => crashes.has(crash)).length;
		if (crashes.size < MIN_CRASHES || requests < MIN_REQUESTS
			|| this.#chance(part, {runs, since: this.#firstCrashAt(crashes), excluded: crashes}) > (isKnown ? MAX_CHANCE_IF_KNOWN : MAX_CHANCE)) {
			return false;
		}

		// Several requests that crash servers may share their first part, which sound requests share too.
		const isFirst = depth === 0;
		const hasRivalRequests = crashes.isHalfIn(accused);
		if (requests < (isFirst ? MIN_REQUESTS_IF_FIRST : (hasRivalRequests ? MIN_REQUESTS_IF_DOUBTFUL : MIN_REQUESTS))) {
			return false;
		}

		const isDoubtful = isFirst || crashes.isHalfIn(rivals);
		const equalRivals = equals.filter(rival => crashes.isHalfIn(rival.crashes));
		const hasLikelierRival = crashes.isHalfIn(likelier);
		const minCrashes = isKnown || hasRivalRequests || equalRivals.length > 0 || hasLikelierRival ? MIN_CRASHES_IF_DOUBTFUL : MIN_CRASHES;
		const clearingMs = hasLikelierRival || (hasRivalRequests && isFirst) ? LONG_CLEARING_MS : CLEARING_MS;
		const decidingCause = this.analysis.causes(crashes)[minCrashes - 1];
		return decidingCause !== undefined
			&& (!isDoubtful || now - decidingCause >= clearingMs)
			&& equalRivals.every(rival => crashes.size >= rival.crashes.size);
	}

	/**
	 * Probability that `runs` runs of a sound subject crashed by chance: the share of the other runs since `since` that crashed,
	 * to the power of its own runs. Adds one crash and one answer to the others, so that few of them prove little. `excluded`: crashes of
	 * servers that the subject, or an accused one, may have crashed. They say nothing about the other servers.
	 */
	#chance({allRuns}: Suspicion, {runs, since, excluded}: {readonly runs: number; readonly since: number; readonly excluded: CrashSet}): number {
		const isOther = (number: number): boolean => this.analysis.crashes[number]!.at >= since && !excluded.has(number);
		let others = 0;
		for (const [number, crash] of this.analysis.crashes.entries()) {
			others += isOther(number) ? crash.runs.size : 0;
		}

		for (const number of allRuns) {
			others -= isOther(number) ? 1 : 0;
		}

		this.#startCounter ??= this.memory.startCounter();
		return ((others + 1) / (others + this.#startCounter(since) + 2)) ** runs;
	}

	#firstCrashAt(crashes: CrashSet): number {
		const [first] = crashes.numbers;
		return first === undefined ? Infinity : this.analysis.crashes[first]!.at;
	}

	#unionOf(sets: ReadonlyArray<Pick<SuspectedRequest, 'crashes'>>): CrashSet {
		let union = this.analysis.setOf([]);
		for (const {crashes} of sets) {
			union = union.union(crashes);
		}

		return union;
	}
}

/** Crashes of the other groups, as seen from one of them. */
type Rivals = {
	/** Of likelier groups, and of those of them with several requests. */
	readonly likelier: CrashSet;
	readonly likelierOfSeveral: CrashSet;
	/** Of all groups that may be the reason instead. */
	readonly rivals: CrashSet;
	/** Groups that are as likely. */
	readonly equals: readonly Group[];
};

/** Unions of the crashes of groups that are sorted by likelihood. */
class LikelierCrashes {
	readonly #before: CrashSet[];
	readonly #beforeOfSeveral: CrashSet[];
	readonly #after: CrashSet[];
	/** Number of groups without written parts, which come first. */
	readonly #unknown: number;

	constructor(private readonly groups: readonly Group[], empty: CrashSet) {
		this.#unknown = groups.filter(({isKnown}) => !isKnown).length;
		this.#before = [empty];
		this.#beforeOfSeveral = [empty];
		for (const [index, {crashes, hasSeveralRequests}] of groups.entries()) {
			this.#before.push(this.#before[index]!.union(crashes));
			this.#beforeOfSeveral.push(hasSeveralRequests ? this.#beforeOfSeveral[index]!.union(crashes) : this.#beforeOfSeveral[index]!);
		}

		this.#after = groups.map(() => empty);
		for (let index = groups.length - 1; index > 0; index--) {
			// Written parts are no rivals of those that were never written.
			this.#after[index - 1] = index === this.#unknown ? empty : this.#after[index]!.union(groups[index]!.crashes);
		}
	}

	at(index: number): Rivals {
		const {groups} = this;
		const group = groups[index]!;
		let first = index;
		while (first > 0 && compareLikelihood(groups[first - 1]!, group) === 0) {
			first--;
		}

		let end = index + 1;
		while (end < groups.length && compareLikelihood(groups[end]!, group) === 0) {
			end++;
		}

		const others = this.#before[index]!.union(this.#after[index]!);
		return {
			likelier: this.#before[first]!,
			likelierOfSeveral: this.#beforeOfSeveral[first]!,
			rivals: group.members.length > 1 ? others.union(group.crashes) : others,
			equals: groups.slice(first, end).filter(other => other !== group || group.deepest.length > 1),
		};
	}
}

const countRequests = ({runCrashes, runIdentities}: Suspicion, crashes: CrashSet): number =>
	new Set(runIdentities.filter((_, index) => crashes.has(runCrashes[index]!))).size;

/** Whether crashes `a` are the better evidence than crashes `b` where they overlap: more of them, or as many of which some are others. */
const isStronger = (a: CrashSet, b: CrashSet): boolean => a.size > b.size || (a.size === b.size && !a.equals(b));
