import {
	afterEach, describe, expect, it,
} from 'vitest';
import {expectedText} from '../testing/expected-token.js';
import {HttpDaemonFixture} from './fixtures/http-daemon-fixture.js';

let fixture: HttpDaemonFixture;

afterEach(async () => {
	await fixture.close();
});

describe('drain', () => {
	it('should finish open requests, serve new ones during the drain lag, and then close', async () => {
		fixture = await HttpDaemonFixture.start({engines: [{decodeTokensPerSecond: 100}], settings: {drainLagMs: 300}});
		const completions = Array.from({length: 10}, async (_, index) => fixture.openai.completions.create({model: 'fio-lm', prompt: `p${index}`, max_tokens: 100}));
		const stream = await fixture.openai.completions.create({
			model: 'fio-lm', prompt: 'streamed', max_tokens: 100, stream: true,
		});
		const drained = fixture.daemon.drain();
		expect(await fetch(`${fixture.url}/readyz`)).toMatchObject({status: 503});
		const late = await fixture.openai.completions.create({model: 'fio-lm', prompt: 'late', max_tokens: 3});
		expect(late.choices[0]!.text).toBe(expectedText('late', 3));

		let streamed = '';
		for await (const chunk of stream) {
			streamed += chunk.choices[0]!.text;
		}

		expect(streamed).toBe(expectedText('streamed', 100));
		const finished = await Promise.all(completions);
		expect(finished.map(response => response.choices[0]!.text)).toEqual(finished.map((_, index) => expectedText(`p${index}`, 100)));
		await drained;
		await expect(fetch(`${fixture.url}/healthz`)).rejects.toThrow();
		expect(fixture.pools.openCount).toBe(0);
	});
});
