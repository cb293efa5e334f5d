/** How many connections a daemon takes, by what its host has. */
import type {GatewaySettings} from './gateway-settings.js';

/** Descriptors of a host that does not tell. */
const DEFAULT_MAX_DESCRIPTORS = 4096;
/** Descriptors that are kept for files. */
const FILE_DESCRIPTORS = 200;
/** Shares of the others for clients and for other daemons. The rest is for backend servers, the store and operators. */
const CLIENT_SHARE = 0.5;
const PEER_SHARE = 0.25;
/** Share of the memory that the connections of clients may take, and what one takes at most: two reads of 64 KiB, and a request that is open. */
const CLIENT_MEMORY_SHARE = 0.35;
const CONNECTION_BYTES = 163_840;

export type ConnectionLimits = {readonly clients: number; readonly peers: number};

export function connectionLimits({maxDescriptors = DEFAULT_MAX_DESCRIPTORS, memoryBytes}: Pick<GatewaySettings, 'maxDescriptors' | 'memoryBytes'>): ConnectionLimits {
	const sockets = Math.max(0, maxDescriptors - FILE_DESCRIPTORS);
	return {
		clients: Math.max(1, Math.floor(Math.min(CLIENT_SHARE * sockets, CLIENT_MEMORY_SHARE * memoryBytes / CONNECTION_BYTES))),
		peers: Math.max(1, Math.floor(PEER_SHARE * sockets)),
	};
}
