import fc from 'fast-check';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {modelService} from './fixtures/capacity-fixtures.js';
import {PoolSimulation} from './fixtures/pool-simulation.js';

type Command = (world: PoolSimulation) => Promise<void> | void;

const daemon = fc.integer({min: 0, max: 1});

/** Returns the id of one of the granted reservations, or an empty string if there is none. */
const pickGranted = (world: PoolSimulation, position: number): string => [...world.grants.keys()][position % Math.max(1, world.grants.size)] ?? '';

const nameCommand = (name: string, command: Command): Command & {toString(): string} => Object.assign(async (world: PoolSimulation) => command(world), {toString: () => name});

const command = fc.oneof(
	{
		weight: 6, arbitrary: fc.tuple(daemon, fc.constantFrom(500, 3000, 6000, 20_000)).map(([index, tokens]) => nameCommand(`reserve ${tokens} at ${index}`, world => {
			world.reserve(index, tokens);
		})),
	},
	{
		weight: 6, arbitrary: fc.nat(20).map(position => nameCommand(`deliver ${position}`, world => {
			world.deliver(pickGranted(world, position));
		})),
	},
	{
		weight: 2, arbitrary: fc.nat(20).map(position => nameCommand(`prefill ${position}`, world => {
			world.prefill(pickGranted(world, position));
		})),
	},
	{
		weight: 3, arbitrary: fc.nat(20).map(position => nameCommand(`release ${position}`, world => {
			world.release(pickGranted(world, position));
		})),
	},
	{
		weight: 3, arbitrary: fc.nat(20).map(position => nameCommand(`abandon ${position}`, world => {
			world.grants.delete(pickGranted(world, position));
		})),
	},
	{
		weight: 1, arbitrary: fc.constant(nameCommand('become cold', world => {
			world.engine.restartCold();
		})),
	},
	{
		weight: 2, arbitrary: fc.constant(nameCommand('become warm', world => {
			world.engine.warm = true;
		})),
	},
	{
		weight: 2, arbitrary: fc.tuple(daemon, fc.constantFrom('none', 'down', 'lost')).map(([index, fault]) => nameCommand(`object API ${fault} at ${index}`, world => {
			world.setFault(index, fault);
		})),
	},
	{
		weight: 1, arbitrary: fc.boolean().map(connected => nameCommand(`peers ${connected ? '' : 'dis'}connected`, world => {
			world.peersConnected = connected;
		})),
	},
	{weight: 1, arbitrary: daemon.map(index => nameCommand(`restart ${index}`, async world => world.restart(index)))},
	{weight: 4, arbitrary: fc.constantFrom(10, 100, 600, 2500, 9000).map(ms => nameCommand(`advance ${ms}`, async world => world.advance(ms)))},
	// Fully loads the engine, because the limits take effect only then.
	{
		weight: 8, arbitrary: fc.tuple(daemon, fc.integer({min: 2, max: 12})).map(([index, times]) => nameCommand(`fill ${times} at ${index}`, async world => {
			for (let time = 0; time < times; time++) {
				world.reserve(index, 500);
				await world.advance(20);
				for (const id of world.grants.keys()) {
					world.deliver(id);
					world.prefill(id);
				}
			}
		})),
	},
	{
		weight: 4, arbitrary: fc.tuple(daemon, fc.integer({min: 2, max: 12})).map(([index, times]) => nameCommand(`burst ${times} at ${index}`, world => {
			for (let time = 0; time < times; time++) {
				world.reserve(index, 500);
			}
		})),
	},
	{
		weight: 3, arbitrary: fc.constantFrom(5000, 12_000, 25_000).map(ms => nameCommand(`isolate the coordinator for ${ms}`, async world => {
			world.setFault(world.leaseOwner, 'down');
			world.peersConnected = false;
			await world.advance(ms);
		})),
	},
	{
		weight: 3, arbitrary: fc.constantFrom(0, 700, 5000).map(ms => nameCommand(`clear faults for ${ms}`, async world => {
			world.setFault(0, 'none');
			world.setFault(1, 'none');
			world.peersConnected = true;
			await world.advance(ms);
		})),
	},
);

beforeEach(() => {
	vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance']});
});

afterEach(() => {
	vi.useRealTimers();
});

