import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {expectedText} from '../testing/expected-token.js';
import {sampleConfiguration} from './fixtures/configurations.js';
import {HttpDaemonFixture} from './fixtures/http-daemon-fixture.js';

let fixture: HttpDaemonFixture | undefined;

afterEach(async () => {
	await fixture?.close();
});

const request = (prompt: string, tokens = 30) => ({model: 'fio-lm', prompt, max_tokens: tokens});

async function textOf(target: HttpDaemonFixture, prompt: string, tokens = 30): Promise<string> {
	const response = await target.openai.completions.create(request(prompt, tokens));
	return response.choices[0]!.text;
}

/** Waits until no engine holds a stream or segment and no reservation is open. */
async function waitUntilFreed({engines, pools}: HttpDaemonFixture): Promise<void> {
	await vi.waitFor(() => {
		expect(engines.map(engine => engine.counts().held)).toEqual(engines.map(() => 0));
		expect(pools.openCount).toBe(0);
	}, {timeout: 8000});
}

describe('execution of a model request', () => {
	it('should give each caller its own complete response while tokens are swapped and connections stall', async () => {
		fixture = await HttpDaemonFixture.start({engines: [{}, {}]});
		for (const engine of fixture.engines) {
			engine.setFaults({swapTokens: 6, silentAfterTokens: 20});
		}

		const prompts = Array.from({length: 8}, (_, index) => `prompt ${index}`);
		const texts = await Promise.all(prompts.map(async prompt => textOf(fixture!, prompt, 50)));
		expect(texts).toEqual(prompts.map(prompt => expectedText(prompt, 50)));
		expect(fixture.engines.some(engine => Number(engine.counts().streamsResumed) > 0)).toBe(true);
		await waitUntilFreed(fixture);
	});

	it('should resume a short request quickly when its connection stalls before the first token', async () => {
		fixture = await HttpDaemonFixture.start({engines: [{prefillTokensPerSecond: 2000}]});
		const [engine] = fixture.engines;
		const prompt = 'abcd'.repeat(400);
		const startedAt = performance.now();
		const text = textOf(fixture, prompt, 4);
		await vi.waitFor(() => {
			expect(engine!.counts().streamsStarted).toBe(1);
		}, {interval: 5});
		engine!.setFaults({act: 'silence'});
		expect(await text).toBe(expectedText(prompt, 4));
		expect(performance.now() - startedAt).toBeLessThan(2000);
		expect(engine!.counts()).toMatchObject({streamsStarted: 1, streamsResumed: 1});
	});

	it('should fail over within the deadline from an engine that accepts resume requests but makes no progress', async () => {
		fixture = await HttpDaemonFixture.start({engines: [{}, {}]});
		fixture.engines[0]!.setFaults({slowFactor: 1_000_000});
		const response = await fixture.post('/v1/completions', request('x', 4), {'x-fireflyport-timeout-ms': '6000'});
		expect(await response.json()).toMatchObject({choices: [{text: expectedText('x', 4)}]});
		expect(Number(fixture.engines[0]!.counts().streamsResumed)).toBeGreaterThan(0);
		expect(fixture.pools.released).toContain('silent');
	});

	it('should free the stream and the reservation when the client disconnects', async () => {
		fixture = await HttpDaemonFixture.start({engines: [{decodeTokensPerSecond: 20}]});
		const stream = await fixture.openai.completions.create({...request('long answer', 10_000), stream: true});
		const tokens = stream[Symbol.asyncIterator]();
		await tokens.next();
		stream.controller.abort();
		await waitUntilFreed(fixture);
		expect(fixture.pools.released).toEqual(['cancelled']);
		expect(fixture.engines[0]!.counts().streamsCancelled).toBe(1);
	});

	it('should run a request on another engine when the first one refuses it or is lost before the first token', async () => {
		fixture = await HttpDaemonFixture.start({engines: [{}, {}, {}]});
		fixture.engines[0]!.setFaults({refuse: true});
		await fixture.engines[1]!.close();
		const prompts = ['a', 'b', 'c', 'd', 'e', 'f'];
		const texts = await Promise.all(prompts.map(async prompt => textOf(fixture!, prompt)));
		expect(texts).toEqual(prompts.map(prompt => expectedText(prompt, 30)));
		await vi.waitFor(() => {
			expect(fixture!.pools.openCount).toBe(0);
		});
		expect(fixture.pools.released.filter(outcome => outcome === 'finished')).toHaveLength(prompts.length);
	});

	it('should report not_run when every engine refused, and stop retrying when the retry budget is used up', async () => {
		fixture = await HttpDaemonFixture.start({engines: [{}, {}]});
		for (const engine of fixture.engines) {
			engine.setFaults({refuse: true});
		}

		const responses = await Promise.all(Array.from({length: 30}, async () => fixture!.post('/v1/completions', request('x'))));
		const errors = await Promise.all(responses.map(async response => response.json())) as ReadonlyArray<{readonly error: {readonly ran: string; readonly code: string}}>;
		expect(new Set(errors.map(({error}) => error.ran))).toEqual(new Set(['not_run']));
		expect(fixture.pools.requests.length).toBeLessThan(30 + 20);
	});

	it('should not send a request under an expired grant', async () => {
		fixture = await HttpDaemonFixture.start();
		fixture.pools.validForMs = 0;
		const response = await fixture.post('/v1/completions', request('x'));
		expect(await response.json()).toMatchObject({error: {code: 'backend_failed', ran: 'not_run'}});
		expect(new Set(fixture.pools.released)).toEqual(new Set(['not_sent']));
		expect(fixture.engines[0]!.counts().streamsStarted).toBe(0);
	});

	it('should fail within the deadline and free the engine', async () => {
		fixture = await HttpDaemonFixture.start({engines: [{decodeTokensPerSecond: 20}]});
		const startedAt = performance.now();
		const response = await fixture.post('/v1/completions', request('x', 10_000), {'x-fireflyport-timeout-ms': '300'});
		expect(performance.now() - startedAt).toBeLessThan(1500);
		expect(response.status).toBe(504);
		expect(await response.json()).toMatchObject({error: {code: 'deadline_exceeded', ran: 'ran'}});
		await waitUntilFreed(fixture);
	});

	it('should split a prompt over several engines and free all segments', async () => {
		fixture = await HttpDaemonFixture.start({engines: [{}, {}, {}]});
		fixture.pools.gangSize = 3;
		const prompt = 'saca de juta é boa — '.repeat(4000);
		expect(await textOf(fixture, prompt, 10)).toBe(expectedText(prompt, 10));
		const [first, second, third] = fixture.pools.acknowledged;
		expect(fixture.pools.activated).toEqual([second, third]);
		expect(fixture.pools.prefilled).toEqual([first, second, third]);
		await waitUntilFreed(fixture);
	});

	it('should free all segments of a split prompt when the client disconnects', async () => {
		fixture = await HttpDaemonFixture.start({engines: [{prefillTokensPerSecond: 20_000}, {prefillTokensPerSecond: 20_000}]});
		fixture.pools.gangSize = 2;
		const controller = new AbortController();
		const response = fixture.openai.completions.create(request('abcd'.repeat(40_000)), {signal: controller.signal});
		await vi.waitFor(() => {
			expect(fixture!.engines.some(engine => Number(engine.counts().segmentsStarted) > 0)).toBe(true);
		});
		controller.abort();
		await expect(response).rejects.toThrow();
		await waitUntilFreed(fixture);
	});
});

describe('pool selection', () => {
	it('should try the next pool when one is unreachable, and never a failure domain that is out of service', async () => {
		const configuration = sampleConfiguration();
		const failureDomains = configuration.failureDomains.map(domain => ({...domain, state: domain.name === 'famalicao' ? 'out' : 'in'} as const));
		fixture = await HttpDaemonFixture.start({configuration: {...configuration, failureDomains}});
		const askedPools: string[] = [];
		fixture.pools.answerOverride = ({pool}) => {
			askedPools.push(pool);
			return pool.startsWith('braga') ? {kind: 'unreachable', message: 'no answer'} : undefined;
		};

		for (let attempt = 0; attempt < 6; attempt++) {
			expect(await textOf(fixture, 'x', 1)).toBe(expectedText('x', 1));
		}

		expect(new Set(askedPools)).toEqual(new Set(['braga/fio-lm/0', 'guimaraes/fio-lm/0']));
		expect(askedPools[0]).toBe('braga/fio-lm/0');
	});
});
