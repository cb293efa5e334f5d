/** The configuration in force at this daemon. Its version only grows. */
import {checkConfiguration} from './check-configuration.js';
import type {ConfigurationSource} from './configuration-source.js';
import type {Finding} from './finding.js';
import type {AcceptedConfiguration} from './schema.js';

/** A configuration as it arrived, not yet checked. */
export type OfferedConfiguration = {
	readonly version: number;
	readonly configuration: unknown;
};

/** Called with the findings on an offered configuration that is not applied for its content. */
export type InvalidReport = (version: number, findings: readonly Finding[]) => void;

type Listener = (accepted: AcceptedConfiguration) => void;

export class ConfigurationStore implements ConfigurationSource {
	static create(options: {readonly onInvalid: InvalidReport}): ConfigurationStore {
		return new ConfigurationStore(options.onInvalid);
	}

	readonly #listeners = new Set<Listener>();
	#current: AcceptedConfiguration | undefined;
	#seenVersion = 0;

	private constructor(private readonly onInvalid: InvalidReport) {}

	current(): AcceptedConfiguration | undefined {
		return this.#current;
	}

	/** Version in force, 0 before the first. */
	version(): number {
		return this.#current?.version ?? 0;
	}

	/** Largest version ever offered, valid or not: what a watch need not return again. */
	seenVersion(): number {
		return this.#seenVersion;
	}

	/** `listener` must not throw. */
	onChange(listener: Listener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Applies a valid configuration of a larger version than the one in force. Returns whether it was applied. */
	offer(offered: OfferedConfiguration): boolean {
		if (offered.version <= this.version()) {
			return false;
		}

		const isNew = offered.version > this.#seenVersion;
		this.#seenVersion = Math.max(this.#seenVersion, offered.version);
		const outcome = checkConfiguration(offered.configuration, {allowUnserved: true});
		if (outcome.kind === 'refused') {
			this.#report(isNew, offered.version, outcome.findings);
			return false;
		}

		this.#apply({version: offered.version, configuration: outcome.configuration});
		return true;
	}

	#report(isNew: boolean, version: number, findings: readonly Finding[]): void {
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
