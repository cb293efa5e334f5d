import {once} from 'node:events';
import {
	connect, createServer, Socket, type AddressInfo,
} from 'node:net';
import {describe, expect, it} from 'vitest';
import {watchReset} from '../src/backend/reset-watch.js';

/** Connects to a server that ends each connection with `end`, and counts resets. */
async function resetsOf(end: (socket: Socket) => void): Promise<number> {
	const server = createServer(end).listen(0, '127.0.0.1');
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

describe('watch for resets', () => {
	it('should tell a reset from a connection that the peer closed', async () => {
		expect(await resetsOf(socket => socket.resetAndDestroy())).toBe(1);
		expect(await resetsOf(socket => socket.end('whole answer'))).toBe(0);
	});

	it('should recognise a reset that shows as a plain end, before other listeners see the end', () => {
		// A played day delivered resets this way; 189 answers without a length passed for complete.
		const socket = new Socket();
		Object.defineProperty(socket, 'remoteAddress', {value: undefined});
		const seen: string[] = [];
		socket.on('end', () => {
			seen.push('end');
		});
		watchReset(socket, () => {
			seen.push('reset');
		});
		socket.emit('end');
		expect(seen).toEqual(['reset', 'end']);
	});
});
