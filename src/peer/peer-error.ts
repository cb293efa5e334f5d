/** Errors of calls between daemons. */
import type {PeerService} from './protocol.js';

/** A call to a peer got no valid answer. Whether the peer has handled it is unknown. */
export class PeerError extends Error {
	override readonly name = 'PeerError';

	constructor(
		/** Procedure that was called. */
		readonly step: keyof PeerService,
		/** IP:PORT of the peer. */
		readonly peer: string,
		cause: unknown,
	) {
		super(`${step} call to peer ${peer} failed: ${cause instanceof Error ? cause.message : String(cause)}`, {cause});
	}

	/** Whether the connection was refused, which proves that no process listens on the address. */
	get isRefused(): boolean {
		return isConnectionRefused(this.cause, 0);
	}
}

/** Libraries wrap the socket error in `cause`; this is the depth to which it is searched. */
const MAX_CAUSE_DEPTH = 4;

function isConnectionRefused(err: unknown, depth: number): boolean {
	if (!(err instanceof Error) || depth > MAX_CAUSE_DEPTH) {
		return false;
	}

	return ('code' in err && err.code === 'ECONNREFUSED') || isConnectionRefused(err.cause, depth + 1);
}
