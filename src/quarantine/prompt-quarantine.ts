/**
 * Quarantine of parts of prompts and of requests that crash servers, shared by all daemons.
 *
 * Daemons send each other the crashes that their requests met, and answers that clear a suspected subject. Each daemon decides
 * on all of that. Quarantined subjects are repeated to the linked daemons every second and saved in the store, so they reach
 * daemons that missed a message, were cut off or have restarted, also when all have.
 */
import type {Logger} from '../util/logger.js';
import {CrashEvidence} from './crash-evidence.js';
import type {CrashReport} from './crash-memory.js';
import {
	isRequest, parseSubject, requestSubject, type RequestSubjects,
} from './crash-subject.js';
import {MAX_REPORTED_SUBJECTS, type QuarantineMessage} from './quarantine-messages.js';
import {setNewest} from './subject-times.js';

/** Time in ms after which requests with a quarantined subject are tried again; servers may have been repaired by then. */
export const QUARANTINE_MS = 3_600_000;
/** Bound on the number of quarantined subjects, so that the repeated lists stay small. The oldest ones are dropped. */
const MAX_SUBJECTS = 200;
/** Time in ms after a crash for which its reason may still be decided. */
const DECISION_MS = 5000;
/** Number of subjects in one message, so that it fits into one datagram. */
const SUBJECTS_PER_MESSAGE = 12;
const REPEAT_INTERVAL_MS = 1000;

export type PromptQuarantineOptions = {
	readonly logger: Logger;
	/** Sends a message to the other daemons. */
	publish(message: QuarantineMessage): void;
	/** Called when this daemon quarantines a subject or learns of one from another daemon, with the time in ms for which it stays. */
	save(subject: string, remainingMs: number): void;
};

/** A subject whose requests are refused, and the time in ms until its end. */
export type RefusedSubject = {readonly subject: string; readonly remainingMs: number};

export class PromptQuarantine {
	static create(options: PromptQuarantineOptions): PromptQuarantine {
		return new PromptQuarantine(options);
	}

	readonly #evidence = CrashEvidence.create();
	/** Ends of the quarantine by subject, on the monotonic clock. */
	readonly #ends = new Map<string, number>();
	/** Number of quarantined requests; the others are parts. */
	#requests = 0;
	/** Latest time at which an answer with the subject was written, by requests of this daemon and as any daemon announced it. */
	readonly #ownSound = new Map<string, number>();
	readonly #announcedSound = new Map<string, number>();
	/** Suspects that crashed or were written since the last announcement. Nothing is due for the others. */
	readonly #changed = new Set<string>();
	#repeatedAt = -Infinity;
	/** Time of the latest crash. */
	#crashedAt = -Infinity;

	private constructor(private readonly options: PromptQuarantineOptions) {}

	get size(): number {
		return this.#ends.size;
	}

