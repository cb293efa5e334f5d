/** Sends arrivals directly to engines. Gives the lower bound of latency for any router in front of them. */
import {setTimeout as delay} from 'node:timers/promises';
import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';
import type {Arrival} from './arrivals.js';
import type {CompletionOutcome, CompletionRecord} from './completion-client.js';
import {buildPrompt} from './load-run.js';

/** Time for which the engine may keep a request, sent as `remainingMs`. */
const REMAINING_MS = 600_000;

export type DirectRunOptions = {
	/** IP:PORT of engines, used round robin. */
	readonly engines: readonly string[];
	readonly model: string;
	readonly label: string;
};

/** Sends all arrivals and resolves when every request has ended; records are in order of arrival. */
export async function runDirect(arrivals: readonly Arrival[], options: DirectRunOptions): Promise<readonly CompletionRecord[]> {
	const agent = new Agent({connections: 512, headersTimeout: 0, bodyTimeout: 0});
	const startedAt = performance.now();
	try {
		return await Promise.all(arrivals.map(async arrival => {
			await delay(Math.max(0, arrival.atMs - (performance.now() - startedAt)));
			return send(agent, arrival, options);
		}));
	} finally {
		await agent.destroy();
	}
}

async function send(agent: Agent, arrival: Arrival, {engines, model, label}: DirectRunOptions): Promise<CompletionRecord> {
	const {promptTokens, lengthClass, maxTokens, index} = arrival;
	const address = engines[index % engines.length]!;
	const id = `${label.replaceAll(' ', '-')}.${index}`;
	const body = JSON.stringify({
		id, model, prompt: buildPrompt(label, index, promptTokens), maxTokens, priority: 0, remainingMs: REMAINING_MS, segments: [],
	});
	const startedAt = performance.now();
	const tokens: string[] = [];
	const times: number[] = [];
	const outcome = await streamTokens(agent, {address, body}, text => {
		tokens.push(text);
		times.push(performance.now());
	});
	const totalMs = performance.now() - startedAt;
	await request(`http://${address}/v1/streams/${id}`, {method: 'DELETE', dispatcher: agent});
	return {
		target: address,
		lengthClass,
		promptTokens,
		startedAt,
		firstTokenMs: times[0] === undefined ? undefined : times[0] - startedAt,
		tokenGapsMs: times.slice(1).map((time, position) => time - times[position]!),
		totalMs,
		tokens,
		requestId: id,
		outcome,
	};
}

async function streamTokens(agent: Agent, {address, body}: {readonly address: string; readonly body: string}, onToken: (text: string) => void): Promise<CompletionOutcome> {
	let outcome: CompletionOutcome = {kind: 'cut', message: 'stream ended without done'};
	const parser = createParser({
		onEvent({event, data}) {
			if (event === 'token') {
				onToken((JSON.parse(data) as {text: string}).text);
			} else {
				outcome = event === 'done' ? {kind: 'finished'} : {kind: 'failed', code: event ?? '', ran: 'ran'};
			}
		},
	});
	try {
		const res = await request(`http://${address}/v1/streams`, {
			method: 'POST', dispatcher: agent, headers: {'content-type': 'application/json'}, body,
		});
		if (res.statusCode !== 200) {
			await res.body.dump();
			return {
				kind: 'refused', code: String(res.statusCode), ran: 'not_run', status: res.statusCode,
			};
		}

		const decoder = new TextDecoder();
		for await (const chunk of res.body) {
			parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
		}

		return outcome;
	} catch (err: unknown) {
		return {kind: 'cut', message: String(err)};
	}
}
