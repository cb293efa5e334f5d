/** Estimates waiting times in a pool, for early refusals and for the choice between pools. */
import type {Service} from '../configuration/schema.js';
import type {PoolSummary} from '../peer/protocol.js';
import {isLong} from '../util/length-class.js';
import type {BackendServerState} from './backend-server-state.js';
import type {QueuedRequest} from './wait-queue.js';

/** A request is worth starting only if at least this many tokens can be generated before its deadline. */
const MIN_GENERATED_TOKENS = 16;

export type PoolView = {
	readonly pool: string;
	readonly epoch: number;
	readonly service: Service;
	readonly servers: readonly BackendServerState[];
	readonly waiting: ReadonlyArray<QueuedRequest & {readonly promptTokens: number}>;
	readonly running: number;
};

/** Milliseconds until the first token of a request of `rank` with `tokens`, assuming that no failure occurs. */
export function estimateFirstTokenMs(view: PoolView, rank: number, tokens: number, now: number): number {
	if (view.service.kind === 'plain') {
		return 0;
	}

	const usable = view.servers.filter(server => server.isUsable(now));
	const ahead = view.waiting.filter(item => item.rank <= rank).reduce((sum, item) => sum + item.promptTokens, 0);
	const queueMs = ahead * 1000 / (view.service.prefillTokensPerSecond * Math.max(1, usable.length));
	const serverMs = usable.length === 0 ? 0 : Math.min(...usable.map(server => server.estimateMs(rank, tokens, now)));
	return queueMs + serverMs;
}

/** Minimum time in ms from now until a request could finish. */
export function estimateFinishMs(view: PoolView, request: {readonly rank: number; readonly promptTokens: number; readonly generatedTokens: number}, now: number): number {
	const firstTokenMs = estimateFirstTokenMs(view, request.rank, request.promptTokens, now);
	const decodeRate = view.service.kind === 'model' ? view.service.decodeTokensPerSecond : Infinity;
	return firstTokenMs + (Math.min(request.generatedTokens, MIN_GENERATED_TOKENS) * 1000 / decodeRate);
}

/** Summary that is sent with each answer to a reservation. The prefill of the next request itself does not count as waiting, since it is the same in every pool. */
export function summarize(view: PoolView, now: number): PoolSummary {
	const wait = (long: boolean): number => {
		const waitingMs = view.waiting.filter(item => isLong(item.lengthClass) === long).map(item => now - item.arrivedAtMs);
		return Math.round(Math.max(estimateFirstTokenMs(view, 0, 0, now), ...waitingMs));
	};

	return {
		pool: view.pool,
		epoch: view.epoch,
		queued: view.waiting.length,
		running: view.running,
		shortWaitMs: wait(false),
		longWaitMs: wait(true),
	};
}
