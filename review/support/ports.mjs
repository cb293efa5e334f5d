/** Free ports on loopback addresses. */
import {createServer} from 'node:net';

/** Starts `server` on `address`, or on a free port, and returns IP:PORT. */
export async function listenOn(server, address = '127.0.0.1:0') {
	const [host, port] = address.split(':');
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), host, resolve);
	});
	return `${host}:${server.address().port}`;
}

/** Returns a port that is free on all loopback addresses at the moment. */
export async function findFreePort() {
	const server = createServer();
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '0.0.0.0', resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}
