/** One request of a client, read and matched to its route. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Route, Service, Workspace} from './serving-configuration.js';
import type {ClientFacts} from './wire-format.js';

export type GatewayRequest = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Identity in logs and on the load board. */
	readonly id: string;
	readonly facts: ClientFacts;
	readonly body: Uint8Array;
	readonly route: Route;
	readonly service: Service;
	readonly workspace: Workspace | undefined;
	/** Times on the monotonic clock. */
	readonly arrivedAt: number;
	readonly deadline: number;
};

/** A stream's client gives up after this time without an event, or after the multiples below of its targets. */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;

/** Longest time in ms without an event that the client of a stream accepts (protocol of the clients). */
export function patienceMs(route: Route): number {
	const gapTargetMs = route.kind.kind === 'stream' ? route.kind.gapTargetMs : 0;
	return Math.max(MIN_PATIENCE_MS, PATIENCE_TARGETS * route.targetLatencyMs, PATIENCE_GAPS * gapTargetMs);
}
