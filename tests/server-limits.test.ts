import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {describe, expect, it} from 'vitest';
import {ServerLimits} from '../src/fleet/server-limits.js';
import {
	COLD_RATE, coldRequests, MIN_COLD_SHARE, playCold,
} from './fixtures/cold-load.js';
import {largestCount, maxRequestsInWindow} from './fixtures/limit-rules.js';

const SEEDS = 10;
const STEP_MS = 5;
const STABLE_WINDOW_MS = 3000;
const DURATION_MS = 30_000;

type Load = {
	readonly seed: number;
	readonly daemons: number;
	readonly requestsPerSecond: number;
	readonly limits: readonly number[];
	/** Delay in ms and loss of the messages between daemons. */
	readonly delayMs: number;
	readonly loss: number;
	/** Interval in ms at which one daemon restarts. */
	readonly restartEveryMs?: number;
};

/** Sends requests through daemons that learn of each other's requests late. Returns the times of the requests by server, and how many were refused. */
function play({seed, daemons, requestsPerSecond, limits, delayMs, loss, restartEveryMs = Infinity}: Load) {
	const random = xoroshiro128plus(seed);
	const chance = () => uniformFloat64(random);
	const known = Array.from({length: daemons}, () => ServerLimits.create());
	const times = limits.map((): number[] => []);
	const messages: Array<{readonly at: number; readonly apply: () => void}> = [];
	const tellOthers = (from: number, at: number, apply: (daemon: ServerLimits) => void) => {
		for (const to of known.keys()) {
			if (to !== from && chance() >= loss) {
				messages.push({
					at, apply() {
						apply(known[to]!);
					},
				});
			}
		}
	};

	let refused = 0;
	for (let now = 0; now < DURATION_MS; now += STEP_MS) {
		while (messages.length > 0 && messages[0]!.at <= now) {
			messages.shift()!.apply();
		}

		if (now % restartEveryMs === 0) {
			known[Math.floor(chance() * daemons)] = ServerLimits.create();
		}

		for (let expected = requestsPerSecond * STEP_MS / 1000; chance() < expected; expected--) {
			const from = Math.floor(chance() * daemons);
			const daemon = known[from]!;
			const server = [...limits.keys()].find(index => daemon.waitMs(String(index), undefined, now) === 0);
			if (server === undefined) {
				refused++;
				continue;
			}

			times[server]!.push(now);
			daemon.recordSend(String(server), now);
			const at = now + delayMs;
			tellOthers(from, at, other => {
				other.recordSend(String(server), at);
			});
			const notice = daemon.recordResponse({server: String(server), perSecond: limits[server]!}, now, now);
			if (notice) {
				tellOthers(from, at, other => {
					other.applyNotice(notice, at);
				});
			}
		}
	}

	return {times, refused};
}

function expectWithinLimits(load: Omit<Load, 'seed'>): void {
	for (let seed = 1; seed <= SEEDS; seed++) {
		const {times} = play({...load, seed});
		for (const [index, perSecond] of load.limits.entries()) {
			const counted = times[index]!.filter(at => at > STABLE_WINDOW_MS);
			expect(largestCount(counted), `seed ${seed}, limit ${perSecond}`).toBeLessThanOrEqual(maxRequestsInWindow(perSecond));
		}
	}
}

describe('requests to servers that named limits', () => {
	it('should stay within several limits at once over all daemons', () => {
		expectWithinLimits({
			daemons: 9, requestsPerSecond: 30, limits: [1.6, 0.4, 2.7, 12], delayMs: 10, loss: 0.01,
		});
	});

	it('should stay within the limits of a fleet whose daemons each see a few requests and learn of others through relays', () => {
		expectWithinLimits({
			daemons: 195, requestsPerSecond: 150, limits: [0.5, 1, 2, 4, 8], delayMs: 60, loss: 0.01,
		});
	});

	it('should stay within the limits while daemons restart and lose messages', () => {
		expectWithinLimits({
			daemons: 9, requestsPerSecond: 60, limits: [1, 3], delayMs: 10, loss: 0.1, restartEveryMs: 2000,
		});
	});

	it('should use most of what the servers take', () => {
		const {times} = play({
			seed: 1, daemons: 9, requestsPerSecond: 60, limits: [2, 5], delayMs: 10, loss: 0,
		});
		expect(times[0]!.length).toBeGreaterThan(0.8 * 2 * DURATION_MS / 1000);
		expect(times[1]!.length).toBeGreaterThan(0.8 * 5 * DURATION_MS / 1000);
	});

	it('should end a limit after a response without one to a request that was sent later', () => {
		const limits = ServerLimits.create();
		expect(limits.recordResponse({server: 'a', perSecond: 0.5}, 0, 100)).toEqual({server: 'a', perSecond: 0.5});
		expect(limits.recordResponse({server: 'a'}, 50, 200)).toBeUndefined();
		expect(limits.waitMs('a', undefined, 200)).toBeGreaterThan(0);
		expect(limits.recordResponse({server: 'a'}, 150, 300)).toEqual({server: 'a'});
		expect(limits.waitMs('a', undefined, 300)).toBe(0);
	});

	it('should bound the requests of all daemons to a cold server in any second, and only those', () => {
		const limits = ServerLimits.create();
		for (const at of [0, 300, 600]) {
			expect(limits.waitMs('a', 3, at)).toBe(0);
			limits.recordSend('a', at);
		}

		expect(limits.waitMs('a', 3, 700)).toBe(300);
		expect(limits.waitMs('a', undefined, 700)).toBe(0);
		expect(limits.waitMs('a', 3, 1000)).toBe(0);
	});

	it('should try a server that takes no requests now and then', () => {
		const limits = ServerLimits.create();
		limits.recordResponse({server: 'a', perSecond: 0}, 0, 0);
		expect(limits.waitMs('a', undefined, 9000)).toBeGreaterThan(0);
		expect(limits.waitMs('a', undefined, 10_000)).toBe(0);
	});
});

/** Most requests in one second. */
const busiestSecond = (times: readonly number[]): number =>
	Math.max(...times.map(from => times.filter(at => at >= from && at < from + 1000).length));

describe('requests to a cold server', () => {
	it.each([
		{daemons: 6, cut: 2}, {daemons: 9, cut: 3}, {daemons: 6, cut: 6}, {daemons: 24, cut: 8},
	])('should stay within the rate of the rule in every second when $cut of $daemons daemons are cut off', ({daemons, cut}) => {
		// Guards against each daemon that hears nobody taking the whole rate for itself.
		for (let seed = 1; seed <= 3; seed++) {
			const times = playCold({
				daemons, cut, perSecond: COLD_RATE, requestsPerSecond: 180, seed,
			});
			expect(busiestSecond(times), `seed ${seed}`).toBeLessThanOrEqual((COLD_RATE * 1.5) + 5);
		}
	});

	it('should not be slowed while all daemons hear each other', () => {
		// Guards against a share for unheard daemons that also binds without a partition; tests/known-red/cold-rate.test.ts has the cases that fail.
		expect(coldRequests({daemons: 6, requestsPerSecond: 180})).toBeGreaterThan(MIN_COLD_SHARE * COLD_RATE * 10);
	});
});
