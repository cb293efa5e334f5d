/**
 * Tells other daemons of this daemon's placements and records theirs, in datagrams with JSON bodies.
 *
 * Each change is sent at once along the links of the fleet's topology. A report each second lists what is open: it ends
 * what was closed, asks for what was lost, and doubles as a sign of life. tRPC would cost an HTTP request for each
 * message, several hundred a second, for state that may be lost.
 */
import {createSocket, type Socket} from 'node:dgram';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {FleetLinks, type Sender} from './fleet-links.js';
import type {Member} from './fleet-topology.js';
import type {BoardEntry, LoadBoard, Placement} from './load-board.js';
import {
	parseDatagram, type Beat, type BoardMessage, type LoadMessage,
} from './load-message.js';

const REPORT_INTERVAL_MS = 1000;
/** A follower takes its relay for lost after a second of silence, three beats. */
const BEAT_INTERVAL_MS = 300;

/** What a daemon knows of the store, for its followers. */
export type StoreState = Pick<Beat, 'storeAgeMs' | 'revisions'>;

export type ExchangeOptions = {
	/** Identity of this start of the daemon. */
	readonly daemon: string;
	readonly self: Member;
	/** The same on all daemons. */
	readonly port: number;
	readonly board: LoadBoard;
	readonly clock: Clock;
	readonly logger: Logger;
	storeState(now: number): StoreState;
	/** Another daemon found that a backend server does not answer under its registration. */
	onLost(server: string, until: number, now: number): void;
	/** The relay of this daemon told what it knows of the store. */
	onRelayBeat(relay: string, state: StoreState, now: number): void;
};

export class LoadExchange {
	static async create(options: ExchangeOptions): Promise<LoadExchange> {
		const socket = createSocket('udp4');
		await new Promise<void>((resolve, reject) => {
			socket.once('error', reject);
			socket.bind(options.port, options.self.address, () => {
				socket.off('error', reject);
				resolve();
			});
		});
		return new LoadExchange(socket, options);
	}

	readonly #links: FleetLinks;
	readonly #timer: NodeJS.Timeout;
	#reportedAt = -Infinity;

