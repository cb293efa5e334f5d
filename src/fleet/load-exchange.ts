/**
 * Sends this daemon's placements to other daemons and records theirs, in datagrams with JSON bodies.
 *
 * Each change is sent at once along the links of the fleet topology. A report every second lists the open placements:
 * receivers drop those that are closed, request those that they missed, and take the report as a heartbeat. tRPC would
 * cost an HTTP request for each message, several hundred a second, for state that may be lost.
 */
import {createSocket, type Socket} from 'node:dgram';
import type {Clock} from '../util/clock.js';
import type {QuarantineMessage} from '../quarantine/quarantine-messages.js';
import type {Logger} from '../util/logger.js';
import {FleetLinks, type Sender} from './fleet-links.js';
import type {HasStoreRelays, Member} from './fleet-topology.js';
import type {LimitNotice, ServerLimits} from './server-limits.js';
import {
	DAEMON_TIMEOUT_MS, type PlacementEntry, type PlacementTable, type Placement,
} from './placement-table.js';
import {
	parseDatagram, type Heartbeat, type RelayedMessage, type LoadMessage,
} from './load-message.js';

const REPORT_INTERVAL_MS = 1000;
/** A follower considers its relay lost after a second without messages, which is three heartbeats. */
const HEARTBEAT_INTERVAL_MS = 300;

/** A daemon's copy of the store, as announced to its followers. */
export type StoreState = Pick<Heartbeat, 'storeAgeMs' | 'revisions' | 'eras'>;

/** Receives what the exchange learns about parts of prompts and requests that crash servers. */
export type QuarantineListener = {
	receive(message: QuarantineMessage, now: number): void;
	/** Called when any daemon reports the first event of an answer, or a whole one. */
	recordStart(now: number): void;
	/** Called several times a second. */
	publishDue(now: number): void;
};

/** Receives what the exchange learns about the attempts of other daemons. */
export type AttemptListener = {
	/** Called for each message of a daemon of the failure domain. */
	recordContact(failureDomain: string, now: number): void;
	/** Called for each placement that was not known to be open. */
	recordPlacement(daemon: string, placement: Placement, placedAt: number, now: number): void;
};

export type LoadExchangeOptions = {
	/** Identifies one start of the daemon. */
	readonly daemon: string;
	readonly self: Member;
	/** UDP port; the same on all daemons. */
	readonly port: number;
	readonly placements: PlacementTable;
	readonly clock: Clock;
	/** The time at which messages were read that were waiting together. */
	readonly turnClock: Clock;
	readonly logger: Logger;
	readonly hasStoreRelays: HasStoreRelays;
	readonly quarantine: QuarantineListener;
	readonly limits: ServerLimits;
	readonly attempts: AttemptListener;
	storeState(now: number): StoreState;
	/** Whether a server is cold, to which a daemon sends less if it does not hear the others. */
	hasColdServers?(now: number): boolean;
	/** Called when another daemon reports that a backend server does not answer at its registered address. */
	onServerLost(server: string, until: number, now: number): void;
	/** Called when a heartbeat of this daemon's relay arrives. */
	onRelayHeartbeat(relay: string, state: StoreState, now: number): void;
};

