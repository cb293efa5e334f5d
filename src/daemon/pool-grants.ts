/** Reservations of the pool client, as the execution of a request sees them. */
import type {PoolClient as CapacityClient} from '../capacity/pool-client.js';
import type {PoolReservation} from '../capacity/pool-reservation.js';
import type {Grant, PoolClient} from '../routing/reservation.js';

/** Adapts the client of `src/capacity` to the interface of `src/routing`. */
export const createPoolClient = (client: CapacityClient): PoolClient => ({
	async reserve(request, options) {
		const result = await client.reserve(request, options);
		return result.kind === 'granted' ? toGrant(result.reservation) : result;
	},
});

const toGrant = (reservation: PoolReservation): Grant => ({
	kind: 'granted',
	id: reservation.id,
	pool: reservation.pool,
	epoch: reservation.epoch,
	servers: reservation.servers,
	enginePriority: reservation.enginePriority,
	validUntil: reservation.validUntilMs,
	summary: reservation.summary,
	acknowledge({server, boot, warm}) {
		reservation.acknowledge(server, {boot, warm});
	},
	prefilled(server) {
		reservation.prefilled(server);
	},
	async activate(server, signal) {
		const activation = await reservation.activate(server, signal);
		return activation.kind === 'activated' ? {kind: 'activated', validUntil: activation.validUntilMs} : activation;
	},
	release(outcome, firstTokenMs) {
		reservation.release(outcome, firstTokenMs);
	},
});
