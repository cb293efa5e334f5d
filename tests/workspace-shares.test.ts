import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {compareUrgency} from '../src/scheduling/dispatch-queue.js';
import {isRoomReserved, judgeShares, WorkspaceShares} from '../src/scheduling/workspace-shares.js';

const SERVICE = 'model';
const LARGE = 1;

describe('judgement of shares', () => {
	it('should never find a workspace over its share that has had no more than an equal part', () => {
		// Guards against a workspace that loses its own share while others take more.
		fc.assert(fc.property(fc.array(fc.double({min: 0.01, max: 1e6, noNaN: true}), {minLength: 1, maxLength: 40}), amounts => {
			const total = amounts.reduce((sum, tokens) => sum + tokens, 0);
			const {over} = judgeShares(new Map(amounts.entries()));
			for (const [workspace, tokens] of amounts.entries()) {
				expect(over.has(workspace) && tokens <= total / amounts.length).toBe(false);
			}
		}));
	});

	it('should find the largest over its share if it has had most of the work, and no other', () => {
		expect(judgeShares(new Map([12, 1, 1.5, 0.8, 1].entries()))).toMatchObject({workspaces: 5, over: new Set([0])});
		expect(judgeShares(new Map([1, 1.2, 0.9].entries())).over.size).toBe(0);
		expect(judgeShares(new Map([[LARGE, 100]])).over.size).toBe(0);
	});
});

/** Records placements of 1,000 tokens at a rate. */
function play(shares: WorkspaceShares, workspace: number, {from, until, perSecond}: {readonly from: number; readonly until: number; readonly perSecond: number}): void {
	for (let at = from; at < until; at += 1000 / perSecond) {
		shares.record({service: SERVICE, workspace, tokens: 1000}, at);
	}
}

describe('shares of the room of a service', () => {
	it('should be lent while others leave theirs, and taken back within a second when they want it', () => {
		const shares = WorkspaceShares.create();
		play(shares, LARGE, {from: 0, until: 10_000, perSecond: 100});
		expect(shares.isOver(SERVICE, LARGE, 10_000)).toBe(false);
		play(shares, LARGE, {from: 10_000, until: 11_000, perSecond: 100});
		for (let other = 2; other <= 10; other++) {
			play(shares, other, {from: 10_000 + other, until: 11_000, perSecond: 5});
		}

		expect(shares.isOver(SERVICE, LARGE, 11_000)).toBe(true);
		expect([2, 3, 4, 5, 6, 7, 8, 9, 10].some(other => shares.isOver(SERVICE, other, 11_000))).toBe(false);
		play(shares, LARGE, {from: 11_000, until: 25_000, perSecond: 100});
		expect(shares.isOver(SERVICE, LARGE, 25_000)).toBe(false);
	});

	it('should not count what servers refused, whenever it is heard of', () => {
		// Guards against a workspace that loses its share to attempts that have run nowhere.
		const shares = WorkspaceShares.create();
		play(shares, LARGE, {from: 0, until: 1000, perSecond: 10});
		play(shares, 2, {from: 0, until: 1000, perSecond: 10});
		const refused = {service: SERVICE, workspace: LARGE, tokens: 50_000};
		shares.record(refused, 900);
		expect(shares.isOver(SERVICE, LARGE, 1000)).toBe(true);
		shares.takeBack(refused, 900);
		expect(shares.isOver(SERVICE, LARGE, 1100)).toBe(false);
		shares.retain(new Set());
		expect(shares.state(SERVICE, 1100).workspaces).toBe(0);
	});
});

const urgency = {
	rank: 1, arrivedAt: 0, dueAt: 400, giveUpAt: 1000,
};

describe('a request of a workspace over its share', () => {
	it('should leave the last free slots to others, and take what is free beyond them', () => {
		const engines = (free: number) => Array.from({length: 16}, (_, index) => ({slots: 8, requests: index === 0 ? 8 - free : 8}));
		expect(isRoomReserved(engines(0))).toBe(true);
		expect(isRoomReserved(engines(8))).toBe(true);
		expect(isRoomReserved([...engines(8), {slots: 8, requests: 7}])).toBe(false);
	});

	it('should wait behind those of its aged rank, and before those of the next', () => {
		const over = {...urgency, dueAt: 100, isOverShare: () => true};
		expect(compareUrgency(over, {...urgency, dueAt: 900}, 0)).toBeGreaterThan(0);
		expect(compareUrgency(over, {...urgency, dueAt: -1}, 0)).toBeGreaterThan(0);
		expect(compareUrgency(over, {...urgency, rank: 2}, 0)).toBeLessThan(0);
		expect(compareUrgency({...over, giveUpAt: 400}, urgency, 100)).toBeLessThan(0);
	});
});
