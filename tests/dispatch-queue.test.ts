import {setTimeout as delay} from 'node:timers/promises';
import * as fc from 'fast-check';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {Dispatcher, type Offer, type WaitingRequest} from '../src/gateway/dispatcher.js';
import {DispatchQueue, type QueuedRequest} from '../src/scheduling/dispatch-queue.js';
import {offerDelayMs} from '../src/scheduling/offer-delay.js';
import {PlaceForecast} from '../src/scheduling/place-forecast.js';
import {decideWait} from '../src/scheduling/wait-decision.js';
import {monotonicMs, type Clock} from '../src/util/clock.js';
import {createLogger} from '../src/util/logger.js';

afterEach(() => {
	vi.restoreAllMocks();
	vi.useRealTimers();
});

const createRequest = (id: string, overrides: Partial<QueuedRequest> = {}): QueuedRequest => ({
	id, lane: 'model', rank: 1, bytes: 100, arrivedAt: 0, dueAt: 500, giveUpAt: 1000, ...overrides,
});

const createQueue = (...requests: readonly QueuedRequest[]) => {
	const queue = DispatchQueue.create<QueuedRequest>({maxRequests: 10, maxBytes: 1000});
	for (const item of requests) {
		queue.add(item);
	}

	return queue;
};

const idsOf = (requests: readonly QueuedRequest[]): readonly string[] => requests.map(({id}) => id);

describe('order of waiting requests', () => {
	it('should be by rank, then by target, and put what is late behind what can still be on time', () => {
		// Guards against a chat behind an audit, and against late requests that make others late.
		const queue = createQueue(
			createRequest('audit', {rank: 3, dueAt: 50}),
			createRequest('late', {dueAt: 90}),
			createRequest('later due', {dueAt: 400}),
			createRequest('first due', {dueAt: 300}),
			createRequest('urgent', {rank: 0, dueAt: 900}),
			createRequest('other', {lane: 'other', rank: 0}),
		);
		expect(idsOf(queue.ordered(100, 'model'))).toEqual(['urgent', 'first due', 'later due', 'late', 'audit']);
	});

	it('should raise a request by one rank for each quarter of its time, so that the least urgent is served', () => {
		const queue = createQueue(createRequest('old', {rank: 3, dueAt: 2000}), createRequest('fresh', {
			rank: 1, arrivedAt: 700, dueAt: 1900, giveUpAt: 1700,
		}));
		expect(idsOf(queue.ordered(740))).toEqual(['fresh', 'old']);
		expect(idsOf(queue.ordered(760))).toEqual(['old', 'fresh']);
	});
});

describe('bounds of the queue', () => {
	it('should limit requests and bytes, and take others again when some have left', () => {
		const queue = createQueue();
		const requests = Array.from({length: 11}, (_, index) => createRequest(`r-${index}`));
		expect(requests.map(item => queue.add(item).kind)).toEqual([...Array.from({length: 10}, () => 'added'), 'full']);
		queue.remove(requests[0]!);
		queue.remove(requests[0]!);
		expect(queue.add(createRequest('large', {bytes: 101}))).toEqual({kind: 'full', bound: 'bytes'});
		expect(queue.add(createRequest('small'))).toEqual({kind: 'added'});
	});
});

describe('decision to wait', () => {
	const times = {
		arrivedAt: 0, targetAt: 400, patienceEndsAt: 2000, serviceMs: 100,
	};

	it('should wait for a place before the target is lost, or else for a share of the patience that is left', () => {
		expect(decideWait({...times, placeInMs: 250}, 0)).toEqual({kind: 'wait', dueAt: 300, giveUpAt: 300 + (0.3 * 1700)});
		expect(decideWait({...times, placeInMs: 350}, 0)).toEqual({kind: 'wait', dueAt: 300, giveUpAt: 600});
		expect(decideWait({...times, placeInMs: 700}, 0)).toEqual({kind: 'refuse'});
	});

	it('should never hold a request for more than half of its time, nor for a place that comes too late for its client', () => {
		const ms = fc.integer({min: 0, max: 30_000});
		fc.assert(fc.property(fc.record({
			targetAt: ms, patienceEndsAt: ms, serviceMs: ms, placeInMs: ms, now: ms,
		}), ({now, ...request}) => {
			const {patienceEndsAt, serviceMs, placeInMs} = request;
			const decision = decideWait({arrivedAt: 0, ...request}, now);
			if (decision.kind === 'wait') {
				expect(decision.giveUpAt).toBeLessThanOrEqual(patienceEndsAt / 2);
				expect(decision.giveUpAt + serviceMs).toBeLessThanOrEqual(patienceEndsAt);
				expect(now + placeInMs).toBeLessThan(decision.giveUpAt);
			}
		}));
	});
});

