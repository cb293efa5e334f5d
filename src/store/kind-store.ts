/**
 * Store of objects, which are identified by kind and name and share one revision counter. Each platform adapter
 * implements it.
 */
import type {AnswerLimit} from '../object-api/answer-body.js';
import type {CallOptions} from '../object-api/object-api.js';
import type {StorePosition} from './store-position.js';

/** An object as read from the store. */
export type KindObject = {
	readonly name: string;
	/** Revision of its last change. */
	readonly revision: number;
	readonly value: unknown;
};

/** The store, or the daemon that was queried, gave no usable answer. */
export type Unavailable = {
	readonly kind: 'unavailable';
	readonly message: string;
	/** The answer has begun and did not arrive whole, so the same read may fail in the same way again. */
	readonly isIncomplete?: boolean;
};

/** Limits of a read. `answer` limits the size of each answer and the time of its body, which `timeoutMs` covers without it. */
export type ReadOptions = CallOptions & {readonly answer?: AnswerLimit};

/** Time in ms that it took to receive what the store had answered: its confirmation of the position is that old. */
type Transfer = {readonly transferMs?: number};

/** A complete list of the objects of a kind. Objects may be newer than the position, never older. `bytes`: its size, if known. */
export type KindList =
	| StorePosition & Transfer & {readonly kind: 'listed'; readonly objects: readonly KindObject[]; readonly bytes?: number}
	| Unavailable;

export type KindEvent =
	| {readonly kind: 'changed'; readonly object: KindObject}
	| {readonly kind: 'deleted'; readonly name: string};

/**
 * Events after a position. The kind has to be listed again if the store has discarded that part of its history
 * (`compacted`), has come back from an older copy since (`restored`), or if the events exceed `answer.maxBytes` (`oversized`).
 */
export type KindEvents =
	| StorePosition & Transfer & {readonly kind: 'events'; readonly events: readonly KindEvent[]}
	| {readonly kind: 'compacted'}
	| {readonly kind: 'oversized'; readonly message: string}
	| {readonly kind: 'restored'; readonly era: number}
	| Unavailable;

const nameOf = (event: KindEvent): string => event.kind === 'changed' ? event.object.name : event.name;

/** The last event of each object, in their order. */
export function latestEvents(events: readonly KindEvent[]): readonly KindEvent[] {
	const latest = new Map<string, KindEvent>();
	for (const event of events) {
		latest.delete(nameOf(event));
		latest.set(nameOf(event), event);
	}

	return [...latest.values()];
}

export type CreateOutcome =
	| {readonly kind: 'created'}
	| {readonly kind: 'exists'}
	| Unavailable;

/** Methods do not throw when the store fails; they return the failure. */
export type KindStore = {
	/** With `isStaleAllowed` the call is cheaper and may return data that is seconds old. */
	list(kind: string, options: ReadOptions & {readonly isStaleAllowed?: boolean}): Promise<KindList>;
	/** Waits up to `waitMs` for changes after `position`. */
	watch(kind: string, position: StorePosition, waitMs: number, options: ReadOptions): Promise<KindEvents>;
	create(kind: string, name: string, value: unknown, options: CallOptions): Promise<CreateOutcome>;
	close(): Promise<void>;
};
