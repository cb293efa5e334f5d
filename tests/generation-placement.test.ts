import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {describe, expect, it} from 'vitest';
import type {BackendServer} from '../src/fleet/backend-server.js';
import {PlacementTable, type Placement} from '../src/fleet/placement-table.js';
import {prefillMs, decodingPassMs} from '../src/placement/engine-model.js';
import {lateProbability, placeGeneration, type GenerationRequest} from '../src/placement/generation-placement.js';
import {chooseLeastLoaded} from '../src/placement/least-loaded.js';
import {forecastServer} from '../src/placement/server-forecast.js';
import {firstSiteProfile} from './fixtures/engine-profiles.js';

const profile = firstSiteProfile;

const engine = (id: string): BackendServer => ({
	id, instanceId: id, service: 'model', address: `10.0.0.1:${id.length}`, failureDomain: 'braga', slots: 11, isDraining: false, coldUntil: -Infinity, startedAt: undefined,
});

const engines = Array.from({length: 16}, (_, index) => engine(`e-${index}`));

const shortPrompt: GenerationRequest = {
	promptTokens: 4960, outputTokens: 1600, gapTargetMs: 200, targetMs: 300, weight: 20_960, failureDomain: 'braga',
};
const longPrompt: GenerationRequest = {
	promptTokens: 210_000, outputTokens: 780, gapTargetMs: 800, targetMs: 3000, weight: 217_800, failureDomain: 'braga',
};

const placementOf = (id: string, server: string, changes: Partial<Placement> = {}): Placement => ({
	id, server, helpers: [], reserved: [], prefillMs: 21, contextTokens: 6560, gapTargetMs: 200, weight: 20_960, targetMs: 300, ...changes,
});

const candidatesOf = (placements: PlacementTable, suspects: ReadonlySet<string> = new Set()) => engines.map(server => ({
	server, entries: placements.entriesOn(server.id), isSuspect: suspects.has(server.id), isAtLimit: false,
}));

/** Returns placements of `perEngine` short prompts on each of the first `count` engines; all of them are decoding. */
function placementsWithShortPrompts(count: number, perEngine: number): PlacementTable {
	const placements = PlacementTable.create();
	for (let server = 0; server < count; server++) {
		for (let index = 0; index < perEngine; index++) {
			const id = `${server}-${index}`;
			placements.open('other', placementOf(id, `e-${server}`), 0);
			placements.start('other', id, 50);
		}
	}

	return placements;
}

const participantsOf = (placed: ReturnType<typeof placeGeneration>): readonly string[] => [placed!.server.id, ...placed!.helpers.map(({id}) => id)];

describe('engines of one long prompt', () => {
	const groupSize = (request: GenerationRequest, spread: number | undefined): number => {
		const placements = placementsWithShortPrompts(2, 1);
		return participantsOf(placeGeneration(request, candidatesOf(placements).map(candidate => ({...candidate, spread})), profile, 100)).length;
	};

	const hugePrompt = {
		...longPrompt, promptTokens: 330_000, weight: 337_800, targetMs: 1500,
	};

	it('should be at most half of the engines of a large fleet that the prompt delays noticeably', () => {
		// Guards against prompts of 325,000 and 358,000 tokens on 12 and 10 of 14 engines: all streams stood still for up to 3 s.
		expect(groupSize(hugePrompt, 0.5)).toBeLessThanOrEqual(8);
		expect(groupSize(hugePrompt, undefined)).toBeGreaterThan(8);
	});

	it('should be as many as its memory needs', () => {
		const needed = {...hugePrompt, promptTokens: Math.floor(10 * profile.memoryTokens), outputTokens: 0};
		expect(groupSize(needed, 0.5)).toBeGreaterThan(8);
	});
});

