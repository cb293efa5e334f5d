/** Maintains the links to other daemons (relay, followers and peers) and sends messages along them. */
import type {Socket} from 'node:dgram';
import type {Logger} from '../util/logger.js';
import {
	FleetTopology, type ContactRole, type HasStoreRelays, type Links, type Member,
} from './fleet-topology.js';
import type {Heartbeat, RelayedMessage, LoadMessage} from './load-message.js';
import {DatagramBatcher} from './datagram-batcher.js';

/** The daemon that a message came from, and its role towards this daemon. */
export type Sender = {readonly address: string; readonly as: ContactRole};

export type FleetLinksOptions = {
	readonly logger: Logger;
	readonly hasStoreRelays: HasStoreRelays;
	readonly now: number;
};

export class FleetLinks {
	static create(socket: Socket, port: number, self: Member, {logger, hasStoreRelays, now}: FleetLinksOptions): FleetLinks {
		return new FleetLinks(FleetTopology.create(self, hasStoreRelays), DatagramBatcher.create(socket, port, self, logger), logger, now);
	}

	#links: Links;

	private constructor(
		private readonly topology: FleetTopology,
		private readonly batcher: DatagramBatcher,
		private readonly logger: Logger,
		now: number,
	) {
		this.#links = topology.links(now);
	}

	/** Number of known daemons, including this one. */
	get daemons(): number {
		return this.topology.size;
	}

	/** Number of the other known daemons of each failure domain. */
	get othersByDomain(): ReadonlyMap<string, number> {
		return this.topology.othersByDomain;
	}

	get isMesh(): boolean {
		return this.topology.isMesh;
	}

	/** Number of daemons that read the store directly, as far as this daemon knows. */
	get storeReaders(): number {
		return this.isMesh ? this.topology.meshStoreReaders : this.#links.peers.length + 1;
	}

	/** The daemon whose copy of the store this one reads. */
	get storeRelay(): string | undefined {
		return this.#links.storeRelay;
	}

	/** Number of daemons that read this one's copy of the store. */
	get storeFollowers(): number {
		return this.#links.storeFollowers.length;
	}

	responsiveMembers(now: number): readonly Member[] {
		return this.topology.responsiveMembers(now);
	}

	/** Share of the known daemons that this one hears now, with itself. */
	heardShare(now: number): number {
		return this.topology.heardShare(now);
	}

	/** Time of the last message of any daemon. */
	heardAt(now: number): number {
		return this.topology.heardAt(now);
	}

	/** Adds daemons and returns those that were not known. */
	addMembers(members: Iterable<Member>, now: number): readonly Member[] {
		const added = this.topology.addMembers(members);
		this.updateLinks(now);
		return added;
	}

	/** Records a message from a daemon. Returns whether this daemon has a link to it; others only get a probe in reply. */
	recordContact(member: Member, as: ContactRole, now: number): boolean {
		if (this.topology.addMembers([member]).length > 0) {
			this.logger.info('peer_found', {peer: member.address});
		}

		const isNewFollower = this.topology.recordContact(member.address, as, now);
		if (isNewFollower) {
			this.updateLinks(now);
		}

		return as !== 'peer' || this.#links.peers.includes(member.address);
	}

	updateLinks(now: number): void {
		const before = this.#links;
		this.#links = this.topology.links(now);
		const {storeRelay} = this.#links;
		if (before.storeRelay !== storeRelay) {
			this.logger.info('relay_changed', {relay: storeRelay, before: before.storeRelay, daemons: this.daemons});
		}
	}

	/** Whether `from` is the current relay of this daemon. */
	isRelay({address, as}: Sender): boolean {
		return as === 'relay' && address === this.#links.storeRelay;
	}

	/** Role of this daemon towards the sender of a message. */
	roleTowards(from: Sender): ContactRole {
		switch (from.as) {
			case 'follower': {
				return 'relay';
			}

			case 'relay': {
				return this.isRelay(from) ? 'follower' : 'probe';
			}

			case 'peer':
			case 'probe': {
				return from.as;
			}
		}
	}

	send(address: string, as: ContactRole, message: LoadMessage): void {
		this.batcher.enqueue(address, as, JSON.stringify(message));
	}

	reply(from: Sender, message: LoadMessage): void {
		this.send(from.address, this.roleTowards(from), message);
	}

	/** Sends a heartbeat to followers and other relays. To the peers of a mesh, the reports serve as heartbeats. */
	sendHeartbeats(createHeartbeat: () => Heartbeat): void {
		const {storeFollowers, peers} = this.#links;
		const otherRelays = this.isMesh ? [] : peers;
		if (storeFollowers.length + otherRelays.length > 0) {
			const text = JSON.stringify(createHeartbeat());
			this.#sendToAll(storeFollowers, 'relay', text);
			this.#sendToAll(otherRelays, 'peer', text);
		}
	}

	/** Sends a heartbeat to one unresponsive daemon to find out whether it answers again. */
	sendProbe(createHeartbeat: () => Heartbeat): void {
		const {probe} = this.#links;
		if (probe !== undefined) {
			this.send(probe, 'probe', createHeartbeat());
		}
	}

	/**
	 * Forwards a message: from a follower to all links, from the relay or another failure domain to the followers. Only
	 * messages that originate in the own failure domain are sent to other failure domains, which prevents loops.
	 */
	forward(message: RelayedMessage, from?: Sender): void {
		const {relay, followers, peers} = this.#links;
		if (from?.as === 'probe' || (from?.as === 'relay' && !this.isRelay(from))) {
			return;
		}

		const text = JSON.stringify(message);
		if (relay !== undefined && from?.as !== 'relay') {
			this.batcher.enqueue(relay, 'follower', text);
		}

		this.#sendToAll(followers, 'relay', text, from);
		if (from?.as !== 'peer' && message.domain === this.topology.self.failureDomain) {
			this.#sendToAll(peers, 'peer', text, from);
		}
	}

	/** Sends a message to all linked daemons. */
	sendToLinks(message: LoadMessage): void {
		const {relay, followers, peers} = this.#links;
		const text = JSON.stringify(message);
		this.#sendToAll(relay === undefined ? [] : [relay], 'follower', text);
		this.#sendToAll(followers, 'relay', text);
		this.#sendToAll(peers, 'peer', text);
	}

	flush(): void {
		this.batcher.flush();
	}

	close(): void {
		this.batcher.close();
	}

	#sendToAll(addresses: readonly string[], as: ContactRole, text: string, except?: Sender): void {
		for (const address of addresses) {
			if (address !== except?.address) {
				this.batcher.enqueue(address, as, text);
			}
		}
	}
}
