/** What this daemon has read of one kind of objects, so that it can pass it on: the objects and the latest changes. */
import type {
	KindEvent, KindEvents, KindList, KindObject,
} from './kind-store.js';

/** Changes that are kept. A daemon that has missed more lists the kind again. */
const MAX_CHANGES = 1000;

type Change = {readonly revision: number; readonly event: KindEvent};

export class KindReplica {
	static create(): KindReplica {
		return new KindReplica();
	}

	readonly #objects = new Map<string, KindObject>();
	#changes: readonly Change[] = [];
	/** Changes up to this revision are not kept. */
	#floor = 0;
	#revision: number | undefined;
	#changedAt: number | undefined;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Undefined before the first list. */
	get revision(): number | undefined {
		return this.#revision;
	}

	/** Revision up to which a daemon needs to have read to know the same. */
	get changedAt(): number | undefined {
		return this.#changedAt;
	}

	/** Takes a complete list in, unless a newer state is known. */
	replace(objects: readonly KindObject[], revision: number): void {
		if (this.#revision !== undefined && revision < this.#revision) {
			return;
		}

		this.#objects.clear();
		for (const object of objects) {
			this.#objects.set(object.name, object);
		}

		this.#changes = [];
		this.#floor = revision;
		this.#revision = revision;
		this.#changedAt = revision;
	}

	/** Takes in the changes between `after` and `revision`. */
	apply(after: number, events: readonly KindEvent[], revision: number): void {
		if (this.#revision === undefined || after > this.#revision || revision <= this.#revision) {
			// Changes that do not follow on from what is known, or that are known.
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

		const changes = [...this.#changes, ...events.map(event => ({revision, event}))];
		const dropped = changes.slice(0, -MAX_CHANGES);
		this.#floor = dropped.at(-1)?.revision ?? this.#floor;
		this.#changes = changes.slice(dropped.length).filter(change => change.revision > this.#floor);
		this.#revision = revision;
	}

	list(): KindList {
		return this.#revision === undefined
			? {kind: 'unavailable', message: 'not listed yet'}
			: {kind: 'listed', objects: [...this.#objects.values()], revision: this.#revision};
	}

	/** Changes after `revision`, some of them perhaps for a second time, in their order. */
	since(revision: number): KindEvents {
		if (this.#revision === undefined) {
			return {kind: 'unavailable', message: 'not listed yet'};
		}

		if (revision < this.#floor) {
			return {kind: 'compacted'};
		}

		const events = this.#changes.filter(change => change.revision > revision).map(({event}) => event);
		return {kind: 'events', events, revision: Math.max(revision, this.#revision)};
	}
}
