/** What a gateway needs from the platform it runs on. The adapter translates, the gateway decides. */
import type {BackendServer} from '../fleet/backend-server.js';
import type {KindObject, KindStore} from '../store/kind-store.js';
import type {MemoryOrders} from './memory-reservation.js';
import type {ServingConfiguration} from './serving-configuration.js';
import type {WireFormat} from './wire-format.js';

/** Names of the kinds of objects in the store. */
export type KindNames = {
	readonly configuration: string;
	readonly servers: string;
	/** One object for each failure domain that operators took out, under its name. */
	readonly domainsOut: string;
	/** Registrations of daemons; written by the gateway itself. */
	readonly daemons: string;
};

export type PlatformAdapter = {
	readonly store: KindStore;
	readonly wire: WireFormat;
	readonly memoryOrders: MemoryOrders;
	readonly kinds: KindNames;
	/** Undefined for an object that is not the configuration in force. Throws for one that cannot be read. */
	decodeConfiguration(object: KindObject): ServingConfiguration | undefined;
	/** Throws for an entry that names no server that can be used. */
	decodeServer(object: KindObject, now: number): BackendServer;
};
