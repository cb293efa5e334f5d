/**
 * Fetches new versions of the configuration for this daemon. Two daemons of each failure domain watch the object API;
 * the others poll these two alternately, and read the object API directly when neither responds. A daemon whose object
 * API call fails polls one other daemon of the region, so that a version known to any reachable daemon keeps spreading.
 */
import type {Directory, Member} from '../membership/directory.js';
import type {ObjectApi, ReadOutcome, WatchOutcome} from '../object-api/object-api.js';
import type {ConfigurationPollAnswer, PeerService} from '../peer/protocol.js';
import {Backoff} from '../util/backoff.js';
import type {Clock} from '../util/clock.js';
import {stackOf} from '../util/stack-of.js';
import {pause} from '../util/pause.js';
import {withTimeLimit} from '../util/time-limit.js';
import {applyDelta} from './configuration-delta.js';
import type {ConfigurationStore} from './configuration-store.js';
import {CONFIGURATION_KEY} from './schema.js';
import {selectWatchers} from './watchers.js';

/** Timeouts and intervals of configuration delivery, in ms. */
export type DeliveryTimings = {
	/** Maximum wait of one watch or poll. A stalled connection delays a change by up to `waitMs + callTimeoutMs`. */
	readonly waitMs: number;
	/** Timeout of a call, in addition to its wait. */
	readonly callTimeoutMs: number;
	/** Minimum interval between direct reads by a daemon that gets no response from any watcher. */
	readonly directReadIntervalMs: number;
	/** A watcher whose last response from the object API is older than this is treated as unresponsive. */
	readonly maxSourceAgeMs: number;
	readonly backoffBaseMs: number;
	readonly backoffMaxMs: number;
};

/**
 * With these values, a change becomes active within 12 s even if one watcher cannot reach the object API and the
 * connection to the other one stalls: including a poll that times out and a backoff, direct reads are at most 10 s apart.
 */
export const DELIVERY_TIMINGS: DeliveryTimings = {
	waitMs: 2500,
	callTimeoutMs: 1000,
	directReadIntervalMs: 8000,
	maxSourceAgeMs: 5000,
	backoffBaseMs: 100,
	backoffMaxMs: 1000,
};

/** Maximum number of peers that a daemon without a configuration polls concurrently. */
const MAX_BOOTSTRAP_PEERS = 4;

export type DeliveryOptions = {
	readonly directory: Directory;
	readonly objectApi: ObjectApi;
	/** Returns a client for the daemon at a peer address. */
	readonly peer: (peerAddress: string) => Pick<PeerService, 'configuration'>;
	readonly store: ConfigurationStore;
	readonly clock: Clock;
	readonly seed: number;
	/** Logs an event. */
	readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
	readonly timings?: DeliveryTimings;
};

export class ConfigurationDelivery {
	/** Starts fetching configurations in the background. */
	static create(options: DeliveryOptions): ConfigurationDelivery {
		return new ConfigurationDelivery(options);
	}

	readonly #timings: DeliveryTimings;
	readonly #backoff: Backoff;
	readonly #closed = new AbortController();
	readonly #task: Promise<void>;
	/** Time of the last response from the object API, on the clock of this daemon. */
	#lastObjectApiResponseMs = -Infinity;
	#lastDirectReadMs = -Infinity;
	/** Whether no watcher responded in the last round. */
	#areWatchersUnresponsive = false;
	#rotationIndex = 0;

	private constructor(private readonly options: DeliveryOptions) {
		this.#timings = options.timings ?? DELIVERY_TIMINGS;
		this.#backoff = Backoff.create({baseMs: this.#timings.backoffBaseMs, maxMs: this.#timings.backoffMaxMs, seed: options.seed});
		this.#task = this.#run();
	}

	/** Returns the time since the last response from the object API, or undefined when there was none. */
	sourceAgeMs(nowMs: number): number | undefined {
		return Number.isFinite(this.#lastObjectApiResponseMs) ? nowMs - this.#lastObjectApiResponseMs : undefined;
	}

	/** Stops the background task and waits until it has ended. */
	async close(): Promise<void> {
		this.#closed.abort();
		await this.#task;
	}

	async #run(): Promise<void> {
		const {signal} = this.#closed;
		await this.#runOrLog(async () => this.#bootstrap());
		while (!signal.aborted) {
			if (await this.#runOrLog(async () => this.#runRound())) {
				this.#backoff.reset();
			} else {
				await pause(this.#backoff.nextMs(), signal);
			}
		}
	}

	/** Returns false after an exception, which must not end the delivery. */
	async #runOrLog(run: () => Promise<boolean>): Promise<boolean> {
		try {
			return await run();
		} catch (err) {
			this.options.log('configuration_delivery_failed', {message: stackOf(err)});
			return false;
		}
	}

	/**
	 * Runs one round. Returns false when the loop has to back off: after a failure, or when a source responded immediately
	 * without a newer version, which would otherwise make the loop spin.
	 */
	async #runRound(): Promise<boolean> {
		const {store, clock} = this.options;
		const startedMs = clock();
		const version = store.highestSeenVersion();
		const isUpToDate = store.current() ? await this.#watchOrPoll() : await this.#bootstrap();
		return isUpToDate && (store.highestSeenVersion() > version || clock() - startedMs >= this.#timings.waitMs / 2);
	}