	/** All quarantined subjects. */
	list(now: number): readonly RefusedSubject[] {
		return [...this.#ends].filter(([, end]) => end > now).map(([subject, end]) => ({subject, remainingMs: Math.round(end - now)}));
	}

	/** Returns a subject for which a request must not be sent to a server now: a quarantined one, or a request that is held until answers have cleared it. */
	findRefused(subjects: RequestSubjects, now: number): RefusedSubject | undefined {
		const quarantinedPart = this.#findQuarantined(subjects.parts, now);
		if (quarantinedPart !== undefined || (!this.#hasEvidence && this.#requests === 0)) {
			return quarantinedPart;
		}

		const subject = requestSubject(subjects);
		const quarantined = this.#findQuarantined([subject], now);
		if (quarantined) {
			return quarantined;
		}

		const finding = this.#evidence.judgeRequest(subject, now);
		switch (finding.kind) {
			case 'none':
			case 'suspect': {
				return undefined;
			}

			case 'held': {
				return {subject, remainingMs: finding.remainingMs};
			}

			case 'crashing': {
				this.#quarantine(subject, now);
				return {subject, remainingMs: QUARANTINE_MS};
			}
		}
	}

	/** Whether a request that has met a crash may be sent to another server before its client repeats it. */
	allowsRetry(subjects: RequestSubjects, now: number): boolean {
		return !this.#hasEvidence || this.#evidence.judgeRequest(requestSubject(subjects), now).kind === 'none';
	}

	/** Records that the server of a request of this daemon closed the connection before the answer was sound. */
	reportCrash({server, request, subjects}: {readonly server: string; readonly request: string; readonly subjects: RequestSubjects}, now: number): void {
		// The first parts of a prompt are shared by most requests.
		const report = {server, request, subjects: [...subjects.parts.slice(1 - MAX_REPORTED_SUBJECTS), requestSubject(subjects)]};
		this.options.publish({
			kind: 'crashed', server, request, parts: report.subjects,
		});
		this.#recordCrash(report, now);
	}

	/** Records that a stream of this daemon is being written. */
	reportWritten(subjects: RequestSubjects, now: number): void {
		for (const part of subjects.parts) {
			this.#recordOwnSound(part, now);
		}

		this.#recordOwnRequest(subjects, now);
	}

	/** Records that a server has run a request of this daemon and sent a whole answer that is no stream, which says nothing about parts of prompts. */
	reportAnswered(subjects: RequestSubjects, now: number): void {
		this.#evidence.recordStart(now);
		this.#recordOwnRequest(subjects, now);
	}

	/** Records that any server has begun an answer. */
	recordStart(now: number): void {
		this.#evidence.recordStart(now);
	}

	/** Records that a server has answered a request, of any daemon, that was placed at `placedAt`, so that it had not crashed shortly before. */
	recordAnswer(server: string, placedAt: number): void {
		this.#evidence.recordAnswer(server, placedAt);
	}

	/** Applies a message of another daemon. */
	receive(message: QuarantineMessage, now: number): void {
		switch (message.kind) {
			case 'crashed': {
				const {server, request, parts} = message;
				this.#recordCrash({server, request, subjects: parts}, now);
				break;
			}

			case 'sound': {
				for (const {part, ageMs} of message.parts) {
					this.#evidence.recordSound(part, now - ageMs);
					setNewest(this.#announcedSound, part, now - ageMs);
				}

				break;
			}

			case 'quarantined': {
				for (const {part, remainingMs} of message.parts) {
					if (this.add(part, remainingMs, now)) {
						this.options.save(part, remainingMs);
					}
				}

				break;
			}
		}
	}

	/** Quarantines a subject and tells the linked daemons. Returns whether it was not quarantined. */
	add(subject: string, remainingMs: number, now: number): boolean {
		const end = now + Math.min(remainingMs, QUARANTINE_MS);
		const known = this.#ends.get(subject) ?? -Infinity;
		// Repeated lists differ by their delays.
		if (end <= known + REPEAT_INTERVAL_MS || end <= now) {
			return false;
		}

		this.#ends.set(subject, end);
		this.#evidence.removeCrashesWith(subject, now);
		if (known > now) {
			return false;
		}

		if (this.#ends.size > MAX_SUBJECTS) {
			this.#ends.delete(this.#ends.keys().next().value!);
		}

		this.#requests = [...this.#ends.keys()].filter(id => isRequest(id)).length;
		this.#logQuarantined(subject, Math.round(end - now));
		this.options.publish({kind: 'quarantined', parts: [{part: subject, remainingMs: Math.round(end - now)}]});
		return true;
	}

	/** Sends what the other daemons need to know by now. Called several times a second. */
	publishDue(now: number): void {
		this.#publishSound(now);
		this.#decide(now);
		if (now - this.#repeatedAt >= REPEAT_INTERVAL_MS) {
			this.#repeatedAt = now;
			this.#publishQuarantined(now);
		}
	}

	/** Whether any crash is remembered. Without one, no digest of a request is needed. */
	get #hasEvidence(): boolean {
		return this.#evidence.crashTimes.size > 0;
	}

	#findQuarantined(subjects: readonly string[], now: number): RefusedSubject | undefined {
		for (const subject of subjects) {
			const end = this.#ends.get(subject);
			if (end !== undefined && end > now) {
				return {subject, remainingMs: end - now};
			}
		}

		return undefined;
	}

	#recordOwnRequest(subjects: RequestSubjects, now: number): void {
		if (this.#hasEvidence) {
			this.#recordOwnSound(requestSubject(subjects), now);
		}
	}

