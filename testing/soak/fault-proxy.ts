/** TCP proxy on loopback that delays or drops data, or resets connections. */
import {
	createConnection, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {listen} from '../../src/util/listen.js';

/**
 * `hold` keeps all data back until a time of `performance.now()`. `one_way` drops data from the target, `silent` drops data
 * in both directions. None closes connections.
 */
export type ProxyMode =
	| {readonly kind: 'pass'}
	| {readonly kind: 'hold'; readonly until: number}
	| {readonly kind: 'delay'; readonly ms: number}
	| {readonly kind: 'one_way'}
	| {readonly kind: 'silent'};

type ProxiedConnection = {readonly client: Socket; readonly target: Socket};

/** Pending writes and closes of one direction, kept in order: data that was delayed is never overtaken by later data. */
type DelayQueue = {readonly to: Socket; readonly pending: Array<{readonly at: number; readonly action: () => void}>};

export class FaultProxy {
	/** `target` is IP:PORT. */
	static async create(target: string): Promise<FaultProxy> {
		const proxy = new FaultProxy(target);
		await listen(proxy.#server, {port: 0, host: '127.0.0.1'});
		return proxy;
	}

	readonly #server: Server;
	readonly #connections = new Set<ProxiedConnection>();
	#mode: ProxyMode = {kind: 'pass'};

	private constructor(private readonly target: string) {
		this.#server = createServer(client => {
			this.#connect(client);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Dropped data is never resent, so leaving a mode that drops data resets all connections, as a real network path does in time. */
	setMode(mode: ProxyMode): void {
		const dropsData = this.#mode.kind === 'silent' || this.#mode.kind === 'one_way';
		this.#mode = mode;
		if (dropsData) {
			this.resetConnections();
		}
	}

	resetConnections(): void {
		for (const {client, target} of this.#connections) {
			client.resetAndDestroy();
			target.destroy();
		}

		this.#connections.clear();
	}

	async close(): Promise<void> {
		this.resetConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#connect(client: Socket): void {
		const [host, port] = this.target.split(':');
		const target = createConnection(Number(port), host);
		const connection = {client, target};
		this.#connections.add(connection);
		const toTarget = {to: target, pending: []};
		const toClient = {to: client, pending: []};
		client.on('data', data => {
			this.#forward(toTarget, data, 'to_target');
		});
		target.on('data', data => {
			this.#forward(toClient, data, 'to_client');
		});
		for (const [socket, queue] of [[client, toTarget], [target, toClient]] as const) {
			const other = queue.to;
			socket.setNoDelay(true);
			socket.on('end', () => {
				this.#enqueue(queue, () => other.end());
			});
			// A reset of one side resets the other.
			socket.on('error', () => {
				other.resetAndDestroy();
			});
			socket.on('close', () => {
				this.#connections.delete(connection);
				this.#enqueue(queue, () => other.destroy());
			});
		}
	}

	#forward(queue: DelayQueue, data: Uint8Array, direction: 'to_target' | 'to_client'): void {
		const mode = this.#mode;
		if (mode.kind === 'silent' || (mode.kind === 'one_way' && direction === 'to_client')) {
			return;
		}

		this.#enqueue(queue, () => {
			if (queue.to.writable) {
				queue.to.write(data);
			}
		});
	}

	#enqueue(queue: DelayQueue, action: () => void): void {
		const isFirst = queue.pending.length === 0;
		queue.pending.push({at: this.#forwardTime(), action});
		// A queue that was not empty has a timer already, which runs all due actions in order.
		if (isFirst) {
			this.#runDue(queue);
		}
	}

	#forwardTime(): number {
		const mode = this.#mode;
		switch (mode.kind) {
			case 'hold': {
				return mode.until;
			}

			case 'delay': {
				return performance.now() + mode.ms;
			}

			case 'pass':
			case 'one_way':
			case 'silent': {
				return performance.now();
			}
		}
	}

	#runDue(queue: DelayQueue): void {
		for (let [next] = queue.pending; next; [next] = queue.pending) {
			const waitMs = next.at - performance.now();
			if (waitMs > 0) {
				setTimeout(() => {
					this.#runDue(queue);
				}, Math.ceil(waitMs));
				return;
			}

			queue.pending.shift();
			next.action();
		}
	}
}