	/** Queries the object API and several peers concurrently; the store keeps the highest version. */
	async #bootstrap(): Promise<boolean> {
		const peers = this.#otherMembers().slice(0, MAX_BOOTSTRAP_PEERS);
		await Promise.all([this.#read(), ...peers.map(async member => this.#poll(member, 0))]);
		return this.options.store.current() !== undefined;
	}

	/** Watches the object API or polls the watchers. Returns whether the source gave a valid, up-to-date response. */
	async #watchOrPoll(): Promise<boolean> {
		const {self} = this.options.directory;
		const watchers = selectWatchers(self, this.options.directory.members());
		if (watchers.length === 0 || watchers.some(member => member.id === self.id)) {
			return (await this.#watch()) || this.#pollNextPeer();
		}

		this.#rotationIndex++;
		const first = watchers[this.#rotationIndex % watchers.length]!;
		for (const member of [first, ...watchers.filter(other => other.id !== first.id)]) {
			if (await this.#poll(member, this.#pollWaitMs(this.options.clock()))) {
				this.#areWatchersUnresponsive = false;
				return true;
			}

			if (this.#areWatchersUnresponsive) {
				await this.#readIfDue(this.options.clock());
			}
		}

		this.#areWatchersUnresponsive = true;
		await this.#readIfDue(this.options.clock());
		return false;
	}

	/** Limits the wait of a poll so that it ends when the next direct read is due, if this daemon depends on direct reads. */
	#pollWaitMs(nowMs: number): number {
		const {waitMs, directReadIntervalMs} = this.#timings;
		const dueInMs = Math.max(0, this.#lastDirectReadMs + directReadIntervalMs - nowMs);
		return this.#areWatchersUnresponsive ? Math.min(waitMs, Math.ceil(dueInMs)) : waitMs;
	}

	async #readIfDue(nowMs: number): Promise<void> {
		if (nowMs - this.#lastDirectReadMs < this.#timings.directReadIntervalMs) {
			return;
		}

		this.#lastDirectReadMs = nowMs;
		if (!await this.#read()) {
			await this.#pollNextPeer();
		}
	}

	/** Polls one other daemon, in rotation. Always returns false, because this does not replace a response of the object API. */
	async #pollNextPeer(): Promise<boolean> {
		const others = this.#otherMembers();
		this.#rotationIndex++;
		if (others.length > 0) {
			await this.#poll(others[this.#rotationIndex % others.length]!, 0);
		}

		return false;
	}

	#otherMembers(): readonly Member[] {
		const {directory} = this.options;
		return directory.members().filter(member => member.id !== directory.self.id);
	}

	async #read(): Promise<boolean> {
		const {signal} = this.#closed;
		return this.#acceptFromObjectApi(await this.options.objectApi.read(CONFIGURATION_KEY, {timeoutMs: this.#timings.callTimeoutMs, signal}));
	}

	async #watch(): Promise<boolean> {
		const {signal} = this.#closed;
		const {waitMs, callTimeoutMs} = this.#timings;
		// Watching after the highest seen version, valid or not, keeps an invalid one from ending the watch immediately.
		const afterVersion = this.options.store.highestSeenVersion();
		return this.#acceptFromObjectApi(await this.options.objectApi.watch(CONFIGURATION_KEY, afterVersion, waitMs, {timeoutMs: waitMs + callTimeoutMs, signal}));
	}

	/** Applies the configuration in a response of the object API. Returns whether the object API responded. */
	#acceptFromObjectApi(outcome: ReadOutcome | WatchOutcome): boolean {
		if (outcome.kind === 'unavailable') {
			return this.#logFailure('object-api', outcome.message);
		}

		this.#lastObjectApiResponseMs = this.options.clock();
		if (outcome.kind === 'found' || outcome.kind === 'changed') {
			this.#applyIfNewer('object-api', outcome.object.version, outcome.object.value);
		}

		return true;
	}

	async #poll(member: Member, waitMs: number): Promise<boolean> {
		const knownVersion = this.options.store.version();
		const limit = {timeoutMs: waitMs + this.#timings.callTimeoutMs, signal: this.#closed.signal};
		try {
			const peer = this.options.peer(member.peerAddress);
			const answer = await withTimeLimit(limit, async signal => peer.configuration({knownVersion, waitMs}, signal));
			return this.#acceptFromPeer(member, answer);
		} catch (err) {
			return this.#logFailure(member.id, err instanceof Error ? err.message : String(err));
		}
	}

	/**
	 * Applies the configuration in a peer's answer. Returns whether the answer is up to date: it contains a newer version,
	 * or comes from a daemon with a recent response from the object API.
	 */
	#acceptFromPeer(member: Member, answer: ConfigurationPollAnswer): boolean {
		switch (answer.kind) {
			case 'unchanged': {
				return answer.sourceAgeMs !== undefined && answer.sourceAgeMs <= this.#timings.maxSourceAgeMs;
			}

			case 'whole': {
				return this.#applyIfNewer(member.id, answer.version, answer.configuration);
			}

			case 'delta': {
				const current = this.options.store.current();
				return current?.version === answer.fromVersion
					&& this.#applyIfNewer(member.id, answer.version, applyDelta(current.configuration, answer));
			}
		}
	}

	#applyIfNewer(source: string, version: number, configuration: unknown): boolean {
		const isApplied = this.options.store.applyIfNewer({version, configuration});
		if (isApplied) {
			this.options.log('configuration_applied', {version, source});
		}

		return isApplied;
	}

	#logFailure(source: string, message: string): false {
		if (!this.#closed.signal.aborted) {
			this.options.log('configuration_source_failed', {source, message});
		}

		return false;
	}
}
