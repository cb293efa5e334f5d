/** HTTP server for the calls of peers. */
import {createServer, type Server} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {ConnectionIntake} from '../http/connection-intake.js';
import {listen} from '../util/listen.js';
import type {TrafficMeter} from '../util/traffic-meter.js';
import {createPeerRouter} from './peer-router.js';
import type {PeerService} from './protocol.js';

/** Longer than peers keep idle connections, so that the server does not close a connection that a peer is about to use. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Limit of a request body. The largest message is a configuration of 1 MB, which grows by JSON escaping. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Several times the connections that the daemons of the largest planned fleet keep to one of them. */
const MAX_CONNECTIONS = 4096;

/** Address to listen on. With port 0 the operating system chooses the port. */
export type ListenOptions = {
	readonly host: string;
	readonly port: number;
};

export class PeerServer {
	static async create(service: PeerService, endpoint: ListenOptions, meter?: TrafficMeter): Promise<PeerServer> {
		const handler = createHTTPHandler({
			router: createPeerRouter(service),
			maxBodySize: MAX_BODY_BYTES,
		});
		const server = createServer({keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, noDelay: true}, handler);
		ConnectionIntake.attach(server, {maxConnections: MAX_CONNECTIONS});
		server.on('connection', socket => meter?.watch(socket));
		await listen(server, endpoint);
		return new PeerServer(server);
	}

	/** IP:PORT that this server listens on. */
	readonly address: string;

	private constructor(private readonly server: Server) {
		const {address, port} = server.address() as AddressInfo;
		this.address = `${address}:${port}`;
	}

	/** Stops listening and closes all connections; pending calls are aborted. */
	async close(): Promise<void> {
		if (!this.server.listening) {
			return;
		}

		const closed = once(this.server, 'close');
		this.server.close();
		this.server.closeAllConnections();
		await closed;
	}
}

/** Starts a server that answers peers with `service` on `endpoint`. `meter` counts the bytes of all connections. */
export const createPeerServer = async (service: PeerService, endpoint: ListenOptions, meter?: TrafficMeter): Promise<PeerServer> =>
	PeerServer.create(service, endpoint, meter);
