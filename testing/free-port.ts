/** Ports that are free for listening now. */
import {createSocket} from 'node:dgram';
import {createServer, type AddressInfo} from 'node:net';
import {listen} from '../src/util/listen.js';

/** A port that is free for TCP on all local addresses. */
export async function freePort(): Promise<number> {
	const server = createServer();
	await listen(server, {port: 0, host: '0.0.0.0'});
	const {port} = server.address() as AddressInfo;
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

/** A port that is free for both TCP and UDP, as daemons use one number for both. */
export async function freePeerPort(): Promise<number> {
	for (;;) {
		const port = await freePort();
		if (await isFreeForUdp(port)) {
			return port;
		}
	}
}

async function isFreeForUdp(port: number): Promise<boolean> {
	const socket = createSocket('udp4');
	try {
		return await new Promise<boolean>(resolve => {
			socket.once('error', () => {
				resolve(false);
			});
			socket.bind(port, '0.0.0.0', () => {
				resolve(true);
			});
		});
	} finally {
		socket.close();
	}
}