	private constructor(private readonly socket: Socket, private readonly options: ExchangeOptions) {
		const {self, port, clock, logger} = options;
		this.#links = FleetLinks.create(socket, port, self, {logger, now: clock()});
		socket.on('message', (data, {address}) => {
			this.#receive(data, address, clock());
		});
		socket.on('error', err => {
			logger.warn('peer_socket_error', {message: err.message});
		});
		this.#timer = setInterval(() => {
			this.#beat(clock());
		}, BEAT_INTERVAL_MS);
	}

	/** Daemons known, this one included. */
	get daemons(): number {
		return this.#links.daemons;
	}

	/** Daemons that read the store themselves, as far as this one knows. */
	get storeReaders(): number {
		return this.#links.storeReaders;
	}

	get relay(): string | undefined {
		return this.#links.relay;
	}

	get followers(): number {
		return this.#links.followers;
	}

	/** Requests that this daemon has at backend servers. */
	get ownPlacements(): number {
		return this.options.board.entriesOf(this.options.daemon).length;
	}

	/** Adds daemons found in the registry. New ones of a mesh are asked for their placements. */
	addPeers(members: Iterable<Member>, now: number): void {
		const added = this.#links.add(members, now);
		for (const {address} of this.#links.isMesh ? added : []) {
			this.#links.post(address, 'peer', this.#ownBeat(true, now));
		}
	}

	open(placement: Placement, now: number): void {
		const {board, daemon} = this.options;
		board.open(daemon, placement, now);
		this.#tell({
			kind: 'opened', daemon, domain: this.#domain, placement, ageMs: 0,
		});
	}

	/** The first event of a placement has arrived. */
	start(id: string, now: number): void {
		const {board, daemon} = this.options;
		board.start(daemon, id, now);
		this.#tell({
			kind: 'started', daemon, domain: this.#domain, id,
		});
	}

	closePlacement(id: string): void {
		const {board, daemon} = this.options;
		board.close(daemon, id);
		this.#tell({
			kind: 'closed', daemon, domain: this.#domain, id,
		});
	}

	/** Tells the others that a backend server does not answer under its registration. */
	tellLost(server: string, forMs: number): void {
		this.#tell({
			kind: 'lost', daemon: this.options.daemon, domain: this.#domain, server, forMs,
		});
	}

	/** Tells followers at once that this daemon knows more of the store. */
	announceStore(now: number): void {
		if (this.followers > 0) {
			this.#links.beat(() => this.#ownBeat(false, now));
			this.#links.flush();
		}
	}

	async close(): Promise<void> {
		clearInterval(this.#timer);
		this.#links.close();
		await new Promise<void>(resolve => {
			this.socket.close(resolve);
		});
	}

	get #domain(): string {
		return this.options.self.failureDomain;
	}

	#beat(now: number): void {
		const {board, daemon, logger} = this.options;
		board.heard(daemon, now);
		for (const silent of board.dropSilent(daemon, now)) {
			logger.info('peer_silent', {peer: silent});
		}

		this.#links.update(now);
		this.#links.beat(() => this.#ownBeat(false, now));
		if (now - this.#reportedAt >= REPORT_INTERVAL_MS - (BEAT_INTERVAL_MS / 2)) {
			this.#reportedAt = now;
			this.#links.pass(this.#ownReport(now));
			this.#links.probe(() => this.#ownBeat(true, now));
		}

		this.#links.flush();
	}

	#receive(data: Uint8Array, address: string, now: number): void {
		const {logger} = this.options;
		const datagram = parseDatagram(data);
		if (!datagram) {
			logger.warn('peer_message_unreadable', {peer: address, bytes: data.length});
			return;
		}

		const {as, failureDomain, cores, messages} = datagram;
		const isLinked = this.#links.heard({address, failureDomain, cores}, as, now);
		if (!isLinked) {
			// One that takes this daemon for a relay learns that it lives, and is left to the one that relays.
			this.#links.post(address, 'probe', this.#ownBeat(false, now));
		}

		for (const message of messages) {
			this.#apply(message, {address, as}, now);
		}
	}

	#apply(message: LoadMessage, from: Sender, now: number): void {
		const {board, daemon} = this.options;
		if (message.kind !== 'beat' && message.kind !== 'missing' && message.daemon === daemon) {
			// An own message that came back over another link.
			return;
		}

		switch (message.kind) {
			case 'opened': {
				const {placement, ageMs, startedAgeMs} = message;
				board.open(message.daemon, placement, now - ageMs, startedAgeMs === undefined ? undefined : now - startedAgeMs);
				this.#links.pass(message, from);
				break;
			}

			case 'started': {
				board.start(message.daemon, message.id, now);
				this.#links.pass(message, from);
				break;
			}

			case 'closed': {
				board.close(message.daemon, message.id);
				this.#links.pass(message, from);
				break;
			}

			case 'lost': {
				this.options.onLost(message.server, now + message.forMs, now);
				this.#links.pass(message, from);
				break;
			}

			case 'alive': {
				this.#applyReport(message, from, now);
				break;
			}

			case 'missing': {
				this.#answerMissing(message, from, now);
				break;
			}

			case 'beat': {
				this.#applyBeat(message, from, now);
				break;
			}
		}
	}

	#applyReport(message: Extract<LoadMessage, {kind: 'alive'}>, from: Sender, now: number): void {
		const {board} = this.options;
		const wasIdle = board.entriesOf(message.daemon).length === 0;
		const open = message.open.map(({id, startedAgeMs}) => ({id, startedAt: startedAgeMs === undefined ? undefined : now - startedAgeMs}));
		const unknown = board.retain(message.daemon, open, now);
		if (unknown.length > 0) {
			this.#links.reply(from, {kind: 'missing', daemon: message.daemon, ids: unknown});
		}

		// Reports of idle daemons would only cost bytes: nobody has placements of them.
		if (!wasIdle || open.length > 0) {
			this.#links.pass(message, from);
		}
	}

	#answerMissing({daemon, ids}: Extract<LoadMessage, {kind: 'missing'}>, from: Sender, now: number): void {
		const wanted = new Set(ids);
		for (const entry of this.options.board.entriesOf(daemon)) {
			if (wanted.has(entry.id)) {
				this.#links.reply(from, this.#opened(entry, now));
			}
		}
	}

	#applyBeat(beat: Beat, from: Sender, now: number): void {
		if (this.#links.isRelay(from)) {
			this.options.onRelayBeat(from.address, beat, now);
		}

		if (beat.wantsReply) {
			this.#links.reply(from, this.#ownBeat(false, now));
			if (this.#links.roleTowards(from) !== 'probe') {
				this.#links.reply(from, this.#ownReport(now));
			}
		}
	}

	/** Failure domains of placements that were asked for are not known here; they are not passed on. */
	#opened({
		daemon, placedAt, startedAt, ...placement
	}: BoardEntry, now: number): BoardMessage {
		return {
			kind: 'opened', daemon, domain: '', placement, ageMs: now - placedAt, startedAgeMs: startedAt === undefined ? undefined : now - startedAt,
		};
	}

	#ownReport(now: number): BoardMessage {
		const {board, daemon} = this.options;
		const open = board.entriesOf(daemon).map(({id, startedAt}) => ({id, startedAgeMs: startedAt === undefined ? undefined : Math.round(now - startedAt)}));
		return {
			kind: 'alive', daemon, domain: this.#domain, open,
		};
	}

	#ownBeat(wantsReply: boolean, now: number): Beat {
		return {kind: 'beat', ...this.options.storeState(now), wantsReply};
	}

	/** Sends a message of this daemon at once. */
	#tell(message: BoardMessage): void {
		this.#links.pass(message);
		this.#links.flush();
	}
}
