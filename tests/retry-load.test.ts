import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {describe, expect, it} from 'vitest';
import {RetryAllowance} from '../src/scheduling/retry-allowance.js';
import {ServiceRetries} from '../src/scheduling/service-retries.js';
import {createLogger} from '../src/util/logger.js';
import {RetryBudget, type RetryLimit} from '../src/util/retry-budget.js';

const STEP_MS = 5;
const DURATION_MS = 40_000;
const WINDOW_STEPS = 10_000 / STEP_MS;
const SHARE = 0.2;
const SLACK = 230;
const DOMAINS = 3;
const REQUESTS_PER_DAEMON_MS = 50 / 77 / 1000;
const RETRY_DELAY_MS = 15;
const REPORT_MS = 300;
const MAX_SENDS = 4;
const TIMEOUT_MS = 120_000;

type Span = {readonly from: number; readonly to: number};

type Load = {
	readonly seed: number;
	readonly daemons: number;
	/** While servers reject each attempt. */
	readonly rejecting: Span;
	/** While the first failure domain and the others do not hear each other. */
	readonly partition?: Span;
	/** Times at which each daemon loses three attempts at once. */
	readonly burstsAt?: readonly number[];
	/** Share of the messages that are lost. */
	readonly loss?: number;
	/** Daemons with the present buckets only. */
	readonly isDivided?: boolean;
};

type Counts = {readonly requests: number[]; readonly retries: number[]; wanted: number};

const isWithin = (now: number, span?: Span) => span !== undefined && now >= span.from && now < span.to;
const presentBucket = (daemons: number) => RetryBudget.create(SHARE, () => Math.max(1, SLACK * 0.6 / daemons));

/** Plays requests to one service through daemons that hear each other 5 to 45 ms late. Returns the requests and retries of each step. */
function play({seed, daemons, rejecting, partition, burstsAt = [], loss = 0.02, isDivided = false}: Load): Counts {
	const generator = xoroshiro128plus(seed);
	const random = () => uniformFloat64(generator);
	const domainOf = (daemon: number) => daemon % DOMAINS;
	const steps = DURATION_MS / STEP_MS;
	const counts: Counts = {requests: Array.from({length: steps}, () => 0), retries: Array.from({length: steps}, () => 0), wanted: 0};
	const events = Array.from({length: steps}, (): Array<() => void> => []);
	const schedule = (at: number, event: () => void) => {
		events[Math.ceil(at / STEP_MS)]?.push(event);
	};

	let now = 0;
	const clock = () => now;
	const logger = createLogger('error');
	const fleet = Array.from({length: daemons}, (_, index) => {
		const others = new Map(Array.from({length: DOMAINS}, (_, domain) =>
			[`domain-${domain}`, Math.ceil((daemons - domain) / DOMAINS) - (domain === domainOf(index) ? 1 : 0)] as const));
		const allowance = RetryAllowance.create({
			daemon: String(index), share: SHARE, slack: SLACK, otherDaemons: () => others, random,
		});
		const shared = ServiceRetries.create({
			service: 'lm', share: SHARE, allowance, clock, logger, count: () => undefined,
		});
		const retries: RetryLimit = isDivided ? presentBucket(daemons) : shared;
		return {allowance, retries};
	});

	const tellOthers = (from: number, tell: (allowance: RetryAllowance) => void) => {
		for (const [to, {allowance}] of fleet.entries()) {
			const isCut = isWithin(now, partition) && (domainOf(from) === 0) !== (domainOf(to) === 0);
			if (to !== from && !isDivided && !isCut && random() >= loss) {
				schedule(now + 5 + (40 * random()), () => {
					allowance.recordContact(`domain-${domainOf(from)}`, clock());
					tell(allowance);
				});
			}
		}
	};

	let requests = 0;
	const place = (from: number, request: number, attempt: number) => {
		counts[attempt === 0 ? 'requests' : 'retries'][Math.floor(now / STEP_MS)]!++;
		const id = `${request}#${attempt}`;
		tellOthers(from, allowance => {
			allowance.recordPlacement({
				id, daemon: String(from), service: 'lm', isRepeat: attempt > 0,
			}, now, now);
		});
		if (isWithin(now, rejecting) && attempt + 1 < MAX_SENDS) {
			schedule(now + RETRY_DELAY_MS, () => {
				retry(from, request, attempt + 1);
			});
		}
	};

	const retry = (from: number, request: number, attempt: number) => {
		counts.wanted++;
		if (fleet[from]!.retries.tryRetry()) {
			place(from, request, attempt);
		}
	};

	for (now = 0; now < DURATION_MS; now += STEP_MS) {
		for (const event of events[now / STEP_MS]!) {
			event();
		}

		events[now / STEP_MS] = [];
		for (const [index, {retries}] of fleet.entries()) {
			if (random() < REQUESTS_PER_DAEMON_MS * STEP_MS) {
				retries.recordRequest();
				place(index, requests++, 0);
			}

			if (burstsAt.includes(now)) {
				for (let lost = 0; lost < 3; lost++) {
					retry(index, requests++, 1);
				}
			}

			if (index < DOMAINS && now % REPORT_MS === 0) {
				tellOthers(index, () => undefined);
			}
		}
	}

	return counts;
}

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);

