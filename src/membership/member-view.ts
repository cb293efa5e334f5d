/** Which members live, from successive listings of their registrations. */
import type {StoredObject} from '../object-api/object-api.js';
import {type Member, memberSchema} from './directory.js';

/** A member is dropped when its registration has not changed for this long. */
export const MEMBER_TIMEOUT_MS = 35_000;

/** A registration that has not changed for this long may be removed; longer than a disconnected coordinator goes on. */
const REMOVABLE_AFTER_MS = 900_000;

/** Time between two listings that counts at most; longer gaps are outages, in which nobody could renew. */
const COUNTED_GAP_MS = 6000;

/** While this daemon's own registration is this old, writes fail, and the age of the others says nothing. */
const OWN_RENEWAL_EXPECTED_MS = 15_000;

/** State of one incarnation of a daemon. `unknown` when there was not enough time to tell. */
export type IncarnationState = 'live' | 'replaced' | 'gone' | 'unknown';

type Entry = {
	member: Member;
	/** Listed time in ms since the registration changed. */
	unchangedMs: number;
};

/** Follows listings; all times are monotonic milliseconds of this daemon. */
export class MemberView {
	readonly #entries = new Map<string, Entry>();
	/** Listed time in ms for which an id that was asked for has been absent. */
	readonly #absentMs = new Map<string, number>();
	#listedAtMs: number | undefined;

	constructor(private readonly selfId: string) {}

	/** Live members, ordered by id. */
	members(): readonly Member[] {
		return [...this.#entries.values()]
			.filter(entry => this.#isLive(entry))
			.map(entry => entry.member)
			.sort((a, b) => (a.id < b.id ? -1 : 1));
	}

	/** Takes over one complete listing. Objects that are no registrations are ignored. */
	applyListing(objects: readonly StoredObject[], now: number): void {
		const elapsedMs = Math.min(now - (this.#listedAtMs ?? now), COUNTED_GAP_MS);
		this.#listedAtMs = now;
		const listed = objects.map(object => memberSchema.safeParse(object.value)).filter(parsed => parsed.success).map(parsed => parsed.data);
		this.#refresh(listed);
		const ownUnchangedMs = this.#entries.get(this.selfId)?.unchangedMs ?? Infinity;
		if (ownUnchangedMs + elapsedMs <= OWN_RENEWAL_EXPECTED_MS) {
			this.#age(elapsedMs);
		} else {
			this.#ageOwn(elapsedMs);
		}
	}

	/** Monotonic ms of the last listing, or undefined before the first. */
	get listedAtMs(): number | undefined {
		return this.#listedAtMs;
	}

	/** Whether the registration of `id` belongs to a daemon that ended without removing it. */
	isRemovable(id: string): boolean {
		return id !== this.selfId && (this.#entries.get(id)?.unchangedMs ?? 0) >= REMOVABLE_AFTER_MS;
	}

	/** Says what became of an incarnation of a daemon. An absent daemon is `gone` after the member time-out. */
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

	/** This daemon lives, however old its registration is. */
	#isLive({member, unchangedMs}: Entry): boolean {
		return member.id === this.selfId || unchangedMs < MEMBER_TIMEOUT_MS;
	}

	#refresh(listed: readonly Member[]): void {
		const ids = new Set(listed.map(member => member.id));
		for (const member of listed) {
			const known = this.#entries.get(member.id);
			this.#absentMs.delete(member.id);
			if (known?.member.renewal !== member.renewal || known.member.incarnation !== member.incarnation) {
				this.#entries.set(member.id, {member, unchangedMs: 0});
			}
		}

		for (const id of this.#entries.keys()) {
			if (!ids.has(id)) {
				this.#entries.delete(id);
			}
		}
	}

	#ageOwn(elapsedMs: number): void {
		const own = this.#entries.get(this.selfId);
		if (own) {
			own.unchangedMs += elapsedMs;
		}
	}

	#age(elapsedMs: number): void {
		for (const entry of this.#entries.values()) {
			entry.unchangedMs += elapsedMs;
		}

		for (const [id, absentMs] of this.#absentMs) {
			this.#absentMs.set(id, absentMs + elapsedMs);
		}
	}
}