export class LoadExchange {
	static async create(options: LoadExchangeOptions): Promise<LoadExchange> {
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
	/** Time of the last message of each daemon. */
	readonly #heardAt = new Map<string, number>();
	#reportedAt = -Infinity;

	private constructor(private readonly socket: Socket, private readonly options: LoadExchangeOptions) {
		const {
			self, port, clock, logger, hasStoreRelays,
		} = options;
		this.#links = FleetLinks.create(socket, port, self, {logger, hasStoreRelays, now: clock()});
		socket.on('message', (data, {address}) => {
			this.#receive(data, address, clock());
		});
		socket.on('error', err => {
			logger.warn('peer_socket_error', {message: err.message});
		});
		this.#timer = setInterval(() => {
			this.#onHeartbeatTimer(clock());
		}, HEARTBEAT_INTERVAL_MS);
	}

	/** Number of known daemons, including this one. */
	get daemons(): number {
		return this.#links.daemons;
	}

	/** Whether all daemons exchange messages directly; the daemons of a larger fleet hear of each other through relays. */
	get isMesh(): boolean {
		return this.#links.isMesh;
	}

	/** Number of the other known daemons of each failure domain. */
	get othersByDomain(): ReadonlyMap<string, number> {
		return this.#links.othersByDomain;
	}

	/** Number of daemons that read the store directly, as far as this daemon knows. */
	get storeReaders(): number {
		return this.#links.storeReaders;
	}

	/** The daemon whose copy of the store this one reads. */
	get storeRelay(): string | undefined {
		return this.#links.storeRelay;
	}

	/** Number of daemons that read this one's copy of the store. */
	get storeFollowers(): number {
		return this.#links.storeFollowers;
	}

	/** Other daemons that are not known to be down. */
	responsiveMembers(now: number): readonly Member[] {
		return this.#links.responsiveMembers(now);
	}

	/** Share of the known daemons that this one hears now, with itself. */
	heardShare(now: number): number {
		return this.#links.heardShare(now);
	}

	/**
	 * Time of the last message of a daemon, undefined if it has been silent for some seconds. Relays do not forward the reports of idle
	 * daemons, so that in a fleet with relays the link that all messages come over counts.
	 */
	heardAt(daemon: string, now: number): number | undefined {
		const heardAt = this.#links.isMesh ? this.#heardAt.get(daemon) : this.#links.heardAt(now);
		return heardAt !== undefined && now - heardAt <= DAEMON_TIMEOUT_MS ? heardAt : undefined;
	}

	/** Number of requests that this daemon has on backend servers. */
	get ownPlacements(): number {
		return this.options.placements.entriesOf(this.options.daemon).length;
	}

	/**
	 * Adds daemons found in the registry. In a mesh, new ones are asked for their placements. A new relay is asked for the
	 * state of its copy of the store.
	 */
	addPeers(members: Iterable<Member>, now: number): void {
		const previousRelay = this.storeRelay;
		const added = this.#links.addMembers(members, now);
		for (const {address} of this.#links.isMesh ? added : []) {
			this.#links.send(address, 'peer', this.#createHeartbeat(true, now));
		}

		if (this.storeRelay !== undefined && this.storeRelay !== previousRelay) {
			this.#links.send(this.storeRelay, 'follower', this.#createHeartbeat(true, now));
			this.#links.flush();
		}
	}

	/** Sends a message about subjects that crash servers to the other daemons. */
	publish(message: QuarantineMessage): void {
		switch (message.kind) {
			case 'crashed':
			case 'sound': {
				this.#broadcast({...message, daemon: this.options.daemon, domain: this.#domain});
				break;
			}

			case 'quarantined': {
				this.#links.sendToLinks(message);
				break;
			}
		}
	}

	openPlacement(placement: Placement, now: number): void {
		const {placements, limits, daemon} = this.options;
		placements.open(daemon, placement, now);
		limits.recordSend(placement.server, now);
		this.#broadcast({
			kind: 'opened', daemon, domain: this.#domain, placement, ageMs: 0,
		});
	}

	/** Records the first event of a placement. */
	startPlacement(id: string, now: number): void {
		const {placements, daemon} = this.options;
		placements.start(daemon, id, now);
		this.options.quarantine.recordStart(now);
		this.#broadcast({
			kind: 'started', daemon, domain: this.#domain, id,
		});
	}

	/** `isAnswered`: a server has run the request and sent a whole answer that is no stream. */
	closePlacement(id: string, isAnswered = false): void {
		const {placements, daemon} = this.options;
		placements.close(daemon, id, {isAnswered, now: this.options.clock()});
		this.#broadcast({
			kind: 'closed', daemon, domain: this.#domain, id, isAnswered: isAnswered || undefined,
		});
	}

	/** Notifies the other daemons that a backend server does not answer at its registered address. */
	broadcastLost(server: string, forMs: number): void {
		this.#broadcast({
			kind: 'lost', daemon: this.options.daemon, domain: this.#domain, server, forMs,
		});
	}

	/** Notifies the other daemons of a limit that a server named. */
	broadcastLimit(notice: LimitNotice): void {
		this.#broadcast({
			kind: 'limit', daemon: this.options.daemon, domain: this.#domain, ...notice,
		});
	}

	/** Notifies followers at once that this daemon's copy of the store has changed. */
	announceStoreState(now: number): void {
		if (this.storeFollowers > 0) {
			this.#links.sendHeartbeats(() => this.#createHeartbeat(false, now));
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

	#onHeartbeatTimer(now: number): void {
		const {placements, daemon, logger} = this.options;
		placements.recordContact(daemon, now);
		for (const peer of placements.dropTimedOut(daemon, now)) {
			logger.info('peer_silent', {peer});
		}

		for (const [peer, heardAt] of this.#heardAt) {
			if (now - heardAt > DAEMON_TIMEOUT_MS) {
				this.#heardAt.delete(peer);
			}
		}

		this.#links.updateLinks(now);
		this.options.quarantine.publishDue(now);
		this.#links.sendHeartbeats(() => this.#createHeartbeat(false, now));
		// Relays and followers send each other heartbeats.
		const intervalMs = this.#links.isMesh && this.options.hasColdServers?.(now) ? HEARTBEAT_INTERVAL_MS : REPORT_INTERVAL_MS;
		if (now - this.#reportedAt >= intervalMs - (HEARTBEAT_INTERVAL_MS / 2)) {
			this.#reportedAt = now;
			this.#links.forward(this.#createReport(now));
			this.#links.sendProbe(() => this.#createHeartbeat(true, now));
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
		const isLinked = this.#links.recordContact({address, failureDomain, cores}, as, now);
		if (!isLinked) {
			// A daemon that takes this one for a relay learns that it is reachable, and stays with its actual relay.
			this.#links.send(address, 'probe', this.#createHeartbeat(false, now));
		}

		if (as !== 'probe') {
			this.options.attempts.recordContact(failureDomain, now);
		}

		for (const message of messages) {
			this.#apply(message, {address, as}, now);
		}
	}

	#apply(message: LoadMessage, from: Sender, now: number): void {
		const {
			placements, daemon, quarantine, limits, attempts,
		} = this.options;
		if ('domain' in message) {
			if (message.daemon === daemon) {
				// A message of this daemon that came back over another link.
				return;
			}

			attempts.recordContact(message.domain, now);
			this.#heardAt.set(message.daemon, now);
		}

		switch (message.kind) {
			case 'opened': {
				const {placement, ageMs, startedAgeMs} = message;
				if (placements.open(message.daemon, placement, now - ageMs, startedAgeMs === undefined ? undefined : now - startedAgeMs)) {
					limits.recordSend(placement.server, now, message.daemon);
					attempts.recordPlacement(message.daemon, placement, now - ageMs, now);
				}

				this.#links.forward(message, from);
				break;
			}

			case 'started': {
				placements.start(message.daemon, message.id, now);
				quarantine.recordStart(now);
				this.#links.forward(message, from);
				break;
			}

			case 'closed': {
				placements.close(message.daemon, message.id, {isAnswered: message.isAnswered ?? false, now});
				if (message.isAnswered) {
					quarantine.recordStart(now);
				}

				this.#links.forward(message, from);
				break;
			}

			case 'lost': {
				this.options.onServerLost(message.server, now + message.forMs, now);
				this.#links.forward(message, from);
				break;
			}

			case 'limit': {
				limits.applyNotice(message, now);
				this.#links.forward(message, from);
				break;
			}

			case 'crashed': {
				// Servers that were lost together count once, also if handling their reports takes long.
				quarantine.receive(message, this.options.turnClock());
				this.#links.forward(message, from);
				break;
			}

			case 'sound': {
				quarantine.receive(message, now);
				this.#links.forward(message, from);
				break;
			}

			case 'quarantined': {
				quarantine.receive(message, now);
				break;
			}

			case 'alive': {
				this.#applyReport(message, from, now);
				break;
			}

			case 'missing': {
				this.#replyToMissing(message, from, now);
				break;
			}

			case 'beat': {
				this.#applyHeartbeat(message, from, now);
				break;
			}
		}
	}

	#applyReport(message: Extract<LoadMessage, {kind: 'alive'}>, from: Sender, now: number): void {
		const {placements} = this.options;
		const wasIdle = placements.entriesOf(message.daemon).length === 0;
		const open = message.open.map(({id, startedAgeMs}) => ({id, startedAt: startedAgeMs === undefined ? undefined : now - startedAgeMs}));
		const missing = placements.retain(message.daemon, open, now);
		if (missing.length > 0) {
			this.#links.reply(from, {kind: 'missing', daemon: message.daemon, ids: missing});
		}

		// Forwarding reports of idle daemons would only cost bandwidth: no daemon has placements of theirs to drop.
		if (!wasIdle || open.length > 0) {
			this.#links.forward(message, from);
		}
	}

	#replyToMissing({daemon, ids}: Extract<LoadMessage, {kind: 'missing'}>, from: Sender, now: number): void {
		const wanted = new Set(ids);
		for (const entry of this.options.placements.entriesOf(daemon)) {
			if (wanted.has(entry.id)) {
				this.#links.reply(from, this.#createOpened(entry, now));
			}
		}
	}

	#applyHeartbeat(heartbeat: Heartbeat, from: Sender, now: number): void {
		if (this.#links.isRelay(from)) {
			this.options.onRelayHeartbeat(from.address, heartbeat, now);
		}

		if (heartbeat.wantsReply) {
			this.#links.reply(from, this.#createHeartbeat(false, now));
			if (this.#links.roleTowards(from) !== 'probe') {
				this.#links.reply(from, this.#createReport(now));
			}
		}
	}

	/**
	 * Creates an `opened` message in reply to `missing`. The failure domain of its daemon is not known here and left empty,
	 * so that the message is not forwarded to other failure domains.
	 */
	#createOpened({
		daemon, placedAt, startedAt, ...placement
	}: PlacementEntry, now: number): RelayedMessage {
		return {
			kind: 'opened', daemon, domain: '', placement, ageMs: now - placedAt, startedAgeMs: startedAt === undefined ? undefined : now - startedAt,
		};
	}

	#createReport(now: number): RelayedMessage {
		const {placements, daemon} = this.options;
		const open = placements.entriesOf(daemon).map(({id, startedAt}) => ({id, startedAgeMs: startedAt === undefined ? undefined : Math.round(now - startedAt)}));
		return {
			kind: 'alive', daemon, domain: this.#domain, open,
		};
	}

	#createHeartbeat(wantsReply: boolean, now: number): Heartbeat {
		return {kind: 'beat', ...this.options.storeState(now), wantsReply};
	}

	/** Sends a message of this daemon to all links at once. */
	#broadcast(message: RelayedMessage): void {
		this.#links.forward(message);
		this.#links.flush();
	}
}