/** The largest number of retries in any window, less what the requests in it allow. The rule is that it is at most the slack. */
function mostBeyondShare({requests, retries}: Counts): number {
	let beyond = 0;
	let most = 0;
	for (let end = 0; end < retries.length; end++) {
		const start = end - WINDOW_STEPS;
		beyond += retries[end]! - (SHARE * requests[end]!) - (start < 0 ? 0 : retries[start]! - (SHARE * requests[start]!));
		most = Math.max(most, beyond);
	}

	return most;
}

/** Retries between two times as a share of what the rule allows in them. */
function usedShare({requests, retries}: Counts, {from, to}: Span): number {
	const within = (values: readonly number[]) => sum(values.slice(from / STEP_MS, to / STEP_MS));
	return within(retries) / ((SHARE * within(requests)) + (SLACK * (to - from) / 10_000));
}

const rejecting = {from: 8000, to: DURATION_MS};
/** Bursts before and during a partition, and after it. */
const faults = {rejecting, burstsAt: [8000, 16_000, 32_000], partition: {from: 15_990, to: 28_000}};

describe('retries of a fleet whose servers reject requests', () => {
	for (const daemons of [10, 77]) {
		it(`should keep the operator's rule in any window with ${daemons} daemons that retry at the same moment, lose messages and are partitioned`, () => {
			// Guards against decisions that leave out the tokens of others, the decisions of the same moment, or those of the other side.
			for (let seed = 1; seed <= 3; seed++) {
				for (const load of [{rejecting}, {rejecting, burstsAt: [20_000]}, faults]) {
					expect(mostBeyondShare(play({
						seed, daemons, loss: 0.05, ...load,
					}))).toBeLessThanOrEqual(SLACK);
				}
			}
		}, TIMEOUT_MS);
	}

	it('should keep the rule with 300 daemons, of which not each has a retry of its own', () => {
		// Guards against decisions by chance, which replace whole parts in a fleet of this size, that together take more than is left.
		const load = {seed: 1, daemons: 300, loss: 0.05};
		expect(mostBeyondShare(play({...load, ...faults}))).toBeLessThanOrEqual(SLACK);
	}, TIMEOUT_MS);

	it('should use most of what the rule allows, twice as much as the present buckets', () => {
		// Guards against a fleet of 77 daemons that fails rejected requests while it uses less than a third of its allowance.
		for (let seed = 1; seed <= 5; seed++) {
			const span = {from: 15_000, to: DURATION_MS};
			const load = {seed, daemons: 77, rejecting};
			const used = usedShare(play(load), span);
			expect(used).toBeGreaterThan(0.6);
			expect(used).toBeGreaterThan(2 * usedShare(play({...load, isDivided: true}), span));
		}
	}, TIMEOUT_MS);

	it('should retry at least twice as often as the present buckets when each daemon loses several attempts at once', () => {
		// Guards against a lost rack that fails requests while the slack of the fleet is unused.
		for (let seed = 1; seed <= 5; seed++) {
			const load = {
				seed, daemons: 77, rejecting: {from: 0, to: 0}, burstsAt: [8000],
			};
			expect(sum(play(load).retries)).toBeGreaterThanOrEqual(2 * sum(play({...load, isDivided: true}).retries));
		}
	}, TIMEOUT_MS);
});
