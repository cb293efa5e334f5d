/** Sends orders through the engine client, in the outcomes that orders know. */
import type {EngineClient} from '../backend/engine-client.js';
import type {OrderSender} from '../orders/engine-orders.js';

export const createOrderSender = (engine: Pick<EngineClient, 'order'>): OrderSender => async (address, order, timeoutMs) => {
	const outcome = await engine.order(address, order, {timeoutMs});
	return outcome.kind === 'failed' ? {kind: 'unknown', message: outcome.message} : outcome;
};
