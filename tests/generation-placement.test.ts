import {describe, expect, it} from 'vitest';
import type {BackendServer} from '../src/fleet/backend-server.js';
import {PlacementTable, type Placement} from '../src/fleet/placement-table.js';
import {prefillMs, decodingPassMs} from '../src/placement/engine-model.js';
import {lateProbability, placeGeneration, type GenerationRequest} from '../src/placement/generation-placement.js';
import {forecastServer} from '../src/placement/server-forecast.js';
import {firstSiteProfile} from './fixtures/engine-profiles.js';

const profile = firstSiteProfile;

const engine = (id: string): BackendServer => ({
	id, instanceId: id, service: 'model', address: `10.0.0.1:${id.length}`, failureDomain: 'braga', slots: 11, isDraining: false, coldUntil: -Infinity, startedAt: undefined,
});

const engines = Array.from({length: 16}, (_, index) => engine(`e-${index}`));

const chat: GenerationRequest = {
	promptTokens: 4960, outputTokens: 1600, gapTargetMs: 200, targetMs: 300, weight: 20_960, failureDomain: 'braga',
};
const digest: GenerationRequest = {
	promptTokens: 210_000, outputTokens: 780, gapTargetMs: 800, targetMs: 3000, weight: 217_800, failureDomain: 'braga',
};

const entry = (id: string, server: string, more: Partial<Placement> = {}): Placement => ({
	id, server, helpers: [], reserved: [], prefillMs: 21, contextTokens: 6560, gapTargetMs: 200, weight: 20_960, targetMs: 300, ...more,
});

const candidatesOf = (board: PlacementTable, suspects: ReadonlySet<string> = new Set()) => engines.map(server => ({
	server, entries: board.entriesOn(server.id), isSuspect: suspects.has(server.id),
}));

/** Chats that write on the first `count` engines, `each` on each of them. */
function boardWithChats(count: number, each: number): PlacementTable {
	const board = PlacementTable.create();
	for (let server = 0; server < count; server++) {
		for (let index = 0; index < each; index++) {
			const id = `${server}-${index}`;
			board.open('other', entry(id, `e-${server}`), 0);
			board.start('other', id, 50);
		}
	}

	return board;
}

const membersOf = (placed: ReturnType<typeof placeGeneration>): readonly string[] => [placed!.server.id, ...placed!.helpers.map(({id}) => id)];

describe('engine model', () => {
	it('should give the cost of a prompt and of a pass by the figures of the profile', () => {
		// 210,000 tokens: 820 ms to read, and 22,050 million pairs.
		expect(prefillMs(profile, 210_000)).toBeCloseTo(820.3 + 2022, 0);
		expect(decodingPassMs(profile, [])).toBeCloseTo(0.925);
		expect(decodingPassMs(profile, [6560, 6560])).toBeCloseTo(46 * (0.925 + (2 * (0.007 + (6.56 * 0.002_54)))));
	});

	it('should call a forecast certain only where it is far from the target', () => {
		expect(lateProbability(100, 300)).toBe(0);
		expect(lateProbability(400, 300)).toBe(1);
		expect(lateProbability(250, 300)).toBeGreaterThan(0);
		expect(lateProbability(1, 0)).toBe(1);
	});
});

