/** Answers long polls of other daemons for a configuration newer than the one they have. */
import type {ConfigurationPoll, ConfigurationPollAnswer} from '../peer/protocol.js';
import {pause} from '../util/pause.js';
import {diffConfigurations} from './configuration-delta.js';
import type {ConfigurationStore} from './configuration-store.js';
import type {AcceptedConfiguration, Configuration} from './schema.js';

/** Number of recent versions, the current one included, from which deltas are computed. A poll with an older version gets the whole configuration. */
const KEPT_VERSIONS = 8;

export class ConfigurationPolls {
	/** `sourceAgeMs` returns the time since the last response from the object API, or undefined when there was none. */
	static create(options: {readonly store: ConfigurationStore; readonly sourceAgeMs: () => number | undefined}): ConfigurationPolls {
		return new ConfigurationPolls(options.store, options.sourceAgeMs);
	}

	readonly #kept = new Map<number, Configuration>();
	readonly #closed = new AbortController();
	readonly #unsubscribe: () => void;
	/** Caches the answer for each known version, because many daemons of a failure domain poll with the same one. */
	readonly #answers = new Map<number, ConfigurationPollAnswer>();

	private constructor(private readonly store: ConfigurationStore, private readonly sourceAgeMs: () => number | undefined) {
		const current = store.current();
		if (current) {
			this.#keep(current);
		}

		this.#unsubscribe = store.onChange(accepted => {
			this.#keep(accepted);
		});
	}

	/** Waits up to `waitMs`, or until `signal` is aborted, for a version newer than `knownVersion`. Never rejects. */
	async answer({knownVersion, waitMs}: ConfigurationPoll, signal?: AbortSignal): Promise<ConfigurationPollAnswer> {
		if (this.store.version() <= knownVersion) {
			await this.#waitForNewer(waitMs, signal);
		}

		const current = this.store.current();
		return current && current.version > knownVersion
			? this.#changed(current, knownVersion)
			: {kind: 'unchanged', version: this.store.version(), sourceAgeMs: this.sourceAgeMs()};
	}

	/** Answers pending polls and stops tracking versions. */
	close(): void {
		this.#closed.abort();
		this.#unsubscribe();
	}

	async #waitForNewer(waitMs: number, signal?: AbortSignal): Promise<void> {
		const woken = new AbortController();
		const wake = () => {
			woken.abort();
		};

		const unsubscribe = this.store.onChange(wake);
		const sources = [this.#closed.signal, ...(signal ? [signal] : [])];
		for (const source of sources) {
			source.addEventListener('abort', wake);
		}

		if (sources.some(source => source.aborted)) {
			wake();
		}

		await pause(waitMs, woken.signal);
		unsubscribe();
		for (const source of sources) {
			source.removeEventListener('abort', wake);
		}
	}

	#changed(current: AcceptedConfiguration, knownVersion: number): ConfigurationPollAnswer {
		const answer = this.#answers.get(knownVersion) ?? this.#build(current, knownVersion);
		// Caching answers only for the recent versions bounds the size of the cache.
		if (this.#kept.has(knownVersion)) {
			this.#answers.set(knownVersion, answer);
		}

		return answer;
	}

	#build({version, configuration}: AcceptedConfiguration, knownVersion: number): ConfigurationPollAnswer {
		const known = this.#kept.get(knownVersion);
		const delta = known && diffConfigurations(known, configuration);
		return delta
			? {
				kind: 'delta', version, fromVersion: knownVersion, ...delta,
			}
			: {kind: 'whole', version, configuration};
	}

	#keep({version, configuration}: AcceptedConfiguration): void {
		this.#answers.clear();
		this.#kept.set(version, configuration);
		const oldest = [...this.#kept.keys()].slice(0, -KEPT_VERSIONS);
		for (const old of oldest) {
			this.#kept.delete(old);
		}
	}
}