async function checkInvariants(commands: readonly Command[]): Promise<{readonly epoch: number; readonly granted: number}> {
	const world = await PoolSimulation.create();
	let granted = 0;
	try {
		await world.advance(9000);
		for (const run of commands) {
			const before = world.grants.size;
			await run(world);
			await world.advance(1);
			granted += Math.max(0, world.grants.size - before);
			const unacknowledged = world.sendableGrants();
			expect(unacknowledged.length).toBeLessThanOrEqual(modelService.cold.requests);
			// A prompt above the cold limit is allowed if it is the only one.
			const tokens = unacknowledged.reduce((sum, {promptTokens}) => sum + promptTokens, 0);
			expect(unacknowledged.length === 1 || tokens <= modelService.cold.prefillTokens).toBe(true);
			// Known and documented: a prompt above the cold limit may reach an engine that became cold after its probe.
			expect(world.engine.violations.filter(text => !text.includes('cold') || !/ 2\d{4} prefill/v.test(text))).toEqual([]);
		}

		return {epoch: world.epoch, granted};
	} finally {
		await world.close();
	}
}

describe('limits of a backend server', () => {
	it('should hold for two coordinators of one pool under any sequence of events', async () => {
		let granted = 0;
		let takeovers = 0;
		await fc.assert(fc.asyncProperty(fc.array(command, {minLength: 20, maxLength: 60}), async commands => {
			const result = await checkInvariants(commands);
			granted += result.granted;
			takeovers += result.epoch - 1;
		}), {numRuns: 100});
		// Guards against command sequences that cause too few grants and takeovers to test the limits.
		expect(granted).toBeGreaterThan(200);
		expect(takeovers).toBeGreaterThan(10);
	}, 60_000);

	const testScenario = (title: string, run: (world: PoolSimulation) => Promise<void>): void => {
		it(title, async () => {
			const world = await PoolSimulation.create();
			await world.advance(9000);
			await run(world);
			expect(world.engine.violations).toEqual([]);
			await world.close();
		});
	};

	const isolateCoordinator = async (world: PoolSimulation, ms: number): Promise<number> => {
		const isolated = world.leaseOwner;
		world.setFault(isolated, 'down');
		world.peersConnected = false;
		await world.advance(ms);
		expect(world.leaseOwner).toBe(1 - isolated);
		return isolated;
	};

	testScenario('should count requests whose daemon crashed before the coordinator was replaced', async world => {
		await world.fill(world.leaseOwner, 12);
		expect(world.grants.size).toBe(modelService.warm.requests);
		world.grants.clear();
		await isolateCoordinator(world, 25_000);
		await world.fill(world.leaseOwner, 12);
		expect(world.grants.size).toBe(0);
	});

	// Tests several durations, because a periodic listing that happens to be due would also keep the limit.
	for (const isolatedMs of [12_000, 15_000, 18_000, 21_000]) {
		testScenario(`should count the grants that a predecessor, disconnected for ${isolatedMs} ms, made before it stepped down`, async world => {
			const isolated = await isolateCoordinator(world, isolatedMs);
			await world.fill(isolated, 12);
			expect(world.grants.size).toBe(modelService.warm.requests / 2);
			world.grants.clear();
			world.peersConnected = true;
			for (let time = 0; time < 30; time++) {
				await world.fill(world.leaseOwner, 6);
				await world.advance(100);
			}

			expect(world.grants.size).toBe(modelService.warm.requests / 2);
		});
	}

	testScenario('should allow no grants by a predecessor after it confirmed that it stepped down', async world => {
		const isolated = await isolateCoordinator(world, 25_000);
		world.peersConnected = true;
		await world.advance(6000);
		await world.fill(isolated, 12);
		expect(world.grants.size).toBe(0);
		await world.fill(world.leaseOwner, 12);
		expect(world.grants.size).toBe(modelService.warm.requests);
	});

	testScenario('should not send a request whose grant expired while its daemon was paused', async world => {
		world.reserve(world.leaseOwner, 500);
		await world.advance(1);
		const [paused] = [...world.grants.values()];
		world.grants.clear();
		await world.advance(9000);
		await world.fill(world.leaseOwner, 12);
		expect(world.grants.size).toBe(modelService.warm.requests);
		world.grants.set(paused!.id, paused!);
		world.deliver(paused!.id);
	});
});