describe('spread of simultaneous placements', () => {
	const placeAll = (spread?: () => number): ReadonlySet<string> => {
		const placements = placementsWithShortPrompts(16, 1);
		return new Set(Array.from({length: 12}, () => placeGeneration(shortPrompt, candidatesOf(placements).map(candidate => ({...candidate, spread: spread?.()})), profile, 100)!.server.id));
	};

	const seededRandom = (): () => number => {
		const generator = xoroshiro128plus(7);
		return () => uniformFloat64(generator);
	};

	it('should choose the same engine each time without a spread, as in a small fleet', () => {
		expect(placeAll().size).toBe(1);
	});

	it('should choose different ones of equal engines with a spread', () => {
		// Guards against daemons that have not heard of each other's placements yet and all choose one engine.
		expect(placeAll(seededRandom()).size).toBeGreaterThanOrEqual(6);
	});

	it('should choose an engine of the own failure domain among equal ones with a spread', () => {
		// Guards against streams that break because another failure domain is cut off.
		const placements = PlacementTable.create();
		const candidates = engines.map((server, index) => ({
			server: {...server, failureDomain: index % 4 === 0 ? 'braga' : 'famalicao'}, entries: placements.entriesOn(server.id), isSuspect: false, isAtLimit: false,
		}));
		const random = seededRandom();
		const placed = Array.from({length: 20}, () => placeGeneration(shortPrompt, candidates.map(candidate => ({...candidate, spread: random()})), profile, 0)!);
		expect(new Set(placed.flatMap(({server, helpers}) => [server, ...helpers].map(({failureDomain}) => failureDomain)))).toEqual(new Set(['braga']));
	});

	it('should choose an engine of another failure domain when those of the own one make the request late', () => {
		const placements = placementsWithShortPrompts(1, 8);
		placements.open('other', placementOf('long', 'e-0', {prefillMs: 5000, weight: 217_800}), 0);
		const candidates = engines.slice(0, 2).map((server, index) => ({
			server: {...server, failureDomain: index === 0 ? 'braga' : 'famalicao'}, entries: placements.entriesOn(server.id), isSuspect: false, isAtLimit: false, spread: 0.5,
		}));
		expect(placeGeneration(shortPrompt, candidates, profile, 10)!.server.id).toBe('e-1');
	});
});

describe('choice of a plain server', () => {
	const candidate = (id: string, spread?: number) => ({
		server: engine(id), requests: 2, isSuspect: false, spread,
	});

	it('should order equally loaded servers by their spread, and take the first without one', () => {
		// Guards against daemons that all send to the first of several idle servers at the same moment.
		expect(chooseLeastLoaded([candidate('e-1', 0.9), candidate('e-2', 0.1), candidate('e-3', 0.5)], 'braga')!.id).toBe('e-2');
		expect(chooseLeastLoaded([candidate('e-1'), candidate('e-2')], 'braga')!.id).toBe('e-1');
		expect(chooseLeastLoaded([{...candidate('e-1', 0.1), requests: 3}, candidate('e-2', 0.9)], 'braga')!.id).toBe('e-2');
	});
});

describe('engine model', () => {
	it('should compute the cost of a prompt and of a pass from the engine profile', () => {
		// Prefill of 210,000 tokens takes 820.3 ms, plus 2,022 ms for attention over 22,050 million pairs.
		expect(prefillMs(profile, 210_000)).toBeCloseTo(820.3 + 2022, 0);
		expect(decodingPassMs(profile, [])).toBeCloseTo(0.925);
		expect(decodingPassMs(profile, [6560, 6560])).toBeCloseTo(46 * (0.925 + (2 * (0.007 + (6.56 * 0.002_54)))));
	});

	it('should return a probability of 0 or 1 only when the forecast is far from the target', () => {
		expect(lateProbability(100, 300)).toBe(0);
		expect(lateProbability(400, 300)).toBe(1);
		expect(lateProbability(250, 300)).toBeGreaterThan(0);
		expect(lateProbability(1, 0)).toBe(1);
	});
});

