/**
 * Saves quarantined subjects in the store, for daemons that start when no other one runs.
 *
 * The objects are of the kind of the registrations of daemons, so that one read returns both.
 */
import {z} from 'zod';
import type {KindObject, KindStore} from '../store/kind-store.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import {QUARANTINE_MS, type RefusedSubject} from './prompt-quarantine.js';

const CALL_TIMEOUT_MS = 1000;
/** Pause in ms between attempts while the store is unavailable. */
const RETRY_MS = 1000;

/** The end is in Unix time in ms. Daemons of earlier versions, which know no other subjects, read the field `quarantinedPart`. */
const recordSchema = z.object({quarantinedPart: z.string().min(1).max(64), end: z.number()}).readonly();

export type QuarantineStoreOptions = {
	readonly kind: string;
	readonly store: KindStore;
	readonly logger: Logger;
	/** Unix time in ms. */
	readonly unixTime: () => number;
	/** Whether this daemon writes on behalf of the others. Asked before each attempt, since it may change. */
	isWriter(): boolean;
};

export class QuarantineStore {
	static create(options: QuarantineStoreOptions): QuarantineStore {
		return new QuarantineStore(options);
	}

	readonly #controller = new AbortController();

	private constructor(private readonly options: QuarantineStoreOptions) {}

	/** Saves a subject whose quarantine ends in `remainingMs`. Retries until then while the store is unavailable. */
	async save(subject: string, remainingMs: number): Promise<void> {
		const {
			kind, store, logger, unixTime, isWriter,
		} = this.options;
		const {signal} = this.#controller;
		const end = unixTime() + remainingMs;
		const name = objectName(subject, end);
		while (!signal.aborted && unixTime() < end) {
			if (isWriter()) {
				const outcome = await store.create(kind, name, {quarantinedPart: subject, end: Math.round(end)}, {timeoutMs: CALL_TIMEOUT_MS, signal});
				if (outcome.kind !== 'unavailable') {
					logger.info('quarantine_saved', {subject, outcome: outcome.kind});
					return;
				}

				logger.warn('quarantine_not_saved', {subject, message: outcome.message});
			}

			await pause(RETRY_MS, signal);
		}
	}

	/** Saves those of the subjects that are not among the objects `names` of a store that has come back from an older copy. */
	saveMissing(subjects: readonly RefusedSubject[], names: ReadonlySet<string>): void {
		for (const {subject, remainingMs} of subjects) {
			if (!names.has(objectName(subject, this.options.unixTime() + remainingMs))) {
				void this.save(subject, remainingMs);
			}
		}
	}

	close(): void {
		this.#controller.abort();
	}
}

/** A subject that is quarantined again needs another object, as the former one is not replaced. */
const objectName = (subject: string, end: number): string => `quarantined-${subject}-${Math.floor(end / QUARANTINE_MS)}`;

/** Returns undefined for an object that is no quarantined subject. `unixTime` is in ms. */
export function readQuarantined({value}: KindObject, unixTime: number): RefusedSubject | undefined {
	const parsed = recordSchema.safeParse(value);
	return parsed.success ? {subject: parsed.data.quarantinedPart, remainingMs: parsed.data.end - unixTime} : undefined;
}
