/**
 * Decides whether a daemon may make one more retry of a service after its own part is used up, from the first and repeated placements of
 * all daemons that it knows of.
 *
 * The operator's rule: in any window, the arrivals at a service beyond the first of each request are at most `share x requests + slack`,
 * summed over all daemons. Own parts are token buckets: from any moment on, all of them together allow as many retries as they hold
 * tokens, and `share` for each further request. A retry beyond them is allowed if, for each start of a window that contains it,
 *
 *     retries since then + tokens in all buckets <= usable share x (slack + share x requests since then)
 *
 * so that the rule also holds if all daemons then use up their own parts. The buckets of other daemons are followed by the same
 * messages. A lost message about a retry that took a token changes nothing, since it leaves the token in the sum instead.
 *
 * docs/design/retry-allowance.md has the reasons. Designed for some dozens to some hundreds of daemons.
 */
import {isMeshSize, LINK_TIMEOUT_MS, MAX_MESH_SIZE} from '../fleet/fleet-topology.js';
import {FleetHearing, type OtherDaemons} from './fleet-hearing.js';
import {RetryCounts, RETRY_WINDOW_MS} from './retry-counts.js';

/**
 * Share of the allowance that is used. The rest covers lost messages about retries beyond the own parts, messages later than
 * `MESSAGE_DELAY_MS`, and the spread of the decisions of many daemons that decide by chance at the same moment.
 */
const USABLE_SHARE = 0.95;
/** Longest time in ms for which other daemons do not know of a retry: messages take 5 to 45 ms. */
const MESSAGE_DELAY_MS = 50;
/** Share of the slack that is divided among the daemons; the rest covers daemons not known to each other. */
const DIVIDED_SLACK_SHARE = 0.6;
/** Placements are remembered for at least this time in ms, so that a doubled message counts once after its placement has closed. */
const ID_MEMORY_MS = 1000;

export type RetryAllowanceOptions = {
	/** Identifies this start of the daemon in its messages. */
	readonly daemon: string;
	/** Retries allowed per request, and in each window on top of these. */
	readonly share: number;
	readonly slack: number;
	otherDaemons(): OtherDaemons;
	/** Random number between 0 and 1. */
	random(): number;
};

/** A placement of another daemon. */
export type HeardPlacement = {
	/** Unique for each attempt of a request of one daemon. */
	readonly id: string;
	readonly daemon: string;
	readonly service: string;
	/** An earlier attempt of the request may have reached a server. */
	readonly isRepeat: boolean;
};

/** What a decision was made from, for logs. */
export type RetryState = {
	readonly requests: number;
	readonly retries: number;
	/** Retries that the daemons may still make of their own parts. */
	readonly reserved: number;
	readonly daemons: number;
	/** Daemons of the failure domains that were heard lately, including this one. */
	readonly heard: number;
};

type ServiceState = {
	readonly counts: RetryCounts;
	/** Tokens in the buckets of the daemons that were heard of. */
	readonly buckets: Map<string, {tokens: number; heardAt: number}>;
	/** Times of the retries of this daemon beyond its own part. */
	grantedAt: readonly number[];
	draw: number;
	drawnAt: number;
};

export class RetryAllowance {
	static create(options: RetryAllowanceOptions): RetryAllowance {
		return new RetryAllowance(options);
	}

	readonly #hearing: FleetHearing;
	readonly #services = new Map<string, ServiceState>();
	/** Ids of the placements heard of lately, and of those before. */
	#ids = new Set<string>();
	#earlierIds: ReadonlySet<string> = new Set();
	#idsSince = -Infinity;

	private constructor(private readonly options: RetryAllowanceOptions) {
		this.#hearing = FleetHearing.create(() => options.otherDaemons());
	}

