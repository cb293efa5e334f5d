import type {RequestListener} from 'node:http';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {firstSiteProfile} from './fixtures/engine-profiles.js';
import {FlowFixture, signedHeaders, type FlowFixtureOptions} from './fixtures/flow-fixture.js';
import {waitUntil} from './fixtures/http.js';

/** One more than the largest fleet without a queue. */
const LARGE_FLEET = 25;
/** A prompt that keeps an engine for 2.8 s. */
const longPrompt = {'fireflyport-token-counts': '210000,800', 'fireflyport-attempt-id': 'long'};
const shortPrompt = {'fireflyport-token-counts': '1000,200', 'fireflyport-attempt-id': 'short'};

let fixture: FlowFixture;
let arrivals: string[];

beforeEach(() => {
	arrivals = [];
});

afterEach(async () => {
	await fixture.close();
});

async function start(options: FlowFixtureOptions = {}): Promise<void> {
	fixture = await FlowFixture.create({
		daemons: LARGE_FLEET, service: {engine: firstSiteProfile}, route: {targetLatencyMs: 8000, timeoutMs: 20_000}, ...options,
	});
	const answer: RequestListener = (req, res) => {
		const id = String(req.headers['fireflyport-attempt-id']);
		arrivals.push(id);
		res.writeHead(200, signedHeaders(id)).end('whole');
	};

	await fixture.addServer('i-1', answer);
	await fixture.addServer('i-2', answer);
}

/** Opens a long prompt of another daemon on the first engine, whose prefill takes `prefillMs`. */
function openLongPrompt(prefillMs: number): void {
	fixture.placements.open('daemon-2', {
		id: 'other#0', server: 'i-1', helpers: [], prefillMs, contextTokens: 210_800, reserved: [], gapTargetMs: 800, weight: 218_000, targetMs: 8000,
	}, fixture.parts.clock());
}

describe('a long prompt while others hold their share of the engines', () => {
	it('should wait until the first of them has been read, while a short one is served', async () => {
		// Guards against long prompts on all engines that remain while a failure domain is away.
		await start();
		openLongPrompt(5000);
		const held = fixture.send(longPrompt);
		await waitUntil(() => fixture.dispatcher.size === 1);
		expect(await fixture.send(shortPrompt)).toMatchObject({status: 200});
		expect(arrivals).toEqual(['short']);
		fixture.placements.start('daemon-2', 'other#0', fixture.parts.clock());
		expect(await held).toMatchObject({status: 200});
		expect(arrivals).toEqual(['short', 'long']);
		expect(fixture.waitEnds).toEqual(['placed']);
	});

	it('should be placed when its own target allows no longer wait', async () => {
		await start({route: {targetLatencyMs: 6500, timeoutMs: 20_000}});
		openLongPrompt(60_000);
		expect(await fixture.send(longPrompt)).toMatchObject({status: 200});
		expect(fixture.waitEnds).toEqual(['placed']);
	});

	it('should be placed at once if the queue has no room, or in a small fleet', async () => {
		await start({maxBufferedBodyBytes: 0});
		openLongPrompt(60_000);
		expect(await fixture.send(longPrompt, 'body')).toMatchObject({status: 200});
		expect(fixture.waitEnds).toEqual(['full_bytes']);
		await fixture.close();
		await start({daemons: LARGE_FLEET - 1});
		openLongPrompt(60_000);
		expect(await fixture.send(longPrompt)).toMatchObject({status: 200});
		expect(fixture.waitEnds).toEqual([]);
	});
});
