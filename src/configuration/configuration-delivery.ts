/**
 * Brings newer versions of the configuration to this daemon. Two daemons of each failure domain watch the object API;
 * the others poll these two in turn, and read directly where neither answers. A daemon whose object API call fails asks
 * one other daemon of the region, so that a version that reached any reachable daemon goes on.
 */
import type {Directory, Member} from '../membership/directory.js';
import type {ObjectApi, ReadOutcome, WatchOutcome} from '../object-api/object-api.js';
import type {ConfigurationPollAnswer, PeerService} from '../peer/protocol.js';
import {Backoff} from '../util/backoff.js';
import type {Clock} from '../util/clock.js';
import {pause} from '../util/pause.js';
import {withTimeLimit} from '../util/time-limit.js';
import {applyDelta} from './configuration-delta.js';
import type {ConfigurationStore} from './configuration-store.js';
import {CONFIGURATION_KEY} from './schema.js';
import {chooseWatchers} from './watchers.js';

/** Times of delivery in ms. */
export type DeliveryTimes = {
	/** Longest wait of one watch or poll. A stalled connection delays a change by this and `callMs`. */
	readonly waitMs: number;
	/** Time limit of a call beyond its wait. */
	readonly callMs: number;
	/** Time between two direct reads of a daemon to which no watcher answers. */
	readonly directReadMs: number;
	/** A watcher that has not heard from the object API for longer counts as not answering. */
	readonly staleSourceMs: number;
	readonly backoffBaseMs: number;
	readonly backoffMaxMs: number;
};

/**
 * Chosen so that a change is in force within 12 s with one watcher blind and the connection to the other stalled: with
 * a poll that outlasts its time and a backoff, direct reads are at most 10 s apart.
 */
export const DELIVERY_TIMES: DeliveryTimes = {
	waitMs: 2500,
	callMs: 1000,
	directReadMs: 8000,
	staleSourceMs: 5000,
	backoffBaseMs: 100,
	backoffMaxMs: 1000,
};

/** Peers asked at once by a daemon that has no configuration. */
const BOOTSTRAP_PEERS = 4;

export type DeliveryOptions = {
	readonly directory: Directory;
	readonly objectApi: ObjectApi;
	/** The service of the daemon at a peer address. */
	readonly peer: (peerAddress: string) => Pick<PeerService, 'configuration'>;
	readonly store: ConfigurationStore;
	readonly clock: Clock;
	readonly seed: number;
	/** Called for each event, for a log line. */
	readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
	readonly times?: DeliveryTimes;
};

export class ConfigurationDelivery {
	/** Starts delivery. */
	static create(options: DeliveryOptions): ConfigurationDelivery {
		return new ConfigurationDelivery(options);
	}

	readonly #times: DeliveryTimes;
	readonly #backoff: Backoff;
	readonly #closed = new AbortController();
	readonly #task: Promise<void>;
	/** When the object API last answered, on the clock of this daemon. */
	#sourceHeardMs = -Infinity;
	#directReadAtMs = -Infinity;
	/** Whether no watcher answered in the last round. */
	#isCutOff = false;
	#turn = 0;

	private constructor(private readonly options: DeliveryOptions) {
		this.#times = options.times ?? DELIVERY_TIMES;
		this.#backoff = Backoff.create({baseMs: this.#times.backoffBaseMs, maxMs: this.#times.backoffMaxMs, seed: options.seed});
		this.#task = this.#run();
	}

