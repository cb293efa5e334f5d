/** What an entry of a keep-alive says about a reservation at each of its backend servers. */
import type {KeepAlive} from '../peer/protocol.js';
import {isLong} from '../util/length-class.js';
import type {Demand, ServerReservationState} from './server-load.js';

/** One open reservation, as its daemon lists it. */
export type KeepAliveEntry = KeepAlive['open'][number];

/** What the reservation holds at its server of position `index`. The last one also holds the generated tokens. */
export function demandAt({id, servers, serverTokens, promptTokens, kvTokens, lengthClass}: KeepAliveEntry, index: number): Demand {
	const prefillTokens = serverTokens?.[index] ?? promptTokens;
	const generated = index === servers.length - 1 ? kvTokens - promptTokens : 0;
	return {
		id, rank: 0, long: isLong(lengthClass), prefillTokens, kvTokens: prefillTokens + generated,
	};
}

/** Progress at the server of position `index`. Daemons that do not list it know only about all servers together. */
export const stateAt = ({acknowledged, serverStates}: KeepAliveEntry, index: number): ServerReservationState =>
	serverStates?.[index] ?? (acknowledged ? 'acknowledged' : 'unacknowledged');
