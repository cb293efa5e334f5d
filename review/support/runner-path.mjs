/** The path of one host to the runners: a proxy for each of them, which refuses connections while the path is cut. */
import {createConnection, createServer} from 'node:net';
import {listenOn} from './ports.mjs';

export class RunnerPath {
	/** Opens the path to the runners at `addresses`. */
	static async create(addresses) {
		const path = new RunnerPath();
		for (const address of addresses) {
			const server = path.#createProxy(address);
			path.#proxies.set(address, {server, address: await listenOn(server)});
		}

		return path;
	}

	#proxies = new Map();
	#sockets = new Set();
	/** Local ports of the connections that the host has opened to runners. */
	#ports = new Set();

	/** The address under which the host sees the runner at `address`. */
	addressOf(address) {
		return this.#proxies.get(address)?.address ?? address;
	}

	/** Whether a request that a runner got from `port` came from the host. */
	isFromHost(port) {
		return this.#ports.has(port);
	}

	/** Resets all connections and refuses new ones. */
	async cut() {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		await Promise.all([...this.#proxies.values()].map(async ({server}) => new Promise(resolve => {
			server.close(resolve);
		})));
	}

	async restore() {
		await Promise.all([...this.#proxies.values()].map(async ({server, address}) => listenOn(server, address)));
	}

	close() {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		for (const {server} of this.#proxies.values()) {
			server.close();
		}
	}

	#createProxy(address) {
		const [host, port] = address.split(':');
		return createServer(client => {
			const target = createConnection({host, port: Number(port)});
			target.once('connect', () => {
				this.#ports.add(target.localPort);
			});
			for (const [from, to] of [[client, target], [target, client]]) {
				this.#sockets.add(from);
				from.setNoDelay(true);
				from.on('error', () => {
					to.destroy();
				});
				from.on('close', () => {
					to.destroy();
					this.#sockets.delete(from);
				});
				from.pipe(to);
			}
		});
	}
}
