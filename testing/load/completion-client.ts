/** Sends streamed completion requests to daemons and records what the caller receives. */
import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {LengthClass} from '../../src/util/length-class.js';

const errorSchema = z.object({error: z.object({code: z.string().nullish(), ran: z.string().optional(), message: z.string()})});
const chunkSchema = z.object({choices: z.array(z.object({text: z.string().optional(), finish_reason: z.string().nullish()}))});

/** Outcome of a request at the caller. `cut`: the connection ended without a complete answer or an error. */
export type CompletionOutcome =
	| {readonly kind: 'finished'}
	| {readonly kind: 'refused'; readonly code: string; readonly ran: string; readonly status: number}
	| {readonly kind: 'failed'; readonly code: string; readonly ran: string}
	| {readonly kind: 'cut'; readonly message: string};

/** One request as its caller saw it. Times in ms of the monotonic clock. */
export type CompletionRecord = {
	readonly target: string;
	readonly lengthClass: LengthClass;
	readonly promptTokens: number;
	readonly startedAt: number;
	readonly firstTokenMs: number | undefined;
	readonly tokenGapsMs: readonly number[];
	readonly totalMs: number;
	readonly tokens: readonly string[];
	readonly requestId: string | undefined;
	readonly outcome: CompletionOutcome;
};

export type CompletionRequest = {
	/** Base URL of a daemon. */
	readonly target: string;
	readonly apiKey: string;
	readonly model: string;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly lengthClass: LengthClass;
	readonly maxTokens: number;
	readonly signal?: AbortSignal;
};

/** HTTP client for completions with persistent connections. */
export class CompletionClient {
	static create(): CompletionClient {
		return new CompletionClient(new Agent({connections: 512, headersTimeout: 0, bodyTimeout: 0}));
	}

	private constructor(private readonly agent: Agent) {}

	/** Sends one request and resolves with its record, whatever the outcome; never rejects. */
	async send(plan: CompletionRequest): Promise<CompletionRecord> {
		const startedAt = performance.now();
		const tokens: string[] = [];
		const times: number[] = [];
		let requestId: string | undefined;
		const outcome = await this.exchange(plan, {
			onRequestId(id) {
				requestId = id;
			},
			onToken(text) {
				tokens.push(text);
				times.push(performance.now());
			},
		});
		return {
			target: plan.target,
			lengthClass: plan.lengthClass,
			promptTokens: plan.promptTokens,
			startedAt,
			firstTokenMs: times[0] === undefined ? undefined : times[0] - startedAt,
			tokenGapsMs: times.slice(1).map((time, index) => time - times[index]!),
			totalMs: performance.now() - startedAt,
			tokens,
			requestId,
			outcome,
		};
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async exchange(
		plan: CompletionRequest,
		hooks: {readonly onRequestId: (id: string) => void; readonly onToken: (text: string) => void},
	): Promise<CompletionOutcome> {
		try {
			const res = await request(`${plan.target}/v1/completions`, {
				method: 'POST',
				dispatcher: this.agent,
				headers: {authorization: `Bearer ${plan.apiKey}`, 'content-type': 'application/json'},
				body: JSON.stringify({
					model: plan.model, prompt: plan.prompt, max_tokens: plan.maxTokens, stream: true,
				}),
				signal: plan.signal,
			});
			hooks.onRequestId(String(res.headers['x-request-id'] ?? ''));
			if (res.statusCode !== 200) {
				const {error} = errorSchema.parse(await res.body.json());
				return {
					kind: 'refused', code: error.code ?? '', ran: error.ran ?? '', status: res.statusCode,
				};
			}

			return await readStream(res.body, hooks.onToken);
		} catch (err: unknown) {
			return {kind: 'cut', message: String(err)};
		}
	}
}

async function readStream(body: AsyncIterable<Uint8Array>, onToken: (text: string) => void): Promise<CompletionOutcome> {
	let outcome: CompletionOutcome = {kind: 'cut', message: 'stream ended without [DONE]'};
	const parser = createParser({
		onEvent(event) {
			if (event.data === '[DONE]') {
				outcome = outcome.kind === 'cut' ? {kind: 'finished'} : outcome;
				return;
			}

			const data: unknown = JSON.parse(event.data);
			const failed = errorSchema.safeParse(data);
			if (failed.success) {
				outcome = {kind: 'failed', code: failed.data.error.code ?? '', ran: failed.data.error.ran ?? ''};
				return;
			}

			const text = chunkSchema.parse(data).choices[0]?.text;
			if (text) {
				onToken(text);
			}
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of body) {
		parser.feed(decoder.decode(chunk, {stream: true}));
	}

	return outcome;
}
