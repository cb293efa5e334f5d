/**
 * Baselines of the benchmark: a router that takes neither prompt lengths nor engine memory into account. It has the
 * completions API of the daemon and forwards each request at once, round robin or to the engine with the fewest requests
 * in flight.
 */
import http from 'node:http';
import process from 'node:process';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';
import {z} from 'zod';
import {listen} from '../../src/util/listen.js';

/** Routing policies of the baseline router. */
export type BaselinePolicy = 'round-robin' | 'least-in-flight';

export const baselinePolicies: readonly BaselinePolicy[] = ['round-robin', 'least-in-flight'];

/** Priority of every request. */
const PRIORITY = 1;

/** Time for which the engine may keep a request, sent as `remainingMs`; the same for every request. */
const REMAINING_MS = 600_000;

const completionSchema = z.object({model: z.string(), prompt: z.string(), max_tokens: z.number().int().positive()});

type Engine = {readonly address: string; inFlight: number};

/** HTTP server that forwards completions to engines under one baseline policy. */
export class BaselineRouter {
	static async create(policy: BaselinePolicy, addresses: readonly string[]): Promise<BaselineRouter> {
		const router = new BaselineRouter(policy, addresses.map(address => ({address, inFlight: 0})));
		await listen(router.server, {port: 0, host: '127.0.0.1'});
		return router;
	}

	private next = 0;
	private sequence = 0;
	private readonly agent = new Agent({connections: 512, headersTimeout: 0, bodyTimeout: 0});
	private readonly server = http.createServer((req, res) => {
		void this.handle(req, res);
	});

	private constructor(
		private readonly policy: BaselinePolicy,
		private readonly engines: readonly Engine[],
	) {}

	/** Base URL of the router. */
	get url(): string {
		return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	async close(): Promise<void> {
		this.server.closeAllConnections();
		this.server.close();
		await this.agent.destroy();
	}

	private choose(): Engine {
		switch (this.policy) {
			case 'round-robin': {
				return this.engines[this.next++ % this.engines.length]!;
			}

			case 'least-in-flight': {
				const offset = this.next++;
				const rotated = this.engines.map((_, index) => this.engines[(index + offset) % this.engines.length]!);
				const least = Math.min(...rotated.map(engine => engine.inFlight));
				return rotated.find(engine => engine.inFlight === least)!;
			}
		}
	}

	private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		try {
			await this.forward(req, res);
		} catch (err: unknown) {
			res.destroy(err instanceof Error ? err : undefined);
		}
	}

	private async forward(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const body = completionSchema.parse(JSON.parse(await text(req)));
		const engine = this.choose();
		engine.inFlight++;
		try {
			await this.relay(engine, body, res);
		} finally {
			engine.inFlight--;
		}
	}

	private async relay(engine: Engine, body: z.infer<typeof completionSchema>, res: http.ServerResponse): Promise<void> {
		const id = `blind.${process.pid}.${this.sequence++}`;
		const upstream = await request(`http://${engine.address}/v1/streams`, {
			method: 'POST',
			dispatcher: this.agent,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				id, model: body.model, prompt: body.prompt, maxTokens: body.max_tokens, priority: PRIORITY, remainingMs: REMAINING_MS, segments: [],
			}),
		});
		if (upstream.statusCode !== 200) {
			await upstream.body.dump();
			res.writeHead(503, {'content-type': 'application/json'});
			res.end(JSON.stringify({error: {message: `engine ${engine.address} returned status ${upstream.statusCode}`, code: 'overloaded', ran: 'not_run'}}));
			return;
		}

		res.writeHead(200, {'content-type': 'text/event-stream', 'x-request-id': id});
		const parser = createParser({
			onEvent(event) {
				res.write(`data: ${toChunk(event.event ?? '', event.data)}\n\n`);
			},
		});
		const decoder = new TextDecoder();
		for await (const chunk of upstream.body) {
			parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
		}

		res.end('data: [DONE]\n\n');
		await request(`http://${engine.address}/v1/streams/${id}`, {method: 'DELETE', dispatcher: this.agent});
	}
}

function toChunk(event: string, data: string): string {
	const parsed = JSON.parse(data) as {text?: string; message?: string; code?: string};
	if (event === 'failed') {
		return JSON.stringify({error: {message: parsed.message ?? '', code: parsed.code ?? 'failed', ran: 'ran'}});
	}

	return JSON.stringify({choices: [{index: 0, text: parsed.text ?? '', finish_reason: event === 'done' ? 'stop' : null}]});
}
