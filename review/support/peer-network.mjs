/**
 * The network between the daemons. Each daemon sees every other one under an alias address on loopback, where datagrams and
 * connections are forwarded or, behind a cut, dropped.
 */
import {createSocket} from 'node:dgram';
import {createConnection, createServer} from 'node:net';

export class PeerNetwork {
	/** `ips` are the addresses of the daemons: 127.0.N.1. Behind an alias 127.0.N.M, daemon N sees another one. */
	static async create(ips, port) {
		const network = new PeerNetwork(ips, port);
		for (const from of ips) {
			for (const to of ips) {
				if (from !== to) {
					await network.#open(from, to);
				}
			}
		}

		return network;
	}

	#sockets = new Map();
	#servers = [];
	#connections = new Set();
	#cut = new Set();

	constructor(ips, port) {
		this.ips = ips;
		this.port = port;
	}

	/** The address under which daemon `from` sees daemon `to`. */
	alias(from, to) {
		return from === to ? to : from.replace(/1$/v, String(100 + this.ips.indexOf(to)));
	}

	/** Cuts these daemons off from all others, or from none. */
	setCut(ips) {
		this.#cut = new Set(ips);
	}

	close() {
		for (const socket of this.#sockets.values()) {
			socket.close();
		}

		for (const server of this.#servers) {
			server.close();
		}

		for (const socket of this.#connections) {
			socket.destroy();
		}
	}

	#isCut(from, to) {
		return this.#cut.has(from) || this.#cut.has(to);
	}

	async #open(from, to) {
		const socket = createSocket('udp4');
		await new Promise((resolve, reject) => {
			socket.once('error', reject);
			socket.bind(this.port, this.alias(from, to), resolve);
		});
		this.#sockets.set(`${from} ${to}`, socket);
		socket.on('message', data => {
			if (!this.#isCut(from, to)) {
				// The receiver sees the sender under its own alias for it.
				this.#sockets.get(`${to} ${from}`)?.send(data, this.port, to);
			}
		});

		const server = createServer(client => {
			if (this.#isCut(from, to)) {
				client.on('error', () => undefined);
				this.#connections.add(client);
				return;
			}

			const target = createConnection({host: to, port: this.port});
			for (const [a, b] of [[client, target], [target, client]]) {
				this.#connections.add(a);
				a.setNoDelay(true);
				a.pipe(b);
				a.on('error', () => {
					b.destroy();
				});
				a.on('close', () => {
					b.destroy();
					this.#connections.delete(a);
				});
			}
		});
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(this.port, this.alias(from, to), resolve);
		});
		this.#servers.push(server);
	}
}
