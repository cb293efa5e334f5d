/** The open reservations of a pool and the daemons that own them. */
import type {Sender} from '../peer/protocol.js';
import {isLong, type LengthClass} from '../util/length-class.js';

/** A reservation expires this long after its daemon last listed it. */
export const RESERVATION_TIMEOUT_MS = 5000;

/** One granted or registered reservation. */
export type OpenReservation = {
	readonly id: string;
	readonly sender: Sender;
	readonly workspace: string;
	readonly lengthClass: LengthClass;
	readonly servers: readonly string[];
	readonly lastSeenMs: number;
	/** Whether the prefill of its prompt may still be running at any server. */
	readonly prefilling: boolean;
};

export class ReservationRegistry {
	readonly #open = new Map<string, OpenReservation>();
	/** Time at which each recently ended reservation ended, oldest first. */
	readonly #closed = new Map<string, number>();

	get size(): number {
		return this.#open.size;
	}

	get(id: string): OpenReservation | undefined {
		return this.#open.get(id);
	}

	put(reservation: OpenReservation): void {
		this.#open.set(reservation.id, reservation);
	}

	/** Records that the daemon listed the reservation again. */
	noteSeen(id: string, now: number): void {
		const reservation = this.#open.get(id);
		if (reservation) {
			this.#open.set(id, {...reservation, lastSeenMs: now});
		}
	}

	notePrefilled(id: string): void {
		const reservation = this.#open.get(id);
		if (reservation) {
			this.#open.set(id, {...reservation, prefilling: false});
		}
	}

	remove(id: string): OpenReservation | undefined {
		const reservation = this.#open.get(id);
		this.#open.delete(id);
		return reservation;
	}

	/** Removes reservations that no daemon has listed for {@link RESERVATION_TIMEOUT_MS}. */
	removeExpired(now: number): readonly OpenReservation[] {
		const expired = [...this.#open.values()].filter(reservation => now - reservation.lastSeenMs >= RESERVATION_TIMEOUT_MS);
		for (const {id} of expired) {
			this.#open.delete(id);
		}

		return expired;
	}

	/** Records an ended reservation for {@link RESERVATION_TIMEOUT_MS}, so that a delayed keep-alive does not open it again. */
	noteClosed(id: string, now: number): void {
		this.#closed.set(id, now);
		for (const [oldest, closedAtMs] of this.#closed) {
			if (now - closedAtMs < RESERVATION_TIMEOUT_MS) {
				break;
			}

			this.#closed.delete(oldest);
		}
	}

	wasClosed(id: string, now: number): boolean {
		return now - (this.#closed.get(id) ?? -Infinity) < RESERVATION_TIMEOUT_MS;
	}

	/** Number of long prompts being prefilled. A gang counts once, since its members prefill one after another. */
	longPrefills(): number {
		let prefills = 0;
		for (const {lengthClass, prefilling} of this.#open.values()) {
			prefills += prefilling && isLong(lengthClass) ? 1 : 0;
		}

		return prefills;
	}
}
