import {once} from 'node:events';
import {connect} from 'node:net';
import {APIError} from 'openai';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {HttpServer} from '../src/daemon/http-server.js';
import {Lifecycle} from '../src/daemon/lifecycle.js';
import {BodyReader} from '../src/http/body-reader.js';
import {monotonicMs} from '../src/util/clock.js';
import {createLogger} from '../src/util/logger.js';
import {expectedText} from '../testing/expected-token.js';
import {sampleConfiguration, sampleModelService} from './fixtures/configurations.js';
import {HttpDaemonFixture, type HttpDaemonOptions} from './fixtures/http-daemon-fixture.js';

let fixture: HttpDaemonFixture;

async function restartFixture(options: HttpDaemonOptions = {}): Promise<HttpDaemonFixture> {
	await fixture.close();
	fixture = await HttpDaemonFixture.start(options);
	return fixture;
}

beforeEach(async () => {
	fixture = await HttpDaemonFixture.start();
});

afterEach(async () => {
	await fixture.close();
});

const completion = {model: 'fio-lm', prompt: 'Sacks of 60 kg', max_tokens: 20};

describe('OpenAI client', () => {
	it('should receive a complete response', async () => {
		const response = await fixture.openai.completions.create(completion);
		expect(response.choices[0]).toMatchObject({text: expectedText(completion.prompt, 20), finish_reason: 'length'});
		expect(response.usage).toMatchObject({completion_tokens: 20});
		expect(fixture.observations).toEqual([expect.objectContaining({
			service: 'fio-lm', workspace: 'mills', lengthClass: 'short', outcome: 'finished',
		})]);
	});

	it('should receive a streamed chat response that ends with token counts', async () => {
		const stream = await fixture.openai.chat.completions.create({
			model: 'fio-lm', messages: [{role: 'user', content: 'A quote, please'}], max_completion_tokens: 15, stream: true, stream_options: {include_usage: true},
		});
		let text = '';
		let finishReason: string | undefined;
		let completionTokens: number | undefined;
		for await (const chunk of stream) {
			text += chunk.choices[0]?.delta.content ?? '';
			finishReason ??= chunk.choices[0]?.finish_reason ?? undefined;
			completionTokens ??= chunk.usage?.completion_tokens;
		}

		const prompt = '<|im_start|>user\nA quote, please<|im_end|>\n<|im_start|>assistant\n';
		expect(text).toBe(expectedText(prompt, 15));
		expect({finishReason, completionTokens}).toEqual({finishReason: 'length', completionTokens: 15});
	});

	it('should list only the models of the workspace', async () => {
		const otherModelService = {...sampleModelService, name: 'hidden', models: [{name: 'hidden', version: '1'}]};
		const configuration = sampleConfiguration();
		await restartFixture({configuration: {...configuration, services: [...configuration.services, otherModelService]}});
		const models = await fixture.openai.models.list();
		expect(models.data.map(model => model.id)).toEqual(['fio-lm']);
	});

	it('should receive a typed error within a started stream', async () => {
		await restartFixture({engines: [{decodeTokensPerSecond: 50}]});
		const stream = await fixture.openai.completions.create({...completion, max_tokens: 500, stream: true});
		const read = async () => {
			for await (const chunk of stream) {
				if (chunk.choices[0]!.text) {
					fixture.engines[0]!.setFaults({act: 'crash'});
				}
			}
		};

		const reading = read();
		await expect(reading).rejects.toThrow(APIError);
		await expect(reading).rejects.toMatchObject({error: {code: 'backend_failed', ran: 'ran', step: 'stream'}});
		await vi.waitFor(() => {
			expect(fixture.pools.released).toEqual(['failed']);
		});
		expect(fixture.lines.find(line => line.includes('event=request '))).toMatch(/code=backend_failed/v);
	});
});

