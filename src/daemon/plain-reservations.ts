/** Reserves capacity for calls to plain services through the same reservations as model requests. */
import type {ConfigurationIndexes} from '../admission/configuration-index.js';
import type {PlainReservations} from '../operations/plain-call.js';
import type {Reservations} from '../routing/reservations.js';

/** Adapts {@link Reservations} to calls to plain services, which have no prompt. */
export function createPlainReservations(reservations: Reservations, indexes: ConfigurationIndexes): PlainReservations {
	return {
		reserve: async ({workspace, service, deadline, exclude}, {signal}) => reservations.reserve(service, {
			workspace: workspace.name,
			priority: indexes.current()?.rank(workspace, 'short') ?? 0,
			weight: workspace.weight,
			lengthClass: 'short',
			promptTokens: 0,
			kvTokens: 0,
			prefixHashes: [],
			exclude,
			deadline,
		}, signal),
	};
}
