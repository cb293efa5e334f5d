/** Answers long polls of other daemons for a configuration newer than the one they have. */
import type {ConfigurationPoll, ConfigurationPollAnswer} from '../peer/protocol.js';
import {pause} from '../util/pause.js';
import {diffConfigurations} from './configuration-delta.js';
import type {ConfigurationStore} from './configuration-store.js';
import type {AcceptedConfiguration, Configuration} from './schema.js';

/** Number of recent versions, the current one included, from which deltas are computed. A poll with an older version gets the whole configuration. */
const MAX_RECENT_VERSIONS = 8;

export class ConfigurationPollHandler {
	/** `sourceAgeMs` returns the time since the last response from the object API, or undefined when there was none. */
	static create(options: {readonly store: ConfigurationStore; readonly sourceAgeMs: () => number | undefined}): ConfigurationPollHandler {
		return new ConfigurationPollHandler(options.store, options.sourceAgeMs);
	}

	readonly #recentVersions = new Map<number, Configuration>();
	readonly #closed = new AbortController();
	readonly #unsubscribe: () => void;
	/** Caches the answer for each known version, because many daemons of a failure domain poll with the same one. */
	readonly #cachedAnswers = new Map<number, ConfigurationPollAnswer>();

	private constructor(private readonly store: ConfigurationStore, private readonly sourceAgeMs: () => number | undefined) {
		const current = store.current();
		if (current) {
			this.#trackVersion(current);
		}

		this.#unsubscribe = store.onChange(accepted => {
			this.#trackVersion(accepted);
		});
	}

	/** Waits up to `waitMs`, or until `signal` is aborted, for a version newer than `knownVersion`. Never rejects. */
	async answer({knownVersion, waitMs}: ConfigurationPoll, signal?: AbortSignal): Promise<ConfigurationPollAnswer> {
		if (this.store.version() <= knownVersion) {
			await this.#waitForNewer(waitMs, signal);
		}

		const current = this.store.current();
		return current && current.version > knownVersion
			? this.#answerChanged(current, knownVersion)
			: {kind: 'unchanged', version: this.store.version(), sourceAgeMs: this.sourceAgeMs()};
	}

	/** Answers pending polls and stops tracking versions. */
	close(): void {
		this.#closed.abort();
		this.#unsubscribe();
	}

	async #waitForNewer(waitMs: number, signal?: AbortSignal): Promise<void> {
		const waitEnd = new AbortController();
		const endWait = () => {
			waitEnd.abort();
		};

		const unsubscribe = this.store.onChange(endWait);
		const signals = [this.#closed.signal, ...(signal ? [signal] : [])];
		for (const source of signals) {
			source.addEventListener('abort', endWait);
		}

		if (signals.some(source => source.aborted)) {
			endWait();
		}

		await pause(waitMs, waitEnd.signal);
		unsubscribe();
		for (const source of signals) {
			source.removeEventListener('abort', endWait);
		}
	}

	#answerChanged(current: AcceptedConfiguration, knownVersion: number): ConfigurationPollAnswer {
		const answer = this.#cachedAnswers.get(knownVersion) ?? this.#buildAnswer(current, knownVersion);
		// Caching answers only for the recent versions bounds the size of the cache.
		if (this.#recentVersions.has(knownVersion)) {
			this.#cachedAnswers.set(knownVersion, answer);
		}

		return answer;
	}

	#buildAnswer({version, configuration}: AcceptedConfiguration, knownVersion: number): ConfigurationPollAnswer {
		const known = this.#recentVersions.get(knownVersion);
		const delta = known && diffConfigurations(known, configuration);
		return delta
			? {
				kind: 'delta', version, fromVersion: knownVersion, ...delta,
			}
			: {kind: 'whole', version, configuration};
	}

	#trackVersion({version, configuration}: AcceptedConfiguration): void {
		this.#cachedAnswers.clear();
		this.#recentVersions.set(version, configuration);
		const oldest = [...this.#recentVersions.keys()].slice(0, -MAX_RECENT_VERSIONS);
		for (const old of oldest) {
			this.#recentVersions.delete(old);
		}
	}
}
