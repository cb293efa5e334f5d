import {mkdtempSync, rmSync} from 'node:fs';
import {createServer, createConnection, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {planFaults} from '../testing/soak/fault-plan.js';
import {FaultProxy} from '../testing/soak/fault-proxy.js';
import {
	checkObservations, type ObservedArrival, type SoakObservations, type ObservedRequest,
} from '../testing/soak/soak-observations.js';
import {runSoak} from '../testing/soak/run-soak.js';
import {buildPlatformProgram} from '../testing/platform-program.js';
import {durationSchema} from '../testing/soak/duration.js';
import {eventStreamBody} from './fixtures/gateway-fixture.js';

const budget = {share: 0.2, slack: 2};

const createClientRecord = (id: string, overrides: Partial<ObservedRequest> = {}): ObservedRequest => ({
	id,
	kind: 'non_idempotent',
	daemon: 'front-0',
	incarnation: 1,
	sentAt: 20_000,
	endedAt: 20_050,
	status: 200,
	isComplete: true,
	responseRequestId: id,
	body: 'i-1 answered',
	wasSent: true,
	failure: undefined,
	...overrides,
});

const createServerRecord = (id: string, overrides: Partial<ObservedArrival> = {}): ObservedArrival => ({
	id, server: 'i-1', at: 20_010, hasRun: true, ...overrides,
});

/** Returns the promises that are violated by a ledger without violations after `overrides` are applied. */
const violatedPromises = (overrides: Partial<SoakObservations>): readonly string[] => checkObservations({
	requests: [createClientRecord('a'), createClientRecord('z', {sentAt: 90_000})],
	deadlyRequests: [],
	daemonFaults: [],
	ownExits: [],
	arrivals: [createServerRecord('a')],
	readIds: new Set(),
	probes: [],
	versions: [],
	departures: [],
	faultSpans: [],
	plannedStops: [],
	reservedAtEnd: 0,
	recovery: {from: 90_000, to: 91_000},
	eventsPerStream: 3,
	stopGraceMs: 5000,
	...overrides,
}, budget).map(({invariant: promise}) => promise);

const recoveryRecord = createClientRecord('z', {sentAt: 90_000});

describe('soak checks', () => {
	it('should accept a run without violations', () => {
		expect(violatedPromises({})).toEqual([]);
	});

	it('should detect a request that ran twice', () => {
		expect(violatedPromises({arrivals: [createServerRecord('a'), createServerRecord('a', {server: 'i-2'})]})).toEqual(['at most once']);
	});

	it('should detect a request that ran although it was refused', () => {
		expect(violatedPromises({requests: [createClientRecord('a', {status: 503}), recoveryRecord]})).toEqual(['true refusals']);
	});

	it('should detect a response to another request, and a truncated response that appears complete', () => {
		expect(violatedPromises({requests: [createClientRecord('a', {responseRequestId: 'b'}), recoveryRecord]})).toEqual(['own answers']);
		expect(violatedPromises({requests: [createClientRecord('a', {body: 'i-1 ans'}), recoveryRecord]})).toEqual(['whole answers']);
	});

	it('should detect missing and repeated events, and a stream that ends early', () => {
		const violationsOfStream = (body: string) => violatedPromises({requests: [createClientRecord('a', {kind: 'stream', body}), recoveryRecord]});
		expect(violationsOfStream(eventStreamBody(1, 3))).toEqual([]);
		expect(violationsOfStream(eventStreamBody(1, 2))).toEqual(['whole answers']);
		expect(violationsOfStream(eventStreamBody(1, 1) + eventStreamBody(3, 3))).toContain('no event missing or twice');
		expect(violationsOfStream(eventStreamBody(1, 2) + eventStreamBody(2, 3))).toContain('no event missing or twice');
	});

	it('should detect a request that ran at a server after it left, unless the store was disturbed', () => {
		const departures = [{server: 'i-1', at: 17_000}];
		expect(violatedPromises({departures})).toEqual(['nothing to a server that left']);
		expect(violatedPromises({departures, faultSpans: [{from: 16_000, to: 17_500}]})).toEqual([]);
	});

	it('should detect a configuration that reverts to an older version or is applied late', () => {
		const probe = {daemon: 'front-0', incarnation: 1, version: 2};
		const versions = [{version: 2, at: 10_000}];
		expect(violatedPromises({versions, probes: [{...probe, at: 11_000, isServed: true}, {...probe, at: 11_500, isServed: false}]})).toEqual(['configuration never older']);
		expect(violatedPromises({versions, probes: [{...probe, at: 12_500, isServed: false}]})).toEqual(['configuration in time']);
		expect(violatedPromises({versions, probes: [{...probe, at: 11_500, isServed: false}]})).toEqual([]);
	});

	it('should detect a request that was interrupted by a planned stop', () => {
		const plannedStops = [{daemon: 'front-0', from: 20_020, to: 22_000}];
		const unanswered = createClientRecord('a', {status: undefined, isComplete: false});
		expect(violatedPromises({plannedStops, requests: [unanswered, recoveryRecord]})).toEqual(['planned stops cut nothing', 'an answer to each request']);
		const cut = createClientRecord('a', {kind: 'stream', isComplete: false, body: ''});
		expect(violatedPromises({plannedStops, requests: [cut, recoveryRecord]})).toEqual(['planned stops cut nothing']);
	});

	it('should detect a request that got no answer, unless its daemon was killed or suspended, the request crossed the close or was at work until the end of the grace', () => {
		const violationsOf = (request: Partial<ObservedRequest>, overrides: Partial<SoakObservations> = {}) => violatedPromises({
			requests: [createClientRecord('a', {status: undefined, isComplete: false, ...request}), recoveryRecord], ...overrides,
		});
		const lost = ['an answer to each request'];
		expect(violationsOf({})).toEqual(lost);
		expect(violationsOf({wasSent: false})).toEqual([]);
		expect(violationsOf({}, {arrivals: []})).toEqual([]);
		expect(violationsOf({}, {arrivals: [], readIds: new Set(['a'])})).toEqual(lost);
		expect(violationsOf({endedAt: 20_300}, {arrivals: []})).toEqual(lost);
		expect(violationsOf({}, {faultSpans: [{from: 19_000, to: 21_000}]})).toEqual(lost);
		expect(violationsOf({}, {daemonFaults: [{daemon: 'front-0', from: 20_040, to: 21_000}]})).toEqual([]);
		expect(violationsOf({}, {daemonFaults: [{daemon: 'front-1', from: 20_040, to: 21_000}]})).toEqual(lost);
		const plannedStops = [{daemon: 'front-0', from: 17_500, to: 22_500}];
		expect(violationsOf({endedAt: 22_400}, {plannedStops})).toEqual(['planned stops cut nothing']);
		expect(violationsOf({sentAt: 20_600, endedAt: 22_400}, {plannedStops})).toEqual(['planned stops cut nothing', ...lost]);
	});

	it('should detect a request that keeps crashing servers after it has crashed three, and a daemon that ends by itself', () => {
		const requests = Array.from({length: 8}, (_, index) => createClientRecord(`deadly-${index}`, {sentAt: 30_000 + (index * 1000), status: 503}));
		const deadlyArrivals = requests.map(({id, sentAt}) => createServerRecord(id, {at: sentAt + 5}));
		const arrivals = [createServerRecord('a'), ...deadlyArrivals];
		expect(violatedPromises({deadlyRequests: requests, arrivals})).toEqual([]);
		const sixthAt = 35_000;
		const late = Array.from({length: 4}, (_, index) => createClientRecord(`late-${index}`, {sentAt: sixthAt + 100 + index, status: 503}));
		const lateArrivals = late.map(({id, sentAt}) => createServerRecord(id, {at: sentAt + 5}));
		const withLate = {deadlyRequests: [...requests.slice(0, 3), ...late], arrivals: [...arrivals.slice(0, 4), ...lateArrivals]};
		expect(violatedPromises(withLate)).toEqual(['crashing requests are held back']);
		expect(violatedPromises({...withLate, faultSpans: [{from: 30_000, to: 36_000, isDeadly: true}]})).toEqual(['crashing requests are held back']);
		expect(violatedPromises({...withLate, faultSpans: [{from: 33_000, to: 36_000}]})).toEqual([]);
		expect(violatedPromises({ownExits: [{daemon: 'front-0', incarnation: 2, code: 1}]})).toEqual(['no daemon ends by itself']);
	});

	it('should detect retries beyond the budget', () => {
		const repeats = Array.from({length: 4}, (_, index) => createServerRecord('a', {hasRun: false, at: 20_011 + index}));
		expect(violatedPromises({arrivals: [createServerRecord('a'), ...repeats]})).toEqual(['budget of repeats']);
	});

	it('should detect a system that does not recover, and memory that stays reserved', () => {
		expect(violatedPromises({requests: [createClientRecord('a'), createClientRecord('z', {sentAt: 90_000, status: 503, kind: 'idempotent'})]})).toEqual(['recovery']);
		expect(violatedPromises({reservedAtEnd: 1})).toEqual(['no memory left set aside']);
	});
});

describe('soak options', () => {
	it('should accept durations in seconds and minutes, and name what is accepted otherwise', () => {
		expect([45, '45', '45s', '1.5m'].map(value => durationSchema.parse(value))).toEqual([45, 45, 45, 90]);
		for (const value of ['', '0', '-3', 's', '45 h', 'soon']) {
			expect(durationSchema.safeParse(value).error?.message).toContain('such as 45, 45s or 2m');
		}
	});
});

describe('soak faults', () => {
	it('should be the same for the same seed, and include periods without unplanned faults', () => {
		expect(planFaults(7, 30_000)).toEqual(planFaults(7, 30_000));
		expect(planFaults(8, 30_000)).not.toEqual(planFaults(7, 30_000));
		const plannedWork = planFaults(7, 30_000).filter(({at}) => at > 9500 && at < 15_000);
		expect(plannedWork.length).toBeGreaterThan(0);
		expect(plannedWork.every(({fault}) => ['stop', 'leave', 'configure', 'silence', 'odd_entry'].includes(fault.kind))).toBe(true);
	});

	it('should keep bytes in order when a proxy delays only the first of them', async () => {
		// Found with seed 102: the end of a stream was forwarded before its delayed last events, and the stream appeared complete.
		const target = createServer(socket => {
			socket.write('first');
			setTimeout(() => socket.end(' second'), 60);
		}).listen(0, '127.0.0.1');
		await new Promise(resolve => {
			target.once('listening', resolve);
		});
		const proxy = await FaultProxy.create(`127.0.0.1:${(target.address() as AddressInfo).port}`);
		proxy.setMode({kind: 'delay', ms: 150});
		const [host, port] = proxy.address.split(':');
		setTimeout(() => {
			proxy.setMode({kind: 'pass'});
		}, 40);
		// Uses several connections, because timers with equal delays fire out of order only occasionally.
		const texts = await Promise.all(Array.from({length: 30}, async () => {
			let text = '';
			for await (const chunk of createConnection(Number(port), host)) {
				text += String(chunk);
			}

			return text;
		}));
		expect(new Set(texts)).toEqual(new Set(['first second']));
		await proxy.close();
		target.close();
	});
});

describe('short soak', () => {
	let folder: string;

	beforeAll(() => {
		folder = mkdtempSync(path.join(tmpdir(), 'fireflyport-soak-'));
	});

	afterAll(() => {
		rmSync(folder, {recursive: true});
	});

	it('should find no violations (seed 1)', {timeout: 90_000}, async () => {
		const report = await runSoak({
			seed: 1, durationMs: 15_000, daemons: 6, program: buildPlatformProgram(folder), folder, log: () => undefined,
		});
		expect(report.violations).toEqual([]);
		expect(report.faultLog.length).toBeGreaterThan(5);
	});
});
