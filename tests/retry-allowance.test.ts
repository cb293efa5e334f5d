import fc from 'fast-check';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {MAX_MESH_SIZE} from '../src/fleet/fleet-topology.js';
import {RetryAllowance} from '../src/scheduling/retry-allowance.js';
import {ServiceRetries, type RetryDecision} from '../src/scheduling/service-retries.js';
import {createLogger} from '../src/util/logger.js';
import {RetryBudget} from '../src/util/retry-budget.js';

const SHARE = 0.2;
const SLACK = 230;
const FLEET = 77;

let now: number;
let logs: string[];
let decisions: RetryDecision[];

beforeEach(() => {
	now = 50_000;
	logs = [];
	decisions = [];
});

/** One daemon of a fleet with three failure domains, the first of which is its own. */
function create(daemons = FLEET, slack = SLACK, chance = 0.99) {
	const others = new Map(['braga', 'famalicao', 'guimaraes'].map((domain, index) => [domain, Math.ceil((daemons - index) / 3) - (index === 0 ? 1 : 0)]));
	const allowance = RetryAllowance.create({
		daemon: 'self', share: SHARE, slack, otherDaemons: () => others, random: () => chance,
	});
	const retries = ServiceRetries.create({
		service: 'lm',
		share: SHARE,
		allowance,
		clock: () => now,
		logger: createLogger('info', {}, line => {
			logs.push(line);
		}),
		count(decision) {
			decisions.push(decision);
		},
	});
	const hear = (domains: readonly string[] = [...others.keys()]) => {
		for (const domain of domains) {
			allowance.recordContact(domain, now);
		}
	};

	const place = (id: string, isRepeat = false, daemon = `d-${id}`) => {
		allowance.recordPlacement({
			id, daemon, service: 'lm', isRepeat,
		}, now, now);
	};

	return {
		allowance, retries, hear, place,
	};
}

/** Takes as many retries as are allowed in `ms`, while the domains are heard. */
function takeAll({retries, hear}: Pick<ReturnType<typeof create>, 'retries' | 'hear'>, ms: number, domains?: readonly string[]): number {
	let taken = 0;
	for (const end = now + ms; now < end; now += 50) {
		hear(domains);
		taken += retries.tryRetry() ? 1 : 0;
	}

	return taken;
}

