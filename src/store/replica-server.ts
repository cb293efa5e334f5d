/**
 * Serves other daemons: this daemon's copy of the store to its followers over tRPC, and requests that hosts without a path to the
 * backend servers send on. These keep the bytes of the client's request, so they are plain HTTP with a mark.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {initTRPC} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {z} from 'zod';
import {MAX_HEADER_BYTES, RELAYED_FIELD} from '../http/connection-headers.js';
import {ConnectionIntake} from '../http/connection-intake.js';
import {listen} from '../util/listen.js';
import type {KindReplica} from './kind-replica.js';
import {positionFields} from './replica-messages.js';
import type {KindEvents, KindList, Unavailable} from './kind-store.js';

/** Several times the followers of a relay in the largest planned fleet. */
const DEFAULT_MAX_CONNECTIONS = 1024;

const t = initTRPC.create();

const kindNotReplicated: Unavailable = {kind: 'unavailable', message: 'the kind is not replicated by this daemon'};

export const createReplicaRouter = (replica: (kind: string) => KindReplica | undefined) => t.router({
	list: t.procedure.input(z.object({kind: z.string()})).query(({input}): KindList => replica(input.kind)?.list() ?? kindNotReplicated),
	since: t.procedure.input(z.object({kind: z.string(), ...positionFields}))
		.query(({input}): KindEvents => replica(input.kind)?.changesSince(input) ?? kindNotReplicated),
});

export type ReplicaRouter = ReturnType<typeof createReplicaRouter>;

export type ReplicaServerOptions = {
	readonly maxConnections?: number;
	/** Called with requests that other hosts send on. */
	readonly handleRelayed?: (req: IncomingMessage, res: ServerResponse) => void;
};

export class ReplicaServer {
	static async listen(
		host: string,
		port: number,
		replica: (kind: string) => KindReplica | undefined,
		{handleRelayed, maxConnections = DEFAULT_MAX_CONNECTIONS}: ReplicaServerOptions = {},
	): Promise<ReplicaServer> {
		const handleCall = createHTTPHandler({router: createReplicaRouter(replica)});
		const server = createServer({maxHeaderSize: MAX_HEADER_BYTES, noDelay: true}, (req, res) => {
			if (handleRelayed && req.headers[RELAYED_FIELD] !== undefined) {
				handleRelayed(req, res);
			} else {
				handleCall(req, res);
			}
		});
		ConnectionIntake.attach(server, {maxConnections});
		await listen(server, {host, port});
		return new ReplicaServer(server);
	}

	private constructor(private readonly server: Server) {}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}
