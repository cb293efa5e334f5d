import {describe, expect, it} from 'vitest';
import {PlacementTable, type Placement} from '../src/fleet/placement-table.js';
import {LONG_PREFILL_MS, longPromptHoldMs, type LongPrompt} from '../src/scheduling/long-prompt-quota.js';

const engines = Array.from({length: 12}, (_, index) => `e-${index}`);

/** Placements of long prompts on pairs of engines, made at the time 0. */
function placementsOf(pairs: number, changes: Partial<Placement> = {}): PlacementTable {
	const placements = PlacementTable.create();
	for (let index = 0; index < pairs; index++) {
		placements.open('other', {
			id: `long-${index}`,
			server: `e-${2 * index}`,
			helpers: [`e-${(2 * index) + 1}`],
			prefillMs: 4000, contextTokens: 260_000, reserved: [], gapTargetMs: 1000, weight: 270_000, targetMs: 8000, ...changes,
		}, 0);
	}

	return placements;
}

const prompt: LongPrompt = {prefillMs: 4000, engines: 2, dueAt: 4500};

const holdMs = (placements: PlacementTable, changes: Partial<LongPrompt> = {}, now = 500): number =>
	longPromptHoldMs({...prompt, ...changes}, engines.map(id => placements.entriesOn(id)), now);

describe('share of the engines that long prompts may hold', () => {
	it('should place long prompts until they hold half of the engines, and then hold one back until the first of them ends', () => {
		// Guards against long prompts on nine of thirteen engines while a failure domain is away: every short prompt behind them was late.
		expect(holdMs(placementsOf(0))).toBe(0);
		expect(holdMs(placementsOf(2))).toBe(0);
		expect(holdMs(placementsOf(3))).toBe(3500);
	});

	it('should hold a prompt back no longer than its own target allows', () => {
		expect(holdMs(placementsOf(3), {dueAt: 1500})).toBe(1000);
		expect(holdMs(placementsOf(3), {dueAt: 500})).toBe(0);
		expect(holdMs(placementsOf(3), {dueAt: -100})).toBe(0);
	});

	it('should not hold back prompts that keep an engine for a short time, and not count those', () => {
		expect(holdMs(placementsOf(3), {prefillMs: LONG_PREFILL_MS - 1})).toBe(0);
		expect(holdMs(placementsOf(3, {prefillMs: LONG_PREFILL_MS - 1}))).toBe(0);
	});

	it('should not count prompts whose first event has been sent', () => {
		const placements = placementsOf(3);
		placements.start('other', 'long-1', 400);
		expect(holdMs(placements)).toBe(0);
	});

	it('should look again soon at a prefill that is behind its forecast', () => {
		const held = holdMs(placementsOf(3), {dueAt: 9000}, 4200);
		expect(held).toBeGreaterThan(0);
		expect(held).toBeLessThanOrEqual(200);
	});

	it('should place one that exceeds the share alone while no other long prompt is there', () => {
		expect(holdMs(placementsOf(0), {engines: 10})).toBe(0);
	});
});
