/**
 * Keeps the requests of all daemons to a server within the limit that the server names in its responses, and within the rate that
 * it bears while it is cold. A server that refused a request of this daemon for some time gets none of its requests until then.
 *
 * Each daemon counts the requests of all daemons, which tell each other of each placement, in a token bucket for each limited
 * server. A limit that one daemon reads is told to the others, so that it binds those that got no response from the server.
 *
 * Designed for limits of a fraction of a request to some dozens of requests per second, over up to some hundreds of daemons.
 */

/** A server that takes no requests, or that lost its last response, is tried this often per second, to learn of a new limit. */
const MIN_RATE = 0.1;
/** Largest burst, as a time in s at the limit; at least one request. */
const BURST_S = 1;
/** Interval in ms at which an unchanged limit is told again, for daemons that have started or missed a message. */
const REPEAT_INTERVAL_MS = 2000;
/** Shortest interval in ms between messages about a limit that changes with each response. */
const CHANGE_INTERVAL_MS = 500;

/** Messages of a daemon may be on their way for this time in ms. */
const SILENCE_MS = 20;
/** Time in ms for which sends are kept: longer than a silent daemon takes to count as not heard. */
const KEPT_MS = 4000;
/**
 * Requests that a cold server may get in a second beyond its rate because daemons do not know of each other's last sends, as a share of
 * its rate and a number. Together with the rate this stays below 1.5 times the rate and 5 more, whoever hears whom.
 */
const UNHEARD_SHARE = 0.4;
const UNHEARD_SENDS = 4;

const MS_PER_SECOND = 1000;

/** What one daemon tells the others about a server. `perSecond` is absent if the limit has ended. */
export type LimitNotice = {readonly server: string; readonly perSecond?: number};

/** Which daemons this one hears. */
export type Hearing = {
	/** Number of known daemons, with this one. */
	daemons(): number;
	/** Share of them that this one hears, with itself. */
	share(now: number): number;
	/** Time of the last message of a daemon; undefined if it has been silent for some seconds. */
	heardAt(daemon: string, now: number): number | undefined;
};

const hearsAll: Hearing = {daemons: () => 1, share: () => 1, heardAt: (_daemon, now) => now};

/** `daemon` is undefined for a send of this daemon. */
type Send = {readonly at: number; readonly daemon: string | undefined};

type Bucket = {
	perSecond: number;
	/** Negative after requests that other daemons sent at the same time. */
	tokens: number;
	updatedAt: number;
	/** Time of the last response, here or at another daemon, that named the limit. */
	namedAt: number;
	toldAt: number;
	toldPerSecond: number;
};

export class ServerLimits {
	/** `onLifted` is called when the limit of a server has ended. */
	static create(hearing = hearsAll, onLifted: () => void = () => undefined): ServerLimits {
		return new ServerLimits(hearing, onLifted);
	}

	readonly #buckets = new Map<string, Bucket>();
	/** Times until which servers take no requests of this daemon. */
	readonly #closedUntil = new Map<string, number>();
	/** Requests of the last seconds by server, oldest first. */
	readonly #recentSends = new Map<string, Send[]>();

	private constructor(private readonly hearing: Hearing, private readonly onLifted: () => void) {}

	/** Number of servers with a limit. */
	get size(): number {
		return this.#buckets.size;
	}

	/**
	 * Records what a response says about the limit of its server. `sentAt` is the time at which the request was sent. Returns
	 * what the other daemons have to be told, if anything.
	 */
	recordResponse({server, perSecond}: LimitNotice, sentAt: number, now: number): LimitNotice | undefined {
		const known = this.#buckets.get(server);
		if (perSecond === undefined) {
			// A response to an earlier request may have been created before the limit.
			if (!known || sentAt <= known.namedAt) {
				return undefined;
			}

			this.#buckets.delete(server);
			this.onLifted();
			return {server};
		}

		const bucket = this.#setLimit(server, perSecond, now);
		const isChanged = bucket.toldPerSecond !== perSecond;
		if (now - bucket.toldAt < (isChanged ? CHANGE_INTERVAL_MS : REPEAT_INTERVAL_MS)) {
			return undefined;
		}

		bucket.toldAt = now;
		bucket.toldPerSecond = perSecond;
		return {server, perSecond};
	}

	/** Records that the server refused a request of this daemon and takes none until `until`. An earlier refusal may have named a later time. */
	recordClosed(server: string, until: number): void {
		this.#closedUntil.set(server, Math.max(until, this.#closedUntil.get(server) ?? -Infinity));
	}