describe('delay of an offer', () => {
	it('should grow with the rank, shrink with the time waited, and differ by daemon and place', () => {
		const place = {daemon: 'd-1', place: 's-1'};
		const delayOf = (rank: number, now = 0) => offerDelayMs(createRequest('r', {rank}), place, now);
		expect(delayOf(0)).toBeLessThan(delayOf(1));
		expect(delayOf(1)).toBeLessThan(delayOf(2));
		expect(delayOf(50)).toBe(delayOf(3));
		expect(delayOf(2, 200)).toBeLessThan(delayOf(2));
		expect(delayOf(2)).toBe(delayOf(2));
		expect(delayOf(50)).toBeLessThanOrEqual(20);
		const spread = Array.from({length: 50}, (_, daemon) => offerDelayMs(createRequest('r', {rank: 0}), {...place, daemon: `d-${daemon}`}, 0));
		expect(new Set(spread).size).toBe(50);
		expect(offerDelayMs(createRequest('r'), {...place, place: 's-2'}, 0)).not.toBe(delayOf(1));
	});
});

describe('forecast of a place', () => {
	it('should follow the rate of ends, this daemon\'s part of them and those that go before', () => {
		const forecast = PlaceForecast.create();
		const servers = ['s-1', 's-2'];
		expect(forecast.placeInMs(servers, {ahead: 0, daemons: 50}, 0)).toBeUndefined();
		for (let end = 0; end < 50; end++) {
			forecast.recordEnd(servers[end % 2]!, end * 10);
		}

		expect(forecast.placeInMs(servers, {ahead: 0, daemons: 50}, 500)).toBe(500);
		expect(forecast.placeInMs(servers, {ahead: 2, daemons: 50}, 500)).toBe(2500);
		expect(forecast.placeInMs(['s-1'], {ahead: 0, daemons: 50}, 500)).toBe(1000);
		expect(forecast.placeInMs(servers, {ahead: 0, daemons: 50}, 1500)).toBeUndefined();
		forecast.retain(new Set(['s-2']));
		expect(forecast.placeInMs(servers, {ahead: 0, daemons: 50}, 500)).toBe(1000);
	});
});

