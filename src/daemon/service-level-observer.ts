/** Records ended requests in the service levels of this daemon. */
import type {Finished} from '../routing/model-runner.js';
import {outcomeOfFailure} from '../service-levels/observation.js';
import type {ServiceLevels} from '../service-levels/service-levels.js';
import type {Clock} from '../util/clock.js';
import type {RequestObserver} from './request-observer.js';

/** Failures for which the caller is the reason are not recorded. */
export function createServiceLevelObserver(levels: ServiceLevels, clock: Clock): RequestObserver {
	return {
		observe({service, workspace, lengthClass, arrivedAt, outcome}) {
			const now = clock();
			const common = {
				service, workspace, lengthClass, totalMs: now - arrivedAt,
			};
			if (outcome.kind === 'finished') {
				levels.record({...common, outcome: 'finished', ...tokenTimes(outcome, arrivedAt, now)}, now);
				return;
			}

			const counted = outcomeOfFailure(outcome.code);
			if (counted) {
				levels.record({...common, outcome: counted}, now);
			}
		},
	};
}

function tokenTimes({firstTokenAt, done}: Finished, arrivedAt: number, now: number) {
	if (firstTokenAt === undefined) {
		return {};
	}

	const gaps = done.completionTokens - 1;
	return {
		firstTokenMs: firstTokenAt - arrivedAt,
		betweenTokensMs: gaps > 0 ? (now - firstTokenAt) / gaps : undefined,
	};
}

/** Passes each request to all of `observers`. */
export const combineObservers = (...observers: readonly RequestObserver[]): RequestObserver => ({
	observe(request) {
		for (const observer of observers) {
			observer.observe(request);
		}
	},
});
