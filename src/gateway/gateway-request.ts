/** A client request that has been read and matched to a route. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestIdentity} from '../quarantine/request-identity.js';
import {latestWaitAt} from '../scheduling/wait-decision.js';
import type {Urgency} from '../scheduling/dispatch-queue.js';
import type {RoomShares} from './room-shares.js';
import type {Route, Service, Workspace} from './serving-configuration.js';
import type {ClientMetadata} from './wire-format.js';

/** What the choice of a destination for a request depends on. */
export type RoutedRequest = {
	/** Id in logs and in the placement table. */
	readonly id: string;
	readonly metadata: ClientMetadata;
	/** Another host, which has no path to the backend servers, sent the request on to this one. */
	readonly isRelayed: boolean;
	readonly route: Route;
	readonly service: Service;
	readonly workspace: Workspace | undefined;
	/** 32-bit hash of the name of its workspace; absent where the configuration leaves no room to share between workspaces. */
	readonly workspaceKey?: number;
	/** Priority of the workspace, or else of the route; 0 is the most urgent. */
	readonly rank: number;
	/** Urgency for the engine, from 0 (first) to 9; undefined where all requests to the service have one rank. */
	readonly urgency: number | undefined;
	/** Version of the configuration by which the request was admitted. */
	readonly configuration: number;
	/** Times on the monotonic clock, in ms. */
	readonly arrivedAt: number;
	readonly deadline: number;
};

export type GatewayRequest = RoutedRequest & {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly identity: RequestIdentity;
	readonly body: Uint8Array;
	/** The deadline is not that of the client and the route, since this daemon stops before. */
	readonly isShortened: boolean;
	/** Makes the client use another connection for its next request, if it can still be told. */
	closeConnection(): void;
};

/** A stream's client disconnects after this time without an event, or after the multiples below of its targets if longer. */
const MIN_SILENCE_LIMIT_MS = 2000;
const SILENCE_LIMIT_LATENCY_TARGETS = 4;
const SILENCE_LIMIT_GAP_TARGETS = 8;

/** Longest time in ms without an event that the client of a stream accepts (defined by the client protocol). */
export function clientSilenceLimitMs(route: Route): number {
	const gapTargetMs = route.kind.kind === 'stream' ? route.kind.gapTargetMs : 0;
	return Math.max(MIN_SILENCE_LIMIT_MS, SILENCE_LIMIT_LATENCY_TARGETS * route.targetLatencyMs, SILENCE_LIMIT_GAP_TARGETS * gapTargetMs);
}

/** Time at which the client of a stream leaves without an event, or at which the deadline of the request passes. */
export const patienceEndsAt = ({route, arrivedAt, deadline}: RoutedRequest): number =>
	route.kind.kind === 'stream' ? Math.min(deadline, arrivedAt + clientSilenceLimitMs(route)) : deadline;

/** What the order of a request among those of its service follows from, as long as it does not wait. `shares`: undefined where room is not shared between workspaces. */
export const urgencyOf = (request: RoutedRequest, shares: Pick<RoomShares, 'isOverShare'> | undefined): Urgency => {
	const {rank, arrivedAt, route} = request;
	return {
		rank,
		arrivedAt,
		dueAt: arrivedAt + route.targetLatencyMs,
		giveUpAt: latestWaitAt({arrivedAt, patienceEndsAt: patienceEndsAt(request)}),
		isOverShare: shares && (now => shares.isOverShare(request, now)),
	};
};
