/** Reads the demand and state at each backend server from a keep-alive entry. */
import type {KeepAlive} from '../peer/protocol.js';
import {isLong} from '../util/length-class.js';
import type {Demand, ServerReservationState} from './server-load.js';

/** One open reservation as its daemon lists it in a keep-alive. */
export type KeepAliveEntry = KeepAlive['open'][number];

/** Demand of the reservation at its server with position `index`. The last server also holds the generated tokens. */
export function demandAt({id, servers, serverTokens, promptTokens, kvTokens, lengthClass}: KeepAliveEntry, index: number): Demand {
	const prefillTokens = serverTokens?.[index] ?? promptTokens;
	const generated = index === servers.length - 1 ? kvTokens - promptTokens : 0;
	return {
		id, rank: 0, long: isLong(lengthClass), prefillTokens, kvTokens: prefillTokens + generated,
	};
}

/** State at the server with position `index`. Daemons that send no state for each server report only one for all servers together. */
export const stateAt = ({acknowledged, serverStates}: KeepAliveEntry, index: number): ServerReservationState =>
	serverStates?.[index] ?? (acknowledged ? 'acknowledged' : 'unacknowledged');
