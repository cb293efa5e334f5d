/** Interface to the platform that a gateway runs on. The adapter only translates; all decisions are made by the gateway. */
import type {BackendServer} from '../fleet/backend-server.js';
import type {KindObject, KindStore} from '../store/kind-store.js';
import type {MemoryOrders} from './memory-reservation.js';
import type {ServingConfiguration} from './serving-configuration.js';
import type {WireFormat} from './wire-format.js';

/** Names of the object kinds in the store. */
export type KindNames = {
	readonly configuration: string;
	readonly servers: string;
	/** One object for each failure domain that operators took out of service, with the domain as its name. */
	readonly domainsOut: string;
	/** Registrations of daemons, written by the gateway itself. */
	readonly daemons: string;
};

export type PlatformAdapter = {
	readonly store: KindStore;
	readonly wire: WireFormat;
	readonly memoryOrders: MemoryOrders;
	readonly kinds: KindNames;
	/** Returns undefined for an object that is not the configuration in force. Throws if it cannot be read. */
	decodeConfiguration(object: KindObject): ServingConfiguration | undefined;
	/** Throws if the object does not describe a usable server. */
	decodeServer(object: KindObject, now: number): BackendServer;
};