	#recordOwnSound(subject: string, now: number): void {
		this.#evidence.recordSound(subject, now);
		setNewest(this.#ownSound, subject, now);
		this.#markChanged(subject);
	}

	/** Only what both crashed and was written here can be announced. */
	#markChanged(subject: string): void {
		if (this.#evidence.crashTimes.has(subject) && this.#ownSound.has(subject)) {
			this.#changed.add(subject);
		}
	}

	#recordCrash(report: CrashReport, now: number): void {
		if (this.#findQuarantined(report.subjects, now)) {
			return;
		}

		this.#evidence.recordCrash(report, now);
		for (const subject of report.subjects) {
			this.#markChanged(subject);
		}

		this.#crashedAt = now;
		this.#decide(now);
	}

	#decide(now: number): void {
		if (now - this.#crashedAt > DECISION_MS) {
			return;
		}

		for (let subject = this.#evidence.findCrashing(now); subject !== undefined; subject = this.#evidence.findCrashing(now)) {
			if (!this.#quarantine(subject, now)) {
				return;
			}
		}
	}

	/** Quarantines a subject by decision of this daemon. Returns whether it was not quarantined. */
	#quarantine(subject: string, now: number): boolean {
		const isNew = this.add(subject, QUARANTINE_MS, now);
		if (isNew) {
			this.options.save(subject, QUARANTINE_MS);
		}

		return isNew;
	}

	/** Announces suspects that this daemon's requests have shown to be sound. */
	#publishSound(now: number): void {
		const parts = [];
		for (const part of this.#changed) {
			const crashedAt = this.#evidence.crashTimes.get(part);
			const own = this.#ownSound.get(part) ?? -Infinity;
			const announced = this.#announcedSound.get(part) ?? -Infinity;
			// An older answer still clears earlier crashes, and shows that the part has been written before.
			if (crashedAt !== undefined && own > announced && announced <= crashedAt && (own > crashedAt || own - announced > REPEAT_INTERVAL_MS)) {
				parts.push({part, ageMs: Math.round(now - own)});
				setNewest(this.#announcedSound, part, own);
			}
		}

		this.#changed.clear();
		this.#publishBatches(parts, batch => ({kind: 'sound', parts: batch}));
	}

	#publishQuarantined(now: number): void {
		for (const [subject, end] of this.#ends) {
			if (end <= now) {
				this.#ends.delete(subject);
				this.#requests -= isRequest(subject) ? 1 : 0;
				this.#logReleased(subject);
			}
		}

		this.#publishBatches(this.list(now).map(({subject, remainingMs}) => ({part: subject, remainingMs})), batch => ({kind: 'quarantined', parts: batch}));
	}

	#logQuarantined(id: string, ms: number): void {
		const {logger} = this.options;
		const subject = parseSubject(id);
		switch (subject.kind) {
			case 'part': {
				logger.warn('part_quarantined', {part: subject.part, ms});
				break;
			}

			case 'request': {
				logger.warn('request_quarantined', {identity: subject.identity, ms});
				break;
			}
		}
	}

	#logReleased(id: string): void {
		const {logger} = this.options;
		const subject = parseSubject(id);
		switch (subject.kind) {
			case 'part': {
				logger.info('part_released', {part: subject.part});
				break;
			}

			case 'request': {
				logger.info('request_released', {identity: subject.identity});
				break;
			}
		}
	}

	#publishBatches<T>(items: readonly T[], toMessage: (batch: readonly T[]) => QuarantineMessage): void {
		for (let index = 0; index < items.length; index += SUBJECTS_PER_MESSAGE) {
			this.options.publish(toMessage(items.slice(index, index + SUBJECTS_PER_MESSAGE)));
		}
	}
}
