/**
 * Decides which parts of prompts and which requests crash servers, from the crashes and the written answers of all daemons.
 *
 * Each request of the crashed server that had not written yet is a suspect, as a whole and with all its shared parts. A subject
 * that is written anywhere is cleared of all its earlier crashes, which clears requests that stood beside the reason and what
 * sound requests share: first parts, sessions, documents. Ordinary crashes hit a subject seldom and never for long without an
 * answer in between.
 *
 * Where several parts may explain the same crashes, one that was never written is likelier than one that was, and a later part
 * of the prompts, which fewer requests share, is likelier than an earlier one. A less likely part needs crashes that the likelier
 * ones do not explain. A doubtful decision waits until answers that are being written have had time to clear the part. A request
 * is found to crash servers by crashes that no other subject with more of them explains; it is held back while answers that are
 * being written may still clear it. A part needs crashes of several requests, of which none is the likelier reason by itself.
 *
 * Designed for up to some crashes a second, several reasons at once, and daemons that each see few of the requests.
 */
import {isRequest} from '../../src/quarantine/crash-subject.js';
import {setNewest} from '../../src/quarantine/subject-times.js';

/** Events after which an answer is sound. Most answers have more, and shorter ones count when they are complete. */
export const SOUND_EVENTS = 8;

/** Crashes without an answer in between after which a subject is found to crash servers. */
const MIN_CRASHES = 3;
/** The same for a part that has been written before, or where the crashes may be due to another subject. */
const MIN_CRASHES_IF_DOUBTFUL = 5;
/** Crashes after which a request is no longer sent to another server within the same attempt of its client. */
const MIN_CRASHES_OF_SUSPECT = 2;
/** Time in ms after which answers that are being written have cleared the other subjects of the crashed requests. */
const CLEARING_MS = 1500;
/** Time in ms for which one of several requests with the same crashes is sent alone, which clears it or shows that it is the reason. */
const SEPARATION_MS = 4000;
/** The clearing time where a part that is shared by fewer requests may be the reason. */
const LONG_CLEARING_MS = 2500;
/** One request may meet several ordinary crashes, since it is retried. */
const MIN_REQUESTS = 2;
/** The same where requests that crash servers by themselves may explain the crashes. */
const MIN_REQUESTS_IF_DOUBTFUL = 3;
/** The same for the first part of a prompt, which such requests are likely to share. */
const MIN_REQUESTS_IF_FIRST = 4;
/** Crashed runs of one request that count for its parts: those of one attempt of its client. */
const MAX_RUNS_PER_REQUEST = 2;
/** Crashes within this time in ms have a common cause, such as a failure domain without power, and count once. */
const COMMON_CAUSE_MS = 100;
/** Largest probability that a sound part has met its crashes by chance, and the same for parts that have been written before. */
const MAX_CHANCE = 1e-5;
const MAX_CHANCE_IF_KNOWN = 1e-8;
/** The same for a request: a wrong decision only concerns its repeats. */
const MAX_CHANCE_OF_REQUEST = 1e-3;
/** Time in ms for which crashes and written answers are remembered; the crashes of one subject may come minutes apart. */
const MEMORY_MS = 600_000;
/** Time in ms before the first crash of a request for which begun answers show how seldom crashes are. */
const CALM_MS = 5000;
/** Length of the periods in ms over which begun answers are counted. */
const START_PERIOD_MS = 250;
/** Bounds on the memory of the evidence. */
const MAX_CRASHES = 200;
const MAX_RUNS_PER_CRASH = 64;

/** A request whose server closed the connection before the answer was sound. */
export type CrashReport = {
	/** Id of one start of the server. */
	readonly server: string;
	/** Id of the client's attempt. */
	readonly request: string;
	/** Parts that the prompt may share with others, in order, and the request itself; daemons of earlier versions report only parts. */
	readonly subjects: readonly string[];
};

/** What the evidence says about a request. `held`: crashes servers unless an answer that is being written clears it within `remainingMs`. */
export type RequestFinding =
	| {readonly kind: 'none'}
	| {readonly kind: 'suspect'}
	| {readonly kind: 'held'; readonly remainingMs: number}
	| {readonly kind: 'crashing'};

