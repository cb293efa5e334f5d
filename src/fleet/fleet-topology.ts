/**
 * Decides which daemons a daemon exchanges messages with.
 *
 * A small fleet is a full mesh. In a larger mesh, the datagrams of each daemon would grow with the fleet, and those of all
 * daemons with its square. Therefore one daemon of each failure domain is a relay: the others follow it, and the relays of
 * the failure domains are peers of each other. There is no election: each daemon follows the highest-ranked daemon of its
 * failure domain that answers, and a daemon that can reach none of higher rank becomes a relay. The ranking is a total
 * order, so daemons cannot follow each other in a cycle.
 *
 * The relay of a failure domain also reads the store for its followers. In a mesh of which each failure domain has several
 * daemons, one of them does so too, by the same ranking, while all exchange their other messages directly.
 *
 * Designed for fleets of some dozens to some hundreds of daemons.
 */

/** Largest mesh: 23 datagrams for each change, about 1 ms of processor time for the three changes of a request. */
export const MAX_MESH_SIZE = 24;

/** Whether a fleet of `daemons` exchanges all messages directly, so that each daemon hears of the others' placements at once. */
export const isMeshSize = (daemons: number): boolean => daemons <= MAX_MESH_SIZE;

/** Time in ms without a message after which a link counts as lost: three heartbeats of a relay. */
export const LINK_TIMEOUT_MS = 1000;
/** Time in ms without a message after which a follower is removed: three of its reports, which it sends every second. */
const FOLLOWER_TIMEOUT_MS = 3500;

/** Time in ms without a message after which a daemon of a mesh is not heard: one of its reports, and a margin. */
const HEARD_MS = 1500;
/** Time in ms after which a silent daemon is taken for ended, not for cut off: partitions last for minutes. */
const ENDED_MS = 900_000;

/** A daemon, as described by its registration. */
export type Member = {
	/** IP address. */
	readonly address: string;
	readonly failureDomain: string;
	/** Processor cores it may use. Relaying costs most on the largest fleets, so the hosts with the most cores relay. */
	readonly cores: number;
};

/** Role of a daemon towards the receiver of its messages. A probe only shows that the sender is reachable. */
export type ContactRole = 'follower' | 'relay' | 'peer' | 'probe';

export type Links = {
	/** The daemon that this one follows; undefined for a relay and in a mesh. */
	readonly relay: string | undefined;
	/** Daemons that follow this one. */
	readonly followers: readonly string[];
	/** Daemons on the same level as this one: the relays of other failure domains, or all other daemons of a mesh. */
	readonly peers: readonly string[];
	/** An unresponsive daemon that is contacted again. */
	readonly probe: string | undefined;
	/** The daemon whose copy of the store this one reads; undefined if it reads the store itself. */
	readonly storeRelay: string | undefined;
	/** Daemons that read this one's copy of the store. */
	readonly storeFollowers: readonly string[];
};

/** Whether one daemon of each failure domain should read the store for a mesh of that many daemons and failure domains. */
export type HasStoreRelays = (daemons: number, failureDomains: number) => boolean;

type LinkCandidate = {
	readonly member: Member;
	/** When it was chosen as a link, if no message has arrived from it since. */
	selectedAt: number | undefined;
	lastContactAt: number;
	isDown: boolean;
};

export class FleetTopology {
	/** `hasStoreRelays` applies to meshes; larger fleets always have relays. */
	static create(self: Member, hasStoreRelays: HasStoreRelays = () => false): FleetTopology {
		return new FleetTopology(self, hasStoreRelays);
	}

	readonly #candidates = new Map<string, LinkCandidate>();
	/** The candidates by rank, and the failure domains of all daemons. */
	#ranked: readonly LinkCandidate[] = [];
	#failureDomains: ReadonlySet<string>;
	#othersByDomain: ReadonlyMap<string, number> = new Map();
	readonly #followers = new Map<string, number>();
	#probeCount = 0;

