import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {expectedText} from '../testing/expected-token.js';
import {sampleConfiguration} from './fixtures/configurations.js';
import {FrontFixture} from './fixtures/front.js';

let front: FrontFixture | undefined;

afterEach(async () => {
	await front?.close();
});

const request = (prompt: string, tokens = 30) => ({model: 'fio-lm', prompt, max_tokens: tokens});

async function textOf(fixture: FrontFixture, prompt: string, tokens = 30): Promise<string> {
	const response = await fixture.openai.completions.create(request(prompt, tokens));
	return response.choices[0]!.text;
}

/** Waits until no engine holds anything and no reservation is open. */
async function freed({engines, pools}: FrontFixture): Promise<void> {
	await vi.waitFor(() => {
		expect(engines.map(engine => engine.counts().held)).toEqual(engines.map(() => 0));
		expect(pools.open).toBe(0);
	}, {timeout: 8000});
}

describe('execution of a model request', () => {
	it('should give each caller its own complete response while tokens are swapped and connections go silent', async () => {
		front = await FrontFixture.start({engines: [{}, {}]});
		for (const engine of front.engines) {
			engine.setFaults({swapTokens: 6, silentAfterTokens: 20});
		}

		const prompts = Array.from({length: 8}, (_, index) => `prompt ${index}`);
		const texts = await Promise.all(prompts.map(async prompt => textOf(front!, prompt, 50)));
		expect(texts).toEqual(prompts.map(prompt => expectedText(prompt, 50)));
		expect(front.engines.some(engine => Number(engine.counts().streamsResumed) > 0)).toBe(true);
		await freed(front);
	});

	it('should resume a short request soon when its connection goes silent before the first token', async () => {
		front = await FrontFixture.start({engines: [{prefillTokensPerSecond: 2000}]});
		const [engine] = front.engines;
		const prompt = 'abcd'.repeat(400);
		const startedAt = performance.now();
		const text = textOf(front, prompt, 4);
		await vi.waitFor(() => {
			expect(engine!.counts().streamsStarted).toBe(1);
		}, {interval: 5});
		engine!.setFaults({act: 'silence'});
		expect(await text).toBe(expectedText(prompt, 4));
		expect(performance.now() - startedAt).toBeLessThan(2000);
		expect(engine!.counts()).toMatchObject({streamsStarted: 1, streamsResumed: 1});
	});

	it('should fail over within the deadline from an engine that answers resumes but makes no progress', async () => {
		front = await FrontFixture.start({engines: [{}, {}]});
		front.engines[0]!.setFaults({slowFactor: 1_000_000});
		const response = await front.post('/v1/completions', request('x', 4), {'x-fireflyport-timeout-ms': '6000'});
		expect(await response.json()).toMatchObject({choices: [{text: expectedText('x', 4)}]});
		expect(Number(front.engines[0]!.counts().streamsResumed)).toBeGreaterThan(0);
		expect(front.pools.released).toContain('silent');
	});

	it('should free the stream and the reservation when the caller leaves', async () => {
		front = await FrontFixture.start({engines: [{decodeTokensPerSecond: 20}]});
		const stream = await front.openai.completions.create({...request('long answer', 10_000), stream: true});
		const tokens = stream[Symbol.asyncIterator]();
		await tokens.next();
		stream.controller.abort();
		await freed(front);
		expect(front.pools.released).toEqual(['cancelled']);
		expect(front.engines[0]!.counts().streamsCancelled).toBe(1);
	});

	it('should run on another engine what the first one refused or lost before a token', async () => {
		front = await FrontFixture.start({engines: [{}, {}, {}]});
		front.engines[0]!.setFaults({refuse: true});
		await front.engines[1]!.close();
		const prompts = ['a', 'b', 'c', 'd', 'e', 'f'];
		const texts = await Promise.all(prompts.map(async prompt => textOf(front!, prompt)));
		expect(texts).toEqual(prompts.map(prompt => expectedText(prompt, 30)));
		await vi.waitFor(() => {
			expect(front!.pools.open).toBe(0);
		});
		expect(front.pools.released.filter(outcome => outcome === 'finished')).toHaveLength(prompts.length);
	});

	it('should state that nothing ran when every engine refused, and stop retrying when the budget is used up', async () => {
		front = await FrontFixture.start({engines: [{}, {}]});
		for (const engine of front.engines) {
			engine.setFaults({refuse: true});
		}

		const responses = await Promise.all(Array.from({length: 30}, async () => front!.post('/v1/completions', request('x'))));
		const errors = await Promise.all(responses.map(async response => response.json())) as ReadonlyArray<{readonly error: {readonly ran: string; readonly code: string}}>;
		expect(new Set(errors.map(({error}) => error.ran))).toEqual(new Set(['not_run']));
		expect(front.pools.asked.length).toBeLessThan(30 + 20);
	});

	it('should send nothing under an expired grant', async () => {
		front = await FrontFixture.start();
		front.pools.validForMs = 0;
		const response = await front.post('/v1/completions', request('x'));
		expect(await response.json()).toMatchObject({error: {code: 'backend_failed', ran: 'not_run'}});
		expect(new Set(front.pools.released)).toEqual(new Set(['not_sent']));
		expect(front.engines[0]!.counts().streamsStarted).toBe(0);
	});

	it('should fail within the deadline and free the engine', async () => {
		front = await FrontFixture.start({engines: [{decodeTokensPerSecond: 20}]});
		const started = performance.now();
		const response = await front.post('/v1/completions', request('x', 10_000), {'x-fireflyport-timeout-ms': '300'});
		expect(performance.now() - started).toBeLessThan(1500);
		expect(response.status).toBe(504);
		expect(await response.json()).toMatchObject({error: {code: 'deadline_exceeded', ran: 'ran'}});
		await freed(front);
	});

	it('should split a prompt over several engines and free all segments', async () => {
		front = await FrontFixture.start({engines: [{}, {}, {}]});
		front.pools.gangSize = 3;
		const prompt = 'saca de juta é boa — '.repeat(4000);
		expect(await textOf(front, prompt, 10)).toBe(expectedText(prompt, 10));
		const [first, second, third] = front.pools.acknowledged;
		expect(front.pools.activated).toEqual([second, third]);
		expect(front.pools.prefilled).toEqual([first, second, third]);
		await freed(front);
	});

	it('should free all segments of a split prompt when the caller leaves', async () => {
		front = await FrontFixture.start({engines: [{prefillTokensPerSecond: 20_000}, {prefillTokensPerSecond: 20_000}]});
		front.pools.gangSize = 2;
		const leave = new AbortController();
		const sent = front.openai.completions.create(request('abcd'.repeat(40_000)), {signal: leave.signal});
		await vi.waitFor(() => {
			expect(front!.engines.some(engine => Number(engine.counts().segmentsStarted) > 0)).toBe(true);
		});
		leave.abort();
		await expect(sent).rejects.toThrow();
		await freed(front);
	});
});

describe('choice of pools', () => {
	it('should try the next pool after a refusal and never a failure domain that is out', async () => {
		const configuration = sampleConfiguration();
		const failureDomains = configuration.failureDomains.map(domain => ({...domain, state: domain.name === 'famalicao' ? 'out' : 'in'} as const));
		front = await FrontFixture.start({configuration: {...configuration, failureDomains}});
		const tried: string[] = [];
		front.pools.answer = ({pool}) => {
			tried.push(pool);
			return pool.startsWith('braga') ? {kind: 'unreachable', message: 'no answer'} : undefined;
		};

		for (let turn = 0; turn < 6; turn++) {
			expect(await textOf(front, 'x', 1)).toBe(expectedText('x', 1));
		}

		expect(new Set(tried)).toEqual(new Set(['braga/fio-lm/0', 'guimaraes/fio-lm/0']));
		expect(tried[0]).toBe('braga/fio-lm/0');
	});
});
