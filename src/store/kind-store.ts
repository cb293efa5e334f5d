/** A store that keeps objects by kind and name under one revision counter. The adapter of a platform implements it. */
import type {CallOptions} from '../object-api/object-api.js';

/** An object as it was read. */
export type KindObject = {
	readonly name: string;
	/** Revision of its last change. */
	readonly revision: number;
	readonly value: unknown;
};

/** The store, or the daemon that was asked, gave no answer that can be used. */
export type Unavailable = {readonly kind: 'unavailable'; readonly message: string};

/** A complete list of a kind, as of one revision or later. */
export type KindList =
	| {readonly kind: 'listed'; readonly objects: readonly KindObject[]; readonly revision: number}
	| Unavailable;

export type KindEvent =
	| {readonly kind: 'changed'; readonly object: KindObject}
	| {readonly kind: 'deleted'; readonly name: string};

/** Events after a revision. `compacted`: the store has dropped that part of its history, so the kind has to be listed again. */
export type KindEvents =
	| {readonly kind: 'events'; readonly events: readonly KindEvent[]; readonly revision: number}
	| {readonly kind: 'compacted'}
	| Unavailable;

export type CreateOutcome =
	| {readonly kind: 'created'}
	| {readonly kind: 'exists'}
	| Unavailable;

/** Methods do not throw for failures of the store; they return them. */
export type KindStore = {
	/** `isStaleAllowed` is cheaper and may return data that is seconds old. */
	list(kind: string, options: CallOptions & {readonly isStaleAllowed?: boolean}): Promise<KindList>;
	/** Waits up to `waitMs` for changes after `revision`. */
	watch(kind: string, revision: number, waitMs: number, options: CallOptions): Promise<KindEvents>;
	create(kind: string, name: string, value: unknown, options: CallOptions): Promise<CreateOutcome>;
	close(): Promise<void>;
};
