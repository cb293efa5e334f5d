/** Records the result of each request in the metrics and the service levels. */
import {outcomeOfFailure, type Observation} from '../service-levels/observation.js';
import type {ServiceLevels} from '../service-levels/service-levels.js';
import type {Failure} from '../util/failure.js';
import type {LengthClass} from '../util/length-class.js';
import type {Metrics} from '../util/metrics.js';

/** A request that ended with a complete response. */
export type CompletedOutcome = {
	readonly kind: 'finished';
	/** Generated tokens; 0 for plain services. */
	readonly tokens: number;
	/** On the monotonic clock, in ms. */
	readonly firstTokenAt?: number;
};

export type ObservedRequest = {
	readonly service: string;
	readonly workspace: string;
	/** `short` for plain services. */
	readonly lengthClass: LengthClass;
	/** On the monotonic clock, in ms. */
	readonly arrivedAt: number;
	readonly outcome: CompletedOutcome | Failure;
};

export type RequestObserver = {
	/** Records a request that ended at `now`, on the monotonic clock in ms. */
	observe(request: ObservedRequest, now: number): void;
};

/** Creates an observer that records results in `metrics` and `levels`. */
export function createRequestObserver(metrics: Metrics, levels: Pick<ServiceLevels, 'record'>): RequestObserver {
	return {
		observe(request, now) {
			const observation = toObservation(request, now);
			recordMetrics(metrics, request, observation, now);
			if (observation) {
				levels.record(observation, now);
			}
		},
	};
}

/** Converts a result to an observation for the service levels, or returns undefined when it does not count. */
function toObservation({service, workspace, lengthClass, arrivedAt, outcome}: ObservedRequest, now: number): Observation | undefined {
	const common = {
		service, workspace, lengthClass, totalMs: now - arrivedAt,
	};
	if (outcome.kind === 'failure') {
		const countedOutcome = outcomeOfFailure(outcome.code);
		return countedOutcome && {...common, outcome: countedOutcome};
	}

	const {firstTokenAt, tokens} = outcome;
	return firstTokenAt === undefined
		? {...common, outcome: 'finished'}
		: {
			...common,
			outcome: 'finished',
			firstTokenMs: firstTokenAt - arrivedAt,
			...(tokens > 1 ? {betweenTokensMs: (now - firstTokenAt) / (tokens - 1)} : {}),
		};
}

function recordMetrics(metrics: Metrics, {service, lengthClass, arrivedAt, outcome}: ObservedRequest, observation: Observation | undefined, now: number): void {
	const tags = {service, class: lengthClass, outcome: outcome.kind === 'finished' ? 'finished' : outcome.code};
	metrics.increment('requests', tags);
	metrics.timing('request_ms', now - arrivedAt, tags);
	if (observation?.firstTokenMs !== undefined) {
		metrics.timing('first_token_ms', observation.firstTokenMs, tags);
	}
}