type Run = {
	readonly request: string;
	readonly subjects: readonly string[];
	/** The request as a subject, the same for all its repeats; undefined in reports of daemons of earlier versions. */
	readonly whole: string | undefined;
	readonly at: number;
};
type Crash = {readonly server: string; readonly at: number; readonly runs: Map<string, Run>};

/** The crashes of one subject that no written answer has cleared. */
type Suspicion = {
	readonly subject: string;
	/** The subject has been written before its crashes. */
	readonly isKnown: boolean;
	/** Identities of the crashed requests with the subject, by crash. */
	readonly crashes: Map<Crash, string[]>;
	/** Number of runs in `crashes` by identity. */
	readonly runs: Map<string, number>;
	/** Largest position of a part in a prompt. Parts further back are shared by fewer requests. */
	depth: number;
};

export class RebuiltCrashEvidence {
	static create(): RebuiltCrashEvidence {
		return new RebuiltCrashEvidence();
	}

	/** Crashes by server, oldest first. */
	readonly #crashes = new Map<string, Crash>();
	/** Latest time at which a subject was written, oldest first. */
	readonly #soundTimes = new Map<string, number>();
	/** Latest crash of each subject that is remembered. */
	readonly #crashTimes = new Map<string, number>();
	/** Requests that were found to crash servers and whose crashes are remembered. */
	readonly #foundRequests = new Set<string>();
	/** Number of begun answers by period, oldest first. */
	readonly #starts = new Map<number, number>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	recordCrash({server, request, subjects}: CrashReport, now: number): void {
		this.#dropOld(now);
		let crash = this.#crashes.get(server);
		if (!crash) {
			crash = {server, at: now, runs: new Map()};
			this.#crashes.set(server, crash);
		}

		if (crash.runs.size < MAX_RUNS_PER_CRASH && !crash.runs.has(request)) {
			crash.runs.set(request, {
				request, subjects, whole: subjects.find(subject => isRequest(subject)), at: now,
			});
			for (const subject of subjects) {
				setNewest(this.#crashTimes, subject, now);
			}
		}
	}

