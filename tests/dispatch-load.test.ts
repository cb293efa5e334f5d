import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {
	simulateDispatch, type CallerOutcome, type DispatchLoadOptions, type LoadKind, type ReturnRules,
} from './fixtures/dispatch-load.js';

const chat: LoadKind = {
	rank: 0, perSecond: 70, targetMs: 400, patienceMs: 2000,
};
const contract: LoadKind = {
	rank: 1, perSecond: 20, targetMs: 1500, patienceMs: 6000,
};
const audit: LoadKind = {
	rank: 3, perSecond: 10, targetMs: 4000, patienceMs: 16_000,
};

beforeEach(() => {
	vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'performance']});
});

afterEach(() => {
	vi.useRealTimers();
});

const load = {
	engines: 24, slots: 8, serviceMs: 1500, durationMs: 6000, shortage: {engines: 10, fromMs: 2000, untilMs: 5500}, kinds: [chat, contract, audit],
};

const share = (outcomes: readonly CallerOutcome[], kind: LoadKind, withinMs = Infinity): number => {
	const callers = outcomes.filter(outcome => outcome.kind === kind);
	return callers.filter(({servedAfterMs}) => servedAfterMs !== undefined && servedAfterMs <= withinMs).length / callers.length;
};

const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** Requests wait for at most half of the patience of their clients; what is sent at the end of it may still be refused by four engines. */
const MAX_REFUSED_WAIT = 0.52;

/** Ten workspaces that leave 40 % of the room free at their usual rates, of which the first sends 12 times as much. */
const OTHER_WORKSPACES = 9;
const workspaces: readonly LoadKind[] = Array.from({length: OTHER_WORKSPACES + 1}, (_, workspace) => ({...chat, perSecond: workspace === 0 ? 96 : 8, workspace}));
const [greedy, ...others] = workspaces;

/** Share of the requests in time: of the greedy workspace, and of all others together and that of them with the least; and of all served at all. */
async function simulateWorkspaces(daemons: number, shares: DispatchLoadOptions['shares']) {
	const outcomes: CallerOutcome[] = [];
	for (const seed of seeds.slice(0, 2)) {
		const result = await simulateDispatch({
			...load, durationMs: 8000, shortage: {engines: 0, fromMs: 0, untilMs: 0}, kinds: workspaces, daemons, hasQueue: true, hasSharedBudget: true, seed, shares,
		});
		outcomes.push(...result.outcomes);
	}

	const each = others.map(kind => share(outcomes, kind, chat.targetMs));
	return {
		others: each.reduce((sum, part) => sum + part, 0) / each.length,
		least: Math.min(...each),
		greedy: share(outcomes, greedy!, chat.targetMs),
		greedyServed: share(outcomes, greedy!),
		othersServed: Math.min(...others.map(kind => share(outcomes, kind))),
		served: outcomes.filter(({servedAfterMs}) => servedAfterMs !== undefined).length / outcomes.length,
	};
}

async function simulateSeeds(daemons: number, hasQueue: boolean) {
	const results = [];
	for (const seed of seeds) {
		results.push(await simulateDispatch({
			...load, daemons, hasQueue, hasSharedBudget: true, seed,
		}));
	}

	return {
		outcomes: results.flatMap(({outcomes}) => outcomes),
		inversions: results.reduce((sum, {inversions}) => sum + inversions, 0),
	};
}

