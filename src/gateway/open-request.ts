/** A request that has been read from a client's connection, or is being read, and whose response is not complete. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Failure} from '../util/failure.js';
import type {RequestFlow} from './request-flow.js';
import type {ClientMetadata} from './wire-format.js';

export type OpenRequestState =
	/** The body is being read. `cancel` ends the request with a failure. */
	| {readonly kind: 'reading'; cancel(failed: Failure): void}
	| {readonly kind: 'running'; readonly flow: RequestFlow};

export type OpenRequest = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Another host sent the request on. */
	readonly isRelayed: boolean;
	/** Undefined until the headers have been decoded. */
	metadata: ClientMetadata | undefined;
	/** Time on the monotonic clock, in ms. */
	readonly arrivedAt: number;
	/** Time at which its owner gives it a final response at the latest. */
	deadline: number;
	/** The deadline had passed at the last check. */
	isOverdue: boolean;
	state: OpenRequestState;
};

/** Id of a request in logs. */
export const requestId = ({metadata}: OpenRequest): string => metadata?.attemptId ?? 'none';

/** What the log tells of an open request that is not ended by its owner. `answered`: its response waits for the client to read. */
export function describeOpenRequest(open: OpenRequest, now: number): {
	readonly request: string; readonly phase: 'reading' | 'running' | 'answered'; readonly sent: boolean; readonly server: string | undefined; readonly age_ms: number;
} {
	const {res, arrivedAt, state} = open;
	const progress = state.kind === 'running' ? state.flow.progress : undefined;
	return {
		request: requestId(open),
		phase: res.writableEnded ? 'answered' : state.kind,
		sent: progress?.isSent ?? false,
		server: progress?.server,
		age_ms: Math.round(now - arrivedAt),
	};
}
