/**
 * Tells other daemons of this daemon's placements and records theirs, in datagrams with JSON bodies.
 *
 * Each change is sent at once to every known daemon; a snapshot each second corrects lost datagrams and doubles as a sign
 * of life. tRPC would cost an HTTP request for each message, several hundred a second, for state that may be lost.
 */
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {z} from 'zod';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import type {LoadBoard, Placement} from './load-board.js';

const SNAPSHOT_INTERVAL_MS = 1000;
/** Entries in one datagram: about 250 bytes each, so that it fits into one packet of 1,500 bytes. */
const ENTRIES_PER_DATAGRAM = 5;
/** A peer that has been silent this long is no longer sent to; it announces itself again when it returns. */
const PEER_FORGOTTEN_MS = 30_000;

const placementSchema = z.object({
	id: z.string(),
	server: z.string(),
	helpers: z.array(z.string()).readonly(),
	prefillMs: z.number(),
	contextTokens: z.number(),
	reserved: z.array(z.object({server: z.string(), tokens: z.number()})).readonly(),
	gapTargetMs: z.number(),
	weight: z.number(),
	targetMs: z.number(),
});

const messageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('opened'),
		daemon: z.string(),
		placements: z.array(z.object({
			placement: placementSchema,
			/** Ms since the placement, and since its first event. */
			ageMs: z.number(),
			startedAgeMs: z.number().optional(),
		})).readonly(),
	}),
	z.object({kind: z.literal('started'), daemon: z.string(), id: z.string()}),
	z.object({kind: z.literal('closed'), daemon: z.string(), id: z.string()}),
	/** All open ids of the daemon. `wantsReply` asks for the receiver's snapshot. */
	z.object({
		kind: z.literal('alive'), daemon: z.string(), ids: z.array(z.string()).readonly(), wantsReply: z.boolean(),
	}),
]);

type Message = z.infer<typeof messageSchema>;

type Peer = {readonly address: string; lastHeardAt: number};

export type ExchangeOptions = {
	/** Identity of this start of the daemon. */
	readonly daemon: string;
	readonly ip: string;
	/** The same on all daemons. */
	readonly port: number;
	readonly board: LoadBoard;
	readonly clock: Clock;
	readonly logger: Logger;
};

export class LoadExchange {
	static async create(options: ExchangeOptions): Promise<LoadExchange> {
		const socket = createSocket('udp4');
		await new Promise<void>((resolve, reject) => {
			socket.once('error', reject);
			socket.bind(options.port, options.ip, () => {
				socket.off('error', reject);
				resolve();
			});
		});
		return new LoadExchange(socket, options);
	}

	readonly #peers = new Map<string, Peer>();
	readonly #timer: NodeJS.Timeout;

