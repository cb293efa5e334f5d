import {once} from 'node:events';
import {
	connect, createServer, Socket, type AddressInfo,
} from 'node:net';
import {describe, expect, it} from 'vitest';
import {watchReset} from '../src/backend/reset-watch.js';

/** Connects to a server that ends the connection with `endConnection`. Returns the number of resets detected. */
async function countResets(endConnection: (socket: Socket) => void): Promise<number> {
	const server = createServer(endConnection).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	let resets = 0;
	watchReset(socket, () => {
		resets++;
	});
	socket.on('error', () => undefined);
	socket.resume();
	await new Promise(resolve => {
		socket.on('close', resolve);
	});
	server.close();
	return resets;
}

describe('detection of connection resets', () => {
	it('should distinguish a reset from a connection that the peer closed', async () => {
		expect(await countResets(socket => socket.resetAndDestroy())).toBe(1);
		expect(await countResets(socket => socket.end('whole answer'))).toBe(0);
	});

	it('should report a reset that appears as a normal end of the stream before other listeners receive the end', () => {
		// In a test run of one day of traffic, resets appeared this way, and 189 responses without a length were treated as complete.
		const socket = new Socket();
		Object.defineProperty(socket, 'remoteAddress', {value: undefined});
		const calls: string[] = [];
		socket.on('end', () => {
			calls.push('end');
		});
		watchReset(socket, () => {
			calls.push('reset');
		});
		socket.emit('end');
		expect(calls).toEqual(['reset', 'end']);
	});
});
