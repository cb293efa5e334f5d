/**
 * Interface to the platform's object API: versioned objects with conditional updates and watches.
 *
 * Protocol (HTTP, JSON):
 * - `GET /v1/objects/<key>`: 200 `{key, version, value}` or 404
 * - `PUT /v1/objects/<key>` with `If-Match: <version>` or `If-None-Match: *`, body = value: 200 `{version}` or 412 `{version}` (0 when absent)
 * - `DELETE /v1/objects/<key>` with `If-Match: <version>`: 200 or 412
 * - `GET /v1/objects?prefix=<prefix>`: 200 `{objects: [{key, version, value}]}`
 * - `GET /v1/watch/<key>?after=<version>&waitMs=<ms>`: 200 `{key, version, value}` as soon as the version exceeds `after`, or 204 after `waitMs`
 * - 429 or 503: the request was refused before it had any effect.
 *
 * Versions are integers from one counter for the whole store, so a later write to any object has a higher version.
 */

/** An object and the version at which it was read. `value` is parsed JSON. */
export type StoredObject = {
	readonly key: string;
	readonly version: number;
	readonly value: unknown;
};

/** Precondition of a write: the object is absent or has exactly this version. */
export type WriteCondition =
	| {readonly kind: 'absent'}
	| {readonly kind: 'version'; readonly version: number};

/** Outcome of a read. `unavailable` implies nothing about the object. */
export type ReadOutcome =
	| {readonly kind: 'found'; readonly object: StoredObject}
	| {readonly kind: 'absent'}
	| {readonly kind: 'unavailable'; readonly message: string};

/** Outcome of a list by key prefix. */
export type ListOutcome =
	| {readonly kind: 'listed'; readonly objects: readonly StoredObject[]}
	| {readonly kind: 'unavailable'; readonly message: string};

/**
 * Outcome of a conditional write.
 * - `written`: took effect and created `version`
 * - `conflict`: did not take effect; the object's current version is `version` (0 if absent)
 * - `rejected`: did not take effect, for example because of a rate limit or an outage before the write
 * - `unknown`: there was no answer; the write may have taken effect or may still take effect
 */
export type WriteOutcome =
	| {readonly kind: 'written'; readonly version: number}
	| {readonly kind: 'conflict'; readonly version: number}
	| {readonly kind: 'rejected'; readonly message: string}
	| {readonly kind: 'unknown'; readonly message: string};

/** Outcome of a watch. */
export type WatchOutcome =
	| {readonly kind: 'changed'; readonly object: StoredObject}
	| {readonly kind: 'unchanged'}
	| {readonly kind: 'unavailable'; readonly message: string};

/** Time limit and cancellation of one call. */
export type CallOptions = {
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

/** Client of the object API. Methods do not throw when the platform fails; they return the failure. */
export type ObjectApi = {
	read(key: string, options: CallOptions): Promise<ReadOutcome>;
	list(prefix: string, options: CallOptions): Promise<ListOutcome>;
	write(key: string, value: unknown, condition: WriteCondition, options: CallOptions): Promise<WriteOutcome>;
	remove(key: string, version: number, options: CallOptions): Promise<WriteOutcome>;
	/** Waits up to `waitMs` for a version higher than `afterVersion`. */
	watch(key: string, afterVersion: number, waitMs: number, options: CallOptions): Promise<WatchOutcome>;
	close(): Promise<void>;
};
