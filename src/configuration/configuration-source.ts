/** Read-only interface through which other components access the configuration. */
import type {AcceptedConfiguration} from './schema.js';

/** Provides the active configuration of this daemon. Its version never decreases while the process runs. */
export type ConfigurationSource = {
	/** Returns the active configuration, or undefined until the first one has arrived. */
	current(): AcceptedConfiguration | undefined;
	/** Calls `listener` each time a newer version becomes active. Returns a function that unsubscribes. */
	onChange(listener: (accepted: AcceptedConfiguration) => void): () => void;
};