describe.each([
	{daemons: 10, minGain: 0.03},
	{daemons: 77, minGain: 0.02},
])('$daemons daemons whose engines are short for some seconds', ({daemons, minGain}) => {
	it('should serve more of the urgent requests in time than if they refused at once, and none too late to try elsewhere', async () => {
		// Guards against waits that only hold requests: with a wait of 0.7 s for a token of the retry budget, fewer contracts were on time than without a queue.
		const refusing = await simulateSeeds(daemons, false);
		const waiting = await simulateSeeds(daemons, true);
		expect(share(waiting.outcomes, chat, chat.targetMs)).toBeGreaterThan(share(refusing.outcomes, chat, chat.targetMs) + minGain);
		expect(share(waiting.outcomes, contract, contract.targetMs)).toBeGreaterThan(share(refusing.outcomes, contract, contract.targetMs) - 0.01);
		expect(share(waiting.outcomes, audit, audit.targetMs)).toBeGreaterThan(0.97);
		expect(share(waiting.outcomes, audit)).toBe(1);
		expect(Math.max(...waiting.outcomes.map(({longestRefusedWait}) => longestRefusedWait))).toBeLessThan(MAX_REFUSED_WAIT);
		expect(waiting.inversions).toBe(0);
	});
});

describe.each([
	{daemons: 10, minGain: -0.01, restart: undefined},
	{daemons: 77, minGain: 0.03, restart: undefined},
	{daemons: 77, minGain: 0.03, restart: {daemons: 5, atMs: 3000}},
])('$daemons daemons that reject many clients while most engines are out, with restarts: $restart', ({daemons, minGain, restart}) => {
	const kinds = [{...chat, deadlineMs: 15_000}, {...contract, deadlineMs: 15_000}, {...audit, deadlineMs: 20_000}];

	const simulateReturns = async (advice: ReturnRules['advice']): Promise<readonly CallerOutcome[]> => {
		const outcomes: CallerOutcome[] = [];
		for (const seed of seeds) {
			const result = await simulateDispatch({
				...load, kinds, shortage: {engines: 20, fromMs: 2000, untilMs: 4000}, daemons, hasQueue: true, hasSharedBudget: true, seed, returns: {advice, earlyShare: 0.1, restart},
			});
			outcomes.push(...result.outcomes);
		}

		return outcomes.filter(({isEarly}) => !isEarly);
	};

	const rejectedAgain = (outcomes: readonly CallerOutcome[]): number => outcomes.reduce((sum, {refusals}) => sum + Math.max(0, refusals - 1), 0);

	it('should reject fewer of them again than a time that follows from the cause, and serve as many, in time and at all', async () => {
		// Guards against an order in which the clients of many daemons are late: without the usual time where that meets the target, 0.84 of the contracts were on time instead of 0.87.
		const byCause = await simulateReturns('cause');
		const inOrder = await simulateReturns('order');
		expect(rejectedAgain(inOrder)).toBeLessThan(0.75 * rejectedAgain(byCause));
		for (const [index, kind] of kinds.entries()) {
			expect(share(inOrder, kind)).toBeGreaterThan(share(byCause, kind) - 0.003);
			expect(share(inOrder, kind, kind.targetMs)).toBeGreaterThan(share(byCause, kind, kind.targetMs) + (index === 0 ? minGain : -0.02));
		}
	});
});

describe.each([{daemons: 10}, {daemons: 77}])('$daemons daemons of which one workspace uses 12 times its rate', ({daemons}) => {
	it('should serve the others in time, and the one with what they leave', async () => {
		// Guards against a workspace that takes the room of all others, and against one that is starved.
		const before = await simulateWorkspaces(daemons, undefined);
		const after = await simulateWorkspaces(daemons, {lostShare: 0});
		expect(after.others).toBeGreaterThan(before.others + 0.3);
		expect(after.least).toBeGreaterThan(0.85);
		expect(after.othersServed).toBeGreaterThan(0.99);
		expect(after.greedyServed).toBeGreaterThan(0.6);
		expect(after.served).toBeGreaterThan(before.served - 0.08);
	});
});

describe('77 daemons that lose a fifth of their messages, a quarter of which start anew', () => {
	it('should still serve the other workspaces in time', async () => {
		// Guards against a method that holds only while all daemons know the same.
		const {others: inTime, greedyServed} = await simulateWorkspaces(77, {lostShare: 0.2, restartAt: 4000});
		expect(inTime).toBeGreaterThan(0.85);
		expect(greedyServed).toBeGreaterThan(0.6);
	});
});
