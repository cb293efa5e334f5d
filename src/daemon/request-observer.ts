/** Receives the result of each model request, for metrics and service levels. */
import type {Finished} from '../routing/model-runner.js';
import type {Clock} from '../util/clock.js';
import type {Failure} from '../util/failure.js';
import type {LengthClass} from '../util/length-class.js';
import type {Metrics} from '../util/metrics.js';

export type ObservedRequest = {
	readonly service: string;
	readonly workspace: string;
	readonly lengthClass: LengthClass;
	/** Monotonic ms. */
	readonly arrivedAt: number;
	readonly outcome: Finished | Failure;
};

export type RequestObserver = {
	observe(request: ObservedRequest): void;
};

/** Sends each result to the metrics. */
export function createMetricsObserver(metrics: Metrics, clock: Clock): RequestObserver {
	return {
		observe({service, lengthClass, arrivedAt, outcome}) {
			const tags = {service, class: lengthClass, outcome: outcome.kind === 'finished' ? 'finished' : outcome.code};
			metrics.increment('requests', tags);
			metrics.timing('request_ms', clock() - arrivedAt, tags);
			if (outcome.kind === 'finished' && outcome.firstTokenAt !== undefined) {
				metrics.timing('first_token_ms', outcome.firstTokenAt - arrivedAt, tags);
			}
		},
	};
}
