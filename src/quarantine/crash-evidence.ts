/**
 * Decides which parts of prompts and which requests crash servers, from the crashes and the written answers of all daemons.
 *
 * Each request of the crashed server that had not written yet is a suspect, as a whole and with all its shared parts. A subject
 * that is written anywhere is cleared of all its earlier crashes, which clears requests that stood beside the reason and what
 * sound requests share: first parts, sessions, documents. Ordinary crashes hit a subject seldom and never for long without an
 * answer in between.
 *
 * Designed for up to some crashes a second, several reasons at once, and daemons that each see few of the requests. What is
 * remembered is analysed anew as seldom as its size demands, so that the share of the processor is bounded.
 */
import {CrashAnalysis} from './crash-analysis.js';
import {CrashJudgement, type RequestFinding} from './crash-judgement.js';
import {CrashMemory, type CrashReport} from './crash-memory.js';
import {isRequest} from './crash-subject.js';

/** Events after which an answer is sound. Most answers have more, and shorter ones count when they are complete. */
export const SOUND_EVENTS = 8;

/** Evidence of this many subjects of runs is analysed after each change, within a fraction of a millisecond. */
const FREE_ENTRIES = 200;
/** Pause in ms between analyses for each further one: ten times the time that the analysis takes, or more. */
const PAUSE_PER_ENTRY_MS = 0.02;
/** Time in ms after which an analysis of unchanged evidence is renewed, since subjects that were written are forgotten. */
const MAX_AGE_MS = 1000;

export class CrashEvidence {
	static create(): CrashEvidence {
		return new CrashEvidence();
	}

	readonly #memory = CrashMemory.create();
	/** Requests that were found to crash servers and whose crashes are remembered. */
	readonly #foundRequests = new Set<string>();
	#analysis: CrashAnalysis | undefined;
	/** Time before which changed evidence is not analysed. */
	#pausedUntil = -Infinity;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	recordCrash(report: CrashReport, now: number): void {
		this.#memory.recordCrash(report, now);
	}

	/** Records that an answer to a request with `subject` was written at `at`. */
	recordSound(subject: string, at: number): void {
		this.#memory.recordSound(subject, at);
	}

	/** Records that any server has begun an answer. */
	recordStart(now: number): void {
		this.#memory.recordStart(now);
	}

	/** Records that a server has answered a request that was placed at `placedAt`. */
	recordAnswer(server: string, placedAt: number): void {
		this.#memory.recordAnswer(server, placedAt);
	}

	/** Latest crash of each subject with remembered crashes. */
	get crashTimes(): ReadonlyMap<string, number> {
		return this.#memory.crashTimes;
	}

	/** Removes the crashes that `subject` explains, except for subjects that are likely to have crashed other servers as well. */
	removeCrashesWith(subject: string, now: number): void {
		if (isRequest(subject)) {
			this.#foundRequests.add(subject);
		}

		if (!this.#memory.crashTimes.has(subject)) {
			return;
		}

		const alsoLikely = CrashJudgement.create(this.#latestAnalysis(now), this.#memory).likelyBeside(subject);
		const explained = new Set(this.#memory.crashes.filter(({runs}) => [...runs.values()].some(({subjects}) => subjects.includes(subject))));
		this.#memory.removeRuns(({subjects, whole}, crash) => {
			// The runs of a found request remain, since one of its parts may be the reason.
			const isOwn = whole === subject;
			const isExplained = !isRequest(subject) && subjects.includes(subject);
			return explained.has(crash) && !isOwn && (isExplained || !subjects.some(id => alsoLikely.has(id)));
		});
	}

	/** Returns a part or a request that crashes servers according to the evidence; undefined if there is none, or the next analysis is not due. */
	findCrashing(now: number): string | undefined {
		this.#memory.dropOld(now);
		for (const subject of this.#foundRequests) {
			if (!this.#memory.crashTimes.has(subject)) {
				this.#foundRequests.delete(subject);
			}
		}

		if (this.#isPaused(now)) {
			return undefined;
		}

		const judgement = CrashJudgement.create(this.#latestAnalysis(now), this.#memory);
		return judgement.findRequest(this.#foundRequests, now) ?? judgement.findPart(now);
	}

	/** What the evidence says about the request `subject` at this moment. */
	judgeRequest(subject: string, now: number): RequestFinding {
		const memory = this.#memory;
		const crashedAt = memory.crashTimes.get(subject);
		return crashedAt === undefined || memory.soundAt(subject) >= crashedAt || !memory.isRepeated(subject)
			? {kind: 'none'}
			: CrashJudgement.create(this.#latestAnalysis(now), memory).judgeRequest(subject, now);
	}

	/** Whether the evidence has changed and must not be analysed yet. */
	#isPaused(now: number): boolean {
		return this.#analysis !== undefined && this.#analysis.version !== this.#memory.version && now < this.#pausedUntil;
	}

	/** An analysis of the present evidence, or of that of a moment ago if the next one is not due. */
	#latestAnalysis(now: number): CrashAnalysis {
		const known = this.#analysis;
		const isCurrent = known && (this.#isPaused(now) || (known.version === this.#memory.version && now - known.createdAt < MAX_AGE_MS));
		if (isCurrent) {
			return known;
		}

		const analysis = CrashAnalysis.create(this.#memory, now);
		this.#analysis = analysis;
		this.#pausedUntil = now + (PAUSE_PER_ENTRY_MS * Math.max(0, this.#memory.entries - FREE_ENTRIES));
		return analysis;
	}
}