	/** Records that an answer to a request with `subject` was written at `at`. */
	recordSound(subject: string, at: number): void {
		setNewest(this.#soundTimes, subject, at);
	}

	/** Records that any server has begun an answer. */
	recordStart(now: number): void {
		const period = Math.floor(now / START_PERIOD_MS);
		this.#starts.set(period, (this.#starts.get(period) ?? 0) + 1);
		if (this.#crashes.size === 0 && this.#starts.size > CALM_MS / START_PERIOD_MS) {
			this.#starts.delete(this.#starts.keys().next().value!);
		}
	}

	/** Latest crash of each subject with remembered crashes. */
	get crashTimes(): ReadonlyMap<string, number> {
		return this.#crashTimes;
	}

	/** Removes the crashes that `subject` explains, except for subjects that are likely to have crashed other servers as well. */
	removeCrashesWith(subject: string, now: number): void {
		const suspicions = this.#suspicions(now);
		const explained = suspicions.find(suspicion => suspicion.subject === subject);
		const alsoLikely = new Set(explained ? suspicions.filter(other => isLikelyBeside(other, explained)).map(other => other.subject) : []);
		if (isRequest(subject)) {
			this.#foundRequests.add(subject);
		}

		for (const [server, {runs}] of this.#crashes) {
			if (![...runs.values()].some(({subjects}) => subjects.includes(subject))) {
				continue;
			}

			for (const [request, {subjects, whole}] of runs) {
				// The runs of a found request remain, since one of its parts may be the reason.
				const isOwn = whole === subject;
				const isExplained = !isRequest(subject) && subjects.includes(subject);
				if (!isOwn && (isExplained || !subjects.some(id => alsoLikely.has(id)))) {
					runs.delete(request);
				}
			}

			if (runs.size === 0) {
				this.#crashes.delete(server);
			}
		}
	}

	/** Returns a part or a request that crashes servers according to the evidence, or undefined. */
	findCrashing(now: number): string | undefined {
		this.#dropOld(now);
		const suspicions = this.#suspicions(now);
		const requests = suspicions.filter(({subject}) => isRequest(subject) && !this.#foundRequests.has(subject)).sort((a, b) => b.crashes.size - a.crashes.size);
		const found = requests.find(suspicion => this.#judgeRequest(suspicion, suspicions, now).kind === 'crashing')
			?? suspicions.find(suspicion => !isRequest(suspicion.subject) && hasEnoughCrashes(suspicion.crashes) && this.#isProvenPart(suspicion, suspicions, now));
		return found?.subject;
	}

	/** What the evidence says about the request `subject` at this moment. */
	judgeRequest(subject: string, now: number): RequestFinding {
		const crashedAt = this.#crashTimes.get(subject);
		if (crashedAt === undefined || (this.#soundTimes.get(subject) ?? -Infinity) >= crashedAt || !this.#repeatedRequests().has(subject)) {
			return {kind: 'none'};
		}

		const suspicions = this.#suspicions(now);
		const suspicion = suspicions.find(other => other.subject === subject);
		return suspicion ? this.#judgeRequest(suspicion, suspicions, now) : {kind: 'none'};
	}

	#suspicions(now: number): readonly Suspicion[] {
		const suspicions = new Map<string, Suspicion>();
		const repeated = this.#repeatedRequests();
		for (const crash of this.#crashes.values()) {
			for (const run of crash.runs.values()) {
				const {subjects, at} = run;
				const identity = this.#identityOf(run, now);
				for (const [depth, subject] of subjects.entries()) {
					if ((this.#soundTimes.get(subject) ?? -Infinity) >= at || (subject === run.whole && !repeated.has(subject))) {
						continue;
					}

					const suspicion: Suspicion = suspicions.get(subject) ?? {
						subject, isKnown: this.#isKnown(subject, now), crashes: new Map(), runs: new Map(), depth,
					};
					suspicions.set(subject, suspicion);
					const runs = suspicion.runs.get(identity) ?? 0;
					if (runs < MAX_RUNS_PER_REQUEST || isRequest(subject)) {
						suspicion.runs.set(identity, runs + 1);
						suspicion.crashes.set(crash, [...(suspicion.crashes.get(crash) ?? []), identity]);
					}

					suspicion.depth = Math.max(suspicion.depth, depth);
				}
			}
		}

		return [...suspicions.values()];
	}

	/** Requests that crashed more than once; most did not, and nothing follows from a single crash. */
	#repeatedRequests(): ReadonlySet<string> {
		const seen = new Set<string>();
		const repeated = new Set<string>();
		for (const {runs} of this.#crashes.values()) {
			for (const {whole} of runs.values()) {
				if (whole !== undefined) {
					(seen.has(whole) ? repeated : seen).add(whole);
				}
			}
		}

		return repeated;
	}

	#isKnown(subject: string, now: number): boolean {
		return now - (this.#soundTimes.get(subject) ?? -Infinity) <= MEMORY_MS;
	}

	/** Tells requests apart. Repeats of a request that is written at other times may differ in their prompts. */
	#identityOf({request, whole}: Run, now: number): string {
		return whole === undefined || this.#isKnown(whole, now) ? request : whole;
	}

	#judgeRequest({subject, crashes}: Suspicion, suspicions: readonly Suspicion[], now: number): RequestFinding {
		const crashCount = this.#requestCauses(crashes, crashes).length;
		if (crashCount < MIN_CRASHES) {
			return {kind: crashCount < MIN_CRASHES_OF_SUSPECT ? 'none' : 'suspect'};
		}

		const ownSubjects = new Set([...crashes.keys()].flatMap(({runs}) => [...runs.values()].filter(run => run.whole === subject).flatMap(run => run.subjects)));
		const others = suspicions.filter(other => !ownSubjects.has(other.subject) && (isRequest(other.subject) || countRequests(other.crashes) >= MIN_REQUESTS));
		const unexplained = this.#requestCauses(withoutCrashesOf(crashes, others.filter(other => isStronger(other.crashes, crashes))), crashes);
		const decidingCause = unexplained[MIN_CRASHES - 1];
		const accused = others.filter(other => isAccusedRequest(other));
		if (decidingCause === undefined || this.#chance({subject, crashes}, {runs: unexplained.length, since: firstCrashAt(crashes) - CALM_MS, accused}) > MAX_CHANCE_OF_REQUEST) {
			return {kind: 'suspect'};
		}

		const equals = others.filter(other => isRequest(other.subject) && isSameCrashes(other.crashes, crashes)).map(other => other.subject);
		if (equals.length > 0 && equals.every(other => subject < other) && now - decidingCause < SEPARATION_MS) {
			return {kind: 'suspect'};
		}

		const remainingMs = decidingCause + (equals.length > 0 ? SEPARATION_MS : CLEARING_MS) - now;
		return remainingMs > 0 ? {kind: 'held', remainingMs} : {kind: 'crashing'};
	}

	/**
	 * Times of those of the crashes of a request, `own`, that may have causes of their own. Copies of a request that come together crash
	 * their servers at once; where servers without it crash in the same moment, all have a common cause.
	 */
	#requestCauses(crashes: Suspicion['crashes'], own: Suspicion['crashes']): readonly number[] {
		const others = [...this.#crashes.values()].filter(crash => !own.has(crash));
		const isCommon = ({at}: Crash): boolean => others.some(other => Math.abs(other.at - at) < COMMON_CAUSE_MS);
		const single = [...crashes.keys()].filter(crash => !isCommon(crash)).map(({at}) => at);
		const common = causes(new Map([...crashes].filter(([crash]) => isCommon(crash))));
		return [...single, ...common].sort((a, b) => a - b);
	}

	/** Whether the crashes that no likelier part explains are enough, not met by chance, and not doubtful any more. */
	#isProvenPart(suspicion: Suspicion, suspicions: readonly Suspicion[], now: number): boolean {
		const {subject, isKnown} = suspicion;
		// A part with a single crash explains nothing about several ones.
		const others = suspicions.filter(other => other !== suspicion && !isRequest(other.subject) && other.crashes.size > 1);
		const likelier = others.filter(other => isLikelier(other, suspicion));
		const crashes = withoutCrashesOf(suspicion.crashes, likelier.filter(other => countRequests(other.crashes) >= MIN_REQUESTS));
		const runs = [...crashes.values()].flat().length;
		if (!hasEnoughCrashes(crashes) || this.#chance({subject, crashes}, {runs, since: firstCrashAt(crashes), accused: []}) > (isKnown ? MAX_CHANCE_IF_KNOWN : MAX_CHANCE)) {
			return false;
		}

		const rivals = others.filter(other => isKnown || !other.isKnown);
		// Several requests that crash servers may share their first part, which sound requests share too.
		const isFirst = suspicion.depth === 0;
		const rivalRequests = suspicions.filter(other => isAccusedRequest(other));
		const hasRivalRequests = mayExplain(crashes, rivalRequests);
		if (countRequests(crashes) < (isFirst ? MIN_REQUESTS_IF_FIRST : (hasRivalRequests ? MIN_REQUESTS_IF_DOUBTFUL : MIN_REQUESTS))) {
			return false;
		}

		const isDoubtful = isFirst || mayExplain(crashes, rivals);
		const equalRivals = rivals.filter(other => !isLikelier(other, suspicion) && !isLikelier(suspicion, other) && mayExplain(crashes, [other]));
		const hasLikelierRival = mayExplain(crashes, likelier);
		const minCrashes = isKnown || hasRivalRequests || equalRivals.length > 0 || hasLikelierRival ? MIN_CRASHES_IF_DOUBTFUL : MIN_CRASHES;
		const clearingMs = hasLikelierRival || (hasRivalRequests && isFirst) ? LONG_CLEARING_MS : CLEARING_MS;
		const decidingCause = causes(crashes)[minCrashes - 1];
		return decidingCause !== undefined
			&& (!isDoubtful || now - decidingCause >= clearingMs)
			&& equalRivals.every(rival => crashes.size >= rival.crashes.size);
	}

	/**
	 * Probability that `runs` runs of a sound subject crashed by chance: the share of the other runs since `since` that crashed,
	 * to the power of its own runs. Adds one crash and one answer to the others, so that few of them prove little.
	 */
	#chance({subject, crashes}: Pick<Suspicion, 'subject' | 'crashes'>, {runs, since, accused}: {readonly runs: number; readonly since: number; readonly accused: readonly Suspicion[]}): number {
		let starts = 0;
		for (const [period, count] of this.#starts) {
			starts += (period + 1) * START_PERIOD_MS > since ? count : 0;
		}

		let others = 0;
		for (const crash of this.#crashes.values()) {
			// Runs on a server that the subject, or an accused one, may have crashed say nothing about the other servers.
			const isOther = crash.at >= since && !crashes.has(crash) && !accused.some(other => other.crashes.has(crash));
			others += isOther ? [...crash.runs.values()].filter(({subjects}) => !subjects.includes(subject)).length : 0;
		}

		return ((others + 1) / (others + starts + 2)) ** runs;
	}

