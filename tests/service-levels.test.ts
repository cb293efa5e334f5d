import fc from 'fast-check';
import {
	describe, expect, it, vi,
} from 'vitest';
import {ConfigurationStore} from '../src/configuration/configuration-store.js';
import {ConfigurationIndexes} from '../src/admission/configuration-index.js';
import {createRequestObserver, type CompletedOutcome} from '../src/daemon/request-observer.js';
import {failure, type Failure} from '../src/util/failure.js';
import {createMetrics} from '../src/util/metrics.js';
import {BudgetSlices, RETENTION_MS} from '../src/service-levels/budget-slices.js';
import {computeBurn} from '../src/service-levels/burn-rate.js';
import {LatencyRecorder} from '../src/service-levels/latency-recorder.js';
import {causeOf, outcomes, type Observation} from '../src/service-levels/observation.js';
import {ServiceLevels} from '../src/service-levels/service-levels.js';
import {sampleConfiguration} from './fixtures/configurations.js';

const MINUTE_MS = 60_000;
const configuration = sampleConfiguration();
const objective = configuration.objectives[0]!;

const createObservation = (changes: Partial<Observation> = {}): Observation => ({
	service: 'fio-lm', workspace: 'mills', lengthClass: 'short', outcome: 'finished', firstTokenMs: 200, betweenTokensMs: 50, totalMs: 5000, ...changes,
});

const arbitraryObservation = fc.record({
	workspace: fc.constantFrom('mills', 'agents'),
	outcome: fc.constantFrom(...outcomes),
	firstTokenMs: fc.option(fc.nat(500_000), {nil: undefined}),
	totalMs: fc.nat(3_000_000),
}).map(changes => createObservation(changes));

describe('LatencyRecorder', () => {
	it('should merge serialized recorders to exactly the result of one recorder for all requests', () => {
		fc.assert(fc.property(fc.array(fc.tuple(arbitraryObservation, fc.nat(2))), recorded => {
			const parts = [0, 1, 2].map(() => LatencyRecorder.create());
			const whole = LatencyRecorder.create();
			const merged = LatencyRecorder.create();
			for (const [item, part] of recorded) {
				parts[part]!.record(item);
				whole.record(item);
			}

			for (const part of parts) {
				merged.merge(part.serialize());
			}

			expect(merged.summarize('fio-lm', 'short')).toEqual(whole.summarize('fio-lm', 'short'));
		}), {numRuns: 30});
	});

	it('should limit the number of series for any number of workspaces, and lose no request', () => {
		const recorder = LatencyRecorder.create();
		for (let index = 0; index < 2500; index++) {
			recorder.record(createObservation({workspace: `w${index}`}));
		}

		expect(recorder.serialize().length).toBeLessThanOrEqual(2001);
		expect(recorder.summarize('fio-lm', 'short').outcomes.finished).toBe(2500);
	});
});

describe('BudgetSlices', () => {
	it('should count each request of the last six hours once while fine slices are merged into coarse ones', () => {
		const gaps = fc.array(fc.integer({min: 0, max: 40 * MINUTE_MS}), {maxLength: 30});
		fc.assert(fc.property(gaps, gapsMs => {
			const slices = BudgetSlices.create();
			const times: number[] = [];
			let nowMs = 0;
			for (const gapMs of gapsMs) {
				nowMs += gapMs;
				times.push(nowMs);
				slices.record(createObservation(), 'mills', 'late', nowMs);
			}

			const total = slices.report(nowMs).flatMap(({counts}) => counts).reduce((sum, count) => sum + count.causes.late, 0);
			// A slice expires as a whole, by its start time, so up to ten minutes of the oldest requests may be missing.
			const minimum = times.filter(ms => ms > nowMs - RETENTION_MS + (10 * MINUTE_MS)).length;
			expect(total).toBeGreaterThanOrEqual(minimum);
			expect(total).toBeLessThanOrEqual(times.filter(ms => ms >= nowMs - RETENTION_MS).length);
		}));
	});
});

