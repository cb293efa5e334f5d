/** Sends arrivals at their planned times to a set of daemons and collects the records of the callers. */
import {setTimeout as delay} from 'node:timers/promises';
import {BYTES_PER_TOKEN} from '../../src/util/length-class.js';
import type {Arrival} from './arrivals.js';
import {CompletionClient, type CompletionRecord} from './completion-client.js';

export type LoadRunOptions = {
	/** Base URLs of daemons, used round robin. */
	readonly targets: readonly string[];
	/** API keys, used round robin. */
	readonly apiKeys: readonly string[];
	readonly model: string;
	/** Makes the prompts of a run unique, so that prefixes cached in another run are not hit. */
	readonly label: string;
	readonly signal?: AbortSignal;
	readonly onRecord?: (record: CompletionRecord, arrival: Arrival) => void;
};

/** Builds a prompt of about `tokens` tokens whose first cache block differs from that of all others. */
export function buildPrompt(label: string, index: number, tokens: number): string {
	const head = `${label} request ${index}: `;
	const filler = 'Summarise the following entry of the ledger in one line. ';
	const length = tokens * BYTES_PER_TOKEN;
	return (head + filler.repeat(Math.ceil(length / filler.length))).slice(0, length);
}

/** Sends all arrivals and resolves when every request has ended; records are in order of arrival. */
export async function runLoad(arrivals: readonly Arrival[], options: LoadRunOptions): Promise<readonly CompletionRecord[]> {
	const client = CompletionClient.create();
	const startedAt = performance.now();
	try {
		return await Promise.all(arrivals.map(async arrival => {
			await delay(Math.max(0, arrival.atMs - (performance.now() - startedAt)));
			const record = await client.send({
				target: options.targets[arrival.index % options.targets.length]!,
				apiKey: options.apiKeys[arrival.index % options.apiKeys.length]!,
				model: options.model,
				prompt: buildPrompt(options.label, arrival.index, arrival.promptTokens),
				promptTokens: arrival.promptTokens,
				lengthClass: arrival.lengthClass,
				maxTokens: arrival.maxTokens,
				signal: options.signal,
			});
			options.onRecord?.(record, arrival);
			return record;
		}));
	} finally {
		await client.close();
	}
}
