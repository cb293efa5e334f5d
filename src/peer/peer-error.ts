/** Transport errors between daemons. */
import type {PeerService} from './protocol.js';

/** A call to a peer that got no valid answer. Whether the peer handled it is unknown. */
export class PeerError extends Error {
	override readonly name = 'PeerError';

	constructor(
		/** Procedure that was called. */
		readonly step: keyof PeerService,
		/** IP:PORT of the peer. */
		readonly peer: string,
		cause: unknown,
	) {
		super(`${step} at peer ${peer}: ${cause instanceof Error ? cause.message : String(cause)}`, {cause});
	}
}
