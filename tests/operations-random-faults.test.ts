import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createRandom} from '../testing/load/arrivals.js';
import {FaultyObjectApi, type ClaimWriteBehavior} from './fixtures/faulty-object-api.js';
import {
	CountingService, DaemonFleet, executionStatusOf, outcomeSummary, uuidV7, type HookPoint, type ServiceBehavior,
} from './fixtures/operation-daemons.js';

const DAEMONS = 3;
const RUNS = 60;

/** One step of a run. Calls are not awaited, so they overlap with the steps that follow. */
type Step =
	| {readonly kind: 'call'; readonly daemon: number; readonly operation: number; readonly fate: ServiceBehavior}
	| {readonly kind: 'write-fate'; readonly fate: ClaimWriteBehavior}
	| {readonly kind: 'object-api'; readonly down: boolean}
	| {readonly kind: 'kill'; readonly daemon: number; readonly moment: HookPoint}
	| {readonly kind: 'pause'; readonly daemon: number; readonly ms: number}
	| {readonly kind: 'partition'; readonly daemon: number}
	| {readonly kind: 'wait'; readonly ms: number};

const daemonIndex = fc.nat(DAEMONS - 1);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 8, arbitrary: fc.record({
			kind: fc.constant('call' as const), daemon: daemonIndex, operation: fc.nat(3), fate: fc.constantFrom<ServiceBehavior>('answers', 'answers', 'lost', 'refused', 'no-connection'),
		}),
	},
	{
		weight: 4, arbitrary: fc.record({
			kind: fc.constant('write-fate' as const), fate: fc.constantFrom<ClaimWriteBehavior>('served', 'lost-before-effect', 'lost-after-effect', 'late', 'rejected'),
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('object-api' as const), down: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill' as const), daemon: daemonIndex, moment: fc.constantFrom<HookPoint>('reserve', 'send', 'answered')})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('pause' as const), daemon: daemonIndex, ms: fc.constantFrom(100, 2500)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('partition' as const), daemon: daemonIndex})},
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
			operation, requestId, ran: executionStatusOf(result), summary: outcomeSummary(result),
		};
	};

	const perform = async (step: Step): Promise<void> => {
		switch (step.kind) {
			case 'call': {
				service.behaviors.push(step.fate);
				calls.push(call(step.daemon, step.operation));
				break;
			}

			case 'write-fate': {
				api.claimWriteBehaviors.push(step.fate);
				break;
			}

			case 'object-api': {
				api.isDown = step.down;
				break;
			}

			case 'kill': {
				fleet.daemons[step.daemon]!.hooks.onPoint = moment => {
					if (moment === step.moment) {
						fleet.daemons[step.daemon]!.kill();
					}
				};

				break;
			}

			case 'pause': {
				fleet.daemons[step.daemon]!.clockOffsetMs += step.ms;
				break;
			}

			case 'partition': {
				fleet.unreachableAddresses.add(`d${step.daemon}`);
				break;
			}

			case 'wait': {
				await delay(step.ms);
			}
		}
	};

	for (const step of steps) {
		await perform(step);
	}

	api.isDown = false;
	const answers = await Promise.all(calls);
	fleet.close();
	return {answers, service};
}

describe('operations under random faults', () => {
	const {seed} = fc.readConfigureGlobal();

	it.each([['unchecked', false], ['checked', true]] as const)(`should run each operation at most once and report correctly whether it ran, %s service, seed ${seed}`, async (_, checked) => {
		await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, {minLength: 5, maxLength: 40}), fc.nat(), async (steps, latencySeed) => {
			const {answers, service} = await runSteps(steps, latencySeed, checked);
			const repeated = [...service.executions].filter(([, count]) => count > 1);
			const falselyNotRun = answers.filter(({ran, requestId}) => ran === 'not_run' && service.executedRequests.has(requestId));
			const falselyAnswered = answers.filter(({summary, requestId}) => summary === '201' && !checked && !service.executedRequests.has(requestId));
			expect({repeated, falselyNotRun, falselyAnswered}).toEqual({repeated: [], falselyNotRun: [], falselyAnswered: []});
		}), {numRuns: RUNS, endOnFailure: true});
	}, 120_000);
});
