/** Converts a reservation message to an entry in the queue of its pool. */
import type {Service} from '../configuration/schema.js';
import type {Reserve} from '../peer/protocol.js';
import {isLong} from '../util/length-class.js';
import type {GangRequest} from './gang.js';
import type {Demand} from './server-load.js';
import type {QueuedRequest} from './wait-queue.js';

/** A queued reservation request. For the activation of a further gang member, `id` is the reservation id followed by the server id. */
export type WaitingRequest = QueuedRequest & {
	readonly message: Reserve;
	readonly promptTokens: number;
	readonly demand: Demand;
	readonly gang: GangRequest;
};

/** Id of a request in the queue. */
export const queueId = ({id, activate}: Pick<Reserve, 'id' | 'activate'>): string => activate === undefined ? id : `${id}@${activate}`;

export function toWaitingRequest(message: Reserve, service: Service, now: number): WaitingRequest {
	const {
		id, workspace, model, weight, lengthClass, promptTokens, kvTokens, remainingMs, exclude,
	} = message;
	const demand: Demand = {
		id, rank: message.priority, long: isLong(lengthClass), prefillTokens: promptTokens, kvTokens,
	};
	return {
		message,
		id: queueId(message),
		workspace,
		weight,
		rank: message.priority,
		lengthClass,
		// A request that excludes servers, or needs a model that few servers have loaded, may not fit while others of its class do.
		lane: exclude.length > 0 ? `retry@${id}` : `${lengthClass} ${model}`,
		cost: Math.max(1, kvTokens),
		promptTokens,
		arrivedAtMs: now,
		deadlineMs: now + remainingMs,
		demand,
		gang: {demand, exclude, maxGangSize: service.kind === 'model' ? service.maxGangSize : 1},
	};
}
