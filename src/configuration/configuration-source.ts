/** Read side of the configuration, as the other aggregates see it. */
import type {AcceptedConfiguration} from './schema.js';

/** The configuration in force at this daemon. Versions never decrease during the life of a process. */
export type ConfigurationSource = {
	/** The configuration in force, or undefined before the first one arrived. */
	current(): AcceptedConfiguration | undefined;
	/** Calls `listener` after each newer version came into force. Returns a function that unsubscribes. */
	onChange(listener: (accepted: AcceptedConfiguration) => void): () => void;
};