	#dropOld(now: number): void {
		for (const [server, {at}] of this.#crashes) {
			if (now - at > MEMORY_MS || this.#crashes.size > MAX_CRASHES) {
				this.#crashes.delete(server);
			}
		}

		for (const [subject, at] of this.#crashTimes) {
			if (now - at > MEMORY_MS) {
				this.#crashTimes.delete(subject);
				this.#foundRequests.delete(subject);
			}
		}

		const startsMs = this.#crashes.size === 0 ? CALM_MS : MEMORY_MS;
		for (const period of this.#starts.keys()) {
			if (now - (period * START_PERIOD_MS) > startsMs) {
				this.#starts.delete(period);
			}
		}
	}
}

const countRequests = (crashes: ReadonlyMap<Crash, readonly string[]>): number => new Set([...crashes.values()].flat()).size;

const hasEnoughCrashes = (crashes: Suspicion['crashes']): boolean => crashes.size >= MIN_CRASHES && countRequests(crashes) >= MIN_REQUESTS;

const firstCrashAt = (crashes: Suspicion['crashes']): number => Math.min(...[...crashes.keys()].map(({at}) => at));

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

/** Whether part `a` is the likelier reason of a crash that part `b` may explain too: it was never written, or is shared by fewer requests. */
const isLikelier = (a: Suspicion, b: Suspicion): boolean => a.isKnown === b.isKnown ? a.depth > b.depth : b.isKnown;

