/** Finds free ports. Another process can take a port before it is used. */
import {createSocket} from 'node:dgram';
import {createServer, type AddressInfo} from 'node:net';
import {listen} from '../src/util/listen.js';

/** Returns a TCP port that is free on all local addresses. */
export async function freePort(): Promise<number> {
	const server = createServer();
	await listen(server, {port: 0, host: '0.0.0.0'});
	const {port} = server.address() as AddressInfo;
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

/** Returns a port that is free for both TCP and UDP, since daemons use the same number for both. */
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
