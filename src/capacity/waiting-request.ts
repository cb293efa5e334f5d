/** A reservation message as it waits in the queue of its pool. */
import type {Service} from '../configuration/schema.js';
import type {Reserve} from '../peer/protocol.js';
import {isLong} from '../util/length-class.js';
import type {GangRequest} from './gang.js';
import type {Demand} from './server-load.js';
import type {Waiting} from './wait-queue.js';

/** `id` is that of the reservation, followed by the server for the turn of a further member of a gang. */
export type WaitingRequest = Waiting & {
	readonly message: Reserve;
	readonly promptTokens: number;
	readonly demand: Demand;
	readonly gang: GangRequest;
};

/** Id under which a request waits in the queue. */
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
		// A request that excludes servers, or names a model that few hold, may be stuck while others of its class fit.
		lane: exclude.length > 0 ? `retry@${id}` : `${lengthClass} ${model}`,
		cost: Math.max(1, kvTokens),
		promptTokens,
		arrivedAtMs: now,
		deadlineMs: now + remainingMs,
		demand,
		gang: {demand, exclude, maxGangSize: service.kind === 'model' ? service.maxGangSize : 1},
	};
}