describe('errors', () => {
	it('should state code, field and whether the request ran', async () => {
		const invalidRole = {model: 'fio-lm', messages: [{role: 'user', content: 'x'}, {role: 'pilot', content: 'x'}]};
		const cases: ReadonlyArray<readonly [string, unknown, Readonly<Record<string, string>>, number, Readonly<Record<string, unknown>>]> = [
			['/v1/completions', completion, {authorization: 'Bearer wrong'}, 401, {code: 'invalid_api_key', type: 'authentication_error'}],
			['/v1/completions', completion, {authorization: ''}, 401, {code: 'invalid_api_key'}],
			['/v1/completions', '{', {}, 400, {code: 'invalid_request', step: 'parse'}],
			['/v1/completions', {...completion, max_tokens: 0}, {}, 400, {code: 'invalid_request', param: 'max_tokens'}],
			['/v1/completions', {...completion, tools: []}, {}, 400, {code: 'invalid_request', param: 'tools'}],
			['/v1/chat/completions', invalidRole, {}, 400, {code: 'invalid_request', param: 'messages.1.role'}],
			['/v1/completions', completion, {'x-fireflyport-timeout-ms': '-1'}, 400, {code: 'invalid_request', param: 'x-fireflyport-timeout-ms'}],
			['/v1/completions', {...completion, model: 'none'}, {}, 404, {code: 'unknown_service', param: 'model'}],
			['/services/none/x', '', {}, 404, {code: 'unknown_service'}],
			['/other', '', {}, 404, {code: 'unknown_service'}],
			['/v1/models', '', {}, 400, {code: 'invalid_request'}],
		];
		for (const [path, body, headers, status, error] of cases) {
			const response = await fixture.post(path, body, headers);
			expect([path, response.status]).toEqual([path, status]);
			expect(response.headers.get('x-request-id')).toMatch(/\S/v);
			const content = await response.json() as {readonly error: unknown};
			expect(content.error).toMatchObject({ran: 'not_run', peer: null, ...error});
		}

		expect(fixture.pools.requests).toEqual([]);
	});

	it('should tell clients not to retry automatically a request that may have run', async () => {
		const response = await fixture.post('/services/balcao/orders?x=1', '{}');
		expect(response.status).toBe(409);
		expect(response.headers.get('x-should-retry')).toBe('false');
		expect(await response.json()).toMatchObject({error: {ran: 'unknown', message: '/orders?x=1'}});
	});

	it('should refuse a body above the limit, with or without a declared length, and keep serving', async () => {
		await restartFixture({settings: {maxBodyBytes: 2000}});
		const oversizedRequest = {...completion, prompt: 'x'.repeat(3000)};
		expect(await fixture.post('/v1/completions', oversizedRequest)).toMatchObject({status: 413});
		const chunked = await fetch(`${fixture.url}/v1/completions`, {
			method: 'POST', headers: {authorization: 'Bearer key-mills'}, body: new Blob([JSON.stringify(oversizedRequest)]).stream(), duplex: 'half',
		});
		expect(chunked.status).toBe(413);
		expect(await fixture.post('/v1/completions', completion)).toMatchObject({status: 200});
	});

	it('should return a refusal with the time after which to retry', async () => {
		fixture.pools.answerOverride = () => ({
			kind: 'refused', reason: 'overloaded', message: 'the queue is full', retryAfterMs: 2500, peer: 'd2',
		});
		const response = await fixture.post('/v1/completions', completion);
		expect([response.status, response.headers.get('retry-after')]).toEqual([503, '3']);
		expect(await response.json()).toMatchObject({
			error: {
				code: 'overloaded', ran: 'not_run', step: 'reserve', peer: 'd2',
			},
		});
	});

	it('should report not ready and refuse requests without a configuration', async () => {
		await restartFixture({configuration: undefined});
		expect(await fetch(`${fixture.url}/readyz`)).toMatchObject({status: 503});
		expect(await fetch(`${fixture.url}/healthz`)).toMatchObject({status: 200});
		const response = await fixture.post('/v1/completions', completion);
		expect([response.status, (await response.json() as {error: {code: string}}).error.code]).toEqual([503, 'not_ready']);
	});

	it('should refuse headers and bodies that arrive too slowly', async () => {
		const bodyReader = BodyReader.create({maxBodyBytes: () => 10_000, maxBufferedBytes: 100_000, timeoutMs: 100});
		const server = await HttpServer.listen({host: '127.0.0.1', port: 0}, {
			routes: [{
				path: '/body',
				async handle({req}) {
					const body = await bodyReader.read(req);
					return body.kind === 'failure' ? body : undefined;
				},
			}],
			lifecycle: Lifecycle.create(),
			clock: monotonicMs,
			logger: createLogger('error'),
			headersTimeoutMs: 100,
		});
		const [host, port] = server.address().split(':');
		const responseTo = async (text: string): Promise<string> => {
			const socket = connect(Number(port), host);
			socket.write(text);
			const chunks: Uint8Array[] = [];
			for await (const chunk of socket) {
				chunks.push(chunk as Uint8Array);
			}

			return new TextDecoder().decode(chunks[0]);
		};

		expect(await responseTo('POST /body HTTP/1.1\r\nhost: x\r\n')).toMatch(/^HTTP\/1\.1 408/v);
		expect(await responseTo('POST /body HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc')).toMatch(/^HTTP\/1\.1 504.*deadline_exceeded/sv);
		server.close();
	});

	it('should respond to malformed HTTP with a typed error', async () => {
		const [host, port] = fixture.daemon.address.split(':');
		const socket = connect(Number(port), host);
		socket.end('NONSENSE\r\n\r\n');
		const [data] = await once(socket, 'data') as [Uint8Array];
		expect(new TextDecoder().decode(data)).toMatch(/^HTTP\/1\.1 400.*"ran":"not_run"/sv);
	});
});