describe('placement of prompts', () => {
	it('should split a long prompt over enough engines for its first event to be on time', () => {
		const placed = placeGeneration(longPrompt, candidatesOf(PlacementTable.create()), profile, 1000);
		expect(placed!.helpers.length).toBeGreaterThan(0);
		expect(placed!.expectedMs).toBeLessThan(0.6 * longPrompt.targetMs);
		expect(new Set(participantsOf(placed)).size).toBe(placed!.helpers.length + 1);
	});

	it('should not place a long prompt on engines whose streams it would delay', () => {
		const placements = placementsWithShortPrompts(8, 5);
		const participants = participantsOf(placeGeneration(longPrompt, candidatesOf(placements), profile, 1000));
		const delayed = participants.filter(id => Number(id.slice(2)) < 8);
		expect(delayed).toEqual([]);
	});

	it('should place short prompts on engines that already serve some, leaving others free for long prompts', () => {
		const placements = placementsWithShortPrompts(2, 3);
		expect(['e-0', 'e-1']).toContain(placeGeneration(shortPrompt, candidatesOf(placements), profile, 1000)!.server.id);
	});

	it('should fill engines one after another during a burst of short prompts', () => {
		// 60 concurrent streams of short prompts need 6 of the 16 engines; the others stay free for a long prompt.
		const placements = PlacementTable.create();
		for (let index = 0; index < 60; index++) {
			const now = 1000 + (index * 25);
			const placed = placeGeneration(shortPrompt, candidatesOf(placements), profile, now)!;
			placements.open('other', placementOf(`p-${index}`, placed.server.id), now);
			placements.start('other', `p-${index}`, now + 20);
		}

		const idle = engines.filter(({id}) => placements.entriesOn(id).length === 0);
		expect(idle.length).toBeGreaterThanOrEqual(8);
		const {helpers, expectedMs} = placeGeneration(longPrompt, candidatesOf(placements), profile, 2500)!;
		expect(helpers.length).toBeGreaterThan(0);
		expect(expectedMs).toBeLessThan(longPrompt.targetMs);
	});

	it('should not place a short prompt on an engine that is prefilling a long one', () => {
		const placements = PlacementTable.create();
		placements.open('other', placementOf('long', 'e-0', {helpers: ['e-1', 'e-2'], prefillMs: 950, targetMs: 3000}), 900);
		const {server, expectedMs} = placeGeneration(shortPrompt, candidatesOf(placements), profile, 1000)!;
		expect(['e-0', 'e-1', 'e-2']).not.toContain(server.id);
		expect(expectedMs).toBeLessThan(200);
	});

	it('should not delay a long prompt behind another one that arrived 1 ms earlier', () => {
		const placements = PlacementTable.create();
		const first = placeGeneration(longPrompt, candidatesOf(placements), profile, 1000)!;
		placements.open('other', placementOf('first', first.server.id, {
			helpers: first.helpers.map(({id}) => id), prefillMs: first.prefillMs, contextTokens: 210_780, targetMs: 3000, weight: longPrompt.weight,
		}), 1000);
		const second = placeGeneration(longPrompt, candidatesOf(placements), profile, 1001)!;
		expect(second.expectedMs).toBeLessThan(longPrompt.targetMs);
	});

	it('should reserve memory on helpers for a prompt that exceeds one engine, and count it as used there', () => {
		const placements = PlacementTable.create();
		const oversizedPrompt = {...longPrompt, promptTokens: 900_000};
		const placed = placeGeneration(oversizedPrompt, candidatesOf(placements), profile, 1000)!;
		const reservedTokens = placed.reserved.reduce((sum, {tokens}) => sum + tokens, 0);
		expect(oversizedPrompt.promptTokens + oversizedPrompt.outputTokens - reservedTokens).toBeLessThanOrEqual(profile.memoryTokens);
		const helpers = placed.helpers.map(({id}) => id);
		expect(placed.reserved.every(({server, tokens}) => helpers.includes(server.id) && tokens <= profile.memoryTokens)).toBe(true);
		placements.open('other', placementOf('large', placed.server.id, {
			helpers, reserved: placed.reserved.map(({server, tokens}) => ({server: server.id, tokens})), contextTokens: oversizedPrompt.promptTokens - reservedTokens,
		}), 1000);
		const second = placeGeneration(oversizedPrompt, candidatesOf(placements), profile, 1001)!;
		expect(second.reserved.map(({server}) => server.id)).not.toContain(placed.reserved[0]!.server.id);
	});

	it('should refuse a prompt that exceeds the memory of all engines together', () => {
		expect(placeGeneration({...longPrompt, promptTokens: 500_000}, candidatesOf(PlacementTable.create()).slice(0, 1), profile, 1000)).toBeUndefined();
	});

	it('should prefer engines that have not failed recently', () => {
		const suspects = new Set(engines.slice(0, 12).map(({id}) => id));
		const participants = participantsOf(placeGeneration(longPrompt, candidatesOf(PlacementTable.create(), suspects), profile, 1000));
		expect(participants.filter(id => suspects.has(id))).toEqual([]);
	});

	it('should leave an engine beyond its pace alone while the others are in time, and use the one with the most room when they are not', () => {
		// Guards against requests that are refused or late because engines which have just started are at their pace.
		const place = (perEngine: number) => {
			const placements = placementsWithShortPrompts(14, perEngine);
			return placeGeneration(shortPrompt, candidatesOf(placements).map(candidate => {
				const load = {'e-14': 3, 'e-15': 1.5}[candidate.server.id];
				return load === undefined ? candidate : {...candidate, loadBeyondPace: load};
			}), profile, 100)!.server.id;
		};

		expect(place(8)).not.toMatch(/^e-1[45]$/v);
		expect(place(14)).toBe('e-15');
	});

	it('should keep short prompts on time while long ones run on the same engines', () => {
		// Simulates ten seconds of peak load, 25 short and 1.5 long prompts per second, with the cost model that placement uses.
		const placements = PlacementTable.create();
		const lateCounts = {short: 0, long: 0};
		let shortCount = 0;
		let longCount = 0;
		const scheduledSteps: Array<{readonly at: number; run(): void}> = [];
		for (let now = 0; now < 10_000; now += 10) {
			for (const step of scheduledSteps.splice(0).sort((a, b) => a.at - b.at)) {
				if (step.at <= now) {
					step.run();
				} else {
					scheduledSteps.push(step);
				}
			}

			const arrivals = [...(now % 40 === 0 ? [shortPrompt] : []), ...(now % 670 === 0 ? [longPrompt] : [])];
			for (const request of arrivals) {
				const placed = placeGeneration(request, candidatesOf(placements), profile, now)!;
				const id = `${now}-${request.promptTokens}`;
				const isShort = request === shortPrompt;
				shortCount += isShort ? 1 : 0;
				longCount += isShort ? 0 : 1;
				lateCounts[isShort ? 'short' : 'long'] += placed.expectedMs > request.targetMs ? 1 : 0;
				placements.open('other', {
					...placementOf(id, placed.server.id),
					helpers: placed.helpers.map(helper => helper.id),
					prefillMs: placed.prefillMs,
					weight: request.weight,
					gapTargetMs: request.gapTargetMs,
					targetMs: request.targetMs,
				}, now);
				scheduledSteps.push(
					{
						at: now + placed.expectedMs, run() {
							placements.start('other', id, now + placed.expectedMs);
						},
					},
					{
						at: now + placed.expectedMs + 1700, run() {
							placements.close('other', id);
						},
					},
				);
			}
		}

		expect(shortCount).toBe(250);
		expect(longCount).toBe(15);
		expect(lateCounts).toEqual({short: 0, long: 0});
	});
});

describe('forecast of an engine', () => {
	const prefilling = placementOf('p', 'e-0', {prefillMs: 100});

	it('should expect an engine that is behind its forecast to stay busy', () => {
		// Guards against placing prompts on an engine that a lack of memory or slots has blocked: it looked idle once the expected prefill time was over.
		const placements = PlacementTable.create();
		placements.open('other', prefilling, 0);
		expect(forecastServer('e-0', placements.entriesOn('e-0'), profile, 50).backlogMs).toBe(50);
		expect(forecastServer('e-0', placements.entriesOn('e-0'), profile, 1100).backlogMs).toBeCloseTo(300, -1);
	});

	it('should expect no backlog on a helper whose part is done while the request waits for another engine', () => {
		const placements = PlacementTable.create();
		placements.open('other', {...prefilling, helpers: ['e-1']}, 0);
		expect(forecastServer('e-1', placements.entriesOn('e-1'), profile, 1100).backlogMs).toBe(0);
	});
});
