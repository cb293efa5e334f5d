/** Determines which members are alive from successive listings of their registrations. */
import type {StoredObject} from '../object-api/object-api.js';
import {type Member, memberSchema} from './directory.js';

/** Time in ms after which a member whose registration has not changed is no longer considered alive. */
export const MEMBER_TIMEOUT_MS = 35_000;

/**
 * Time in ms after which an unchanged registration may be removed. Longer than a disconnected coordinator continues to
 * work.
 */
const REMOVAL_TIMEOUT_MS = 900_000;

/**
 * Largest time in ms counted between two listings. A longer gap is an outage of the object API, during which no member
 * could renew.
 */
const MAX_COUNTED_GAP_MS = 6000;

/**
 * When this daemon's own registration is older than this in ms, writes are failing, and the age of other registrations
 * proves nothing.
 */
const MAX_OWN_UNCHANGED_MS = 15_000;

/** State of one incarnation of a daemon. `unknown`: it has not been absent long enough to be considered gone. */
export type IncarnationState = 'live' | 'replaced' | 'gone' | 'unknown';

type Entry = {
	member: Member;
	/** Counted time in ms since the registration changed, see {@link MAX_COUNTED_GAP_MS}. */
	unchangedMs: number;
};

/** Tracks members over successive listings. All times are monotonic milliseconds of this daemon. */
export class MemberView {
	readonly #entries = new Map<string, Entry>();
	/** Counted time in ms for which an id has been absent since its state was first queried. */
	readonly #absentMs = new Map<string, number>();
	#lastListingMs: number | undefined;

	constructor(private readonly selfId: string) {}

	/** Live members, ordered by id. */
	members(): readonly Member[] {
		return [...this.#entries.values()]
			.filter(entry => this.#isLive(entry))
			.map(entry => entry.member)
			.sort((a, b) => (a.id < b.id ? -1 : 1));
	}

	/** Applies one complete listing. Objects that are not valid registrations are ignored. */
	applyListing(objects: readonly StoredObject[], now: number): void {
		const elapsedMs = Math.min(now - (this.#lastListingMs ?? now), MAX_COUNTED_GAP_MS);
		this.#lastListingMs = now;
		const listed = objects.map(object => memberSchema.safeParse(object.value)).filter(parsed => parsed.success).map(parsed => parsed.data);
		this.#updateEntries(listed);
		const ownUnchangedMs = this.#entries.get(this.selfId)?.unchangedMs ?? Infinity;
		if (ownUnchangedMs + elapsedMs <= MAX_OWN_UNCHANGED_MS) {
			this.#addElapsed(elapsedMs);
		} else {
			this.#addElapsedToOwn(elapsedMs);
		}
	}

	/** Monotonic ms of the last listing, or undefined before the first. */
	get listedAtMs(): number | undefined {
		return this.#lastListingMs;
	}

	/** Whether the registration of `id` was left behind by a daemon that terminated without removing it. */
	isRemovable(id: string): boolean {
		return id !== this.selfId && (this.#entries.get(id)?.unchangedMs ?? 0) >= REMOVAL_TIMEOUT_MS;
	}

	/** Returns the state of an incarnation of a daemon. An absent daemon is `gone` after {@link MEMBER_TIMEOUT_MS}. */
	incarnationState(id: string, incarnation: string): IncarnationState {
		const entry = this.#entries.get(id);
		if (entry) {
			if (entry.member.incarnation !== incarnation) {
				return 'replaced';
			}

			return this.#isLive(entry) ? 'live' : 'gone';
		}

		const absentMs = this.#absentMs.get(id) ?? 0;
		this.#absentMs.set(id, absentMs);
		return absentMs >= MEMBER_TIMEOUT_MS ? 'gone' : 'unknown';
	}

	/** This daemon always counts as alive, regardless of the age of its registration. */
	#isLive({member, unchangedMs}: Entry): boolean {
		return member.id === this.selfId || unchangedMs < MEMBER_TIMEOUT_MS;
	}

	#updateEntries(listed: readonly Member[]): void {
		const ids = new Set(listed.map(member => member.id));
		for (const member of listed) {
			const previous = this.#entries.get(member.id);
			this.#absentMs.delete(member.id);
			if (previous?.member.renewal !== member.renewal || previous.member.incarnation !== member.incarnation) {
				this.#entries.set(member.id, {member, unchangedMs: 0});
			}
		}

		for (const id of this.#entries.keys()) {
			if (!ids.has(id)) {
				this.#entries.delete(id);
			}
		}
	}

	#addElapsedToOwn(elapsedMs: number): void {
		const own = this.#entries.get(this.selfId);
		if (own) {
			own.unchangedMs += elapsedMs;
		}
	}

	#addElapsed(elapsedMs: number): void {
		for (const entry of this.#entries.values()) {
			entry.unchangedMs += elapsedMs;
		}

		for (const [id, absentMs] of this.#absentMs) {
			this.#absentMs.set(id, absentMs + elapsedMs);
		}
	}
}
