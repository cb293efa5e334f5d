/**
 * Quarantine of prompt parts that crash engines, shared by all daemons.
 *
 * Daemons send each other the crashes that their requests met, and answers that clear a suspected part. Each daemon decides
 * on all of that. Quarantined parts are repeated to the linked daemons every second and saved in the store, so they reach
 * daemons that missed a message, were cut off or have restarted, also when all have.
 */
import type {Logger} from '../util/logger.js';
import {PartEvidence, type CrashReport} from './part-evidence.js';
import {setNewest} from './part-times.js';
import type {QuarantineMessage} from './quarantine-messages.js';

/** Time in ms after which requests with a quarantined part are tried again; engines may have been repaired by then. */
export const QUARANTINE_MS = 3_600_000;
/** Bound on the number of quarantined parts, so that the repeated lists stay small. The oldest ones are dropped. */
const MAX_PARTS = 200;
/** Time in ms after a crash for which its reason may still be decided. */
const DECISION_MS = 5000;
/** Number of parts in one message, so that it fits into one datagram. */
const PARTS_PER_MESSAGE = 12;
const REPEAT_INTERVAL_MS = 1000;

export type PromptQuarantineOptions = {
	readonly logger: Logger;
	/** Sends a message to the other daemons. */
	publish(message: QuarantineMessage): void;
	/** Called when this daemon quarantines a part or learns of one from another daemon, with the time in ms for which it stays. */
	save(part: string, remainingMs: number): void;
};

export class PromptQuarantine {
	static create(options: PromptQuarantineOptions): PromptQuarantine {
		return new PromptQuarantine(options);
	}

	readonly #evidence = PartEvidence.create();
	/** Ends of the quarantine by part, on the monotonic clock. */
	readonly #ends = new Map<string, number>();
	/** Latest time at which an answer to a prompt with the part was written, by requests of this daemon and as any daemon announced it. */
	readonly #ownSound = new Map<string, number>();
	readonly #announcedSound = new Map<string, number>();
	#repeatedAt = -Infinity;
	/** Time of the latest crash. */
	#crashedAt = -Infinity;

	private constructor(private readonly options: PromptQuarantineOptions) {}

	get size(): number {
		return this.#ends.size;
	}

	/** All quarantined parts. */
	list(now: number): ReadonlyArray<{readonly part: string; readonly remainingMs: number}> {
		return [...this.#ends].filter(([, end]) => end > now).map(([part, end]) => ({part, remainingMs: Math.round(end - now)}));
	}

	/** Returns the first of `parts` that is quarantined, and the time in ms until its end. */
	findQuarantined(parts: readonly string[], now: number): {readonly part: string; readonly remainingMs: number} | undefined {
		for (const part of parts) {
			const end = this.#ends.get(part);
			if (end !== undefined && end > now) {
				return {part, remainingMs: end - now};
			}
		}

		return undefined;
	}

	/** Records that the server of a request of this daemon closed the connection before the answer was sound. */
	reportCrash(report: CrashReport, now: number): void {
		if (report.parts.length > 0) {
			this.options.publish({kind: 'crashed', ...report});
			this.#recordCrash(report, now);
		}
	}

	/** Records that a request of this daemon with `parts` is being written. */
	reportSound(parts: readonly string[], now: number): void {
		for (const part of parts) {
			this.#evidence.recordSound(part, now);
			setNewest(this.#ownSound, part, now);
		}
	}

	/** Records that any server has begun an answer. */
	recordStart(now: number): void {
		this.#evidence.recordStart(now);
	}

	/** Applies a message of another daemon. */
	receive(message: QuarantineMessage, now: number): void {
		switch (message.kind) {
			case 'crashed': {
				this.#recordCrash(message, now);
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

	/** Quarantines a part and tells the linked daemons. Returns whether it was not quarantined. */
	add(part: string, remainingMs: number, now: number): boolean {
		const end = now + Math.min(remainingMs, QUARANTINE_MS);
		const known = this.#ends.get(part) ?? -Infinity;
		// Repeated lists differ by their delays.
		if (end <= known + REPEAT_INTERVAL_MS || end <= now) {
			return false;
		}

		this.#ends.set(part, end);
		this.#evidence.removeCrashesWith(part, now);
		if (known > now) {
			return false;
		}

		if (this.#ends.size > MAX_PARTS) {
			this.#ends.delete(this.#ends.keys().next().value!);
		}

		this.options.logger.warn('part_quarantined', {part, ms: Math.round(end - now)});
		this.options.publish({kind: 'quarantined', parts: [{part, remainingMs: Math.round(end - now)}]});
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

	#recordCrash(report: CrashReport, now: number): void {
		if (this.findQuarantined(report.parts, now)) {
			return;
		}

		this.#evidence.recordCrash(report, now);
		this.#crashedAt = now;
		this.#decide(now);
	}

	#decide(now: number): void {
		if (now - this.#crashedAt > DECISION_MS) {
			return;
		}

		for (let part = this.#evidence.findCrashingPart(now); part !== undefined; part = this.#evidence.findCrashingPart(now)) {
			if (!this.add(part, QUARANTINE_MS, now)) {
				return;
			}

			this.options.save(part, QUARANTINE_MS);
		}
	}

	/** Announces suspected parts that this daemon's requests have shown to be sound. */
	#publishSound(now: number): void {
		const parts = [];
		for (const [part, crashedAt] of this.#evidence.crashTimes) {
			const own = this.#ownSound.get(part) ?? -Infinity;
			const announced = this.#announcedSound.get(part) ?? -Infinity;
			// An older answer still clears earlier crashes, and shows that the part has been written before.
			if (own > announced && announced <= crashedAt && (own > crashedAt || own - announced > REPEAT_INTERVAL_MS)) {
				parts.push({part, ageMs: Math.round(now - own)});
				setNewest(this.#announcedSound, part, own);
			}
		}

		this.#publishBatches(parts, batch => ({kind: 'sound', parts: batch}));
	}

	#publishQuarantined(now: number): void {
		for (const [part, end] of this.#ends) {
			if (end <= now) {
				this.#ends.delete(part);
				this.options.logger.info('part_released', {part});
			}
		}

		this.#publishBatches(this.list(now), batch => ({kind: 'quarantined', parts: batch}));
	}

	#publishBatches<T>(parts: readonly T[], toMessage: (batch: readonly T[]) => QuarantineMessage): void {
		for (let index = 0; index < parts.length; index += PARTS_PER_MESSAGE) {
			this.options.publish(toMessage(parts.slice(index, index + PARTS_PER_MESSAGE)));
		}
	}
}