	/** Time since the object API last answered this daemon, or undefined when it never did. */
	sourceAgeMs(nowMs: number): number | undefined {
		return Number.isFinite(this.#sourceHeardMs) ? nowMs - this.#sourceHeardMs : undefined;
	}

	/** Ends the task and waits for its end. */
	async close(): Promise<void> {
		this.#closed.abort();
		await this.#task;
	}

	async #run(): Promise<void> {
		const {signal} = this.#closed;
		await this.#bootstrap();
		while (!signal.aborted) {
			if (await this.#isProductive()) {
				this.#backoff.reset();
			} else {
				await pause(this.#backoff.nextMs(), signal);
			}
		}
	}

	/** Does one round. A source that answers at once without a newer version must not make the loop spin. */
	async #isProductive(): Promise<boolean> {
		const {store, clock} = this.options;
		const startedMs = clock();
		const version = store.seenVersion();
		const isDelivered = store.current() ? await this.#round() : await this.#bootstrap();
		return isDelivered && (store.seenVersion() > version || clock() - startedMs >= this.#times.waitMs / 2);
	}

	/** Asks the object API and several peers at once; the store keeps the highest version. */
	async #bootstrap(): Promise<boolean> {
		const peers = this.#others().slice(0, BOOTSTRAP_PEERS);
		await Promise.all([this.#read(), ...peers.map(async member => this.#poll(member, 0))]);
		return this.options.store.current() !== undefined;
	}

	/** One watch or one poll. Returns whether the source answered as it should. */
	async #round(): Promise<boolean> {
		const {self} = this.options.directory;
		const watchers = chooseWatchers(self, this.options.directory.members());
		if (watchers.length === 0 || watchers.some(member => member.id === self.id)) {
			return (await this.#watch()) || this.#askAnyPeer();
		}

		this.#turn++;
		const first = watchers[this.#turn % watchers.length]!;
		for (const member of [first, ...watchers.filter(other => other.id !== first.id)]) {
			if (await this.#poll(member, this.#pollWaitMs(this.options.clock()))) {
				this.#isCutOff = false;
				return true;
			}

			if (this.#isCutOff) {
				await this.#readWhenDue(this.options.clock());
			}
		}

		this.#isCutOff = true;
		await this.#readWhenDue(this.options.clock());
		return false;
	}

	/** Polls of a daemon that depends on direct reads end when the next one is due. */
	#pollWaitMs(nowMs: number): number {
		const {waitMs, directReadMs} = this.#times;
		const dueInMs = Math.max(0, this.#directReadAtMs + directReadMs - nowMs);
		return this.#isCutOff ? Math.min(waitMs, Math.ceil(dueInMs)) : waitMs;
	}

	async #readWhenDue(nowMs: number): Promise<void> {
		if (nowMs - this.#directReadAtMs < this.#times.directReadMs) {
			return;
		}

		this.#directReadAtMs = nowMs;
		if (!await this.#read()) {
			await this.#askAnyPeer();
		}
	}

	/** Always returns false, since a peer's answer does not replace that of the object API. */
	async #askAnyPeer(): Promise<boolean> {
		const others = this.#others();
		this.#turn++;
		if (others.length > 0) {
			await this.#poll(others[this.#turn % others.length]!, 0);
		}

		return false;
	}

	#others(): readonly Member[] {
		const {directory} = this.options;
		return directory.members().filter(member => member.id !== directory.self.id);
	}

	async #read(): Promise<boolean> {
		const {signal} = this.#closed;
		return this.#accept(await this.options.objectApi.read(CONFIGURATION_KEY, {timeoutMs: this.#times.callMs, signal}));
	}

	async #watch(): Promise<boolean> {
		const {signal} = this.#closed;
		const {waitMs, callMs} = this.#times;
		// An invalid version is not waited for again, so that it does not make the watch return at once.
		const afterVersion = this.options.store.seenVersion();
		return this.#accept(await this.options.objectApi.watch(CONFIGURATION_KEY, afterVersion, waitMs, {timeoutMs: waitMs + callMs, signal}));
	}

	/** Returns whether the object API answered. */
	#accept(outcome: ReadOutcome | WatchOutcome): boolean {
		if (outcome.kind === 'unavailable') {
			return this.#fail('object-api', outcome.message);
		}

		this.#sourceHeardMs = this.options.clock();
		if (outcome.kind === 'found' || outcome.kind === 'changed') {
			this.#offer('object-api', outcome.object.version, outcome.object.value);
		}

		return true;
	}

	async #poll(member: Member, waitMs: number): Promise<boolean> {
		const knownVersion = this.options.store.version();
		const limit = {timeoutMs: waitMs + this.#times.callMs, signal: this.#closed.signal};
		try {
			const peer = this.options.peer(member.peerAddress);
			const answer = await withTimeLimit(limit, async signal => peer.configuration({knownVersion, waitMs}, signal));
			return this.#acceptFromPeer(member, answer);
		} catch (err) {
			return this.#fail(member.id, err instanceof Error ? err.message : String(err));
		}
	}

	/** Returns whether the answer is fresh: newer than what is in force, or from a daemon that hears the object API. */
	#acceptFromPeer(member: Member, answer: ConfigurationPollAnswer): boolean {
		switch (answer.kind) {
			case 'unchanged': {
				return answer.sourceAgeMs !== undefined && answer.sourceAgeMs <= this.#times.staleSourceMs;
			}

			case 'whole': {
				return this.#offer(member.id, answer.version, answer.configuration);
			}

			case 'delta': {
				const current = this.options.store.current();
				return current?.version === answer.fromVersion
					&& this.#offer(member.id, answer.version, applyDelta(current.configuration, answer));
			}
		}
	}

	#offer(source: string, version: number, configuration: unknown): boolean {
		const isApplied = this.options.store.offer({version, configuration});
		if (isApplied) {
			this.options.log('configuration_applied', {version, source});
		}

		return isApplied;
	}

	#fail(source: string, message: string): false {
		if (!this.#closed.signal.aborted) {
			this.options.log('configuration_source_failed', {source, message});
		}

		return false;
	}
}
