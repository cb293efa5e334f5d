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

	/** Whether the host refused the connection, which proves that no process listens at the address. */
	get isRefused(): boolean {
		return isRefusal(this.cause, 0);
	}
}

/** Libraries wrap the error of the socket. */
const MAX_WRAPS = 4;

function isRefusal(err: unknown, depth: number): boolean {
	if (!(err instanceof Error) || depth > MAX_WRAPS) {
		return false;
	}

	return ('code' in err && err.code === 'ECONNREFUSED') || isRefusal(err.cause, depth + 1);
}
