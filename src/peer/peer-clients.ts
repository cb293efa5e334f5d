/** Cache of peer clients, one for each address. */
import type {TrafficMeter} from '../util/traffic-meter.js';
import {PeerClient} from './peer-client.js';

/** Time in ms after its last use at which a client without pending calls is closed. */
const IDLE_CLIENT_MS = 60_000;

/** Peer clients by address. Connections are opened on first use, so the daemons do not form a full mesh. */
export class PeerClients {
	/** `meter` counts the bytes of all connections to peers. */
	static create(meter?: TrafficMeter): PeerClients {
		return new PeerClients(meter);
	}

	readonly #clients = new Map<string, {readonly client: PeerClient; usedAtMs: number}>();

	private constructor(private readonly meter: TrafficMeter | undefined) {}

	get size(): number {
		return this.#clients.size;
	}

	/** Returns the client for `address` (IP:PORT), created if there is none. */
	clientFor(address: string, now: number): PeerClient {
		const entry = this.#clients.get(address) ?? {client: PeerClient.create(address, this.meter), usedAtMs: now};
		entry.usedAtMs = now;
		this.#clients.set(address, entry);
		return entry.client;
	}

	/** Closes idle clients. The daemon calls this periodically. */
	async closeIdle(now: number): Promise<void> {
		const idle = [...this.#clients].filter(([, {client, usedAtMs}]) => client.pendingCalls === 0 && now - usedAtMs >= IDLE_CLIENT_MS);
		for (const [address] of idle) {
			this.#clients.delete(address);
		}

		await Promise.all(idle.map(async ([, {client}]) => client.close()));
	}

	async close(): Promise<void> {
		const clients = [...this.#clients.values()];
		this.#clients.clear();
		await Promise.all(clients.map(async ({client}) => client.close()));
	}
}
