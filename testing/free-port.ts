/**
 * Finds free ports, also for servers that stop listening for a while and must not be replaced by another process meanwhile.
 *
 * Each worker of a parallel test run has a range of its own and goes through it in turn. Ports that are chosen at random, or by the system, are
 * taken by other workers between the search and the use, or while a test expects connections to them to be refused.
 */
import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import process from 'node:process';
import {listen} from '../src/util/listen.js';

/** Below the ports that Linux gives to outgoing connections (from 32,768), which parallel tests open by the hundred. */
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;

/** Ranges: more than a test run has workers. Fewer, larger ones make it rarer that runs that go on at the same time meet. */
const RANGES = 8;
const RANGE_PORTS = Math.floor((LAST_PORT - FIRST_PORT) / RANGES);

/** First port of the range of a worker. Workers are numbered from 1 on. */
export const firstPortOf = (worker: number): number => FIRST_PORT + ((worker % RANGES) * RANGE_PORTS);

/** Processes outside of a test run take any range. */
const firstPort = firstPortOf(Number(process.env.VITEST_POOL_ID ?? randomInt(RANGES)));
/** Test files of one worker begin at different places, since connections to the ports of the previous one may linger. */
let nextOffset = randomInt(RANGE_PORTS);

/** Returns a TCP port that is free on all local addresses and that no outgoing connection gets. */
export async function freePort(): Promise<number> {
	for (;;) {
		const port = firstPort + nextOffset;
		nextOffset = (nextOffset + 1) % RANGE_PORTS;
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