	private constructor(readonly self: Member, private readonly hasStoreRelays: HasStoreRelays) {
		this.#failureDomains = new Set([self.failureDomain]);
	}

	/** Number of known daemons, including this one. */
	get size(): number {
		return this.#candidates.size + 1;
	}

	/** Number of the other known daemons of each failure domain. */
	get othersByDomain(): ReadonlyMap<string, number> {
		return this.#othersByDomain;
	}

	get isMesh(): boolean {
		return isMeshSize(this.size);
	}

	/** Number of daemons of a mesh that read the store if all can reach each other. */
	get meshStoreReaders(): number {
		const domains = this.#failureDomains.size;
		return this.hasStoreRelays(this.size, domains) ? domains : this.size;
	}

	/** Other daemons, without those that this one exchanges messages with and that have fallen silent. */
	responsiveMembers(now: number): readonly Member[] {
		return this.#ranked
			.filter(({lastContactAt, isDown}) => !isDown && (!this.isMesh || now - lastContactAt <= FOLLOWER_TIMEOUT_MS))
			.map(({member}) => member);
	}

	/**
	 * Share of the known daemons whose messages reach this one now, with itself. A follower hears all others through its relay, a relay
	 * hears its followers, and through each relay of another failure domain the daemons of that domain.
	 */
	heardShare(now: number): number {
		const isFresh = ({lastContactAt}: LinkCandidate, timeoutMs: number): boolean => now - lastContactAt <= timeoutMs;
		if (this.isMesh) {
			const ended = this.#ranked.filter(candidate => candidate.lastContactAt !== -Infinity && !isFresh(candidate, ENDED_MS));
			return (1 + this.#ranked.filter(candidate => isFresh(candidate, HEARD_MS)).length) / (this.size - ended.length);
		}

		const {failureDomain} = this.self;
		const isOwnDomain = ({member}: LinkCandidate): boolean => member.failureDomain === failureDomain;
		if (this.#ranked.some(candidate => isOwnDomain(candidate) && compareRank(candidate.member, this.self) < 0 && isFresh(candidate, LINK_TIMEOUT_MS))) {
			return 1;
		}

		const heardDomains = new Set(this.#ranked.filter(candidate => isFresh(candidate, LINK_TIMEOUT_MS)).map(({member}) => member.failureDomain));
		const heard = this.#ranked.filter(candidate => isOwnDomain(candidate) ? isFresh(candidate, FOLLOWER_TIMEOUT_MS) : heardDomains.has(candidate.member.failureDomain));
		return (1 + heard.length) / this.size;
	}

	/** Time of the last message of any daemon that is linked to this one; the present if none is known. */
	heardAt(now: number): number {
		return this.#ranked.length === 0 ? now : Math.max(...this.#ranked.map(({lastContactAt}) => lastContactAt));
	}

	/** Adds daemons and returns those that were not known. */
	addMembers(members: Iterable<Member>): readonly Member[] {
		const added: Member[] = [];
		for (const member of members) {
			if (member.address !== this.self.address && !this.#candidates.has(member.address)) {
				this.#candidates.set(member.address, {
					member, selectedAt: undefined, lastContactAt: -Infinity, isDown: false,
				});
				added.push(member);
			}
		}

		if (added.length > 0) {
			this.#ranked = [...this.#candidates.values()].sort((a, b) => compareRank(a.member, b.member));
			this.#othersByDomain = countByDomain(this.#ranked);
			this.#failureDomains = new Set([this.self, ...this.#ranked.map(({member}) => member)].map(({failureDomain}) => failureDomain));
		}

		return added;
	}

	/** Records a message from a daemon with the given role towards this one. Returns whether it is a new follower. */
	recordContact(address: string, as: ContactRole, now: number): boolean {
		const candidate = this.#candidates.get(address);
		if (candidate) {
			candidate.lastContactAt = now;
			candidate.selectedAt = undefined;
			candidate.isDown = false;
		}

		switch (as) {
			case 'follower': {
				const isNew = !this.#followers.has(address);
				this.#followers.set(address, now);
				return isNew;
			}

			case 'peer':
			case 'relay': {
				this.#followers.delete(address);
				return false;
			}

			case 'probe': {
				return false;
			}
		}
	}

