/** Finds free ports. Another process that listens can take a port before it is used. */
import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import {listen} from '../src/util/listen.js';

/** Below the ports that Linux gives to outgoing connections (from 32,768), which parallel tests open by the hundred. */
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;

/** Returns a TCP port that is free on all local addresses and that no outgoing connection gets. */
export async function freePort(): Promise<number> {
	for (;;) {
		const port = randomInt(FIRST_PORT, LAST_PORT);
		if (await isFreeForTcp(port)) {
			return port;
		}
	}
}

async function isFreeForTcp(port: number): Promise<boolean> {
	const server = createServer();
	try {
		await listen(server, {port, host: '0.0.0.0'});
	} catch {
		// Another process listens on it.
		return false;
	}

	await new Promise(resolve => {
		server.close(resolve);
	});
	return true;
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
