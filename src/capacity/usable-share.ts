/**
 * The share of a limit that a coordinator may use, such that it and its unconfirmed predecessors together stay within
 * the limit. When disconnected, the first in the chain of predecessors keeps half of the limit, the next one half of the
 * rest, and so on. The current coordinator uses what remains.
 */

/**
 * What a coordinator may grant.
 * - `full`: the lease is valid; `unconfirmed` predecessors may still use their disconnected share
 * - `disconnected`: the lease could not be renewed, and a successor may have taken over
 * - `none`: the lease is not held, was released, or a successor is known
 */
export type GrantMode =
	| {readonly kind: 'full'; readonly unconfirmed: number}
	| {readonly kind: 'disconnected'; readonly unconfirmed: number}
	| {readonly kind: 'none'};

/** Share of `limit` (a count) that a coordinator in `mode` may use. */
export function usableShare(limit: number, mode: GrantMode): number {
	switch (mode.kind) {
		case 'full': {
			return limitAfterPredecessors(limit, mode.unconfirmed);
		}

		case 'disconnected': {
			return Math.floor(limitAfterPredecessors(limit, mode.unconfirmed) / 2);
		}

		case 'none': {
			return 0;
		}
	}
}

/** The part of `limit` that remains after the shares of `unconfirmed` successive predecessors. */
function limitAfterPredecessors(limit: number, unconfirmed: number): number {
	let left = limit;
	for (let index = 0; index < unconfirmed; index++) {
		left -= Math.floor(left / 2);
	}

	return left;
}
