/** TCP proxy on loopback that delays or drops data, or resets connections. */
import {
	createConnection, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {listen} from '../../src/util/listen.js';

/** `one_way` drops data from the target, `silent` drops data in both directions; neither closes connections. */
export type ProxyMode = {readonly kind: 'pass'} | {readonly kind: 'delay'; readonly ms: number} | {readonly kind: 'one_way'} | {readonly kind: 'silent'};

type Link = {readonly client: Socket; readonly target: Socket};

/** Pending writes and closes of one direction, kept in order: data that was delayed is never overtaken by later data. */
type Lane = {readonly to: Socket; readonly waiting: Array<{readonly at: number; readonly action: () => void}>};

export class FaultProxy {
	/** `target` is IP:PORT. */
	static async create(target: string): Promise<FaultProxy> {
		const proxy = new FaultProxy(target);
		await listen(proxy.#server, {port: 0, host: '127.0.0.1'});
		return proxy;
	}

	readonly #server: Server;
	readonly #links = new Set<Link>();
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
		const losesBytes = this.#mode.kind === 'silent' || this.#mode.kind === 'one_way';
		this.#mode = mode;
		if (losesBytes) {
			this.resetConnections();
		}
	}

	resetConnections(): void {
		for (const {client, target} of this.#links) {
			client.resetAndDestroy();
			target.destroy();
		}

		this.#links.clear();
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
		const link = {client, target};
		this.#links.add(link);
		const toTarget = {to: target, waiting: []};
		const toClient = {to: client, waiting: []};
		client.on('data', data => {
			this.#carry(toTarget, data, 'to_target');
		});
		target.on('data', data => {
			this.#carry(toClient, data, 'to_client');
		});
		for (const [end, lane] of [[client, toTarget], [target, toClient]] as const) {
			const other = lane.to;
			end.setNoDelay(true);
			end.on('end', () => {
				this.#after(lane, () => other.end());
			});
			// A reset of one side resets the other.
			end.on('error', () => {
				other.resetAndDestroy();
			});
			end.on('close', () => {
				this.#links.delete(link);
				this.#after(lane, () => other.destroy());
			});
		}
	}

	#carry(lane: Lane, data: Uint8Array, direction: 'to_target' | 'to_client'): void {
		const mode = this.#mode;
		if (mode.kind === 'silent' || (mode.kind === 'one_way' && direction === 'to_client')) {
			return;
		}

		this.#after(lane, () => {
			if (lane.to.writable) {
				lane.to.write(data);
			}
		});
	}

	#after(lane: Lane, action: () => void): void {
		const delayMs = this.#mode.kind === 'delay' ? this.#mode.ms : 0;
		const isFirst = lane.waiting.length === 0;
		lane.waiting.push({at: performance.now() + delayMs, action});
		// A queue that was not empty has a timer already, which runs all due actions in order.
		if (isFirst) {
			this.#release(lane);
		}
	}

	#release(lane: Lane): void {
		for (let [next] = lane.waiting; next; [next] = lane.waiting) {
			const waitMs = next.at - performance.now();
			if (waitMs > 0) {
				setTimeout(() => {
					this.#release(lane);
				}, Math.ceil(waitMs));
				return;
			}

			lane.waiting.shift();
			next.action();
		}
	}
}
