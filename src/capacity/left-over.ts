/** Finds streams and segments at an engine that no daemon will use or free any more. */
import type {EngineListing} from '../backend/engine-protocol.js';
import type {IncarnationState} from '../membership/member-view.js';
import {parseReservationId} from './reservation-id.js';

/** Ids of the streams and segments to free at one engine. */
export type LeftOver = {
	readonly streams: readonly string[];
	readonly segments: readonly string[];
};

/** Lookup of open reservations and of the daemons that own them. */
export type OwnerView = {
	isOpen(reservation: string): boolean;
	incarnationState(daemon: string, incarnation: string): IncarnationState;
};

/**
 * Selects items without an open reservation whose daemon has ended or whose deadline has passed. Items of an open
 * reservation are never selected.
 */
export function findLeftOver(listing: EngineListing, owners: OwnerView): LeftOver {
	const isLeftOver = (item: {readonly id: string; readonly remainingMs: number}): boolean => {
		const owner = parseReservationId(item.id);
		if (!owner) {
			return item.remainingMs <= 0;
		}

		if (owners.isOpen(owner.reservation)) {
			return false;
		}

		const state = owners.incarnationState(owner.daemon, owner.incarnation);
		return item.remainingMs <= 0 || state === 'replaced' || state === 'gone';
	};

	return {
		streams: listing.streams.filter(stream => isLeftOver(stream)).map(stream => stream.id),
		segments: listing.segments.filter(segment => isLeftOver(segment)).map(segment => segment.id),
	};
}
