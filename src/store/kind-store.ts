/**
 * Store of objects, which are identified by kind and name and share one revision counter. Each platform adapter
 * implements it.
 */
import type {CallOptions} from '../object-api/object-api.js';

/** An object as read from the store. */
export type KindObject = {
	readonly name: string;
	/** Revision of its last change. */
	readonly revision: number;
	readonly value: unknown;
};

/** The store, or the daemon that was queried, gave no usable answer. */
export type Unavailable = {readonly kind: 'unavailable'; readonly message: string};

/** A complete list of the objects of a kind. Objects may be newer than `revision`, never older. */
export type KindList =
	| {readonly kind: 'listed'; readonly objects: readonly KindObject[]; readonly revision: number; readonly era?: number}
	| Unavailable;

export type KindEvent =
	| {readonly kind: 'changed'; readonly object: KindObject}
	| {readonly kind: 'deleted'; readonly name: string};

/**
 * Events after a revision. `compacted`: the store has discarded that part of its history, so the kind has to be listed
 * again.
 */
export type KindEvents =
	| {readonly kind: 'events'; readonly events: readonly KindEvent[]; readonly revision: number; readonly era?: number}
	| {readonly kind: 'compacted'; readonly era?: number}
	| Unavailable;

export type CreateOutcome =
	| {readonly kind: 'created'}
	| {readonly kind: 'exists'}
	| Unavailable;

/** Methods do not throw when the store fails; they return the failure. */
export type KindStore = {
	/** With `isStaleAllowed` the call is cheaper and may return data that is seconds old. */
	list(kind: string, options: CallOptions & {readonly isStaleAllowed?: boolean}): Promise<KindList>;
	/** Waits up to `waitMs` for changes after `revision`. */
	watch(kind: string, revision: number, waitMs: number, options: CallOptions): Promise<KindEvents>;
	create(kind: string, name: string, value: unknown, options: CallOptions): Promise<CreateOutcome>;
	close(): Promise<void>;
};
