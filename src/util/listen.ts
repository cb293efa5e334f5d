/** Promise-based start of a server. */
import {once} from 'node:events';
import type {ListenOptions, Server} from 'node:net';

/** Resolves when `server` is listening; rejects if the address cannot be used. */
export async function listen(server: Server, options: ListenOptions): Promise<void> {
	server.listen(options);
	await once(server, 'listening');
}