	private constructor(private readonly socket: Socket, private readonly options: ExchangeOptions) {
		socket.on('message', (data, {address}) => {
			this.#receive(data, address, options.clock());
		});
		socket.on('error', err => {
			options.logger.warn('peer_socket_error', {message: err.message});
		});
		this.#timer = setInterval(() => {
			this.#beat(options.clock());
		}, SNAPSHOT_INTERVAL_MS);
	}

	/** Daemons heard lately, this one included. */
	get daemons(): number {
		return this.#peers.size + 1;
	}

	/** Requests that this daemon has at backend servers. */
	get ownPlacements(): number {
		return this.options.board.entriesOf(this.options.daemon).length;
	}

	/** Adds daemons found in the registry. New ones are asked for their placements. */
	addPeers(addresses: Iterable<string>, now: number): void {
		for (const address of addresses) {
			if (address !== this.options.ip && !this.#peers.has(address)) {
				this.#peers.set(address, {address, lastHeardAt: now});
				this.#sendSnapshot([address], true);
			}
		}
	}

	open(placement: Placement, now: number): void {
		const {board, daemon} = this.options;
		board.open(daemon, placement, now);
		this.#broadcast({kind: 'opened', daemon, placements: [{placement, ageMs: 0}]});
	}

	/** The first event of a placement has arrived. */
	start(id: string, now: number): void {
		const {board, daemon} = this.options;
		board.start(daemon, id, now);
		this.#broadcast({kind: 'started', daemon, id});
	}

	closePlacement(id: string): void {
		const {board, daemon} = this.options;
		board.close(daemon, id);
		this.#broadcast({kind: 'closed', daemon, id});
	}

	async close(): Promise<void> {
		clearInterval(this.#timer);
		await new Promise<void>(resolve => {
			this.socket.close(resolve);
		});
	}

	#beat(now: number): void {
		const {board, daemon, logger} = this.options;
		board.heard(daemon, now);
		for (const [address, peer] of this.#peers) {
			if (now - peer.lastHeardAt > PEER_FORGOTTEN_MS) {
				this.#peers.delete(address);
				logger.info('peer_forgotten', {peer: address});
			}
		}

		for (const silent of board.dropSilent(daemon, now)) {
			logger.info('peer_silent', {peer: silent});
		}

		this.#sendSnapshot(this.#peers.keys(), false);
	}

	#receive(data: Uint8Array, address: string, now: number): void {
		const message = parseMessage(data);
		if (!message) {
			this.options.logger.warn('peer_message_unreadable', {peer: address, bytes: data.length});
			return;
		}

		const peer = this.#peers.get(address);
		if (peer) {
			peer.lastHeardAt = now;
		} else {
			this.#peers.set(address, {address, lastHeardAt: now});
			this.options.logger.info('peer_found', {peer: address});
		}

		this.#apply(message, address, now);
	}

	#apply(message: Message, address: string, now: number): void {
		const {board} = this.options;
		switch (message.kind) {
			case 'opened': {
				for (const {placement, ageMs, startedAgeMs} of message.placements) {
					board.open(message.daemon, placement, now - ageMs, startedAgeMs === undefined ? undefined : now - startedAgeMs);
				}

				board.heard(message.daemon, now);
				break;
			}

			case 'started': {
				board.start(message.daemon, message.id, now);
				break;
			}

			case 'closed': {
				board.close(message.daemon, message.id);
				break;
			}

			case 'alive': {
				board.retain(message.daemon, new Set(message.ids), now);
				if (message.wantsReply) {
					this.#sendSnapshot([address], false);
				}

				break;
			}
		}
	}

	#sendSnapshot(addresses: Iterable<string>, wantsReply: boolean): void {
		const {board, daemon, clock} = this.options;
		const now = clock();
		const entries = board.entriesOf(daemon);
		const messages: Message[] = [{
			kind: 'alive', daemon, ids: entries.map(({id}) => id), wantsReply,
		}];
		for (let start = 0; start < entries.length; start += ENTRIES_PER_DATAGRAM) {
			const placements = entries.slice(start, start + ENTRIES_PER_DATAGRAM).map(({
				daemon: _, placedAt, startedAt, ...placement
			}) => ({placement, ageMs: now - placedAt, startedAgeMs: startedAt === undefined ? undefined : now - startedAt}));
			messages.push({kind: 'opened', daemon, placements});
		}

		const bodies = messages.map(message => Buffer.from(JSON.stringify(message)));
		for (const address of addresses) {
			for (const body of bodies) {
				this.socket.send(body, this.options.port, address);
			}
		}
	}

	#broadcast(message: Message): void {
		const body = Buffer.from(JSON.stringify(message));
		for (const address of this.#peers.keys()) {
			this.socket.send(body, this.options.port, address);
		}
	}
}

function parseMessage(data: Uint8Array): Message | undefined {
	try {
		return messageSchema.parse(JSON.parse(Buffer.from(data).toString()));
	} catch {
		// The caller logs the peer whose message cannot be read.
		return undefined;
	}
}