/** Whether crashes `a` are the better evidence than crashes `b` where they overlap: more of them, or as many of which some are others. */
const isStronger = (a: Suspicion['crashes'], b: Suspicion['crashes']): boolean =>
	a.size > b.size || (a.size === b.size && [...a.keys()].some(crash => !b.has(crash)));

const isAccusedRequest = ({subject, crashes}: Suspicion): boolean => isRequest(subject) && causes(crashes).length >= MIN_CRASHES;

const isSameCrashes = (a: Suspicion['crashes'], b: Suspicion['crashes']): boolean => a.size === b.size && [...a.keys()].every(crash => b.has(crash));

/** Whether a part remains a suspect although `explained` crashes servers: because of several requests that crashed others. */
function isLikelyBeside(other: Suspicion, explained: Suspicion): boolean {
	const isLessLikely = !isRequest(explained.subject) && isLikelier(explained, other);
	if (other === explained || isRequest(other.subject) || isLessLikely || !hasEnoughCrashes(other.crashes)) {
		return false;
	}

	return countRequests(withoutCrashesOf(other.crashes, [explained])) >= MIN_REQUESTS;
}

const withoutCrashesOf = (crashes: Suspicion['crashes'], others: readonly Suspicion[]): Suspicion['crashes'] =>
	new Map([...crashes].filter(([crash]) => !others.some(other => other.crashes.has(crash))));

/** Whether `others` may together explain half or more of the crashes. */
const mayExplain = (crashes: Suspicion['crashes'], others: readonly Suspicion[]): boolean => 2 * withoutCrashesOf(crashes, others).size <= crashes.size;
