import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createRandom} from '../testing/load/arrivals.js';
import {FaultyObjectApi, type WriteFate} from './fixtures/faulty-object-api.js';
import {
	CountingService, DaemonFleet, ranOf, summaryOf, uuidV7, type Moment, type ServiceFate,
} from './fixtures/operation-daemons.js';

const DAEMONS = 3;
const RUNS = 60;

/** One step of a run. Calls are not awaited, so steps overlap as far as their latencies allow. */
type Step =
	| {readonly kind: 'call'; readonly daemon: number; readonly operation: number; readonly fate: ServiceFate}
	| {readonly kind: 'write-fate'; readonly fate: WriteFate}
	| {readonly kind: 'object-api'; readonly down: boolean}
	| {readonly kind: 'kill'; readonly daemon: number; readonly moment: Moment}
	| {readonly kind: 'sleep'; readonly daemon: number; readonly ms: number}
	| {readonly kind: 'cut'; readonly daemon: number}
	| {readonly kind: 'wait'; readonly ms: number};

const daemon = fc.nat(DAEMONS - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 8, arbitrary: fc.record({
			kind: fc.constant('call' as const), daemon, operation: fc.nat(3), fate: fc.constantFrom<ServiceFate>('answers', 'answers', 'lost', 'refused', 'no-connection'),
		}),
	},
	{
		weight: 4, arbitrary: fc.record({
			kind: fc.constant('write-fate' as const), fate: fc.constantFrom<WriteFate>('served', 'lost-before-effect', 'lost-after-effect', 'late', 'rejected'),
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('object-api' as const), down: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill' as const), daemon, moment: fc.constantFrom<Moment>('reserve', 'send', 'answered')})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('sleep' as const), daemon, ms: fc.constantFrom(100, 2500)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cut' as const), daemon})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('wait' as const), ms: fc.integer({min: 1, max: 15})})},
);

type Answer = {readonly operation: number; readonly requestId: string; readonly ran: string | undefined; readonly summary: string | undefined};

async function runSteps(steps: readonly Step[], seed: number, checked: boolean) {
	const random = createRandom(seed);
	const latency = () => Math.floor(random() * 4);
	const api = new FaultyObjectApi(latency);
	const service = new CountingService(checked, latency);
	const fleet = new DaemonFleet(api, service, DAEMONS);
	const keys = Array.from({length: 4}, (_, index) => uuidV7(Date.now(), index));
	const calls: Array<Promise<Answer>> = [];
	const call = async (index: number, operation: number): Promise<Answer> => {
		const requestId = `r${calls.length}`;
		const result = await fleet.daemons[index]!.call(keys[operation]!, requestId);
		return {
			operation, requestId, ran: ranOf(result), summary: summaryOf(result),
		};
	};

	const act = async (next: Step): Promise<void> => {
		switch (next.kind) {
			case 'call': {
				service.fates.push(next.fate);
				calls.push(call(next.daemon, next.operation));
				break;
			}

			case 'write-fate': {
				api.fates.push(next.fate);
				break;
			}

			case 'object-api': {
				api.isDown = next.down;
				break;
			}

			case 'kill': {
				fleet.daemons[next.daemon]!.hooks.act = moment => {
					if (moment === next.moment) {
						fleet.daemons[next.daemon]!.kill();
					}
				};

				break;
			}

			case 'sleep': {
				fleet.daemons[next.daemon]!.skewMs += next.ms;
				break;
			}

			case 'cut': {
				fleet.cut.add(`d${next.daemon}`);
				break;
			}

			case 'wait': {
				await delay(next.ms);
			}
		}
	};

	for (const next of steps) {
		await act(next);
	}

	api.isDown = false;
	const answers = await Promise.all(calls);
	fleet.close();
	return {answers, service};
}

describe('operations under random faults', () => {
	const {seed} = fc.readConfigureGlobal();

	it.each([['unchecked', false], ['checked', true]] as const)(`should run each operation at most once and tell the truth, %s service, seed ${seed}`, async (_, checked) => {
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 5, maxLength: 40}), fc.nat(), async (steps, latencySeed) => {
			const {answers, service} = await runSteps(steps, latencySeed, checked);
			const repeated = [...service.executions].filter(([, count]) => count > 1);
			const falselyNotRun = answers.filter(({ran, requestId}) => ran === 'not_run' && service.executedRequests.has(requestId));
			const falselyAnswered = answers.filter(({summary, requestId}) => summary === '201' && !checked && !service.executedRequests.has(requestId));
			expect({repeated, falselyNotRun, falselyAnswered}).toEqual({repeated: [], falselyNotRun: [], falselyAnswered: []});
		}), {numRuns: RUNS, endOnFailure: true});
	}, 120_000);
});
