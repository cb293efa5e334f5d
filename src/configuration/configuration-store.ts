/** Stores the active configuration of this daemon. Its version only increases. */
import {checkConfiguration} from './check-configuration.js';
import type {ConfigurationSource} from './configuration-source.js';
import type {Finding} from './finding.js';
import type {AcceptedConfiguration} from './schema.js';

/** A received configuration that has not been validated. */
export type ReceivedConfiguration = {
	readonly version: number;
	readonly configuration: unknown;
};

/** Called with the findings when a received configuration is not applied because it is invalid. */
export type InvalidConfigurationListener = (version: number, findings: readonly Finding[]) => void;

type Listener = (accepted: AcceptedConfiguration) => void;

export class ConfigurationStore implements ConfigurationSource {
	static create(options: {readonly onInvalid: InvalidConfigurationListener}): ConfigurationStore {
		return new ConfigurationStore(options.onInvalid);
	}

	readonly #listeners = new Set<Listener>();
	#current: AcceptedConfiguration | undefined;
	#highestSeenVersion = 0;

	private constructor(private readonly onInvalid: InvalidConfigurationListener) {}

	current(): AcceptedConfiguration | undefined {
		return this.#current;
	}

	/** Returns the active version, or 0 when there is none yet. */
	version(): number {
		return this.#current?.version ?? 0;
	}

	/** Returns the highest version received so far, valid or not. A watch waits for a version after this one. */
	highestSeenVersion(): number {
		return this.#highestSeenVersion;
	}

	/** `listener` must not throw. */
	onChange(listener: Listener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Applies a configuration if it is valid and newer than the active one. Returns whether it was applied. */
	applyIfNewer(received: ReceivedConfiguration): boolean {
		if (received.version <= this.version()) {
			return false;
		}

		const isNew = received.version > this.#highestSeenVersion;
		this.#highestSeenVersion = Math.max(this.#highestSeenVersion, received.version);
		const outcome = checkConfiguration(received.configuration, {allowUnserved: true});
		if (outcome.kind === 'refused') {
			this.#reportInvalid(isNew, received.version, outcome.findings);
			return false;
		}

		this.#apply({version: received.version, configuration: outcome.configuration});
		return true;
	}

	#reportInvalid(isNew: boolean, version: number, findings: readonly Finding[]): void {
		if (isNew) {
			this.onInvalid(version, findings);
		}
	}

	#apply(accepted: AcceptedConfiguration): void {
		this.#current = accepted;
		for (const listener of this.#listeners) {
			listener(accepted);
		}
	}
}
