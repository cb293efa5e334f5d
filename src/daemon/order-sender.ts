/** Adapts the engine client to the interface for sending engine orders. A failed call becomes an unknown outcome. */
import type {EngineClient} from '../backend/engine-client.js';
import type {OrderSender} from '../orders/engine-orders.js';

export const createOrderSender = (engine: Pick<EngineClient, 'order'>): OrderSender => async (address, order, timeoutMs) => {
	const outcome = await engine.order(address, order, {timeoutMs});
	return outcome.kind === 'failed' ? {kind: 'unknown', message: outcome.message} : outcome;
};
