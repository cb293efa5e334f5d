/** Tracks the service levels of one daemon: latencies since its start, and the error budget of the last six hours. */
import type {Objective} from '../configuration/schema.js';
import type {LengthClass} from '../util/length-class.js';
import {BudgetSlices} from './budget-slices.js';
import {LatencyRecorder} from './latency-recorder.js';
import type {LevelsReport} from './levels-report.js';
import {causeOf, type Observation} from './observation.js';

/** Returns the current objective for a service and length class, or undefined when there is none. */
export type ObjectiveLookup = (service: string, lengthClass: LengthClass) => Objective | undefined;

export class ServiceLevels {
	static create(options: {readonly daemon: string; readonly objectiveOf: ObjectiveLookup; readonly nowMs: number}): ServiceLevels {
		return new ServiceLevels(options.daemon, options.objectiveOf, options.nowMs);
	}

	readonly #latencies = LatencyRecorder.create();
	readonly #slices = BudgetSlices.create();

	private constructor(private readonly daemon: string, private readonly objectiveOf: ObjectiveLookup, private readonly startedMs: number) {}

	/** Records a request that has ended. `nowMs` is on the monotonic clock. */
	record(observation: Observation, nowMs: number): void {
		this.#latencies.record(observation);
		const objective = this.objectiveOf(observation.service, observation.lengthClass);
		if (objective) {
			this.#slices.record(observation, observation.workspace, causeOf(observation, objective), nowMs);
		}
	}

	/** Returns the report for `GET /levels` and for peers. */
	report(nowMs: number): LevelsReport {
		return {
			daemon: this.daemon,
			recordedMs: nowMs - this.startedMs,
			series: [...this.#latencies.serialize()],
			slices: [...this.#slices.report(nowMs)],
		};
	}
}