describe('recording of requests', () => {
	it('should apply the current objective and exclude failures caused by the client', () => {
		const store = ConfigurationStore.create({onInvalid: vi.fn()});
		const indexes = ConfigurationIndexes.create(store);
		const levels = ServiceLevels.create({
			daemon: 'a', nowMs: 0, objectiveOf: (service, lengthClass) => indexes.current()?.objective(service, lengthClass),
		});
		const observer = createRequestObserver(createMetrics(undefined), levels);
		const finished: CompletedOutcome = {kind: 'finished', tokens: 9, firstTokenAt: 600};
		const observe = (outcome: CompletedOutcome | Failure) => {
			observer.observe({
				service: 'fio-lm', workspace: 'mills', lengthClass: 'short', arrivedAt: 100, outcome,
			}, 1000);
		};

		store.applyIfNewer({version: 1, configuration});
		observe(finished);
		store.applyIfNewer({version: 2, configuration: {...configuration, objectives: [{...objective, firstTokenMs: 500}]}});
		observe(finished);
		for (const code of ['caller_left', 'limit_exceeded', 'overloaded'] as const) {
			observe(failure({
				code, message: '', ran: 'not_run', step: 'reserve',
			}));
		}

		const report = levels.report(2000);
		expect(report.slices[0]?.counts).toMatchObject([{total: 3, causes: {first_token: 1, refused: 1}, workspaces: {mills: 2}}]);
		const merged = LatencyRecorder.create();
		merged.merge(report.series);
		expect(merged.summarize('fio-lm', 'short').betweenTokens).toMatchObject({count: 2, p50: 50});
	});
});

describe('burn rate', () => {
	/** Records `missed` of 20 requests as failed in each minute of each span, and computes the burn rates at the end of the last span. */
	const computeBurnAfter = (spans: ReadonlyArray<{readonly minutes: number; readonly missed: number}>) => {
		const levels = ServiceLevels.create({daemon: 'a', objectiveOf: () => objective, nowMs: 0});
		let nowMs = 0;
		for (const {minutes, missed} of spans) {
			for (let minute = 0; minute < minutes; minute++) {
				nowMs += MINUTE_MS;
				for (let index = 0; index < 20; index++) {
					levels.record(createObservation({outcome: index < missed ? 'failed' : 'finished'}), nowMs);
				}
			}
		}

		const report = levels.report(nowMs + 1000);
		return computeBurn(configuration, [{failureDomain: 'braga', report}, {failureDomain: 'famalicao', report}])[0]!;
	};

	it('should be 1 when exactly the permitted share of requests missed the objective', () => {
		const burn = computeBurnAfter([{minutes: 70, missed: 1}]);
		for (const {burnRate} of burn.windows) {
			expect(burnRate).toBeCloseTo(1);
		}

		expect(burn).toMatchObject({alert: 'none', causes: [{name: 'failed', missed: 140}], failureDomains: [{missed: 70}, {missed: 70}]});
		expect(burn.budgetLeft).toBeCloseTo(0);
	});

	it('should raise an alert only while both the long and the short window reach its threshold', () => {
		expect(computeBurnAfter([{minutes: 60, missed: 20}]).alert).toBe('page');
		expect(computeBurnAfter([{minutes: 60, missed: 0}, {minutes: 5, missed: 20}]).alert).toBe('none');
		expect(computeBurnAfter([{minutes: 55, missed: 20}, {minutes: 8, missed: 0}]).alert).toBe('ticket');
		expect(computeBurnAfter([{minutes: 55, missed: 20}, {minutes: 50, missed: 0}]).alert).toBe('none');
	});

	it('should report the first missed condition of the objective as the cause', () => {
		expect([
			causeOf(createObservation(), objective),
			causeOf(createObservation({outcome: 'refused'}), objective),
			causeOf(createObservation({totalMs: 30_001, firstTokenMs: 9000}), objective),
			causeOf(createObservation({firstTokenMs: 381}), objective),
			causeOf(createObservation({betweenTokensMs: 78}), objective),
		]).toEqual([undefined, 'refused', 'late', 'first_token', 'between_tokens']);
	});
});