describe('placement of prompts', () => {
	it('should split a long prompt until its first event is on time', () => {
		const placed = placeGeneration(digest, candidatesOf(PlacementTable.create()), profile, 1000);
		expect(placed!.helpers.length).toBeGreaterThan(0);
		expect(placed!.expectedMs).toBeLessThan(0.6 * digest.targetMs);
		expect(new Set(membersOf(placed)).size).toBe(placed!.helpers.length + 1);
	});

	it('should keep a long prompt off engines whose streams it would delay', () => {
		const board = boardWithChats(8, 5);
		const members = membersOf(placeGeneration(digest, candidatesOf(board), profile, 1000));
		const harmed = members.filter(id => Number(id.slice(2)) < 8);
		expect(harmed).toEqual([]);
	});

	it('should let short prompts share engines, and leave others free for long ones', () => {
		const board = boardWithChats(2, 3);
		expect(['e-0', 'e-1']).toContain(placeGeneration(chat, candidatesOf(board), profile, 1000)!.server.id);
	});

	it('should fill engines one after the other through a burst of short prompts', () => {
		// 60 chats that write at once need 6 of 16 engines; the other ones stay free for a long prompt.
		const board = PlacementTable.create();
		for (let index = 0; index < 60; index++) {
			const now = 1000 + (index * 25);
			const placed = placeGeneration(chat, candidatesOf(board), profile, now)!;
			board.open('other', entry(`p-${index}`, placed.server.id), now);
			board.start('other', `p-${index}`, now + 20);
		}

		const free = engines.filter(({id}) => board.entriesOn(id).length === 0);
		expect(free.length).toBeGreaterThanOrEqual(8);
		const {helpers, expectedMs} = placeGeneration(digest, candidatesOf(board), profile, 2500)!;
		expect(helpers.length).toBeGreaterThan(0);
		expect(expectedMs).toBeLessThan(digest.targetMs);
	});

	it('should keep a short prompt away from an engine that is prefilling a long one', () => {
		const board = PlacementTable.create();
		board.open('other', entry('long', 'e-0', {helpers: ['e-1', 'e-2'], prefillMs: 950, targetMs: 3000}), 900);
		const {server, expectedMs} = placeGeneration(chat, candidatesOf(board), profile, 1000)!;
		expect(['e-0', 'e-1', 'e-2']).not.toContain(server.id);
		expect(expectedMs).toBeLessThan(200);
	});

	it('should not let the second long prompt of the same moment wait for the first', () => {
		const board = PlacementTable.create();
		const first = placeGeneration(digest, candidatesOf(board), profile, 1000)!;
		board.open('other', entry('first', first.server.id, {
			helpers: first.helpers.map(({id}) => id), prefillMs: first.prefillMs, contextTokens: 210_780, targetMs: 3000, weight: digest.weight,
		}), 1000);
		const second = placeGeneration(digest, candidatesOf(board), profile, 1001)!;
		expect(second.expectedMs).toBeLessThan(digest.targetMs);
	});

	it('should spread the memory of a prompt larger than one engine over helpers, and count it there', () => {
		const board = PlacementTable.create();
		const large = {...digest, promptTokens: 900_000};
		const placed = placeGeneration(large, candidatesOf(board), profile, 1000)!;
		const held = placed.reserved.reduce((sum, {tokens}) => sum + tokens, 0);
		expect(large.promptTokens + large.outputTokens - held).toBeLessThanOrEqual(profile.memoryTokens);
		const helpers = placed.helpers.map(({id}) => id);
		expect(placed.reserved.every(({server, tokens}) => helpers.includes(server.id) && tokens <= profile.memoryTokens)).toBe(true);
		board.open('other', entry('large', placed.server.id, {
			helpers, reserved: placed.reserved.map(({server, tokens}) => ({server: server.id, tokens})), contextTokens: large.promptTokens - held,
		}), 1000);
		const second = placeGeneration(large, candidatesOf(board), profile, 1001)!;
		expect(second.reserved.map(({server}) => server.id)).not.toContain(placed.reserved[0]!.server.id);
	});

	it('should refuse a prompt that all engines together have no memory for', () => {
		expect(placeGeneration({...digest, promptTokens: 500_000}, candidatesOf(PlacementTable.create()).slice(0, 1), profile, 1000)).toBeUndefined();
	});

	it('should prefer engines that have not failed lately', () => {
		const suspects = new Set(engines.slice(0, 12).map(({id}) => id));
		const members = membersOf(placeGeneration(digest, candidatesOf(PlacementTable.create(), suspects), profile, 1000));
		expect(members.filter(id => suspects.has(id))).toEqual([]);
	});

	it('should keep short prompts on time through a load of long ones on the same engines', () => {
		// Ten seconds of a busy day: 25 chats and 1.5 digests a second, played against the engines' own cost model.
		const board = PlacementTable.create();
		const late = {chats: 0, digests: 0};
		let chats = 0;
		let digests = 0;
		const ends: Array<{readonly at: number; run(): void}> = [];
		for (let now = 0; now < 10_000; now += 10) {
			for (const end of ends.splice(0).sort((a, b) => a.at - b.at)) {
				if (end.at <= now) {
					end.run();
				} else {
					ends.push(end);
				}
			}

			const arrivals = [...(now % 40 === 0 ? [chat] : []), ...(now % 670 === 0 ? [digest] : [])];
			for (const request of arrivals) {
				const placed = placeGeneration(request, candidatesOf(board), profile, now)!;
				const id = `${now}-${request.promptTokens}`;
				const isChat = request === chat;
				chats += isChat ? 1 : 0;
				digests += isChat ? 0 : 1;
				late[isChat ? 'chats' : 'digests'] += placed.expectedMs > request.targetMs ? 1 : 0;
				board.open('other', {
					...entry(id, placed.server.id),
					helpers: placed.helpers.map(helper => helper.id),
					prefillMs: placed.prefillMs,
					weight: request.weight,
					gapTargetMs: request.gapTargetMs,
					targetMs: request.targetMs,
				}, now);
				ends.push(
					{
						at: now + placed.expectedMs, run() {
							board.start('other', id, now + placed.expectedMs);
						},
					},
					{
						at: now + placed.expectedMs + 1700, run() {
							board.close('other', id);
						},
					},
				);
			}
		}

		expect(chats).toBe(250);
		expect(digests).toBe(15);
		expect(late).toEqual({chats: 0, digests: 0});
	});
});

describe('forecast of an engine', () => {
	const reading = entry('p', 'e-0', {prefillMs: 100});

	it('should expect an engine to stay busy that is behind its forecast', () => {
		// Guards against placing prompts on an engine whose memory or slots hold up everything: it looked idle once the time of its prefill was over.
		const board = PlacementTable.create();
		board.open('other', reading, 0);
		expect(forecastServer('e-0', board.entriesOn('e-0'), profile, 50).backlogMs).toBe(50);
		expect(forecastServer('e-0', board.entriesOn('e-0'), profile, 1100).backlogMs).toBeCloseTo(300, -1);
	});

	it('should not blame a helper whose part is done while the request waits elsewhere', () => {
		const board = PlacementTable.create();
		board.open('other', {...reading, helpers: ['e-1']}, 0);
		expect(forecastServer('e-1', board.entriesOn('e-1'), profile, 1100).backlogMs).toBe(0);
	});
});
