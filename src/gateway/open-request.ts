/** A request that has been read from a client's connection, or is being read, and whose response is not complete. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Failure} from '../util/failure.js';
import type {RequestFlow} from './request-flow.js';

export type OpenRequestState =
	/** The body is being read. `cancel` ends the request with a failure. */
	| {readonly kind: 'reading'; cancel(failed: Failure): void}
	| {readonly kind: 'running'; readonly flow: RequestFlow};

export type OpenRequest = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Id in logs. */
	readonly id: string;
	/** Time on the monotonic clock, in ms. */
	readonly arrivedAt: number;
	state: OpenRequestState;
};

/** What the log tells of an open request that is ended from outside. `answered`: its response waits for the client to read. */
export function describeOpenRequest({
	id, res, arrivedAt, state,
}: OpenRequest, now: number): {
		readonly request: string; readonly phase: 'reading' | 'running' | 'answered'; readonly sent: boolean; readonly server: string | undefined; readonly age_ms: number;
	} {
	const progress = state.kind === 'running' ? state.flow.progress : undefined;
	return {
		request: id,
		phase: res.writableEnded ? 'answered' : state.kind,
		sent: progress?.isSent ?? false,
		server: progress?.server,
		age_ms: Math.round(now - arrivedAt),
	};
}
