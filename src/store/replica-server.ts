/** Serves this daemon's copy of the store to its followers over tRPC. Calls are rare: one for each change. */
import {createServer, type Server} from 'node:http';
import {initTRPC} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {z} from 'zod';
import {listen} from '../util/listen.js';
import type {KindReplica} from './kind-replica.js';
import {positionFields} from './replica-messages.js';
import type {KindEvents, KindList, Unavailable} from './kind-store.js';

const t = initTRPC.create();

const kindNotReplicated: Unavailable = {kind: 'unavailable', message: 'the kind is not replicated by this daemon'};

export const createReplicaRouter = (replica: (kind: string) => KindReplica | undefined) => t.router({
	list: t.procedure.input(z.object({kind: z.string()})).query(({input}): KindList => replica(input.kind)?.list() ?? kindNotReplicated),
	since: t.procedure.input(z.object({kind: z.string(), ...positionFields}))
		.query(({input}): KindEvents => replica(input.kind)?.changesSince(input) ?? kindNotReplicated),
});

export type ReplicaRouter = ReturnType<typeof createReplicaRouter>;

export class ReplicaServer {
	static async listen(host: string, port: number, replica: (kind: string) => KindReplica | undefined): Promise<ReplicaServer> {
		const server = createServer(createHTTPHandler({router: createReplicaRouter(replica)}));
		await listen(server, {host, port});
		return new ReplicaServer(server);
	}

	private constructor(private readonly server: Server) {}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}
