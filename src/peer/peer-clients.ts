/** One client for each peer address in use. */
import type {TrafficMeter} from '../util/traffic-meter.js';
import {PeerClient} from './peer-client.js';

/** A client that was not asked for this long, and has no call in flight, is closed. */
const IDLE_CLIENT_MS = 60_000;

/** Connections to peers, by address. Opens them when they are first used, so there is no full mesh. */
export class PeerClients {
	/** `meter` counts the bytes of all connections. */
	static create(meter?: TrafficMeter): PeerClients {
		return new PeerClients(meter);
	}

	readonly #clients = new Map<string, {readonly client: PeerClient; usedAtMs: number}>();

	private constructor(private readonly meter: TrafficMeter | undefined) {}

	get size(): number {
		return this.#clients.size;
	}

	/** Returns the client for `address` (IP:PORT). */
	for(address: string, now: number): PeerClient {
		const entry = this.#clients.get(address) ?? {client: PeerClient.create(address, this.meter), usedAtMs: now};
		entry.usedAtMs = now;
		this.#clients.set(address, entry);
		return entry.client;
	}

	/** Closes the clients that are idle. Called now and then by the daemon. */
	async closeIdle(now: number): Promise<void> {
		const idle = [...this.#clients].filter(([, {client, usedAtMs}]) => client.inFlight === 0 && now - usedAtMs >= IDLE_CLIENT_MS);
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
