/** In-memory copy of the objects of one kind and of their latest changes, which this daemon serves to other daemons. */
import {
	latestEvents, type KindEvent, type KindEvents, type KindList, type KindObject,
} from './kind-store.js';
import type {StorePosition} from './store-position.js';

/** Number of changes kept. A daemon that is further behind lists the kind again. */
const MAX_RETAINED_CHANGES = 1000;

type Change = {readonly revision: number; readonly event: KindEvent};

/** `latest`: only the latest version of an object counts, and earlier ones are not kept. */
export type RetainedChanges = 'all' | 'latest';

export class KindReplica {
	static create(retained: RetainedChanges = 'all'): KindReplica {
		return new KindReplica(retained);
	}

	readonly #objects = new Map<string, KindObject>();
	#changes: readonly Change[] = [];
	/** Changes up to and including this revision have been discarded. Revisions are of the era. */
	#compactedRevision = 0;
	#revision: number | undefined;
	#era = 0;
	#changedAt: number | undefined;

	private constructor(private readonly retained: RetainedChanges) {}

	/** Position of this copy; undefined before the first list. */
	get position(): StorePosition | undefined {
		return this.#revision === undefined ? undefined : {era: this.#era, revision: this.#revision};
	}

	/** Position of the last change. A daemon that has read up to it has the same objects as this copy. */
	get lastChange(): StorePosition | undefined {
		return this.#changedAt === undefined ? undefined : {era: this.#era, revision: this.#changedAt};
	}

	/** Replaces all objects with a complete list. A list of an earlier revision of the same era is ignored. Returns whether it was used. */
	replace(objects: readonly KindObject[], {era, revision}: StorePosition): boolean {
		if (this.#revision !== undefined && era === this.#era && revision < this.#revision) {
			return false;
		}

		this.#objects.clear();
		for (const object of objects) {
			this.#objects.set(object.name, object);
		}

		this.#changes = [];
		this.#era = era;
		this.#compactedRevision = revision;
		this.#revision = revision;
		this.#changedAt = revision;
		return true;
	}

	/** Applies the changes between `after` and `revision`, both of the same era. */
	apply(after: StorePosition, events: readonly KindEvent[], revision: number): void {
		if (this.#revision === undefined || after.era !== this.#era || after.revision > this.#revision || revision <= this.#revision) {
			// There is a gap before these changes, or they have been applied already, or belong to another history.
			return;
		}

		this.#changedAt = events.length > 0 ? revision : this.#changedAt;
		for (const event of events) {
			if (event.kind === 'changed') {
				this.#objects.set(event.object.name, event.object);
			} else {
				this.#objects.delete(event.name);
			}
		}

		const changes = this.#retain([...this.#changes, ...events.map(event => ({revision, event}))]);
		const dropped = changes.slice(0, -MAX_RETAINED_CHANGES);
		this.#compactedRevision = dropped.at(-1)?.revision ?? this.#compactedRevision;
		this.#changes = changes.slice(dropped.length).filter(change => change.revision > this.#compactedRevision);
		this.#revision = revision;
	}

	list(): KindList {
		return this.#revision === undefined
			? {kind: 'unavailable', message: 'this daemon has not listed the kind yet'}
			: {
				kind: 'listed', objects: [...this.#objects.values()], era: this.#era, revision: this.#revision,
			};
	}

	/** Changes after the position, in order. May repeat changes that the caller has already read. */
	changesSince({era, revision}: StorePosition): KindEvents {
		if (this.#revision === undefined) {
			return {kind: 'unavailable', message: 'this daemon has not listed the kind yet'};
		}

		if (era !== this.#era) {
			return {kind: 'restored', era: this.#era};
		}

		if (revision < this.#compactedRevision) {
			return {kind: 'compacted'};
		}

		const events = this.#changes.filter(change => change.revision > revision).map(({event}) => event);
		return {
			kind: 'events', events, era: this.#era, revision: Math.max(revision, this.#revision),
		};
	}

	#retain(changes: readonly Change[]): readonly Change[] {
		switch (this.retained) {
			case 'all': {
				return changes;
			}

			case 'latest': {
				const latest = new Set(latestEvents(changes.map(({event}) => event)));
				return changes.filter(({event}) => latest.has(event));
			}
		}
	}
}
