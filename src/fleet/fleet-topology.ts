/**
 * Decides which daemons a daemon talks to.
 *
 * A small fleet is a full mesh. In a larger one, the datagrams of each daemon would grow with the fleet, and those of all
 * daemons with its square. There, one daemon of each failure domain relays: the others follow it, and the relays of the
 * failure domains talk to each other. Nobody elects a relay: each daemon follows the highest-ranked daemon of its failure
 * domain that answers, and one that can reach none of higher rank relays. Daemons that rank alike cannot follow each
 * other in a circle, because the order is total.
 *
 * Answers fleets of some dozens to some hundreds of daemons.
 */

/** Fleets up to this size are a mesh: 23 datagrams for each change, about 1 ms of processor time for a request's three changes. */
export const MESH_LIMIT = 24;
/** A link is lost after this silence in ms: three beats of a relay. */
const LINK_SILENCE_MS = 1000;
/** Followers that were silent this long in ms are no longer sent to: three of their reports, one each second. */
const FOLLOWER_SILENCE_MS = 3500;

/** A daemon as it registered itself. */
export type Member = {
	/** Its IP address. */
	readonly address: string;
	readonly failureDomain: string;
	/** Processor cores it may use. Relaying costs the most on the largest fleets, so strong hosts relay. */
	readonly cores: number;
};

/** What a daemon is to the one that hears it. A probe only tells that it is there. */
export type ContactRole = 'follower' | 'relay' | 'peer' | 'probe';

export type Links = {
	/** The daemon that relays to this one; undefined for a daemon that relays itself, or that is part of a mesh. */
	readonly relay: string | undefined;
	/** Daemons that follow this one. */
	readonly followers: readonly string[];
	/** Daemons with which this one exchanges as equals: the relays of other failure domains, or all others of a mesh. */
	readonly peers: readonly string[];
	/** One daemon that did not answer and is asked again. */
	readonly probe: string | undefined;
};

type Candidate = {
	readonly member: Member;
	/** When it was chosen as a link, while it has not been heard. */
	askedAt: number | undefined;
	heardAt: number;
	isDown: boolean;
};

export class FleetTopology {
	static create(self: Member): FleetTopology {
		return new FleetTopology(self);
	}

	readonly #candidates = new Map<string, Candidate>();
	readonly #followers = new Map<string, number>();
	#probes = 0;

	private constructor(readonly self: Member) {}

	/** Daemons known, this one included. */
	get size(): number {
		return this.#candidates.size + 1;
	}

	get isMesh(): boolean {
		return this.size <= MESH_LIMIT;
	}

	/** Adds daemons. Returns the new ones. */
	add(members: Iterable<Member>): readonly Member[] {
		const added: Member[] = [];
		for (const member of members) {
			if (member.address !== this.self.address && !this.#candidates.has(member.address)) {
				this.#candidates.set(member.address, {
					member, askedAt: undefined, heardAt: -Infinity, isDown: false,
				});
				added.push(member);
			}
		}

		return added;
	}

	/** A daemon was heard in the role that it takes towards this one. Returns whether that is a new follower. */
	heard(address: string, as: ContactRole, now: number): boolean {
		const candidate = this.#candidates.get(address);
		if (candidate) {
			candidate.heardAt = now;
			candidate.askedAt = undefined;
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
			return {
				relay: undefined, followers: [], peers: [...this.#candidates.keys()], probe: undefined,
			};
		}

		const {self} = this;
		const ranked = this.#ranked();
		const relay = chooseLink(ranked.filter(({member}) => member.failureDomain === self.failureDomain && compareRank(member, self) < 0), now);
		const peers: string[] = [];
		// A daemon that follows another one leaves the other failure domains to it.
		const domains = relay === undefined ? new Set(ranked.map(({member}) => member.failureDomain)) : [];
		for (const domain of domains) {
			const peer = domain === self.failureDomain ? undefined : chooseLink(ranked.filter(({member}) => member.failureDomain === domain), now);
			if (peer !== undefined) {
				peers.push(peer);
			}
		}

		return {
			relay, followers: this.#currentFollowers(now), peers, probe: this.#nextProbe(ranked, relay === undefined),
		};
	}

	#currentFollowers(now: number): readonly string[] {
		for (const [address, heardAt] of this.#followers) {
			if (now - heardAt > FOLLOWER_SILENCE_MS) {
				this.#followers.delete(address);
			}
		}

		return [...this.#followers.keys()];
	}

	#ranked(): Candidate[] {
		return [...this.#candidates.values()].sort((a, b) => compareRank(a.member, b.member));
	}

	/** The next of the daemons that do not answer: of higher rank in the own failure domain, and any of others. */
	#nextProbe(ranked: readonly Candidate[], isRelay: boolean): string | undefined {
		const {self} = this;
		const down = ranked.filter(({member, isDown}) => isDown
			&& (member.failureDomain === self.failureDomain ? compareRank(member, self) < 0 : isRelay));
		return down[this.#probes++ % Math.max(1, down.length)]?.member.address;
	}
}

/** Negative when `a` ranks higher. */
const compareRank = (a: Member, b: Member): number => b.cores - a.cores || (a.address < b.address ? -1 : 1);

/** The first candidate that answers. One that was asked and stays silent is passed over until it is heard. */
function chooseLink(candidates: readonly Candidate[], now: number): string | undefined {
	let chosen: string | undefined;
	for (const candidate of candidates) {
		if (chosen !== undefined) {
			candidate.askedAt = undefined;
		} else if (!candidate.isDown) {
			chosen = stillAnswers(candidate, now) ? candidate.member.address : undefined;
		}
	}

	return chosen;
}

function stillAnswers(candidate: Candidate, now: number): boolean {
	if (now - candidate.heardAt <= LINK_SILENCE_MS) {
		return true;
	}

	candidate.askedAt ??= now;
	candidate.isDown = now - candidate.askedAt > LINK_SILENCE_MS;
	return !candidate.isDown;
}