	/** Whether the fleet is large enough to be asked for retries beyond the own parts. */
	get isShared(): boolean {
		return !isMeshSize(this.#daemons);
	}

	/** Largest number of retries of one service that one daemon can have saved up as its own part. */
	get ownPart(): number {
		const {slack} = this.options;
		const part = slack * DIVIDED_SLACK_SHARE / this.#daemons;
		// A whole token for each daemon of a fleet that is larger than the slack would break the rule.
		return this.#daemons <= Math.max(MAX_MESH_SIZE, USABLE_SHARE * slack) ? Math.max(1, part) : 0;
	}

	/** Records a message of another daemon. */
	recordContact(failureDomain: string, now: number): void {
		this.#hearing.record(failureDomain, now);
	}

	/** Records a placement of another daemon. One that was recorded lately is ignored. */
	recordPlacement({id, daemon, service, isRepeat}: HeardPlacement, placedAt: number, now: number): void {
		if (this.isShared && this.#isNew(`${daemon} ${id}`, now)) {
			this.#record(service, daemon, isRepeat ? 'repeats' : 'firsts', Math.min(placedAt, now));
		}
	}

	/** Records a request of this daemon. */
	recordRequest(service: string, now: number): void {
		if (this.isShared) {
			this.#record(service, this.options.daemon, 'firsts', now);
		}
	}

	/** Records a retry that this daemon makes of its own part. */
	recordOwnRetry(service: string, now: number): void {
		if (this.isShared) {
			this.#record(service, this.options.daemon, 'repeats', now);
		}
	}

	/** Takes one retry beyond the own part of this daemon. Returns false if the fleet may have none left. */
	tryRetry(service: string, now: number): boolean {
		if (!this.isShared || now - this.#hearing.lastHeardAt > LINK_TIMEOUT_MS) {
			return false;
		}

		const state = this.#stateOf(service);
		if (!this.#isAllowed(state, now)) {
			return false;
		}

		state.grantedAt = [...state.grantedAt, now];
		state.counts.add('repeats', 1, now);
		return true;
	}

	/** Takes back a retry that this daemon recorded or took at the time `at` and did not make. */
	giveBack(service: string, isOwn: boolean, at: number): void {
		const {counts, buckets} = this.#stateOf(service);
		const bucket = buckets.get(this.options.daemon);
		counts.add('repeats', -1, at);
		if (isOwn && bucket) {
			bucket.tokens++;
		}
	}

	state(service: string, now: number): RetryState {
		const state = this.#stateOf(service);
		const spans = state.counts.recent(now);
		return {
			requests: spans.reduce((sum, {firsts}) => sum + firsts, 0),
			retries: spans.reduce((sum, {repeats}) => sum + repeats, 0),
			reserved: this.#heldTokens(state, now),
			daemons: this.#daemons,
			heard: this.#hearing.daemonsHeardSince(now - LINK_TIMEOUT_MS, now),
		};
	}

	get #daemons(): number {
		let daemons = 1;
		for (const count of this.options.otherDaemons().values()) {
			daemons += count;
		}

		return daemons;
	}

	#stateOf(service: string): ServiceState {
		let state = this.#services.get(service);
		if (!state) {
			state = {
				counts: RetryCounts.create(), buckets: new Map(), grantedAt: [], draw: 0, drawnAt: -Infinity,
			};
			this.#services.set(service, state);
		}

		return state;
	}

	#record(service: string, daemon: string, kind: 'firsts' | 'repeats', at: number): void {
		const {counts, buckets} = this.#stateOf(service);
		const capacity = this.ownPart;
		counts.add(kind, 1, at);
		let bucket = buckets.get(daemon);
		if (!bucket) {
			bucket = {tokens: capacity, heardAt: at};
			buckets.set(daemon, bucket);
		}

		bucket.heardAt = Math.max(bucket.heardAt, at);
		// A retry without a token was taken beyond the own part.
		bucket.tokens = kind === 'firsts' ? Math.min(capacity, bucket.tokens + this.options.share) : bucket.tokens - (bucket.tokens >= 1 ? 1 : 0);
	}

	/**
	 * Other daemons may decide at the same moment without having heard of each other. Therefore each takes at most its part of what is
	 * left within the time that a message takes; of a part that is no whole number, the rest by chance.
	 */
	#isAllowed(state: ServiceState, now: number): boolean {
		if (now - state.drawnAt >= MESSAGE_DELAY_MS) {
			state.draw = this.options.random();
			state.drawnAt = now;
		}

		state.grantedAt = state.grantedAt.filter(at => now - at < MESSAGE_DELAY_MS);
		const granted = state.grantedAt.length;
		const part = (this.#left(state, now) + granted) / this.#daemons;
		return granted + 1 <= Math.floor(part + state.draw);
	}

	/** Retries beyond all own parts that the rule leaves, for the start of a window that leaves least. */
	#left(state: ServiceState, now: number): number {
		const {share, slack} = this.options;
		let firsts = 0;
		let repeats = 0;
		let left = Infinity;
		for (const span of state.counts.recent(now)) {
			// The window may start in the span, between its requests and its retries.
			repeats += span.repeats === 0 ? 0 : span.repeats * this.#weight(span.endsAt, now);
			left = Math.min(left, (USABLE_SHARE * (slack + (share * firsts))) - repeats);
			firsts += span.firsts;
		}

		return Math.min(left, USABLE_SHARE * slack) - this.#heldTokens(state, now);
	}

	/**
	 * Daemons that have not been heard since may have made as many retries as those that have. So each side of a partition uses its part of
	 * what was left when it began, however late it is noticed.
	 */
	#weight(at: number, now: number): number {
		return this.#daemons / this.#hearing.daemonsHeardSince(at, now);
	}

	/** Tokens in the own parts of all daemons. Those of daemons that were not heard of in the last window may be full. */
	#heldTokens({buckets}: ServiceState, now: number): number {
		const capacity = this.ownPart;
		let held = 0;
		for (const [daemon, {tokens, heardAt}] of buckets) {
			if (now - heardAt > RETRY_WINDOW_MS) {
				buckets.delete(daemon);
			} else {
				held += Math.min(capacity, tokens);
			}
		}

		return held + (Math.max(0, this.#daemons - buckets.size) * capacity);
	}

	#isNew(id: string, now: number): boolean {
		if (now - this.#idsSince >= ID_MEMORY_MS) {
			this.#earlierIds = this.#ids;
			this.#ids = new Set();
			this.#idsSince = now;
		}

		const isNew = !this.#ids.has(id) && !this.#earlierIds.has(id);
		this.#ids.add(id);
		return isNew;
	}
}