	links(now: number): Links {
		if (this.isMesh) {
			return this.#meshLinks(now);
		}

		const {self} = this;
		const ranked = this.#ranked;
		const relay = this.#chooseRelay(now);
		const peers: string[] = [];
		// A follower leaves the links to other failure domains to its relay.
		const domains = relay === undefined ? this.#failureDomains : [];
		for (const domain of domains) {
			const peer = domain === self.failureDomain ? undefined : chooseLink(ranked.filter(({member}) => member.failureDomain === domain), now);
			if (peer !== undefined) {
				peers.push(peer);
			}
		}

		const followers = this.#currentFollowers(now);
		return {
			relay, followers, peers, probe: this.#nextProbe(ranked, relay === undefined), storeRelay: relay, storeFollowers: followers,
		};
	}

	#meshLinks(now: number): Links {
		const {self} = this;
		const hasRelays = this.hasStoreRelays(this.size, this.#failureDomains.size);
		const storeRelay = hasRelays ? this.#chooseRelay(now) : undefined;
		const isStoreRelay = hasRelays && storeRelay === undefined;
		const storeFollowers = isStoreRelay
			? [...this.#candidates.values()].filter(({member, lastContactAt}) => member.failureDomain === self.failureDomain
				&& compareRank(member, self) > 0 && now - lastContactAt <= FOLLOWER_TIMEOUT_MS)
			: [];
		return {
			relay: undefined,
			followers: [],
			peers: [...this.#candidates.keys()],
			probe: undefined,
			storeRelay,
			storeFollowers: storeFollowers.map(({member}) => member.address),
		};
	}

	/** The daemon of the own failure domain with the highest rank above this one that answers. */
	#chooseRelay(now: number): string | undefined {
		const {self} = this;
		return chooseLink(this.#ranked.filter(({member}) => member.failureDomain === self.failureDomain && compareRank(member, self) < 0), now);
	}

	#currentFollowers(now: number): readonly string[] {
		for (const [address, lastContactAt] of this.#followers) {
			if (now - lastContactAt > FOLLOWER_TIMEOUT_MS) {
				this.#followers.delete(address);
			}
		}

		return [...this.#followers.keys()];
	}

	/** The next unresponsive daemon to probe: of higher rank in the own failure domain or, for a relay, any in another one. */
	#nextProbe(ranked: readonly LinkCandidate[], isRelay: boolean): string | undefined {
		const {self} = this;
		const down = ranked.filter(({member, isDown}) => isDown
			&& (member.failureDomain === self.failureDomain ? compareRank(member, self) < 0 : isRelay));
		return down[this.#probeCount++ % Math.max(1, down.length)]?.member.address;
	}
}

function countByDomain(candidates: readonly LinkCandidate[]): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const {member: {failureDomain}} of candidates) {
		counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
	}

	return counts;
}

/** Negative if `a` ranks higher. */
const compareRank = (a: Member, b: Member): number => b.cores - a.cores || (a.address < b.address ? -1 : 1);

/** The first candidate that answers. One that did not answer in time is skipped until a message arrives from it. */
function chooseLink(candidates: readonly LinkCandidate[], now: number): string | undefined {
	let chosen: string | undefined;
	for (const candidate of candidates) {
		if (chosen !== undefined) {
			candidate.selectedAt = undefined;
		} else if (!candidate.isDown) {
			chosen = isResponsive(candidate, now) ? candidate.member.address : undefined;
		}
	}

	return chosen;
}

function isResponsive(candidate: LinkCandidate, now: number): boolean {
	if (now - candidate.lastContactAt <= LINK_TIMEOUT_MS) {
		return true;
	}

	candidate.selectedAt ??= now;
	candidate.isDown = now - candidate.selectedAt > LINK_TIMEOUT_MS;
	return !candidate.isDown;
}