describe('dispatcher', () => {
	const now = 0;
	let inversions = 0;
	const createDispatcher = (clock: Clock = () => now) => Dispatcher.create({
		daemon: 'd-1',
		clock,
		logger: createLogger('error', {}, () => undefined),
		metrics: {
			observeWait: () => undefined,
			countRefusedWait: () => undefined,
			countReturnAdvice: () => undefined,
			countInversion() {
				inversions++;
			},
		},
		maxBufferedBodyBytes: 10_000,
		daemons: () => 30,
	});
	const wait = async (dispatcher: Dispatcher, item: QueuedRequest, offer: () => Offer) => dispatcher.wait({
		...item, why: 'full', placeInMs: 300, offer, hasPlace: () => true, readmit: () => undefined,
	} satisfies WaitingRequest, now)!;

	it('should offer places to waiting requests before a new one of a lower order takes them', async () => {
		// Guards against a new request that takes the place between a wake-up and the offer.
		const dispatcher = createDispatcher();
		const offered: string[] = [];
		const take = (id: string) => (): Offer => {
			offered.push(id);
			return {kind: 'placed'};
		};

		const ends = [
			wait(dispatcher, createRequest('audit', {rank: 3}), take('audit')),
			wait(dispatcher, createRequest('chat', {rank: 0}), take('chat')),
		];
		dispatcher.serveBefore('model', createRequest('new'), now);
		expect(offered).toEqual(['chat']);
		dispatcher.serveBefore('model', createRequest('new', {rank: 4}), now);
		expect(await Promise.all(ends)).toEqual(['placed', 'placed']);
	});

	it('should count a request that is placed before a more urgent one that has room, and no other', () => {
		const dispatcher = createDispatcher();
		const chat = createRequest('chat', {rank: 0});
		void wait(dispatcher, chat, () => ({kind: 'none', placeInMs: 1, isKnown: false}));
		inversions = 0;
		dispatcher.recordPlacement({id: 'same', lane: 'model', urgency: createRequest('same', {rank: 0})}, now);
		dispatcher.recordPlacement({id: 'chat', lane: 'model', urgency: chat}, now);
		dispatcher.recordPlacement({id: 'other', lane: 'other', urgency: createRequest('other', {rank: 3})}, now);
		expect(inversions).toBe(0);
		dispatcher.recordPlacement({id: 'audit', lane: 'model', urgency: createRequest('audit', {rank: 3})}, now);
		expect(inversions).toBe(1);
		dispatcher.close();
	});

	it.each<{readonly name: string; readonly offer: Offer}>([
		{
			name: 'are held back for short prompts', offer: {
				kind: 'none', placeInMs: 5000, isKnown: true, isHeld: true,
			},
		},
		{name: 'lack a token', offer: {kind: 'no_token'}},
	])('should offer places to a request behind several that $name', async ({offer}) => {
		// Guards against leaving the lane after two of them, although there is room: a short prompt then waited as long as the long ones before it.
		const dispatcher = createDispatcher();
		const offered: number[] = [];
		for (let index = 0; index < 4; index++) {
			void wait(dispatcher, {...createRequest(`first-${index}`, {rank: 0}), giveUpAt: 10_000}, () => {
				offered.push(index);
				return offer;
			});
		}

		const chat = wait(dispatcher, createRequest('chat', {rank: 1}), () => ({kind: 'placed'}));
		dispatcher.serveBefore('model', createRequest('new', {rank: 4}), now);
		expect(await Promise.race([chat, delay(100)])).toBe('placed');
		// Asking all of them would cost a choice of engines each.
		offered.length = 0;
		dispatcher.serveBefore('model', createRequest('new', {rank: 4}), now);
		expect(offered.length).toBeLessThanOrEqual(2);
		dispatcher.close();
	});

	it('should offer a place at its known time to those that remain when the requests before them leave', async () => {
		// Guards against a known time that only those had kept: the others then waited in vain, unless another daemon's placement ended.
		const dispatcher = createDispatcher(monotonicMs);
		const startedAt = monotonicMs();
		const times = {arrivedAt: startedAt, dueAt: startedAt + 5000, giveUpAt: startedAt + 10_000};
		const endsAt = startedAt + 200;
		const item = (id: string): WaitingRequest => ({
			...createRequest(id, times),
			why: 'limited',
			placeInMs: 20,
			offer: at => at < endsAt ? {kind: 'none', placeInMs: endsAt - at, isKnown: true} : {kind: 'placed'},
			hasPlace: () => false,
			readmit: () => undefined,
		});
		const items = ['first', 'second', 'third'].map(id => item(id));
		const ends = items.map(async waiting => dispatcher.wait(waiting, startedAt));
		await delay(100);
		for (const waiting of items.slice(0, 2)) {
			dispatcher.end(waiting, 'left', monotonicMs());
		}

		expect(await Promise.race([ends[2], delay(1000)])).toBe('placed');
		dispatcher.close();
	});

	it('should not order the queue and set its timer for each placement that ends before the next round', () => {
		// Guards against work for each placement of 450 daemons: with 64 waiting requests, each took 55 µs.
		vi.useFakeTimers();
		const dispatcher = createDispatcher(() => Date.now());
		const at = Date.now();
		const times = {arrivedAt: at, dueAt: at + 5000, giveUpAt: at + 10_000};
		for (let index = 0; index < 64; index++) {
			void wait(dispatcher, createRequest(`r-${index}`, {rank: 0, bytes: 10, ...times}), () => ({kind: 'none', placeInMs: 5000, isKnown: false}));
		}

		dispatcher.wake();
		// The first round has been held, and the next one is due 25 ms after it.
		vi.advanceTimersByTime(10);
		const setTimer = vi.spyOn(globalThis, 'setTimeout');
		for (let index = 0; index < 1000; index++) {
			dispatcher.recordRelease(`s-${index % 60}`, 'closed', {startedAt: at, placedAt: at});
		}

		expect(setTimer.mock.calls.length).toBeLessThanOrEqual(1);
		dispatcher.close();
	});

	it('should go on with the others when an offer throws, and end the wait of that request', async () => {
		const dispatcher = createDispatcher();
		const broken = wait(dispatcher, createRequest('broken', {rank: 0}), () => {
			throw new Error('unexpected');
		});
		const sound = wait(dispatcher, createRequest('sound', {rank: 0}), () => ({kind: 'placed'}));
		dispatcher.serveBefore('model', createRequest('new', {rank: 4}), now);
		expect(await Promise.all([broken, sound])).toEqual(['failed', 'placed']);
	});
});
