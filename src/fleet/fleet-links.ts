/** Keeps the links to other daemons and sends along them: to the relay, to followers, to peers. */
import type {Socket} from 'node:dgram';
import type {Logger} from '../util/logger.js';
import {
	FleetTopology, type ContactRole, type Links, type Member,
} from './fleet-topology.js';
import type {Beat, BoardMessage, LoadMessage} from './load-message.js';
import {Outbox} from './outbox.js';

/** A daemon that was heard, and what it is to this one. */
export type Sender = {readonly address: string; readonly as: ContactRole};

export class FleetLinks {
	static create(socket: Socket, port: number, self: Member, {logger, now}: {readonly logger: Logger; readonly now: number}): FleetLinks {
		return new FleetLinks(FleetTopology.create(self), Outbox.create(socket, port, self, logger), logger, now);
	}

	#links: Links;

	private constructor(
		private readonly topology: FleetTopology,
		private readonly outbox: Outbox,
		private readonly logger: Logger,
		now: number,
	) {
		this.#links = topology.links(now);
	}

	/** Daemons known, this one included. */
	get daemons(): number {
		return this.topology.size;
	}

	get isMesh(): boolean {
		return this.topology.isMesh;
	}

	/** Daemons that read the store themselves, as far as this one knows. */
	get storeReaders(): number {
		return this.isMesh ? this.daemons : this.#links.peers.length + 1;
	}

	get relay(): string | undefined {
		return this.#links.relay;
	}

	get followers(): number {
		return this.#links.followers.length;
	}

	/** Adds daemons. Returns the new ones. */
	add(members: Iterable<Member>, now: number): readonly Member[] {
		const added = this.topology.add(members);
		this.update(now);
		return added;
	}

	/** A daemon was heard. Returns whether this daemon has a link to it: others are told only that it lives. */
	heard(member: Member, as: ContactRole, now: number): boolean {
		if (this.topology.add([member]).length > 0) {
			this.logger.info('peer_found', {peer: member.address});
		}

		const isNewFollower = this.topology.heard(member.address, as, now);
		if (isNewFollower) {
			this.update(now);
		}

		return as !== 'peer' || this.#links.peers.includes(member.address);
	}

	update(now: number): void {
		const before = this.#links;
		this.#links = this.topology.links(now);
		if (before.relay !== this.#links.relay) {
			this.logger.info('relay_changed', {relay: this.#links.relay, before: before.relay, daemons: this.daemons});
		}
	}

	/** Whether `from` relays to this daemon now. */
	isRelay({address, as}: Sender): boolean {
		return as === 'relay' && address === this.#links.relay;
	}

	/** What this daemon is to one that was heard. */
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

	post(address: string, as: ContactRole, message: LoadMessage): void {
		this.outbox.post(address, as, JSON.stringify(message));
	}

	reply(from: Sender, message: LoadMessage): void {
		this.post(from.address, this.roleTowards(from), message);
	}

	/** Sends a sign of life to followers and peers. The reports of a mesh are signs of life enough. */
	beat(ownBeat: () => Beat): void {
		const {followers, peers} = this.#links;
		if (!this.isMesh && followers.length + peers.length > 0) {
			const text = JSON.stringify(ownBeat());
			this.#postAll(followers, 'relay', text);
			this.#postAll(peers, 'peer', text);
		}
	}

	/** Asks one daemon that did not answer whether it does now. */
	probe(ownBeat: () => Beat): void {
		const {probe} = this.#links;
		if (probe !== undefined) {
			this.post(probe, 'probe', ownBeat());
		}
	}

	/**
	 * Passes a message on: from followers to everyone, from the relay or another failure domain to the followers. Other
	 * failure domains get only what comes from this one, so that nothing goes round in a circle.
	 */
	pass(message: BoardMessage, from?: Sender): void {
		const {relay, followers, peers} = this.#links;
		if (from?.as === 'probe' || (from?.as === 'relay' && !this.isRelay(from))) {
			return;
		}

		const text = JSON.stringify(message);
		if (relay !== undefined && from?.as !== 'relay') {
			this.outbox.post(relay, 'follower', text);
		}

		this.#postAll(followers, 'relay', text, from);
		if (from?.as !== 'peer' && message.domain === this.topology.self.failureDomain) {
			this.#postAll(peers, 'peer', text, from);
		}
	}

	flush(): void {
		this.outbox.flush();
	}

	close(): void {
		this.outbox.close();
	}

	#postAll(addresses: readonly string[], as: ContactRole, text: string, except?: Sender): void {
		for (const address of addresses) {
			if (address !== except?.address) {
				this.outbox.post(address, as, text);
			}
		}
	}
}