describe('retry allowance of a fleet', () => {
	it('should use the own part first, then what the parts of all daemons leave of the slack, again after each window', () => {
		// Guards against retries of the fleet that other daemons could turn into a breach by their own parts.
		const daemon = create();
		const taken = takeAll(daemon, 9000);
		const parts = 0.6 * SLACK;
		expect(decisions.slice(0, 2)).toEqual(['own', 'fleet']);
		expect(taken).toBeGreaterThan(0.5 * (SLACK - parts));
		expect(taken).toBeLessThanOrEqual(SLACK - parts);
		expect(takeAll(daemon, 9000)).toBeGreaterThan(0);
	});

	it('should allow the fewer retries the more others have made, by what is left when all daemons have none of their own', () => {
		// Guards against a fleet whose daemons each take the whole allowance.
		const daemon = create();
		daemon.hear();
		for (let index = 0; index < SLACK; index++) {
			daemon.place(`${index}#1`, true, `d-${index % FLEET}`);
		}

		expect(takeAll(daemon, 9000)).toBe(1);
		expect(decisions[0]).toBe('own');
	});

	it('should keep to the own part when no other daemon is heard for the heartbeat timeout', () => {
		// Guards against a daemon that is cut off and takes what it does not hear that others have taken.
		const daemon = create();
		daemon.hear();
		now += 1001;
		expect([daemon.retries.tryRetry(), daemon.retries.tryRetry()]).toEqual([true, false]);
		daemon.hear();
		expect(daemon.retries.tryRetry()).toBe(true);
	});

	it('should use a part of the allowance when a part of the fleet is heard', () => {
		// Guards against the sides of a partition that each use the whole allowance, also before it is noticed as one.
		const whole = takeAll(create(), 9000);
		now = 50_000;
		const cut = create();
		cut.hear();
		now += 50;
		expect(takeAll(cut, 9000, ['braga'])).toBeLessThanOrEqual(Math.ceil(whole / 2));
	});

	it('should take one retry at a time while others may decide at the same moment', () => {
		// Guards against 77 daemons that see the same room and take all of it.
		const {retries, hear} = create(FLEET, SLACK, 0);
		hear();
		expect(Array.from({length: 6}, () => retries.tryRetry())).toEqual([true, true, false, false, false, false]);
		now += 50;
		hear();
		expect(retries.tryRetry()).toBe(true);
		expect(decisions.filter(decision => decision === 'fleet')).toHaveLength(2);
	});

	it('should count a placement once that is announced again, also after it has closed', () => {
		// Guards against doubled messages that raise the share, and equal ids of a request that two daemons relay.
		const {allowance, place} = create();
		place('r#0', false, 'd-1');
		now += 900;
		place('r#0', false, 'd-1');
		place('r#0', false, 'd-2');
		expect(allowance.state('lm', now).requests).toBe(2);
		now += 10_300;
		expect(allowance.state('lm', now).requests).toBe(0);
	});

	it('should allow again what was given back, in the part that it was taken from', () => {
		// Guards against interrupted streams, which ask four times a second, and use up the allowance without a server.
		const {retries, hear, allowance} = create();
		for (let attempt = 0; attempt < 100; attempt++) {
			hear();
			expect(retries.tryRetry()).toBe(true);
			expect(retries.tryRetry()).toBe(true);
			retries.giveBack();
			retries.giveBack();
			now += 250;
		}

		expect(allowance.state('lm', now)).toMatchObject({retries: 0});
		expect(allowance.state('lm', now).reserved).toBeCloseTo(0.6 * SLACK);
		expect(decisions.filter(decision => decision === 'returned')).toHaveLength(200);
	});

	it('should log the first denial after a window without one', () => {
		// Guards against one line for each rejected request while the fleet is full.
		const {retries} = create();
		retries.tryRetry();
		for (let attempt = 0; attempt < 40; attempt++) {
			retries.tryRetry();
			now += 500;
		}

		expect(logs).toHaveLength(1);
		expect(logs[0]).toContain('event=retry_denied service=lm');
		now += 10_001;
		retries.tryRetry();
		retries.tryRetry();
		expect(logs).toHaveLength(2);
		expect(decisions.filter(decision => decision === 'denied')).toHaveLength(42);
	});

	it('should never divide more than the slack into whole parts', () => {
		// Guards against one whole retry for each of more daemons than the slack has retries.
		fc.assert(fc.property(fc.integer({min: MAX_MESH_SIZE + 1, max: 1000}), fc.integer({min: 0, max: 1000}), (daemons, slack) => {
			expect(daemons * create(daemons, slack).allowance.ownPart).toBeLessThanOrEqual(slack);
		}));
	});
});

describe('retries of a fleet of at most 24 daemons', () => {
	it('should be decided by the bucket of each daemon, whatever it hears', () => {
		// Guards against changes for deployments that do not ask for the allowance of the fleet.
		const steps = fc.array(fc.constantFrom('request', 'retry', 'return', 'heard'), {maxLength: 200});
		fc.assert(fc.property(fc.integer({min: 1, max: MAX_MESH_SIZE}), fc.integer({min: 0, max: 300}), steps, (daemons, slack, events) => {
			const {retries, hear, place} = create(daemons, slack);
			const bucket = RetryBudget.create(SHARE, () => Math.max(1, slack * 0.6 / daemons));
			for (const [index, event] of events.entries()) {
				now += 20;
				switch (event) {
					case 'request': {
						retries.recordRequest();
						bucket.recordRequest();
						break;
					}

					case 'retry': {
						expect(retries.tryRetry()).toBe(bucket.tryRetry());
						break;
					}

					case 'return': {
						retries.giveBack();
						bucket.giveBack();
						break;
					}

					case 'heard': {
						hear();
						place(String(index), index % 2 === 0);
						break;
					}
				}
			}
		}));
		expect(logs).toEqual([]);
	});
});