	/** Whether the server takes no requests of this daemon at all. */
	isClosed(server: string, now: number): boolean {
		return now < (this.#closedUntil.get(server) ?? -Infinity);
	}

	/** Applies what another daemon tells. */
	applyNotice({server, perSecond}: LimitNotice, now: number): void {
		if (perSecond === undefined) {
			this.#buckets.delete(server);
			this.onLifted();
			return;
		}

		const bucket = this.#setLimit(server, perSecond, now);
		bucket.toldAt = now;
		bucket.toldPerSecond = perSecond;
	}

	/** Records that a daemon, or this one if undefined, has sent a request to the server. */
	recordSend(server: string, now: number, daemon?: string): void {
		const bucket = this.#buckets.get(server);
		if (bucket) {
			refill(bucket, now);
			bucket.tokens--;
		}

		const kept = this.#sends(server, now, KEPT_MS);
		kept.push({at: now, daemon});
		this.#recentSends.set(server, kept);
	}

	/**
	 * Time in ms until the server may get a further request; 0 if it may now. `coldPerSecond` is the rate that it bears while it is cold,
	 * undefined when it is not.
	 */
	waitMs(server: string, coldPerSecond: number | undefined, now: number): number {
		const closedMs = Math.ceil((this.#closedUntil.get(server) ?? -Infinity) - now);
		return Math.max(closedMs, this.#limitWaitMs(server, now), coldPerSecond === undefined ? 0 : this.#coldWaitMs(server, coldPerSecond, now));
	}

	/** Removes servers that are not in `known`. */
	retain(known: ReadonlySet<string>): void {
		for (const servers of [this.#buckets, this.#closedUntil, this.#recentSends]) {
			for (const server of servers.keys()) {
				if (!known.has(server)) {
					servers.delete(server);
				}
			}
		}
	}

	#limitWaitMs(server: string, now: number): number {
		const bucket = this.#buckets.get(server);
		if (!bucket) {
			return 0;
		}

		refill(bucket, now);
		return bucket.tokens >= 1 ? 0 : Math.ceil((1 - bucket.tokens) / rate(bucket) * MS_PER_SECOND);
	}

	#coldWaitMs(server: string, perSecond: number, now: number): number {
		const recent = this.#sends(server, now, MS_PER_SECOND);
		const whole = Math.max(1, Math.floor(perSecond));
		const unheard = this.#unheardSends(server, perSecond, now);
		const usable = unheard === 0 ? whole : Math.min(whole, perSecond - unheard);
		if (usable >= 1) {
			const oldestCounted = recent.at(-Math.floor(usable));
			return oldestCounted === undefined ? 0 : Math.ceil(oldestCounted.at + MS_PER_SECOND - now);
		}

		// A share of less than one request a second is one request in several seconds.
		const intervalMs = Math.min(KEPT_MS, MS_PER_SECOND / Math.max(usable, MIN_RATE));
		const last = this.#sends(server, now, intervalMs).at(-1);
		return last === undefined ? 0 : Math.ceil(last.at + intervalMs - now);
	}

	/**
	 * Requests of the last second that daemons which this one does not hear may have sent: at least their share of the rate, and as many as
	 * each of them sent in the last second in which it was heard.
	 */
	#unheardSends(server: string, perSecond: number, now: number): number {
		const share = this.hearing.share(now);
		const held = this.#sends(server, now, KEPT_MS).filter(({at, daemon}) => {
			const heardAt = daemon === undefined ? now : this.hearing.heardAt(daemon, now);
			return now - at >= MS_PER_SECOND && heardAt !== undefined && at > heardAt + SILENCE_MS - MS_PER_SECOND;
		});
		const spared = ((UNHEARD_SHARE * perSecond) + UNHEARD_SENDS) / this.hearing.daemons();
		return Math.max(held.length - spared, share < 1 ? (1 - share) * perSecond : 0, 0);
	}

	#sends(server: string, now: number, spanMs: number): Send[] {
		return (this.#recentSends.get(server) ?? []).filter(({at}) => now - at < spanMs);
	}

	#setLimit(server: string, perSecond: number, now: number): Bucket {
		let bucket = this.#buckets.get(server);
		if (bucket) {
			refill(bucket, now);
			bucket.perSecond = perSecond;
			bucket.namedAt = now;
		} else {
			bucket = {
				perSecond, tokens: 0, updatedAt: now, namedAt: now, toldAt: -Infinity, toldPerSecond: perSecond,
			};
			this.#buckets.set(server, bucket);
		}

		return bucket;
	}
}

const rate = ({perSecond}: Bucket): number => Math.max(MIN_RATE, perSecond);

function refill(bucket: Bucket, now: number): void {
	const perSecond = rate(bucket);
	const gained = Math.max(0, now - bucket.updatedAt) / MS_PER_SECOND * perSecond;
	bucket.tokens = Math.min(Math.max(1, BURST_S * perSecond), bucket.tokens + gained);
	bucket.updatedAt = Math.max(now, bucket.updatedAt);
}
